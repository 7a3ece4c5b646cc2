"""The operators' configuration table: row types, CSV conversion, storage and edits."""

from aspengate.table._csv import rows_from_csv, rows_to_csv
from aspengate.table._document import (
    AuditEntry,
    RowChange,
    TableDocument,
    TableHistory,
    TableLog,
    apply_changes,
    changes_between,
)
from aspengate.table._rows import (
    AnyRow,
    BudgetRow,
    ClientAccountRow,
    OperatorRow,
    Row,
    ServiceRow,
    UpstreamRow,
    check_rows,
    column_names,
    hash_key,
    row_from_cells,
    row_kinds,
    row_to_cells,
)
from aspengate.table._storage import TABLE_LOG_KEY, TableStorage
from aspengate.table._view import TableView

__all__ = [
    "TABLE_LOG_KEY",
    "AnyRow",
    "AuditEntry",
    "BudgetRow",
    "ClientAccountRow",
    "OperatorRow",
    "Row",
    "RowChange",
    "ServiceRow",
    "TableDocument",
    "TableHistory",
    "TableLog",
    "TableStorage",
    "TableView",
    "UpstreamRow",
    "apply_changes",
    "changes_between",
    "check_rows",
    "column_names",
    "hash_key",
    "row_from_cells",
    "row_kinds",
    "row_to_cells",
    "rows_from_csv",
    "rows_to_csv",
]
