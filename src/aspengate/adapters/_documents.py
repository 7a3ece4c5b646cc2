"""Documents in the store, updated by compare-and-swap with an operation id for each write."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from aspengate.adapters._store import Store
from aspengate.errors import AspengateError, ErrorKind

_MAX_CONFLICTS = 50
_MAX_UNKNOWN_OUTCOMES = 3

_Value = TypeVar("_Value", bound=msgspec.Struct)


@dataclass(frozen=True)
class VersionedValue(Generic[_Value]):
    """Holds a document's value and the store revision at which it was read or written."""

    value: _Value
    revision: int


@dataclass(frozen=True)
class DocumentCodec(Generic[_Value]):
    """Converts a document to bytes and back; ``decode`` raises INTERNAL for malformed bytes."""

    encode: Callable[[_Value], bytes]
    decode: Callable[[bytes], _Value]


class StoreDocument(Generic[_Value]):
    """Reads and updates the document under one key of the store, by default as MessagePack.

    ``has_applied`` returns whether a value contains the effect of the write with an operation
    id. A write that took effect although its response was lost is thereby not applied twice.
    ``empty`` is the value of a key that does not exist.
    """

    def __init__(
        self,
        store: Store,
        key: str,
        empty: _Value,
        has_applied: Callable[[_Value, str], bool],
        codec: DocumentCodec[_Value] | None = None,
    ) -> None:
        self.store = store
        self.key = key
        self.empty = empty
        self._has_applied = has_applied
        self._codec = codec or _msgpack_codec(type(empty))

    def read(self) -> VersionedValue[_Value]:
        """Return the document from the store, or the empty document if the key does not exist.

        Raises AspengateError of kind STORE_UNAVAILABLE.
        """
        entry = self.store.get(self.key)
        if entry is None:
            return VersionedValue(self.empty, 0)
        return VersionedValue(self.decode(entry.value), entry.revision)

    def decode(self, value: bytes) -> _Value:
        """Return the document decoded from a store value; raises INTERNAL for malformed bytes."""
        return self._codec.decode(value)

    def swap(self, base: VersionedValue[_Value], value: _Value) -> VersionedValue[_Value] | None:
        """Write ``value`` if the document is still at ``base``; return ``None`` on a conflict.

        Raises AspengateError of kind STORE_UNAVAILABLE or OUTCOME_UNKNOWN.
        """
        revision = self.store.compare_and_swap(self.key, base.revision, self._codec.encode(value))
        return None if revision is None else VersionedValue(value, revision)

    def update(
        self,
        operation_id: str,
        transition: Callable[[_Value], _Value],
        base: VersionedValue[_Value] | None = None,
    ) -> VersionedValue[_Value]:
        """Apply ``transition`` and write its result, again after each conflict; return the result.

        ``transition`` may raise to abort the update; its result must contain ``operation_id``,
        so that ``has_applied`` recognises it. Raises AspengateError of kind STORE_UNAVAILABLE,
        OUTCOME_UNKNOWN if it cannot be determined whether the write took effect, or CONFLICT
        after too many concurrent writes.
        """
        current = base if base is not None else self.read()
        unknown_outcomes = 0
        for _ in range(_MAX_CONFLICTS):
            if self._has_applied(current.value, operation_id):
                return current
            try:
                written = self.swap(current, transition(current.value))
            except AspengateError as error:
                unknown_outcomes += 1
                if (
                    error.kind is not ErrorKind.OUTCOME_UNKNOWN
                    or unknown_outcomes > _MAX_UNKNOWN_OUTCOMES
                ):
                    raise
                current = self._read_after_unknown_outcome(error)
                continue
            if written is not None:
                return written
            current = self.read()
        raise AspengateError(ErrorKind.CONFLICT, "too many concurrent writes", where=self.key)

    def _read_after_unknown_outcome(
        self, unknown_outcome: AspengateError
    ) -> VersionedValue[_Value]:
        try:
            return self.read()
        except AspengateError:
            raise unknown_outcome from None


def _msgpack_codec(value_type: type[_Value]) -> DocumentCodec[_Value]:
    decoder = msgspec.msgpack.Decoder(value_type)

    def decode(data: bytes) -> _Value:
        try:
            return decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise AspengateError(
                ErrorKind.INTERNAL, str(error), where=value_type.__name__
            ) from error

    return DocumentCodec(msgspec.msgpack.Encoder().encode, decode)
