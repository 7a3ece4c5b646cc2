"""A strict request parser, which rejects requests that two parsers could read differently."""

from typing import Any

from waitress.parser import HTTPRequestParser, ParsingError, get_header_lines

from aspengate.clock import Clock, SystemClock
from aspengate.serving._relay_task import ReceivedRequest

_VERSIONS = frozenset({"1.0", "1.1"})


class StrictRequestParser(HTTPRequestParser):  # type: ignore[misc]
    """Keeps the header lines as they were sent and rejects ambiguous framing.

    Ambiguous framing would allow request smuggling.
    """

    clock: Clock = SystemClock()

    def __init__(self, adjustments: Any) -> None:
        super().__init__(adjustments)
        self.received_ms = self.clock.monotonic_ms()
        self.header_pairs: tuple[tuple[str, str], ...] = ()

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and the headers; raises ParsingError."""
        super().parse_header(header_plus)
        if self.version not in _VERSIONS:
            raise ParsingError("HTTP version is not supported")
        _, _, block = header_plus.partition(b"\r\n")
        self.header_pairs = _header_pairs(block)
        _check_framing(self.header_pairs, self.version)

    def received_request(self) -> ReceivedRequest:
        """Return the request; call it once the parser has completed."""
        return ReceivedRequest(
            method=self.command,
            target=self.request_uri,
            version=self.version,
            headers=self.header_pairs,
            body=self.get_body_stream().read(),
            received_ms=self.received_ms,
        )


def _header_pairs(block: bytes) -> tuple[tuple[str, str], ...]:
    pairs = []
    if b"\r\n " in block or b"\r\n\t" in block:
        raise ParsingError("Folded header line")
    for line in get_header_lines(block):
        name, _, value = line.partition(b":")
        pairs.append((name.decode("latin-1"), value.strip(b" \t").decode("latin-1")))
    return tuple(pairs)


def _check_framing(pairs: tuple[tuple[str, str], ...], version: str) -> None:
    lengths = [value for name, value in pairs if name.lower() == "content-length"]
    codings = [value for name, value in pairs if name.lower() == "transfer-encoding"]
    if len(lengths) > 1 or len(codings) > 1:
        raise ParsingError("Framing header stands twice")
    if lengths and codings:
        raise ParsingError("Both Content-Length and Transfer-Encoding")
    if codings and (version == "1.0" or codings[0].lower() != "chunked"):
        raise ParsingError("Transfer-Encoding is not supported")
