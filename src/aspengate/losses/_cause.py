"""Describes in one sentence why a request ended as it did."""

import re
from collections.abc import Callable, Iterable

from aspengate.explanation import LogLine
from aspengate.losses._reasons import Loss, classify_loss
from aspengate.losses._tokens import token_statements

_END = "request.ended"
_FOREVER_S = 1e9
# A replica processes a prompt of this size in several chunks. Shorter prompts do not delay the
# other streams of the replica for long.
_LONG_PROMPT_TOKENS = 4_000


def describe_end(request_id: str, lines: Iterable[LogLine]) -> str:
    """Return why a request ended as it did, from the last ``request.ended`` line with its id.

    Returns an empty string if there is no such line.
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
    describe = _DESCRIPTIONS.get(loss, _describe_reason)
    return f"{loss.value}: {describe(end, listed)}"


def _describe_tokens(end: LogLine, lines: list[LogLine]) -> str:
    """Return how the account's tokens were distributed when the request was refused."""
    before = [line for line in lines if line.time_s <= end.time_s]
    account = str(end.fields.get("account"))
    found = [each for each in token_statements(before, _FOREVER_S) if each.account == account]
    requested = end.fields.get("tokens")
    if not found:
        return f"{account} needs {requested} tokens; no router logged the state of its account"
    latest = found[-1]
    limit = max(1, latest.limit)
    return (
        f"{account} needs {requested}; of its {latest.limit} tokens "
        f"{100 * latest.spent / limit:.0f}% were spent, "
        f"{100 * latest.reserved / limit:.0f}% reserved by requests in progress, "
        f"{100 * latest.idle / limit:.0f}% idle at routers, "
        f"{100 * latest.unallocated / limit:.0f}% unallocated, "
        f"{100 * latest.lost / limit:.0f}% lost"
    )


def _describe_pause(end: LogLine, lines: list[LogLine]) -> str:
    """Return the pause and the long prompts that the replica received while the stream ran."""
    replica = _replica(end)
    started_s = end.time_s - float(end.fields.get("held_ms") or 0) / 1_000
    sizes = [
        int(line.fields.get("tokens") or 0)
        for line in lines
        if line is not end and line.change == _END and _replica(line) == replica
        if started_s <= line.time_s - float(line.fields.get("held_ms") or 0) / 1_000 <= end.time_s
    ]
    long = [size for size in sizes if size >= _LONG_PROMPT_TOKENS]
    concurrent = f"{len(long)}, of up to {max(long)} tokens" if long else "none"
    return (
        f"a pause of {end.fields.get('longest_gap_ms')} ms, the target is "
        f"{end.fields.get('gap_aim_ms'):.0f} ms; "
        f"long prompts sent to {replica} meanwhile: {concurrent}"
    )


def _describe_late_start(end: LogLine, _: list[LogLine]) -> str:
    first_ms = end.fields.get("first_event_ms") or end.fields.get("held_ms")
    waited_ms = end.fields.get("admitted_ms") or 0
    attempts = len(end.fields.get("attempts") or ())
    return (
        f"started after {first_ms} ms, the target is {end.fields.get('aim_ms'):.0f} ms; "
        f"{waited_ms} ms until it was admitted, {attempts} attempts, "
        f"the last one at {_replica(end)}"
    )


def _describe_crashes(end: LogLine, lines: list[LogLine]) -> str:
    """Return which replicas the request crashed, when, and which router detected each crash.

    If it was refused for a segment of its prompt, these are the replicas that the reason names.
    """
    content = end.fields.get("content")
    named = set(re.split(r"[\s,:]+", str(end.fields.get("reason"))))
    crashes = [
        f"{line.fields.get('replica')} {end.time_s - line.time_s:.1f} s before, detected "
        f"by {line.machine}"
        for line in lines
        if line.change == "replica.ended" and line.time_s <= end.time_s
        if line.fields.get("content") == content or line.fields.get("replica") in named
    ]
    detected = "; ".join(crashes) if crashes else "no router of these logs detected which"
    return f"{end.fields.get('reason')} ({detected})"


def _describe_reason(end: LogLine, _: list[LogLine]) -> str:
    reason = str(end.fields.get("reason") or f"status {end.fields.get('status')}")
    replica = _replica(end)
    return f"{reason} (router {end.machine}{', replica ' + replica if replica else ''})"


def _replica(end: LogLine) -> str:
    attempts = end.fields.get("attempts") or [{}]
    return str(attempts[-1].get("replica") or "")


_DESCRIPTIONS: dict[Loss, Callable[[LogLine, list[LogLine]], str]] = {
    Loss.TOKENS_EXHAUSTED: _describe_tokens,
    Loss.TOKENS_UNAVAILABLE: _describe_tokens,
    Loss.LATE_PAUSE: _describe_pause,
    Loss.LATE_FIRST: _describe_late_start,
    Loss.CRASHES: _describe_crashes,
}
