"""Conversion of the table to and from CSV that spreadsheets can open."""

import csv
import io
from collections.abc import Iterable

from aspengate.errors import AspengateError, ErrorKind
from aspengate.table._rows import AnyRow, Row, column_names, row_from_cells, row_to_cells

_FORMULA_STARTS = ("=", "+", "-", "@", "\t", "\r")
_MAX_CSV_CHARACTERS = 32 * 1024 * 1024


def rows_to_csv(rows: Iterable[Row]) -> str:
    """Return the rows as CSV with a header line, sorted by kind and name."""
    output = io.StringIO()
    writer = csv.DictWriter(output, column_names(), restval="", lineterminator="\n")
    writer.writeheader()
    for row in sorted(rows, key=lambda each: each.identity):
        writer.writerow(row_to_cells(row))
    return output.getvalue()


def rows_from_csv(text: str) -> tuple[AnyRow, ...]:
    """Parse a CSV text and return its rows.

    Raises AspengateError of kind BAD_REQUEST, which names the line and, if known, the column,
    for an invalid row and for a cell that a spreadsheet would run as a formula (numbers such as
    ``-1`` are accepted). Raises kind TOO_LARGE for a text above 32 MB.
    """
    if len(text) > _MAX_CSV_CHARACTERS:
        raise AspengateError(ErrorKind.TOO_LARGE, "the table is above 32 MB")
    reader = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")))
    _check_header(reader.fieldnames)
    rows = []
    try:
        for cells in reader:
            where = f"line {reader.line_num}"
            if None in cells or None in cells.values():
                raise AspengateError(
                    ErrorKind.BAD_REQUEST, "has not as many cells as the header", where=where
                )
            _reject_formulas(cells, where)
            rows.append(row_from_cells(cells, where))
    except csv.Error as error:
        where = f"line {reader.line_num}"
        raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where=where) from error
    return tuple(rows)


def _check_header(header: object) -> None:
    if not isinstance(header, list) or "kind" not in header or "name" not in header:
        raise AspengateError(
            ErrorKind.BAD_REQUEST, "the header needs the columns kind and name", where="line 1"
        )
    unknown = [column for column in header if column not in column_names()]
    if unknown:
        raise AspengateError(
            ErrorKind.BAD_REQUEST, f"no such column: {unknown[0]!r}", where="line 1"
        )


def _reject_formulas(cells: dict[str, str], where: str) -> None:
    for column, text in cells.items():
        if text.startswith(_FORMULA_STARTS) and not _is_number(text):
            raise AspengateError(
                ErrorKind.BAD_REQUEST,
                f"{text[:20]!r} looks like a formula",
                where=f"{where}, column {column}",
            )


def _is_number(text: str) -> bool:
    try:
        float(text)
    except ValueError:
        return False
    return True
