"""The row types of the operators' table, and their parsing and validation."""

import hashlib
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any, ClassVar, TypeVar, cast

import msgspec

from aspengate.errors import AspengateError, ErrorKind

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/:-]{0,99}")
_TRUE = frozenset({"yes", "true", "1"})
_FALSE = frozenset({"no", "false", "0"})


class Row(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", forbid_unknown_fields=True):
    """Base class of all rows; a row is identified by ``kind`` and ``name`` together."""

    name: str

    kind: ClassVar[str] = ""

    @property
    def identity(self) -> tuple[str, str]:
        """The row's kind and name."""
        return (self.kind, self.name)


_KINDS: dict[str, type[Row]] = {}
_RowType = TypeVar("_RowType", bound=type[Row])


def _row_kind(name: str) -> Callable[[_RowType], _RowType]:
    def register(row_type: _RowType) -> _RowType:
        row_type.kind = name
        _KINDS[name] = row_type
        return row_type

    return register


@_row_kind("client_account")
class ClientAccountRow(Row, frozen=True, kw_only=True, tag="client_account"):
    """A customer: its API keys, the budget that pays for its calls, and its limits.

    ``key_hashes`` are SHA-256 hashes of its API keys, separated by spaces. A limit of 0 means no
    limit; ``requests_per_second`` and ``max_concurrency`` apply to each region separately.
    """

    budget: str
    key_hashes: str = ""
    requests_per_second: float = 0.0
    max_concurrency: int = 0
    priority: int = 0


@_row_kind("service")
class ServiceRow(Row, frozen=True, kw_only=True, tag="service"):
    """A service that callers address by name: its prices in credits and its call policy.

    ``protocol`` is ``completion`` or ``plain``. ``price_input`` and ``price_output`` are charged
    for each token, ``price_call`` for each call. ``repeatable`` states whether a call may run
    twice, ``may_wait`` whether its calls are the first to be delayed when engines are short.
    """

    protocol: str = "completion"
    price_input: int = 0
    price_output: int = 0
    price_call: int = 0
    max_output_tokens: int = 4096
    max_concurrency: int = 0
    priority: int = 0
    may_wait: bool = False
    repeatable: bool = True
    itemised: bool = False


@_row_kind("budget")
class BudgetRow(Row, frozen=True, kw_only=True, tag="budget"):
    """A prepaid budget and its limit in credits."""

    limit: int


@_row_kind("upstream")
class UpstreamRow(Row, frozen=True, kw_only=True, tag="upstream"):
    """An operator's settings of one upstream: its weight, its limit, whether it is used."""

    weight: float = 1.0
    max_concurrency: int = 0
    enabled: bool = True


@_row_kind("operator")
class OperatorRow(Row, frozen=True, kw_only=True, tag="operator"):
    """A user who may read or edit the table over HTTP; ``role`` is ``reader`` or ``editor``."""

    key_hashes: str = ""
    role: str = "reader"


AnyRow = ClientAccountRow | ServiceRow | UpstreamRow | OperatorRow | BudgetRow


def row_kinds() -> dict[str, type[Row]]:
    """Return the row types by the name of their kind."""
    return dict(_KINDS)


def column_names() -> tuple[str, ...]:
    """Return the columns of the table: ``kind``, ``name``, then those of every kind."""
    columns = ["kind", "name"]
    for row_type in _KINDS.values():
        columns.extend(name for name in row_type.__struct_fields__ if name not in columns)
    return tuple(columns)


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of an API key, as the table stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def row_to_cells(row: Row) -> dict[str, str]:
    """Return the text of each cell of a row, by column."""
    cells = {"kind": row.kind}
    for name in row.__struct_fields__:
        value = getattr(row, name)
        cells[name] = ("yes" if value else "no") if isinstance(value, bool) else str(value)
    return cells


def row_from_cells(cells: Mapping[str, str], where: str) -> AnyRow:
    """Return the row that the cells describe; ``where`` is the location for error messages.

    Raises AspengateError of kind BAD_REQUEST that names the column.
    """
    kind = cells.get("kind", "").strip()
    row_type = _KINDS.get(kind)
    if row_type is None:
        raise _cell_error(where, "kind", f"{kind!r} is none of {', '.join(_KINDS)}")
    fields = {info.name: info for info in msgspec.structs.fields(row_type)}
    values: dict[str, Any] = {}
    for column, text in cells.items():
        stripped = text.strip()
        if column == "kind" or not stripped:
            continue
        if column not in fields:
            raise _cell_error(where, column, f"not a column of a {kind} row")
        values[column] = _cell_value(fields[column].type, stripped, where, column)
    for column, info in fields.items():
        if info.required and column not in values:
            raise _cell_error(where, column, "a value is needed")
    row = row_type(**values)
    _check_row(row, where)
    return cast(AnyRow, row)


def check_rows(rows: Iterable[Row], has_budget: Callable[[str], bool]) -> None:
    """Check the constraints between rows, such as that an account's budget exists.

    Raises AspengateError of kind BAD_REQUEST that names the row and column.
    """
    by_identity: dict[tuple[str, str], Row] = {}
    for row in rows:
        if row.identity in by_identity:
            raise _cell_error(f"{row.kind} {row.name}", "name", "stands twice in the table")
        by_identity[row.identity] = row
    owners: dict[str, str] = {}
    for row in by_identity.values():
        where = f"{row.kind} {row.name}"
        if isinstance(row, ClientAccountRow) and not has_budget(row.budget):
            raise _cell_error(where, "budget", f"there is no budget {row.budget!r}")
        if isinstance(row, ClientAccountRow | OperatorRow):
            for key_hash in row.key_hashes.split():
                if owners.setdefault(key_hash, row.name) != row.name:
                    raise _cell_error(where, "key_hashes", f"{owners[key_hash]} has the same key")


def _check_row(row: Row, where: str) -> None:
    if not _NAME_PATTERN.fullmatch(row.name):
        raise _cell_error(where, "name", f"{row.name!r} is not a name of letters, digits and ._/:-")
    for column in row.__struct_fields__:
        value = getattr(row, column)
        if isinstance(value, int | float) and not isinstance(value, bool):
            _check_number(row, column, value, where)
    if isinstance(row, ServiceRow) and row.protocol not in {"completion", "plain"}:
        raise _cell_error(where, "protocol", "must be completion or plain")
    if isinstance(row, OperatorRow) and row.role not in {"reader", "editor"}:
        raise _cell_error(where, "role", "must be reader or editor")
    if isinstance(row, ClientAccountRow | OperatorRow):
        for key_hash in row.key_hashes.split():
            if len(key_hash) != 64 or not set(key_hash) <= set("0123456789abcdef"):
                raise _cell_error(
                    where, "key_hashes", "must be SHA-256 hashes, 64 hexadecimal digits"
                )


_NUMBER_LIMIT = 2**53
_PRIORITY_RANGE = range(-10, 11)


def _check_number(row: Row, column: str, value: float, where: str) -> None:
    if column == "priority":
        if value not in _PRIORITY_RANGE:
            raise _cell_error(where, column, "must be from -10 to 10")
        return
    if not 0 <= value < _NUMBER_LIMIT:
        raise _cell_error(where, column, "must be 0 or more, below 2**53")


def _cell_value(expected: Any, text: str, where: str, column: str) -> Any:
    if expected is bool:
        if text.lower() in _TRUE:
            return True
        if text.lower() in _FALSE:
            return False
        raise _cell_error(where, column, f"{text!r} is neither yes nor no")
    try:
        return expected(text)
    except ValueError:
        wanted = "a whole number" if expected is int else "a number"
        raise _cell_error(where, column, f"{text!r} is not {wanted}") from None


def _cell_error(where: str, column: str, message: str) -> AspengateError:
    return AspengateError(ErrorKind.BAD_REQUEST, message, where=f"{where}, column {column}")
