"""Decodes the values of store items, which other programs may have written."""

from typing import TypeVar

import msgspec

from aspengate.errors import AspengateError, ErrorKind

# Only the operator's configuration may be longer.
MAX_VALUE_BYTES = 64 * 1024
# The codec's error may quote the whole value, so the message is cut to this length.
_MAX_MESSAGE_CHARS = 200

# Raised by the codec for malformed bytes: ValueError covers text that is not UTF-8, and
# RecursionError too deeply nested lists.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

_Value = TypeVar("_Value")


def decode_value(
    value: bytes, kind: type[_Value], where: str, max_bytes: int = MAX_VALUE_BYTES
) -> _Value:
    """Decode a JSON value as ``kind``; raises BAD_REQUEST for malformed or too long bytes.

    Too deeply nested lists are reported in the same way. As an uncaught RecursionError they used
    to terminate the thread that watches the list of replicas.
    """
    if len(value) > max_bytes:
        message = f"value has {len(value)} bytes, the maximum is {max_bytes}"
        raise AspengateError(ErrorKind.BAD_REQUEST, message, where=where)
    try:
        return msgspec.json.decode(value, type=kind)
    except DECODE_ERRORS as error:
        message = str(error)[:_MAX_MESSAGE_CHARS]
        raise AspengateError(ErrorKind.BAD_REQUEST, message, where=where) from error
