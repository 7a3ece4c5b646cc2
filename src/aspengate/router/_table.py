"""The table in force in a router, and the operators' edits."""

import threading
import uuid
from collections.abc import Callable

import msgspec

from aspengate.adapters import Store
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
from aspengate.router._items import archived_items
from aspengate.router._stewards import budget_document
from aspengate.table import (
    AnyRow,
    AuditEntry,
    BudgetRow,
    ClientAccountRow,
    RowChange,
    TableDocument,
    TableLog,
    TableStorage,
    TableView,
    apply_changes,
    changes_between,
    check_rows,
)
from aspengate.telemetry import Counters, log_change

_WATCH_MS = 10_000.0
_RETRY_MS = 500.0


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
        self.changed_ms = 0
        self._on_budgets = on_budgets
        self._storage = TableStorage(store)
        self._document = TableDocument()
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

    def offer(self, log: TableLog) -> bool:
        """Take a log's edits if they are newer than what is in force; return whether they were.

        Raises AspengateError of kind STORE_UNAVAILABLE where the rows must be read and can't be.
        """
        with self._lock:
            if log.version <= self.view.version:
                return False
            budgets = log.budgets_changed_since(self.view.version)
            self._document = self._storage.rows_of(log, self._document)
            self.view = TableView.of(self._document)
            self.changed_ms = self._clock.now_ms()
        log_change("table.in_force", version=log.version)
        if budgets:
            self._on_budgets(budgets)
        return True

    def refresh(self) -> None:
        """Read the store now, for instance after a peer spoke of a newer version."""
        self.offer(self._storage.log.read().value)

    def _watch(self) -> None:
        document = self._storage.log
        while not self._closing.is_set():
            try:
                entry = document.store.watch(document.key, self._revision, _WATCH_MS)
                if entry is not None:
                    self.offer(document.decode(entry.value))
                    self._revision = max(self._revision, entry.revision)
            except AspengateError:
                self._counters.count("table.store_unavailable")
                self._closing.wait(_RETRY_MS / 1_000)


class TableEditor:
    """Reads and edits the whole table, budgets included, in the store."""

    def __init__(self, store: Store, clock: Clock, shard_count: int) -> None:
        self.storage = TableStorage(store)
        self.shard_count = shard_count
        self._store = store
        self._clock = clock

    def rows(self) -> tuple[AnyRow, ...]:
        """Return every row as the store has it now."""
        return (*self.storage.read().rows, *self.budget_rows())

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

    def invoice_shards(self) -> tuple[Shard, ...]:
        """Return every budget shard with its archived items back in it."""
        return tuple(
            msgspec.structs.replace(
                shard, items=(*archived_items(self._store, number, shard), *shard.items)
            )
            for number, shard in enumerate(self.shards())
        )

    def replace(self, rows: tuple[AnyRow, ...], actor: str, expected_version: str = "") -> int:
        """Make the table hold exactly ``rows``; return the version that it led to.

        Raises AspengateError of kind CONFLICT where the table is not at ``expected_version``.
        """
        budgets = {row.name for row in rows if isinstance(row, BudgetRow)}
        check_rows(rows, budgets.__contains__)
        table = self.storage.read()
        if expected_version and expected_version != str(table.version):
            since = _since(table.version, self.storage.history(), expected_version)
            raise AspengateError(ErrorKind.CONFLICT, since, where="table")
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
            return self.storage.read().version
        budgets = self._present_budgets(changes)

        def edit(table: TableDocument, log: TableLog) -> TableLog:
            changed = apply_changes(table, log, operation, changes, actor, now)
            rows = table.with_edits(changed.entries).rows
            check_rows(rows, lambda name: name not in budgets or budgets[name])
            return changed

        return self.storage.edit(operation, len(changes), edit)

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
            seen = change.before.limit if isinstance(change.before, BudgetRow) else None
            present = known.limit if known and not known.dropped else None
            if seen != present:
                raise AspengateError(
                    ErrorKind.CONFLICT,
                    f"the limit was changed by someone else: it is now {present}",
                    where=f"budget {name}",
                )
            command: Command
            if isinstance(change.after, BudgetRow):
                command = SetLimit(name, change.after.limit, actor, now)
            else:
                command = DropBudget(name, actor, now)
            return apply_commands(shard, budget_operation, [command])

        budget_document(self._store, number).update(budget_operation, transition)


def _since(version: int, history: tuple[AuditEntry, ...], seen_version: str) -> str:
    changed = [
        f"{entry.actor} changed {' '.join(change.identity)} in version {entry.version}"
        for entry in history
        if seen_version.isdigit() and entry.version > int(seen_version)
        for change in entry.changes
    ]
    return f"is at version {version}, not {seen_version}: " + "; ".join(changed)
