"""The document that holds the table in the store, and the edits that change it.

Budget rows are not in it: a budget's limit stands beside its money, in its shard document, so
that the rule between the two holds in one value. See ``aspengate.budgets``.
"""

from collections.abc import Iterable

import msgspec

from aspengate.errors import AspengateError, ErrorKind
from aspengate.table._rows import (
    AnyRow,
    BudgetRow,
    Row,
    row_to_cells,
)

_HISTORY_KEPT = 500
_OPERATIONS_KEPT = 64


class RowChange(msgspec.Struct, frozen=True):
    """One row before and after an edit; ``None`` where there is none."""

    before: AnyRow | None
    after: AnyRow | None

    @property
    def identity(self) -> tuple[str, str]:
        """The kind and name of the changed row."""
        row = self.after or self.before
        if row is None:
            raise AspengateError(ErrorKind.BAD_REQUEST, "a change needs a row")
        return row.identity


class AuditEntry(msgspec.Struct, frozen=True):
    """One accepted edit: who changed what, when (ms), and the version it led to."""

    version: int
    actor: str
    changed_ms: int
    changes: tuple[RowChange, ...]


class TableDocument(msgspec.Struct, frozen=True):
    """The table in the store; ``version`` grows by one with each accepted edit."""

    version: int = 0
    rows: tuple[AnyRow, ...] = ()
    history: tuple[AuditEntry, ...] = ()
    operations: tuple[str, ...] = ()

    def budgets_changed_since(self, version: int) -> frozenset[str]:
        """Return the budgets whose rows were changed after ``version``."""
        return frozenset(
            change.identity[1]
            for entry in self.history
            if entry.version > version
            for change in entry.changes
            if change.identity[0] == BudgetRow.kind
        )

    def has_applied(self, operation_id: str) -> bool:
        """Return whether the edit with this id is among the latest that were accepted."""
        return operation_id in self.operations


def apply_changes(
    document: TableDocument,
    operation_id: str,
    changes: tuple[RowChange, ...],
    actor: str,
    now_ms: int,
) -> TableDocument:
    """Return the document after an edit; changes of budgets only enter its history.

    Raises AspengateError of kind CONFLICT, which shows the row as it is now, where a row is not
    as the operator saw it.
    """
    rows: dict[tuple[str, str], AnyRow] = {row.identity: row for row in document.rows}
    for change in changes:
        if change.identity[0] == BudgetRow.kind:
            continue
        present = rows.get(change.identity)
        if present != change.before:
            raise _conflict(change, present, document)
        if change.after is None:
            rows.pop(change.identity, None)
        else:
            rows[change.identity] = change.after
    entry = AuditEntry(document.version + 1, actor, now_ms, changes)
    return TableDocument(
        version=document.version + 1,
        rows=tuple(rows.values()),
        history=(*document.history, entry)[-_HISTORY_KEPT:],
        operations=(*document.operations, operation_id)[-_OPERATIONS_KEPT:],
    )


def changes_between(before: Iterable[AnyRow], after: Iterable[AnyRow]) -> tuple[RowChange, ...]:
    """Return the changes that turn one set of rows into another."""
    old = {row.identity: row for row in before}
    new = {row.identity: row for row in after}
    return tuple(
        RowChange(old.get(identity), new.get(identity))
        for identity in sorted({*old, *new})
        if old.get(identity) != new.get(identity)
    )


def describe_row(row: Row | None) -> str:
    """Return a row as readable text."""
    if row is None:
        return "no such row"
    return ", ".join(f"{column}={text}" for column, text in row_to_cells(row).items())


def _conflict(change: RowChange, present: Row | None, document: TableDocument) -> AspengateError:
    kind, name = change.identity
    by = next(
        (
            f" by {entry.actor} in version {entry.version}"
            for entry in reversed(document.history)
            if any(each.identity == change.identity for each in entry.changes)
        ),
        "",
    )
    return AspengateError(
        ErrorKind.CONFLICT,
        f"was changed{by}; you saw: {describe_row(change.before)}; now: {describe_row(present)}",
        where=f"{kind} {name}",
    )
