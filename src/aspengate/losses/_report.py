"""Renders the report of failed and late requests as text."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from aspengate.explanation import LogLine
from aspengate.losses._reasons import Loss
from aspengate.losses._requests import LossTable, RequestEnd, group_losses, read_ends
from aspengate.losses._store_calls import count_store_calls
from aspengate.losses._tokens import TokenStatement, token_statements

_COLUMN_WIDTH = 11
_NAME_WIDTH = 16


@dataclass(frozen=True)
class LossReport:
    """Holds failed and late requests by reason and property, token use, and store calls.

    ``tables`` groups the requests by time, service, account, replica and router.
    """

    ends: tuple[RequestEnd, ...]
    tables: tuple[LossTable, ...]
    tokens: tuple[TokenStatement, ...]
    store_calls: Counter[str]

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        report = [_summary(self.ends)]
        for table in self.tables:
            report += ["", *_table_lines(table)]
        report += ["", *_call_lines(self.store_calls)]
        return [*report, "", *_token_lines(self.tokens, self.ends)]


def report_losses(lines: Iterable[LogLine], step_s: float) -> LossReport:
    """Return the report for the lines of routers' logs, with a row every ``step_s`` seconds."""
    listed = list(lines)
    ends = read_ends(listed)
    origin_s = min((line.time_s for line in listed), default=0.0)

    def time_bucket(end: RequestEnd) -> str:
        since_s = (end.time_s - origin_s) // step_s * step_s
        return f"{since_s:8.0f} s"

    tables = (
        group_losses("seconds since the first line", ends, time_bucket),
        group_losses("service", ends, lambda end: end.service),
        group_losses("account", ends, lambda end: end.account),
        group_losses("replica", ends, lambda end: end.replica),
        group_losses("router", ends, lambda end: end.router),
    )
    return LossReport(
        tuple(ends), tables, tuple(token_statements(listed, step_s)), count_store_calls(listed)
    )


def _summary(ends: Iterable[RequestEnd]) -> str:
    counts: Counter[Loss] = Counter()
    total = 0
    for end in ends:
        total += 1 + end.folded
        if end.loss is not None:
            counts[end.loss] += 1
    summary = [f"{total} requests, {total - sum(counts.values())} served in time"]
    summary += [f"{count:7}  {loss.value}" for loss, count in counts.most_common()]
    return "\n".join(summary)


def _table_lines(table: LossTable) -> list[str]:
    columns = [loss for loss in Loss if any(row[loss] for row in table.rows.values())]
    names = [loss.name.lower().replace("tokens_", "no_tokens_")[:_COLUMN_WIDTH] for loss in columns]
    head = f"{table.title[:_NAME_WIDTH]:{_NAME_WIDTH}}{'requests':>{_COLUMN_WIDTH}}"
    lines = [head + "".join(f"{name:>{_COLUMN_WIDTH + 1}}" for name in names)]
    for value, row in sorted(table.rows.items()):
        counts = "".join(f"{row[loss]:{_COLUMN_WIDTH + 1}}" for loss in columns)
        lines.append(f"{value:{_NAME_WIDTH}}{table.totals[value]:{_COLUMN_WIDTH}}{counts}")
    return lines


def _call_lines(calls: Counter[str]) -> list[str]:
    counts = [f"{count:7}  {kind}" for kind, count in calls.most_common()]
    return [f"{sum(calls.values())} calls to the store, as far as they were logged", *counts]


def _token_lines(tokens: Iterable[TokenStatement], ends: Iterable[RequestEnd]) -> list[str]:
    """Return a line for each account and step with the distribution of its tokens, in percent."""
    times = [end.time_s for end in ends]
    origin_s = min(times, default=0.0)
    lines = [
        "tokens of each account, in percent of its limit",
        "  second  account               limit  spent  (broken off)  reserved  idle  unheld   lost",
    ]
    for each in tokens:
        limit = max(1, each.limit)
        lines.append(
            f"{each.time_s - origin_s:8.1f}  {each.account:{_NAME_WIDTH}}{each.limit:11}"
            f"{100 * each.spent / limit:7.1f}{100 * each.charged_to_failed / limit:14.1f}"
            f"{100 * each.reserved / limit:10.1f}{100 * each.idle / limit:6.1f}"
            f"{100 * each.unallocated / limit:8.1f}{100 * each.lost / limit:7.1f}"
        )
    return lines
