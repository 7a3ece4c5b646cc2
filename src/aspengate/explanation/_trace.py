"""What happened to one request, and what its routers believed at that time."""

from collections.abc import Iterable
from dataclasses import dataclass

from aspengate.errors import AspengateError, ErrorKind
from aspengate.explanation._lines import LogLine

_BEFORE_S = 10.0
_STATE = {
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
# What replicas said of themselves touches each request of their service: they were passed over.
_SAID = frozenset({"replica.leaving", "replica.rests", "replica.limited"})


@dataclass(frozen=True)
class RequestTrace:
    """The ends of one request, and the changes around them, each in order of time."""

    request_id: str
    ends: tuple[LogLine, ...]
    around: tuple[LogLine, ...]

    def lines(self) -> list[str]:
        """Return the story as text, times in seconds from its first line."""
        origin = min(line.time_s for line in (*self.ends, *self.around))
        merged = sorted((*self.around, *self.ends), key=lambda line: line.time_s)
        told = [_told(line, origin) for line in merged]
        return [f"request {self.request_id}", *told, *self._unknown()]

    def _unknown(self) -> list[str]:
        """Return what the routers did not know when they decided."""
        unknown = []
        for end in self.ends:
            lost = [line for line in self.around if line.machine == end.machine]
            lost = [line for line in lost if line.change.startswith("store.")]
            latest = {line.fields.get("prefix"): line for line in lost}
            for prefix, line in latest.items():
                if line.change == "store.lost":
                    age = end.time_s - line.time_s
                    unknown.append(
                        f"not known at {end.machine}: changes below {prefix!r} "
                        f"for the last {age:.1f} s"
                    )
        return unknown


def trace_request(request_id: str, lines: Iterable[LogLine]) -> RequestTrace:
    """Return a request's story; raises NOT_FOUND where no line speaks of it.

    Around its ends stand the changes of the ten seconds before that touch what decided: the
    store, the configuration, the request's account, and the replicas that it was sent to; and at
    any time before, at any router, what was told of replicas that ended under the same request.
    """
    listed = list(lines)
    ends = tuple(line for line in listed if line.fields.get("request_id") == request_id)
    if not ends:
        raise AspengateError(ErrorKind.NOT_FOUND, "no log speaks of this request", where=request_id)
    around = tuple(line for line in listed if any(_touches(line, end) for end in ends))
    return RequestTrace(request_id, ends, around)


def _is_about_content(line: LogLine, end: LogLine) -> bool:
    """Return whether a line tells, before an end, of replicas that ended under its request.

    Any router may have seen that, at any time before.
    """
    content = end.fields.get("content")
    if not content or line.fields.get("content") != content or line.time_s > end.time_s:
        return False
    return line.change == "replica.ended" or line.change.startswith("crash.")


def _touches(line: LogLine, end: LogLine) -> bool:
    if line is not end and _is_about_content(line, end):
        return True
    if line.machine != end.machine or line is end:
        return False
    held_s = float(end.fields.get("held_ms") or 0) / 1_000
    if not end.time_s - held_s - _BEFORE_S <= line.time_s <= end.time_s:
        return False
    if line.change in _STATE:
        return True
    if line.change.startswith("allowance."):
        return line.fields.get("account") == end.fields.get("account")
    if line.change in _SAID:
        return line.fields.get("service") == end.fields.get("service")
    if line.change.startswith("replica."):
        sent = {attempt.get("replica") for attempt in end.fields.get("attempts") or ()}
        return line.fields.get("replica") in sent
    return False


def _told(line: LogLine, origin_s: float) -> str:
    fields = [
        f"{name}={_value(value)}"
        for name, value in line.fields.items()
        if name not in ("request_id", "attempts") and value not in ("", None)
    ]
    text = f"{line.time_s - origin_s:8.3f} s  {line.machine}  {line.change}  {' '.join(fields)}"
    for number, attempt in enumerate(line.fields.get("attempts") or (), 1):
        told = " ".join(f"{name}={_value(value)}" for name, value in attempt.items())
        text += f"\n             attempt {number}: {told}"
    return text


def _value(value: object) -> str:
    return repr(value) if isinstance(value, str) and " " in value else str(value)
