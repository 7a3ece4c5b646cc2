"""``aspengate invoice``: prints the charges of a client account."""

import csv
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from aspengate.billing import invoice_of
from aspengate.cli._table import open_editor


@cappa.command(description="Print the charges of a client account: totals, and items if any.")
@dataclass
class Invoice:
    """Print an invoice as text or as CSV."""

    account: Annotated[str, cappa.Arg(help="name of the client account")]
    store: Annotated[str, cappa.Arg(long="--store", help="address of the store, IP:port")]
    budget_shards: Annotated[int, cappa.Arg(long="--budget-shards")] = 4
    as_csv: Annotated[bool, cappa.Arg(long="--csv", help="print CSV")] = False

    def __call__(self) -> None:
        """Print the invoice."""
        editor = open_editor(self.store, self.budget_shards)
        invoice = invoice_of(self.account, editor.invoice_shards())
        if self.as_csv:
            writer = csv.writer(sys.stdout, lineterminator="\n")
            writer.writerow(("budget", "service", "request_id", "credits"))
            writer.writerows(invoice.table())
            return
        sys.stdout.write(invoice.text())
