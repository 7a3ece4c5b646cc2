"""Caches the stored documents of rollouts, and keeps what a restored store has lost."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._unreadable import UnreadableItems
from aspengate.rollouts import (
    DOCUMENT_PREFIX,
    RolloutDocument,
    decode_document,
    is_newer,
)
from aspengate.store import MirrorState, StoreItem
from aspengate.telemetry import Counters


@dataclass(frozen=True)
class KnownDocument:
    """The newest known document of a service.

    ``revision`` is the revision of the item that the store holds under the document's key, 0 if it
    holds none. ``is_stored`` is whether that item is this document. ``step_seen_ms`` is when this
    router first saw the document's step, in monotonic ms.
    """

    document: RolloutDocument
    revision: int
    is_stored: bool
    step_seen_ms: float


@dataclass(frozen=True)
class _Stored:
    """What the store holds under a key; ``document`` is None if it is unreadable or absent."""

    document: RolloutDocument | None
    revision: int


_ABSENT = _Stored(None, 0)


def document_order(item: StoreItem) -> tuple[int, ...] | None:
    """Return a sort key that rises with each write of a document, None if it is unreadable."""
    try:
        document = decode_document(item.value, item.key)
    except AspengateError:
        # ``RolloutDocuments`` reports that it can't be decoded.
        return None
    return (document.generation, document.has_ended, document.number)


class RolloutDocuments:
    """Holds the newest document of each service that this router has read or written.

    An older copy never replaces it, so that a store that was restored from a copy does not undo an
    end state. ``on_change`` is called with each new document, and the one before.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        on_change: Callable[[RolloutDocument, RolloutDocument | None], None],
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._unreadable = UnreadableItems(counters)
        self._known: dict[str, KnownDocument] = {}
        # Revisions of unreadable items, by service, which a new document replaces.
        self._unreadable_revisions: dict[str, int] = {}
        self._lock = threading.Lock()

    def get(self, service: str) -> KnownDocument | None:
        """Return the newest known document of a service, or None."""
        return self._known.get(service)

    def all(self) -> list[KnownDocument]:
        """Return the newest known documents of all services."""
        return list(self._known.values())

    def stored_revision(self, service: str) -> int:
        """Return the revision of the item in the store, on which a write is conditional."""
        known = self._known.get(service)
        return known.revision if known else self._unreadable_revisions.get(service, 0)

    def load(self, state: MirrorState) -> None:
        """Take over what the store holds; documents that it has lost are kept."""
        stored = {
            key.removeprefix(DOCUMENT_PREFIX): self._read(item)
            for key, item in state.items.items()
            if key not in state.unconfirmed.items
        }
        retained = {
            key.removeprefix(DOCUMENT_PREFIX): _Stored(
                self._read(item).document if item else None,
                state.unconfirmed.stored.get(key, 0),
            )
            for key, item in state.unconfirmed.items.items()
        }
        with self._lock:
            services = {*self._known, *stored, *retained}
            changed = []
            for service in services:
                known = self._known.get(service)
                if known is not None and known.revision > state.revision:
                    # This router has written it since.
                    continue
                found = stored.get(service, retained.get(service, _ABSENT))
                updated = self._merged(service, known, found, is_stored=service in stored)
                if updated is not None and (known is None or updated.document != known.document):
                    changed.append((updated.document, known.document if known else None))
        for document, before in changed:
            self._on_change(document, before)

    def record_written(self, document: RolloutDocument, revision: int) -> None:
        """Record that this router has written a document."""
        self._take(document.service, _Stored(document, revision))

    def adopt(self, service: str, item: StoreItem | None) -> None:
        """Take over the item that the store was found to hold, None if there is none."""
        self._take(service, self._read(item) if item else _ABSENT)

    def _take(self, service: str, found: _Stored) -> None:
        with self._lock:
            known = self._known.get(service)
            if known is not None and 0 < found.revision < known.revision:
                # The mirror has received a later write in the meantime.
                return
            updated = self._merged(service, known, found, is_stored=True)
        if updated is not None and (known is None or updated.document != known.document):
            self._on_change(updated.document, known.document if known else None)

    def _merged(
        self, service: str, known: KnownDocument | None, found: _Stored, *, is_stored: bool
    ) -> KnownDocument | None:
        """Update the newest document by one that was found; the lock is held."""
        if found.document is None or (known and is_newer(known.document, found.document)):
            if known is None:
                self._unreadable_revisions[service] = found.revision
                return None
            merged = replace(known, revision=found.revision, is_stored=False)
        else:
            merged = KnownDocument(
                found.document,
                found.revision,
                is_stored,
                self._step_seen_ms(known, found.document),
            )
        self._known[service] = merged
        return merged

    def _step_seen_ms(self, known: KnownDocument | None, document: RolloutDocument) -> float:
        if known is not None:
            before = known.document
            if (before.generation, before.step) == (document.generation, document.step):
                return known.step_seen_ms
        return self._clock.monotonic_ms()

    def _read(self, item: StoreItem) -> _Stored:
        try:
            document = decode_document(item.value, item.key)
            if item.key != DOCUMENT_PREFIX + document.service:
                message = f"names another service, {document.service!r}"
                raise AspengateError(ErrorKind.BAD_REQUEST, message, where=item.key)
        except AspengateError as error:
            self._unreadable.report("rollout", item, error)
            return _Stored(None, item.revision)
        return _Stored(document, item.revision)
