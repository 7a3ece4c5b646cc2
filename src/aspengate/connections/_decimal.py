"""Numbers in headers."""

import re

from aspengate.errors import AspengateError, ErrorKind

# Digits and a point, as a header's grammar has them. Python reads more as a number: signs,
# exponents, "inf", "1_0", and the digits of other scripts.
_DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_MOST_TOLD = 100


def parse_decimal(text: str, where: str) -> float:
    """Return a plain decimal number; raises BAD_REQUEST for anything else.

    ``where`` names the header that it stands in.
    """
    if _DECIMAL_PATTERN.fullmatch(text) is None:
        message = f"{text[:_MOST_TOLD]!r} is no decimal number"
        raise AspengateError(ErrorKind.BAD_REQUEST, message, where=where)
    return float(text)
