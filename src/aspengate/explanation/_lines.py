"""Parses the log lines of routers, from one log or from several logs merged into one file."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

_MERGED_PATTERN = re.compile(r"^\s*-?[\d.]+\s+(?P<machine>\S+)\s+(?P<line>\{.*)$")
_PREFIX = "aspengate."


@dataclass(frozen=True)
class LogLine:
    """Holds one logged event: its machine, time (seconds since the epoch), name and fields."""

    machine: str
    time_s: float
    change: str
    fields: dict[str, Any]


def read_lines(name: str, text: Iterable[str]) -> list[LogLine]:
    """Return the parsed lines of a log; lines in another format are skipped.

    ``name`` is the machine's name. In a merged log, each line begins with a time and the name of
    its machine, which overrides ``name``.
    """
    found = []
    for line in text:
        merged = _MERGED_PATTERN.match(line)
        machine = merged["machine"] if merged else name
        parsed = _parse(machine, merged["line"] if merged else line)
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
    for internal in ("task_uuid", "task_level"):
        fields.pop(internal, None)
    return LogLine(machine, time_s, change.removeprefix(_PREFIX), fields)
