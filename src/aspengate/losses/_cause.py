"""The cause of one request's end, in one sentence."""

from collections.abc import Callable, Iterable

from aspengate.explanation import LogLine
from aspengate.losses._reasons import Loss, classify_loss
from aspengate.losses._tokens import token_statements

_END = "request.ended"
_FOREVER_S = 1e9
# A long prompt is one that takes several pieces to read; shorter ones hold up nobody for long.
_LONG_TOKENS = 4_000


def describe_end(request_id: str, lines: Iterable[LogLine]) -> str:
    """Return why a request ended as it did at the last router that speaks of it.

    Empty where no line tells of its end.
    """
    listed = sorted(lines, key=lambda line: line.time_s)
    ends = [
        line
        for line in listed
        if line.change == _END and line.fields.get("request_id") == request_id
    ]
    if not ends:
        return ""
    end = ends[-1]
    loss = classify_loss(end.fields)
    if loss is None:
        return f"served in time by {end.machine}"
    tell = _TELLERS.get(loss, _plainly)
    return f"{loss.value}: {tell(end, listed)}"


def _tokens(end: LogLine, lines: list[LogLine]) -> str:
    """Return where the account's tokens were when the request was refused."""
    before = [line for line in lines if line.time_s <= end.time_s]
    account = str(end.fields.get("account"))
    found = [each for each in token_statements(before, _FOREVER_S) if each.account == account]
    asked = end.fields.get("tokens")
    if not found:
        return f"{account} needs {asked} tokens; no router told of its account"
    told = found[-1]
    limit = max(1, told.limit)
    return (
        f"{account} needs {asked}; of its {told.limit} tokens {100 * told.spent / limit:.0f}% were "
        f"spent, {100 * told.reserved / limit:.0f}% reserved by requests in progress, "
        f"{100 * told.idle / limit:.0f}% idle at routers, "
        f"{100 * told.unallocated / limit:.0f}% held by nobody, {100 * told.lost / limit:.0f}% lost"
    )


def _pause(end: LogLine, lines: list[LogLine]) -> str:
    """Return what was read at the replica while the stream ran."""
    replica = _replica(end)
    begun_s = end.time_s - float(end.fields.get("held_ms") or 0) / 1_000
    sizes = [
        int(line.fields.get("tokens") or 0)
        for line in lines
        if line is not end and line.change == _END and _replica(line) == replica
        if begun_s <= line.time_s - float(line.fields.get("held_ms") or 0) / 1_000 <= end.time_s
    ]
    long = [size for size in sizes if size >= _LONG_TOKENS]
    beside = f"{len(long)} long prompts, of up to {max(long)} tokens, began" if long else "none"
    return (
        f"a pause of {end.fields.get('longest_gap_ms')} ms, its aim is "
        f"{end.fields.get('gap_aim_ms'):.0f} ms; at {replica} beside it: {beside}"
    )


def _begun_late(end: LogLine, _: list[LogLine]) -> str:
    first_ms = end.fields.get("first_event_ms") or end.fields.get("held_ms")
    waited_ms = end.fields.get("admitted_ms") or 0
    tried = len(end.fields.get("attempts") or ())
    return (
        f"begun after {first_ms} ms, its aim is {end.fields.get('aim_ms'):.0f} ms; {waited_ms} ms "
        f"until it was admitted, {tried} replicas tried, the last one {_replica(end)}"
    )


def _crashes(end: LogLine, lines: list[LogLine]) -> str:
    """Return which replicas ended under the request, when, and which router saw it."""
    content = end.fields.get("content")
    ends = [
        f"{line.fields.get('replica')} {end.time_s - line.time_s:.1f} s before, as "
        f"{line.machine} saw"
        for line in lines
        if line.change == "replica.ended" and line.fields.get("content") == content
        if line.time_s <= end.time_s
    ]
    seen = "; ".join(ends) if ends else "no router of these logs saw which"
    return f"{end.fields.get('reason')} ({seen})"


def _plainly(end: LogLine, _: list[LogLine]) -> str:
    reason = str(end.fields.get("reason") or f"status {end.fields.get('status')}")
    replica = _replica(end)
    return f"{reason} (router {end.machine}{', replica ' + replica if replica else ''})"


def _replica(end: LogLine) -> str:
    attempts = end.fields.get("attempts") or [{}]
    return str(attempts[-1].get("replica") or "")


_TELLERS: dict[Loss, Callable[[LogLine, list[LogLine]], str]] = {
    Loss.TOKENS_EXHAUSTED: _tokens,
    Loss.TOKENS_UNAVAILABLE: _tokens,
    Loss.LATE_PAUSE: _pause,
    Loss.LATE_FIRST: _begun_late,
    Loss.CRASHES: _crashes,
}
