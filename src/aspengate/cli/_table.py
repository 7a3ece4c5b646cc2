"""``aspengate table``: shows and edits the operators' table.

These commands access the store directly, so access to the store is the only permission that they
need. Over HTTP, the operator's key decides.
"""

import getpass
import http.client
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from aspengate.adapters import EtcdStore
from aspengate.clock import SystemClock
from aspengate.connections import StrictHTTPConnection
from aspengate.errors import AspengateError, ErrorKind
from aspengate.router import TableEditor
from aspengate.settings import address
from aspengate.table import (
    AnyRow,
    RowChange,
    hash_key,
    row_from_cells,
    row_to_cells,
    rows_from_csv,
    rows_to_csv,
)

_Store = Annotated[str, cappa.Arg(long="--store", help="address of the store, IP:port")]
_Shards = Annotated[
    int, cappa.Arg(long="--budget-shards", help="as in the routers' settings", default=4)
]
_Actor = Annotated[
    str | None, cappa.Arg(long="--actor", help="name of the editor in the history", default=None)
]


def open_editor(store: str, shards: int) -> TableEditor:
    """Return an editor of the table in a store; raises BAD_REQUEST for a bad address."""
    try:
        address(store)
    except ValueError:
        raise AspengateError(
            ErrorKind.BAD_REQUEST, f"{store!r} is not accepted: IP:port", where="--store"
        ) from None
    return TableEditor(EtcdStore(store), SystemClock(), shards)


@cappa.command(description="Print the table as CSV.")
@dataclass
class Show:
    """Print every row, or those of one kind."""

    store: _Store
    kind: Annotated[str | None, cappa.Arg(help="only rows of this kind")] = None
    budget_shards: _Shards = 4

    def __call__(self) -> None:
        """Print the rows."""
        rows = open_editor(self.store, self.budget_shards).rows()
        sys.stdout.write(rows_to_csv([row for row in rows if self.kind in {None, row.kind}]))


@cappa.command(name="set", description="Create or change one row: set KIND NAME COLUMN=VALUE ...")
@dataclass
class SetRow:
    """Change some columns of a row; the others stay as they are."""

    kind: Annotated[str, cappa.Arg(help="kind of the row")]
    name: Annotated[str, cappa.Arg(help="name of the row")]
    cells: Annotated[list[str], cappa.Arg(help="COLUMN=VALUE")]
    store: _Store
    budget_shards: _Shards = 4
    actor: _Actor = None

    def __call__(self) -> None:
        """Change the row."""
        editor = open_editor(self.store, self.budget_shards)
        before = _find_row(editor.rows(), self.kind, self.name)
        cells = row_to_cells(before) if before else {"kind": self.kind, "name": self.name}
        for cell in self.cells:
            column, separator, text = cell.partition("=")
            if not separator:
                raise AspengateError(ErrorKind.BAD_REQUEST, "must be COLUMN=VALUE", where=cell)
            cells[column] = text
        after = row_from_cells(cells, where=f"{self.kind} {self.name}")
        version = editor.change((RowChange(before, after),), _actor_name(self.actor))
        sys.stdout.write(f"accepted; the table is at version {version}\n")


@cappa.command(description="Remove one row.")
@dataclass
class Remove:
    """Remove a row."""

    kind: Annotated[str, cappa.Arg(help="kind of the row")]
    name: Annotated[str, cappa.Arg(help="name of the row")]
    store: _Store
    budget_shards: _Shards = 4
    actor: _Actor = None

    def __call__(self) -> None:
        """Remove the row."""
        editor = open_editor(self.store, self.budget_shards)
        before = _find_row(editor.rows(), self.kind, self.name)
        if before is None:
            raise AspengateError(
                ErrorKind.NOT_FOUND, "there is no such row", where=f"{self.kind} {self.name}"
            )
        version = editor.change((RowChange(before, None),), _actor_name(self.actor))
        sys.stdout.write(f"accepted; the table is at version {version}\n")


@cappa.command(name="import", description="Replace the table by the rows of a CSV file.")
@dataclass
class Import:
    """Replace the table; nothing changes if any row is invalid."""

    file: Annotated[Path, cappa.Arg(help="CSV file")]
    store: _Store
    if_version: Annotated[
        str,
        cappa.Arg(long="--if-version", help="only if the table is still at this version"),
    ] = ""
    budget_shards: _Shards = 4
    actor: _Actor = None

    def __call__(self) -> None:
        """Import the file."""
        try:
            text = self.file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where=str(self.file)) from error
        editor = open_editor(self.store, self.budget_shards)
        version = editor.replace(rows_from_csv(text), _actor_name(self.actor), self.if_version)
        sys.stdout.write(f"accepted; the table is at version {version}\n")


@cappa.command(name="export", description="Write the table to a CSV file.")
@dataclass
class Export:
    """Write every row."""

    file: Annotated[Path, cappa.Arg(help="CSV file")]
    store: _Store
    budget_shards: _Shards = 4

    def __call__(self) -> None:
        """Export the table."""
        editor = open_editor(self.store, self.budget_shards)
        version = editor.storage.read().version
        self.file.write_text(rows_to_csv(editor.rows()), encoding="utf-8")
        sys.stdout.write(f"{self.file}: version {version}\n")


@cappa.command(
    description="Print the changes with their authors, the latest last, one JSON object per line."
)
@dataclass
class History:
    """Print the audit trail of the table and of the budgets' limits."""

    store: _Store
    budget_shards: _Shards = 4

    def __call__(self) -> None:
        """Print the audit trail."""
        editor = open_editor(self.store, self.budget_shards)
        entries = [
            (entry.changed_ms, msgspec.json.encode(entry)) for entry in editor.storage.history()
        ]
        for shard in editor.shards():
            entries.extend(
                (change.changed_ms, msgspec.json.encode(msgspec.structs.asdict(change)))
                for change in shard.changes
            )
        for _, line in sorted(entries):
            sys.stdout.write(f"{line.decode()}\n")


@cappa.command(description="Print the version in force in each router, as reported by one router.")
@dataclass
class Status:
    """Ask a router for the status of the fleet."""

    router: Annotated[str, cappa.Arg(long="--router", help="address of a router, IP:port")]
    key: Annotated[str, cappa.Arg(long="--key", help="an operator's key")]

    def __call__(self) -> None:
        """Print the status."""
        connection = StrictHTTPConnection(self.router, timeout=5)
        try:
            connection.request("GET", "/status", headers={"Authorization": f"Bearer {self.key}"})
            sys.stdout.write(connection.getresponse().read().decode() + "\n")
        except (OSError, http.client.HTTPException, UnicodeError) as error:
            raise AspengateError(ErrorKind.NO_UPSTREAM, repr(error), where=self.router) from error
        finally:
            connection.close()


@cappa.command(name="hash-key", description="Print the hash of an API key, for the table.")
@dataclass
class HashKey:
    """Read a key from standard input and print its hash."""

    def __call__(self) -> None:
        """Print the hash."""
        sys.stdout.write(hash_key(sys.stdin.readline().strip()) + "\n")


@cappa.command(description="Show and edit the operators' table.")
@dataclass
class Table:
    """Groups the subcommands for the table."""

    command: cappa.Subcommands[
        Show | SetRow | Remove | Import | Export | History | Status | HashKey
    ]


def _actor_name(named: str | None) -> str:
    return named or getpass.getuser()


def _find_row(rows: tuple[AnyRow, ...], kind: str, name: str) -> AnyRow | None:
    return next((row for row in rows if row.identity == (kind, name)), None)
