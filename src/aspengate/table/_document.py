"""The table as a value, the log of its edits, and how an edit changes it.

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
    """The rows at one version; the version grows by one with each accepted edit."""

    version: int = 0
    rows: tuple[AnyRow, ...] = ()

    def has_applied(self, operation_id: str) -> bool:
        """Return false: copies of the rows are told apart by their version only."""
        return False

    def after(self, entries: Iterable[AuditEntry]) -> "TableDocument":
        """Return the rows after those of the accepted edits that are newer."""
        rows: dict[tuple[str, str], AnyRow] = {row.identity: row for row in self.rows}
        version = self.version
        for entry in entries:
            if entry.version <= version:
                continue
            version = entry.version
            for change in entry.changes:
                _apply(rows, change)
        return TableDocument(version, tuple(rows.values()))


class TableLog(msgspec.Struct, frozen=True):
    """The latest accepted edits; an edit is accepted by being written here.

    ``base_version`` is the version before the first of ``entries``; the rows up to there, or
    later, stand in the snapshot.
    """

    base_version: int = 0
    entries: tuple[AuditEntry, ...] = ()
    operations: tuple[str, ...] = ()

    @property
    def version(self) -> int:
        """The latest accepted version."""
        return self.entries[-1].version if self.entries else self.base_version

    def has_applied(self, operation_id: str) -> bool:
        """Return whether the edit with this id is among the latest that were accepted."""
        return operation_id in self.operations

    def budgets_changed_since(self, version: int) -> frozenset[str]:
        """Return the budgets whose rows were changed after ``version``, as far as known here."""
        return frozenset(
            change.identity[1]
            for entry in self.entries
            if entry.version > version
            for change in entry.changes
            if change.identity[0] == BudgetRow.kind
        )

    def without(self, version: int) -> "TableLog":
        """Return the log without the edits up to ``version``, which a snapshot holds."""
        kept = tuple(entry for entry in self.entries if entry.version > version)
        return TableLog(max(self.base_version, min(version, self.version)), kept, self.operations)


class TableHistory(msgspec.Struct, frozen=True):
    """The audit trail of edits that have left the log, the latest last; its size is bounded."""

    entries: tuple[AuditEntry, ...] = ()

    def has_applied(self, operation_id: str) -> bool:
        """Return false: entries are told apart by their version."""
        return False

    def plus(self, entries: Iterable[AuditEntry]) -> "TableHistory":
        """Return the trail with the entries that it lacks."""
        latest = self.entries[-1].version if self.entries else 0
        fresh = tuple(entry for entry in entries if entry.version > latest)
        return TableHistory((*self.entries, *fresh)[-_HISTORY_KEPT:])


def apply_changes(
    document: TableDocument,
    log: TableLog,
    operation_id: str,
    changes: tuple[RowChange, ...],
    actor: str,
    now_ms: int,
) -> TableLog:
    """Return the log after an edit of the rows in ``document``.

    Raises AspengateError of kind CONFLICT, which shows the row as it is now, where a row is not
    as the operator saw it. Budgets are checked where their limits stand.
    """
    rows: dict[tuple[str, str], AnyRow] = {row.identity: row for row in document.rows}
    for change in changes:
        if change.identity[0] == BudgetRow.kind:
            continue
        if rows.get(change.identity) != change.before:
            raise _conflict(change, rows.get(change.identity), log)
        _apply(rows, change)
    entry = AuditEntry(document.version + 1, actor, now_ms, changes)
    operations = (*log.operations, operation_id)[-_OPERATIONS_KEPT:]
    return TableLog(log.base_version, (*log.entries, entry), operations)


def _apply(rows: dict[tuple[str, str], AnyRow], change: RowChange) -> None:
    if change.identity[0] == BudgetRow.kind:
        return
    if change.after is None:
        rows.pop(change.identity, None)
    else:
        rows[change.identity] = change.after


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


def _conflict(change: RowChange, present: Row | None, log: TableLog) -> AspengateError:
    kind, name = change.identity
    by = next(
        (
            f" by {entry.actor} in version {entry.version}"
            for entry in reversed(log.entries)
            if any(each.identity == change.identity for each in entry.changes)
        ),
        "",
    )
    return AspengateError(
        ErrorKind.CONFLICT,
        f"was changed{by}; you saw: {describe_row(change.before)}; now: {describe_row(present)}",
        where=f"{kind} {name}",
    )
