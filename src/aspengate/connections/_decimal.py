"""Parses numbers in headers."""

import re

from aspengate.errors import AspengateError, ErrorKind

# Digits with an optional decimal point. ``float`` accepts much more: signs, exponents, "inf",
# "1_0" and the digits of other scripts.
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_MAX_QUOTED_CHARACTERS = 100


def parse_decimal(text: str, where: str) -> float:
    """Parse a plain decimal number; raises BAD_REQUEST for anything else.

    ``where`` is the name of the header, for the error.
    """
    if _DECIMAL_PATTERN.fullmatch(text) is None:
        message = f"{text[:_MAX_QUOTED_CHARACTERS]!r} is not a decimal number"
        raise AspengateError(ErrorKind.BAD_REQUEST, message, where=where)
    return float(text)
