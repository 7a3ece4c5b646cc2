"""Documents in the store that are changed by compare-and-swap, each write known by an id."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from aspengate.adapters._store import Store
from aspengate.errors import AspengateError, ErrorKind

_MAX_CONFLICTS = 50
_MAX_UNKNOWN = 3

_Value = TypeVar("_Value", bound=msgspec.Struct)


@dataclass(frozen=True)
class VersionedValue(Generic[_Value]):
    """A document's value and the store revision at which it was read or written."""

    value: _Value
    revision: int


@dataclass(frozen=True)
class DocumentCodec(Generic[_Value]):
    """How a document becomes bytes and back; ``decode`` raises INTERNAL for other bytes."""

    encode: Callable[[_Value], bytes]
    decode: Callable[[bytes], _Value]


class StoreDocument(Generic[_Value]):
    """One key of the store that holds one MessagePack document.

    ``has_applied`` tells from a value whether the write with an operation id took effect; with
    it a write whose answer was lost is recognised instead of being done twice.
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
        self._codec = codec or _plain_codec(type(empty))

    def read(self) -> VersionedValue[_Value]:
        """Return the document as the store has it now.

        Raises AspengateError of kind STORE_UNAVAILABLE.
        """
        entry = self.store.get(self.key)
        if entry is None:
            return VersionedValue(self.empty, 0)
        return VersionedValue(self.decode(entry.value), entry.revision)

    def decode(self, value: bytes) -> _Value:
        """Return the document that the bytes of a store value hold; raises INTERNAL."""
        return self._codec.decode(value)

    def swap(self, base: VersionedValue[_Value], value: _Value) -> VersionedValue[_Value] | None:
        """Write ``value`` over ``base``; return ``None`` where another write came first.

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
        """Apply ``transition`` until it is written over an unchanged value; return the result.

        ``transition`` may raise to give up; it must mark its result with ``operation_id``.
        Raises AspengateError of kind STORE_UNAVAILABLE, or OUTCOME_UNKNOWN where it stays
        unknown whether the write took effect.
        """
        current = base if base is not None else self.read()
        unknown = 0
        for _ in range(_MAX_CONFLICTS):
            if self._has_applied(current.value, operation_id):
                return current
            try:
                written = self.swap(current, transition(current.value))
            except AspengateError as error:
                unknown += 1
                if error.kind is not ErrorKind.OUTCOME_UNKNOWN or unknown > _MAX_UNKNOWN:
                    raise
                current = self._read_after_loss(error)
                continue
            if written is not None:
                return written
            current = self.read()
        raise AspengateError(ErrorKind.CONFLICT, "too many concurrent writes", where=self.key)

    def _read_after_loss(self, lost: AspengateError) -> VersionedValue[_Value]:
        try:
            return self.read()
        except AspengateError:
            raise lost from None


def _plain_codec(value_type: type[_Value]) -> DocumentCodec[_Value]:
    decoder = msgspec.msgpack.Decoder(value_type)

    def decode(data: bytes) -> _Value:
        try:
            return decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise AspengateError(
                ErrorKind.INTERNAL, str(error), where=value_type.__name__
            ) from error

    return DocumentCodec(msgspec.msgpack.Encoder().encode, decode)
