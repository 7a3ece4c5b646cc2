"""The invoice of one client account."""

from collections.abc import Iterable
from dataclasses import dataclass

from aspengate.budgets import BilledItem, Shard


@dataclass(frozen=True)
class InvoiceLine:
    """The total billed for one service to one budget, in credits."""

    budget: str
    service: str
    credits: int


@dataclass(frozen=True)
class Invoice:
    """Holds the totals of an account and the individual calls of itemised services."""

    client_account: str
    lines: tuple[InvoiceLine, ...]
    items: tuple[BilledItem, ...]

    @property
    def total(self) -> int:
        """The sum of all lines, in credits."""
        return sum(line.credits for line in self.lines)

    def table(self) -> list[tuple[str, str, str, int]]:
        """Return rows of budget, service, request id (empty for a total) and credits."""
        totals = [(line.budget, line.service, "", line.credits) for line in self.lines]
        items = [(item.budget, item.service, item.request_id, item.cost) for item in self.items]
        return totals + items

    def text(self) -> str:
        """Return the invoice as readable text."""
        lines = [f"Invoice of {self.client_account}", ""]
        lines += [f"{line.budget:24} {line.service:24} {line.credits:>14}" for line in self.lines]
        lines.append(f"{'total':24} {'':24} {self.total:>14}")
        if self.items:
            lines += ["", "Single calls"]
            lines += [
                f"{item.request_id:36} {item.service:24} {item.cost:>8}" for item in self.items
            ]
        return "\n".join(lines) + "\n"


def invoice_of(client_account: str, shards: Iterable[Shard]) -> Invoice:
    """Return the invoice of an account; ``shards`` must be all budget shards."""
    lines: list[InvoiceLine] = []
    items: list[BilledItem] = []
    for shard in shards:
        for name, budget in shard.budgets.items():
            for line, credits in budget.bills.items():
                account, _, service = line.partition("|")
                if account == client_account:
                    lines.append(InvoiceLine(name, service, credits))
        items.extend(item for item in shard.items if item.client_account == client_account)
    lines.sort(key=lambda line: (line.budget, line.service))
    return Invoice(client_account, tuple(lines), tuple(items))
