"""Storage of the table: a log of the latest edits, a snapshot of the rows, the audit trail.

An edit is accepted by one compare-and-swap on the log. The log is kept small because every router
reads it after each edit. Once it is longer than 8 entries, its edits are moved into the snapshot
and the trail, in an order that loses nothing if the compaction is interrupted.
"""

import uuid
from collections.abc import Callable

from aspengate.adapters import Store, StoreDocument, VersionedValue
from aspengate.errors import AspengateError, ErrorKind
from aspengate.table._document import AuditEntry, TableDocument, TableHistory, TableLog

TABLE_LOG_KEY = "aspengate/table"
_SNAPSHOT_KEY = "aspengate/table/rows"
_HISTORY_KEY = "aspengate/table/history"
_MAX_LOG_ENTRIES = 8
_MAX_CHANGES = 2_000

Edit = Callable[[TableDocument, TableLog], TableLog]


class TableStorage:
    """Reads the table from the store and accepts edits of it."""

    def __init__(self, store: Store) -> None:
        self.log = StoreDocument(store, TABLE_LOG_KEY, TableLog(), TableLog.has_applied)
        self._snapshot = StoreDocument(
            store, _SNAPSHOT_KEY, TableDocument(), TableDocument.has_applied
        )
        self._history = StoreDocument(store, _HISTORY_KEY, TableHistory(), TableHistory.has_applied)

    def read(self) -> TableDocument:
        """Return the current rows; raises STORE_UNAVAILABLE."""
        return self.rows_of(self.log.read().value)

    def rows_of(self, log: TableLog, known: TableDocument | None = None) -> TableDocument:
        """Return the rows with the edits of ``log`` applied.

        Starts from ``known`` if it is not older than the log's base, else from the snapshot,
        which is read from the store.
        """
        if known is None or known.version < log.base_version:
            known = self._snapshot.read().value
        return known.with_edits(log.entries)

    def history(self) -> tuple[AuditEntry, ...]:
        """Return the audit trail, the latest entry last."""
        log = self.log.read().value
        return self._history.read().value.with_entries(log.entries).entries

    def edit(self, operation_id: str, changed_rows: int, edit: Edit) -> int:
        """Accept an edit and return the resulting version.

        ``edit`` returns the log with the edit appended, or raises. Raises AspengateError of kind
        TOO_LARGE, STORE_UNAVAILABLE, or OUTCOME_UNKNOWN if it is unknown whether the edit was
        accepted; the caller then retries with the same id.
        """
        if changed_rows > _MAX_CHANGES:
            raise AspengateError(
                ErrorKind.TOO_LARGE, f"an edit may change {_MAX_CHANGES} rows at most"
            )
        written: VersionedValue[TableLog] = self.log.update(
            operation_id, lambda log: edit(self.rows_of(log), log)
        )
        if len(written.value.entries) > _MAX_LOG_ENTRIES:
            self._compact(written.value)
        return written.value.version

    def _compact(self, log: TableLog) -> None:
        """Move the log's edits to the snapshot and the audit trail.

        If the store fails part-way, the next edit repeats the compaction.
        """
        try:
            document = self.rows_of(log)
            operation_id = uuid.uuid4().hex
            self._snapshot.update(
                operation_id, lambda old: document if document.version > old.version else old
            )
            self._history.update(operation_id, lambda old: old.with_entries(log.entries))
            self.log.update(operation_id, lambda now: now.without_entries_up_to(document.version))
        except AspengateError as error:
            if error.kind is ErrorKind.INTERNAL:
                raise
