"""The table in force in a router, and the operators' edits."""

import threading
import uuid
from collections.abc import Callable

from aspengate.budgets import (
    Command,
    DropBudget,
    SetLimit,
    Shard,
    apply_commands,
    shard_of,
)
from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.platform import Store, StoreDocument, VersionedValue
from aspengate.router._stewards import budget_document
from aspengate.table import (
    AnyRow,
    BudgetRow,
    ClientAccountRow,
    RowChange,
    TableDocument,
    TableView,
    apply_changes,
    changes_between,
    check_rows,
)
from aspengate.telemetry import Counters, log_change

_WATCH_MS = 10_000.0
_RETRY_MS = 500.0
TABLE_KEY = "aspengate/table"


def table_document(store: Store) -> StoreDocument[TableDocument]:
    """Return the table's document in a store."""
    return StoreDocument(store, TABLE_KEY, TableDocument(), TableDocument.has_applied)


class TableFollower:
    """Keeps the newest table that this process has heard of; it never goes back."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        counters: Counters,
        on_budgets: Callable[[frozenset[str]], None] = lambda budgets: None,
    ) -> None:
        self.view = TableView()
        self._on_budgets = on_budgets
        self.changed_ms = 0
        self._document = table_document(store)
        self._clock = clock
        self._counters = counters
        self._revision = 0
        self._closing = threading.Event()
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._watch, daemon=True, name="table")

    def start(self) -> None:
        """Begin to watch the store."""
        self._thread.start()

    def close(self) -> None:
        """Stop watching."""
        self._closing.set()

    def offer(self, document: TableDocument) -> bool:
        """Take a table if it is newer than the one in force; return whether it was."""
        with self._lock:
            if document.version <= self.view.version:
                return False
            budgets = document.budgets_changed_since(self.view.version)
            self.view = TableView.of(document)
            self.changed_ms = self._clock.now_ms()
        log_change("table.in_force", version=document.version)
        if budgets:
            self._on_budgets(budgets)
        return True

    def refresh(self) -> None:
        """Read the store now, for instance after a peer spoke of a newer version."""
        self.offer(self._document.read().value)

    def _watch(self) -> None:
        while not self._closing.is_set():
            try:
                entry = self._document.store.watch(TABLE_KEY, self._revision, _WATCH_MS)
            except AspengateError:
                self._counters.count("table.store_unavailable")
                self._closing.wait(_RETRY_MS / 1_000)
                continue
            if entry is not None:
                self._revision = max(self._revision, entry.revision)
                self.offer(self._document.decode(entry.value))


class TableEditor:
    """Reads and edits the whole table, budgets included, in the store."""

    def __init__(self, store: Store, clock: Clock, shard_count: int) -> None:
        self.document = table_document(store)
        self.shard_count = shard_count
        self._store = store
        self._clock = clock

    def rows(self) -> tuple[AnyRow, ...]:
        """Return every row as the store has it now."""
        table = self.document.read().value
        return (*table.rows, *self.budget_rows())

    def budget_rows(self) -> tuple[BudgetRow, ...]:
        """Return the budgets with their limits."""
        return tuple(
            BudgetRow(name=name, limit=budget.limit)
            for shard in self.shards()
            for name, budget in shard.budgets.items()
            if not budget.dropped
        )

    def shards(self) -> tuple[Shard, ...]:
        """Return every budget shard."""
        return tuple(
            budget_document(self._store, number).read().value for number in range(self.shard_count)
        )

    def replace(self, rows: tuple[AnyRow, ...], actor: str, expected_version: str = "") -> int:
        """Make the table hold exactly ``rows``; return the version that it led to.

        Raises AspengateError of kind CONFLICT where the table is not at ``expected_version``.
        """
        budgets = {row.name for row in rows if isinstance(row, BudgetRow)}
        check_rows(rows, budgets.__contains__)
        table = self.document.read().value
        if expected_version and expected_version != str(table.version):
            raise AspengateError(ErrorKind.CONFLICT, _since(table, expected_version), where="table")
        before = (*table.rows, *self.budget_rows())
        return self.change(changes_between(before, rows), actor)

    def change(self, changes: tuple[RowChange, ...], actor: str, operation_id: str = "") -> int:
        """Accept an edit; return the table's version.

        Budgets are created and raised first, and dropped last, so that an account never points
        at a budget that is not there. Repeating an edit under the same ``operation_id`` does
        nothing more. Raises AspengateError of kind CONFLICT where a row is not as it was seen.
        """
        operation = operation_id or uuid.uuid4().hex
        now = self._clock.now_ms()
        money = [change for change in changes if change.identity[0] == BudgetRow.kind]
        for change in money:
            if change.after is not None:
                self._change_budget(change, actor, operation, now)
        version = self._change_rows(changes, actor, operation, now)
        for change in money:
            if change.after is None:
                self._change_budget(change, actor, operation, now)
        return version

    def _change_rows(
        self, changes: tuple[RowChange, ...], actor: str, operation: str, now: int
    ) -> int:
        if not changes:
            return self.document.read().value.version

        budgets = self._present_budgets(changes)

        def transition(table: TableDocument) -> TableDocument:
            changed = apply_changes(table, operation, changes, actor, now)
            check_rows(changed.rows, lambda name: name not in budgets or budgets[name])
            return changed

        written: VersionedValue[TableDocument] = self.document.update(operation, transition)
        return written.value.version

    def _present_budgets(self, changes: tuple[RowChange, ...]) -> dict[str, bool]:
        """Return for each budget that a changed account names whether it is there."""
        names = {
            change.after.budget for change in changes if isinstance(change.after, ClientAccountRow)
        }
        present = {}
        for name in names:
            shard = budget_document(self._store, shard_of(name, self.shard_count)).read().value
            known = shard.budgets.get(name)
            present[name] = known is not None and not known.dropped
        return present

    def _change_budget(self, change: RowChange, actor: str, operation: str, now: int) -> None:
        name = change.identity[1]
        number = shard_of(name, self.shard_count)
        budget_operation = f"{operation}/{name}"

        def transition(shard: Shard) -> Shard:
            known = shard.budgets.get(name)
            revision = known.revision if known else 0
            seen = change.before.limit if isinstance(change.before, BudgetRow) else None
            present = known.limit if known and not known.dropped else None
            expected = revision if seen == present else revision + 1
            command: Command
            if isinstance(change.after, BudgetRow):
                command = SetLimit(name, change.after.limit, actor, now, expected)
            else:
                command = DropBudget(name, actor, now)
            return apply_commands(shard, budget_operation, [command])

        budget_document(self._store, number).update(budget_operation, transition)


def _since(table: TableDocument, seen_version: str) -> str:
    changed = [
        f"{entry.actor} changed {' '.join(change.identity)} in version {entry.version}"
        for entry in table.history
        if seen_version.isdigit() and entry.version > int(seen_version)
        for change in entry.changes
    ]
    return f"is at version {table.version}, not {seen_version}: " + "; ".join(changed)
