"""What operators ask of a router over HTTP: the table, its history, and the fleet's status."""

import msgspec

from aspengate.errors import AspengateError, ErrorKind
from aspengate.router._table import TableEditor
from aspengate.serving import WsgiEnvironment
from aspengate.table import OperatorRow, TableView, hash_key, rows_from_csv, rows_to_csv

OperatorAnswer = tuple[int, list[tuple[str, str]], bytes]

_READER = "reader"
_EDITOR = "editor"


class ProcessStatus(msgspec.Struct, frozen=True):
    """The table version in force in one process; -1 where it is not known."""

    name: str
    role: str
    address: str
    state: str
    table_version: int


class OperatorPages:
    """Answers ``/table``, ``/table/history`` and ``/status`` for operators with a key."""

    def __init__(self, editor: TableEditor) -> None:
        self.editor = editor

    def answer(
        self,
        environ: WsgiEnvironment,
        table: TableView,
        status: tuple[ProcessStatus, ...],
    ) -> OperatorAnswer:
        """Return status, headers and body; raises AspengateError."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path == "/health":
            return _text(f"table version {table.version}\n", table.version)
        if path == "/table" and method == "PUT":
            return self._replace(environ, _operator(environ, table, _EDITOR))
        _operator(environ, table, _READER)
        if path == "/status":
            return _json(msgspec.json.encode(status))
        if path == "/table":
            document = self.editor.storage.read()
            rows = (*document.rows, *self.editor.budget_rows())
            return _text(rows_to_csv(rows), document.version, "text/csv; charset=utf-8")
        if path == "/table/history":
            return _json(msgspec.json.encode(self.editor.storage.history()))
        raise AspengateError(ErrorKind.NOT_FOUND, "there is nothing here", where=path)

    def _replace(self, environ: WsgiEnvironment, operator: OperatorRow) -> OperatorAnswer:
        expected = environ.get("HTTP_IF_MATCH", "").strip('"')
        if not expected:
            raise AspengateError(
                ErrorKind.BAD_REQUEST,
                "send the ETag of the table that you changed",
                where="If-Match",
            )
        length = int(environ.get("CONTENT_LENGTH") or 0)
        try:
            text = environ["wsgi.input"].read(length).decode("utf-8")
        except UnicodeDecodeError as error:
            raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where="body") from error
        rows = rows_from_csv(text)
        version = self.editor.replace(rows, operator.name, expected_version=expected)
        return _text(f"accepted as version {version}\n", version)


def _operator(environ: WsgiEnvironment, table: TableView, role: str) -> OperatorRow:
    _, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    operator = table.operators.get(hash_key(key.strip()))
    if operator is None:
        raise AspengateError(ErrorKind.UNAUTHENTICATED, "an operator's key is needed")
    if role == _EDITOR and operator.role != _EDITOR:
        raise AspengateError(ErrorKind.FORBIDDEN, f"{operator.name} may read but not edit")
    return operator


def _text(text: str, version: int, content_type: str = "text/plain") -> OperatorAnswer:
    body = text.encode()
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        ("ETag", f'"{version}"'),
    ]
    return 200, headers, body


def _json(body: bytes) -> OperatorAnswer:
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    return 200, headers, body
