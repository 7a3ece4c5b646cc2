"""Reads HTTP headers: single values, numbers, and those that apply to one connection only."""

from collections.abc import Iterable

from aspengate.errors import AspengateError, ErrorKind

Headers = tuple[tuple[str, str], ...]

# Headers that are not forwarded, because they apply to one connection only.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)


def header_values(headers: Iterable[tuple[str, str]], name: str) -> list[str]:
    """Return all values of the header ``name``, which is in lower case."""
    return [value for key, value in headers if key.lower() == name]


def single_header(headers: Headers, name: str) -> str:
    """Return the value of a header, empty if it is absent; raises BAD_REQUEST if repeated."""
    values = header_values(headers, name)
    if len(values) > 1:
        raise AspengateError(ErrorKind.BAD_REQUEST, "stands twice", where=name)
    return values[0] if values else ""


def number_header(headers: Headers, name: str) -> float | None:
    """Return the non-negative number in a header, None if absent; raises BAD_REQUEST."""
    text = single_header(headers, name)
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        raise AspengateError(ErrorKind.BAD_REQUEST, f"{text!r} is no number", where=name)
    return value


def connection_options(headers: Headers) -> frozenset[str]:
    """Return the headers, in lower case, that Connection names as hop-by-hop."""
    options = ",".join(header_values(headers, "connection"))
    return frozenset(option.strip().lower() for option in options.split(","))


def parse_whole_number(text: str) -> int:
    """Parse a number that consists of ASCII digits; raises ValueError."""
    stripped = text.strip()
    if not stripped.isascii() or not stripped.isdigit():
        raise ValueError(text)
    return int(stripped)
