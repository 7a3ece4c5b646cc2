"""The trace of one request: its log lines, and the state of its routers at that time."""

from collections.abc import Iterable
from dataclasses import dataclass

from aspengate.errors import AspengateError, ErrorKind
from aspengate.explanation._lines import LogLine

_CONTEXT_S = 10.0
# State changes of a router that can affect any request, with the subsystem that they concern.
_STATE_CHANGES = {
    "store.connected": "store",
    "store.lost": "store",
    "store.era": "store",
    "store.restored": "store",
    "store.kept_ended": "store",
    "configuration.applied": "configuration",
    "evacuation.began": "configuration",
    "evacuation.ended": "configuration",
    "gateway.started": "process",
    "gateway.leaving": "process",
    "gateway.refusing": "process",
    "gateway.reloaded": "settings",
}
# Notices that replicas send about themselves. They concern every request of the service, since the
# router does not send requests to a replica that gave such a notice.
_REPLICA_NOTICES = frozenset({"replica.leaving", "replica.rests", "replica.limited"})


@dataclass(frozen=True)
class RequestTrace:
    """Holds the ``request.ended`` lines of one request and the related state changes."""

    request_id: str
    ends: tuple[LogLine, ...]
    related: tuple[LogLine, ...]

    def lines(self) -> list[str]:
        """Return the trace as lines of text, with times in seconds since its first event."""
        origin = min(line.time_s for line in (*self.ends, *self.related))
        merged = sorted((*self.related, *self.ends), key=lambda line: line.time_s)
        events = [_format_event(line, origin) for line in merged]
        return [f"request {self.request_id}", *events, *self._missing_updates()]

    def _missing_updates(self) -> list[str]:
        """Return a line for each store prefix that a router could not follow at that time."""
        missing = []
        for end in self.ends:
            changes = [line for line in self.related if line.machine == end.machine]
            changes = [line for line in changes if line.change.startswith("store.")]
            latest = {line.fields.get("prefix"): line for line in changes}
            for prefix, line in latest.items():
                if line.change == "store.lost":
                    age = end.time_s - line.time_s
                    missing.append(
                        f"not known at {end.machine}: changes below {prefix!r} "
                        f"for the last {age:.1f} s"
                    )
        return missing


def trace_request(request_id: str, lines: Iterable[LogLine]) -> RequestTrace:
    """Return the trace of a request; raises NOT_FOUND if no line has its id.

    The trace includes the state changes at the same router from 10 s before the request arrived
    until it ended that could affect it: of the store, the configuration, the request's account,
    a rollout of its service, and the replicas that it was sent to. It also includes, at any earlier
    time and at any router, the crashes and trials of requests with the same fingerprint, and the
    trials of segments of its prompt.
    """
    listed = list(lines)
    ends = tuple(line for line in listed if line.fields.get("request_id") == request_id)
    if not ends:
        raise AspengateError(
            ErrorKind.NOT_FOUND, "no log line has this request id", where=request_id
        )
    related = tuple(line for line in listed if any(_is_related(line, end) for end in ends))
    return RequestTrace(request_id, ends, related)


def _is_crash_of_same_request(line: LogLine, end: LogLine) -> bool:
    """Return whether ``line`` reports an earlier crash or trial that concerns the same request.

    It concerns the request's fingerprint or a segment of its prompt. Lines of any router and at any
    earlier time count.
    """
    if line.time_s > end.time_s:
        return False
    if line.change.startswith("crash.") and "segment" in line.fields:
        return line.fields["segment"] in (end.fields.get("segments") or ())
    content = end.fields.get("content")
    if not content or line.fields.get("content") != content:
        return False
    return line.change == "replica.ended" or line.change.startswith("crash.")


def _is_related(line: LogLine, end: LogLine) -> bool:
    if line is not end and _is_crash_of_same_request(line, end):
        return True
    if line.machine != end.machine or line is end:
        return False
    held_s = float(end.fields.get("held_ms") or 0) / 1_000
    if not end.time_s - held_s - _CONTEXT_S <= line.time_s <= end.time_s:
        return False
    if line.change in _STATE_CHANGES:
        return True
    if line.change.startswith("allowance."):
        return line.fields.get("account") == end.fields.get("account")
    if line.change in _REPLICA_NOTICES or line.change.startswith("rollout."):
        return line.fields.get("service") == end.fields.get("service")
    if line.change.startswith("replica."):
        sent = {attempt.get("replica") for attempt in end.fields.get("attempts") or ()}
        return line.fields.get("replica") in sent
    return False


def _format_event(line: LogLine, origin_s: float) -> str:
    fields = [
        f"{name}={_format_value(value)}"
        for name, value in line.fields.items()
        if name not in ("request_id", "attempts") and value not in ("", None)
    ]
    text = f"{line.time_s - origin_s:8.3f} s  {line.machine}  {line.change}  {' '.join(fields)}"
    for number, attempt in enumerate(line.fields.get("attempts") or (), 1):
        attempt_fields = " ".join(
            f"{name}={_format_value(value)}" for name, value in attempt.items()
        )
        text += f"\n             attempt {number}: {attempt_fields}"
    return text


def _format_value(value: object) -> str:
    return repr(value) if isinstance(value, str) and " " in value else str(value)
