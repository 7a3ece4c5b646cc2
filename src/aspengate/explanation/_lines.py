"""Lines of routers' logs, from files or from several logs that were gathered into one."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

_GATHERED_PATTERN = re.compile(r"^\s*-?[\d.]+\s+(?P<machine>\S+)\s+(?P<line>\{.*)$")
_PREFIX = "aspengate."


@dataclass(frozen=True)
class LogLine:
    """One logged change: on which machine, when (seconds since the epoch), what, and its fields."""

    machine: str
    time_s: float
    change: str
    fields: dict[str, Any]


def read_lines(name: str, text: Iterable[str]) -> list[LogLine]:
    """Return the lines of a log; others, such as a runtime's own, are passed over.

    ``name`` is the machine's, unless a line begins with a time and a machine's name.
    """
    found = []
    for line in text:
        gathered = _GATHERED_PATTERN.match(line)
        machine = gathered["machine"] if gathered else name
        parsed = _parse(machine, gathered["line"] if gathered else line)
        if parsed is not None:
            found.append(parsed)
    return found


def _parse(machine: str, line: str) -> LogLine | None:
    try:
        fields = msgspec.json.decode(line)
    except msgspec.MsgspecError:
        return None
    if not isinstance(fields, dict):
        return None
    change = str(fields.pop("message_type", ""))
    if not change.startswith(_PREFIX):
        return None
    time_s = float(fields.pop("timestamp", 0.0))
    for own in ("task_uuid", "task_level"):
        fields.pop(own, None)
    return LogLine(machine, time_s, change.removeprefix(_PREFIX), fields)
