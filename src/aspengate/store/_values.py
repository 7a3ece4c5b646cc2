"""Reads the values of store items, whoever wrote them."""

from typing import TypeVar

import msgspec

from aspengate.errors import AspengateError, ErrorKind

# No value that this program reads is longer, but the operator's configuration.
MAX_VALUE_BYTES = 64 * 1024
# What is told of a value that can't be read: an error may quote all of it.
_MOST_TOLD = 200

# What the codec raises for bytes that it can't read: also for text that is no UTF-8, and for lists
# within lists without end.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

_Value = TypeVar("_Value")


def decode_value(
    value: bytes, kind: type[_Value], where: str, max_bytes: int = MAX_VALUE_BYTES
) -> _Value:
    """Return what a JSON value holds; raises BAD_REQUEST for any other bytes.

    Lists within lists without end are an error like any other: as a RecursionError they ended the
    thread that followed the list of replicas.
    """
    if len(value) > max_bytes:
        message = f"has {len(value)} bytes, {max_bytes} at most"
        raise AspengateError(ErrorKind.BAD_REQUEST, message, where=where)
    try:
        return msgspec.json.decode(value, type=kind)
    except DECODE_ERRORS as error:
        message = str(error)[:_MOST_TOLD]
        raise AspengateError(ErrorKind.BAD_REQUEST, message, where=where) from error
