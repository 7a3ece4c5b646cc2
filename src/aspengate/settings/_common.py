"""Parsers for numeric settings with bounds."""

from collections.abc import Callable


def whole_number(minimum: int, maximum: int) -> Callable[[str], int]:
    """Return a parser of integers from ``minimum`` to ``maximum``, inclusive.

    The parser raises ValueError.
    """

    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


def number(minimum: float, maximum: float) -> Callable[[str], float]:
    """Return a parser of decimal numbers from ``minimum`` to ``maximum``, inclusive.

    The parser raises ValueError.
    """

    def parse(text: str) -> float:
        value = float(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse
