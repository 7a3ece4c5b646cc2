"""Counts the calls to the store that routers logged."""

from collections import Counter
from collections.abc import Iterable

from aspengate.explanation import LogLine

_STORE_CALLS = "store.calls"


def count_store_calls(lines: Iterable[LogLine]) -> Counter[str]:
    """Return the calls by kind: the sum of the last cumulative count logged by each session."""
    last: dict[str, LogLine] = {}
    for line in lines:
        if line.change != _STORE_CALLS:
            continue
        session = str(line.fields.get("session") or line.machine)
        if session not in last or line.time_s >= last[session].time_s:
            last[session] = line
    total: Counter[str] = Counter()
    for line in last.values():
        total.update({str(kind): int(n) for kind, n in line.fields.get("calls", {}).items()})
    return total
