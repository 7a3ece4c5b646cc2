"""The ends of requests, counted by reason and by whatever they have in common."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from aspengate.explanation import LogLine
from aspengate.losses._reasons import Loss, classify_loss

_END = "request.ended"


@dataclass(frozen=True)
class RequestEnd:
    """How one request ended at one router; ``replica`` is the last that it was sent to, if any.

    ``tokens`` is the most that it could use. ``folded`` counts further successes that the log
    left out before this line.
    """

    time_s: float
    router: str
    service: str
    account: str
    replica: str
    tokens: int
    folded: int
    loss: Loss | None


@dataclass(frozen=True)
class LossTable:
    """Counts of lost requests: a row for each value of a property, a column for each reason."""

    title: str
    rows: dict[str, Counter[Loss]]
    totals: Counter[str]


def read_ends(lines: Iterable[LogLine]) -> list[RequestEnd]:
    """Return the ends of requests among the lines of logs, in order of time."""
    ends = [_end(line) for line in lines if line.change == _END]
    return sorted(ends, key=lambda end: end.time_s)


def group_losses(
    title: str, ends: Iterable[RequestEnd], property_of: Callable[[RequestEnd], str]
) -> LossTable:
    """Return the losses of requests by one of their properties; an empty value has no row."""
    rows: dict[str, Counter[Loss]] = {}
    totals: Counter[str] = Counter()
    for end in ends:
        value = property_of(end)
        if not value:
            continue
        totals[value] += 1 + end.folded
        row = rows.setdefault(value, Counter())
        if end.loss is not None:
            row[end.loss] += 1
    return LossTable(title, rows, totals)


def _end(line: LogLine) -> RequestEnd:
    fields = line.fields
    attempts = fields.get("attempts") or [{}]
    return RequestEnd(
        time_s=line.time_s,
        router=line.machine,
        service=str(fields.get("service") or ""),
        account=str(fields.get("account") or ""),
        replica=str(attempts[-1].get("replica") or ""),
        tokens=int(fields.get("tokens") or 0),
        folded=int(fields.get("folded") or 0),
        loss=classify_loss(fields),
    )
