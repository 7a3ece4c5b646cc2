"""Malformed heads of responses, and unusual ones that are well-formed."""

import re

from platform_standins.replica import behaviour, is_stream, send_stream

_STATUS_LINE = re.compile(rb"^HTTP/1\.1 \d+ [^\r]*\r\n")


def _with_status_line(line):
    return lambda head: _STATUS_LINE.sub(line + b"\r\n", head)


def _with_field(line):
    """Return a function that adds a line before all other fields of a head."""
    return lambda head: _STATUS_LINE.sub(lambda found: found[0] + line + b"\r\n", head)


# Each is a function of a head that is well-formed and ends with an empty line.
MALFORMED_HEADS = {
    "status 000": _with_status_line(b"HTTP/1.1 000 OK"),
    "status 099": _with_status_line(b"HTTP/1.1 099 OK"),
    "status of two digits": _with_status_line(b"HTTP/1.1 00 OK"),
    "status of four digits": _with_status_line(b"HTTP/1.1 2000 OK"),
    "signed status": _with_status_line(b"HTTP/1.1 +200 OK"),
    "status with an underscore": _with_status_line(b"HTTP/1.1 2_00 OK"),
    "no status": _with_status_line(b"HTTP/1.1 OK"),
    "blank in a name": _with_field(b"X Odd: a"),
    "blank before the colon": _with_field(b"X-Odd : a"),
    "tab before the colon": _with_field(b"X-Odd\t: a"),
    "NUL in a name": _with_field(b"X-\x00Odd: a"),
    "SOH in a name": _with_field(b"X-\x01Odd: a"),
    "vertical tab in a name": _with_field(b"X-\x0bOdd: a"),
    "DEL in a name": _with_field(b"X-\x7fOdd: a"),
    "C1 control in a name": _with_field(b"X-\x85Odd: a"),
    "carriage return in a name": _with_field(b"X-\rOdd: a"),
    "carriage return in a value": _with_field(b"X-Odd: a\rContent-Length: 1"),
    "empty name": _with_field(b": a"),
    "no colon": _with_field(b"X-Odd"),
    "mailbox separator": _with_field(b"From a"),
    "blank before a name": _with_field(b" X-Odd: a"),
}
UNUSUAL_HEADS = {
    "interim response before it": lambda head: b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + head,
    "status 418": _with_status_line(b"HTTP/1.1 418 Teapot"),
    "no reason": _with_status_line(b"HTTP/1.1 200 "),
    "obs-text in a value": _with_field(b"X-Odd: \xe9"),
    "all characters of a name": _with_field(b"X!#$%&'*+-.^_`|~09azAZ: a"),
}


class _HeadRewriter:
    """A connection that rewrites the first bytes sent, which have to be a whole head."""

    def __init__(self, connection, rewrite):
        self._connection = connection
        self._rewrite = rewrite

    def sendall(self, data):
        head, separator, rest = data.partition(b"\r\n\r\n")
        self._connection.sendall(self._rewrite(head + separator) + rest)
        self._rewrite = lambda head: head

    def __getattr__(self, name):
        return getattr(self._connection, name)


def _register(name, rewrite):
    @behaviour(f"head: {name}")
    def answer(replica, connection, request):
        replica.run(request)
        rewriter = _HeadRewriter(connection, rewrite)
        if is_stream(request):
            return send_stream(replica, rewriter, request)
        body = replica.body(request)
        rewriter.sendall(replica.head(request, length=len(body)) + body)
        return True


for _name, _rewrite in {**MALFORMED_HEADS, **UNUSUAL_HEADS}.items():
    _register(_name, _rewrite)
