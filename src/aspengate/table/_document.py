"""The stored documents of the table, its edit log and its audit trail, and how edits apply.

Budget rows are not part of the table document. A budget's limit is stored with its balances in
its shard document, so that the invariant between the two is kept by updates of a single value.
See ``aspengate.budgets``.
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

_MAX_HISTORY_ENTRIES = 500
_MAX_OPERATION_IDS = 64


class RowChange(msgspec.Struct, frozen=True):
    """One row before and after an edit; ``None`` if the row did not or does not exist."""

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
    """One accepted edit: its actor, its time (ms), its changes and the resulting version."""

    version: int
    actor: str
    changed_ms: int
    changes: tuple[RowChange, ...]


class TableDocument(msgspec.Struct, frozen=True):
    """The rows at one version; each accepted edit increments the version by one."""

    version: int = 0
    rows: tuple[AnyRow, ...] = ()

    def has_applied(self, operation_id: str) -> bool:
        """Return false: copies of the rows are distinguished by their version only."""
        return False

    def with_edits(self, entries: Iterable[AuditEntry]) -> "TableDocument":
        """Return the document with those of the accepted edits applied that are newer than it."""
        rows: dict[tuple[str, str], AnyRow] = {row.identity: row for row in self.rows}
        version = self.version
        for entry in entries:
            if entry.version <= version:
                continue
            version = entry.version
            for change in entry.changes:
                _apply_change(rows, change)
        return TableDocument(version, tuple(rows.values()))


class TableLog(msgspec.Struct, frozen=True):
    """Holds the latest accepted edits; an edit is accepted once it is written here.

    ``base_version`` is the version before the first of ``entries``. The snapshot holds the rows
    at that version or a later one. ``operations`` are the ids of the latest accepted edits.
    """

    base_version: int = 0
    entries: tuple[AuditEntry, ...] = ()
    operations: tuple[str, ...] = ()

    @property
    def version(self) -> int:
        """The latest accepted version."""
        return self.entries[-1].version if self.entries else self.base_version

    def has_applied(self, operation_id: str) -> bool:
        """Return whether the edit with this id is among the latest accepted ones."""
        return operation_id in self.operations

    def budgets_changed_since(self, version: int) -> frozenset[str]:
        """Return the budgets whose rows this log records as changed after ``version``."""
        return frozenset(
            change.identity[1]
            for entry in self.entries
            if entry.version > version
            for change in entry.changes
            if change.identity[0] == BudgetRow.kind
        )

    def without_entries_up_to(self, version: int) -> "TableLog":
        """Return the log without the edits up to ``version``, which the snapshot contains."""
        kept = tuple(entry for entry in self.entries if entry.version > version)
        return TableLog(max(self.base_version, min(version, self.version)), kept, self.operations)


class TableHistory(msgspec.Struct, frozen=True):
    """The bounded audit trail of edits that were moved out of the log, the latest last."""

    entries: tuple[AuditEntry, ...] = ()

    def has_applied(self, operation_id: str) -> bool:
        """Return false: entries are distinguished by their version."""
        return False

    def with_entries(self, entries: Iterable[AuditEntry]) -> "TableHistory":
        """Return the trail with those of the entries appended that are newer than its latest."""
        latest = self.entries[-1].version if self.entries else 0
        fresh = tuple(entry for entry in entries if entry.version > latest)
        return TableHistory((*self.entries, *fresh)[-_MAX_HISTORY_ENTRIES:])


def apply_changes(
    document: TableDocument,
    log: TableLog,
    operation_id: str,
    changes: tuple[RowChange, ...],
    actor: str,
    now_ms: int,
) -> TableLog:
    """Return the log with an edit of the rows in ``document`` appended.

    Raises AspengateError of kind CONFLICT, which shows the current row, if a row differs from
    the one that the operator saw. Budget rows are not checked here but with their shard.
    """
    rows: dict[tuple[str, str], AnyRow] = {row.identity: row for row in document.rows}
    for change in changes:
        if change.identity[0] == BudgetRow.kind:
            continue
        if rows.get(change.identity) != change.before:
            raise _conflict(change, rows.get(change.identity), log)
        _apply_change(rows, change)
    entry = AuditEntry(document.version + 1, actor, now_ms, changes)
    operations = (*log.operations, operation_id)[-_MAX_OPERATION_IDS:]
    return TableLog(log.base_version, (*log.entries, entry), operations)


def _apply_change(rows: dict[tuple[str, str], AnyRow], change: RowChange) -> None:
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
