"""Reads how requests ended, and counts the failed and late ones by reason and property."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from aspengate.explanation import LogLine
from aspengate.losses._reasons import Loss, classify_loss

_END = "request.ended"


@dataclass(frozen=True)
class RequestEnd:
    """Holds how one request ended at one router.

    ``replica`` is the last replica that it was sent to, or empty. ``tokens`` is the upper bound of
    its token use. ``folded`` counts the successful requests that the log omitted before this line.
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
    """Counts failed and late requests, with a row per property value and a column per reason."""

    title: str
    rows: dict[str, Counter[Loss]]
    totals: Counter[str]


def read_ends(lines: Iterable[LogLine]) -> list[RequestEnd]:
    """Return the ends of the requests in the lines of logs, ordered by time."""
    ends = [_end(line) for line in lines if line.change == _END]
    return sorted(ends, key=lambda end: end.time_s)


def group_losses(
    title: str, ends: Iterable[RequestEnd], property_of: Callable[[RequestEnd], str]
) -> LossTable:
    """Return the losses of requests by one of their properties; empty values are left out."""
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
