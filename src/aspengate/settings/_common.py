"""Readers of numbers within bounds."""

from collections.abc import Callable


def whole_number(least: int, most: int) -> Callable[[str], int]:
    """Return a reader of whole numbers from ``least`` to ``most``."""

    def parse(text: str) -> int:
        value = int(text)
        if not least <= value <= most:
            raise ValueError(text)
        return value

    return parse


def number(least: float, most: float) -> Callable[[str], float]:
    """Return a reader of numbers from ``least`` to ``most``."""

    def parse(text: str) -> float:
        value = float(text)
        if not least <= value <= most:
            raise ValueError(text)
        return value

    return parse
