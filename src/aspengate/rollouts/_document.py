"""The stored state of the rollouts of one service."""

import enum

import msgspec

from aspengate.store import decode_value

DOCUMENT_PREFIX = "aspengate/rollouts/"
# A document has about 400 bytes; its lists of versions are limited to 16 entries each.
_MAX_BYTES = 16_384


class RolloutState(enum.Enum):
    """The state of one attempt; it only moves from running to one of the two others."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutDocument(msgspec.Struct, frozen=True):
    """Holds the current attempt on a service, stored under ``DOCUMENT_PREFIX`` and its name.

    ``generation`` counts the attempts on the service, ``number`` the writes of the document, and
    ``step`` the changes of ``share`` in this attempt. ``order_revision`` is the revision of the
    order that it last responded to. ``base_versions`` are the versions in force when the attempt
    began; if empty, all versions except the target and ``retired_versions`` are. The latter are
    versions that earlier attempts took out of use.

    ``share`` is the fraction of attempts that goes to the target, and ``canary_share`` the fraction
    before the ramp. ``decider`` is the session that wrote the document. ``began_unix_ms`` is the
    wall-clock time of the order. ``target_attempts``, ``target_responses`` and
    ``baseline_attempts`` are totals of the evidence when ``share`` was last changed.
    """

    service: str
    generation: int
    order_revision: int
    target_version: str
    duration_ms: float
    base_versions: tuple[str, ...] = ()
    retired_versions: tuple[str, ...] = ()
    state: RolloutState = RolloutState.RUNNING
    share: float = 0.0
    canary_share: float = 0.0
    step: int = 0
    number: int = 1
    decider: str = ""
    began_unix_ms: int = 0
    reason: str = ""
    target_attempts: int = 0
    target_responses: int = 0
    baseline_attempts: int = 0

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has one of the two end states."""
        return self.state is not RolloutState.RUNNING


def encode_document(document: RolloutDocument) -> bytes:
    """Return a document in its stored form."""
    return msgspec.json.encode(document)


def decode_document(value: bytes, key: str) -> RolloutDocument:
    """Return the decoded document; raises BAD_REQUEST if ``value`` is not a valid document."""
    return decode_value(value, RolloutDocument, key, _MAX_BYTES)


def is_newer(one: RolloutDocument, other: RolloutDocument) -> bool:
    """Return whether ``one`` replaces ``other``, which is a copy of the same service's document.

    An end state precedes the number of writes: a copy from before a restored store lost the end
    never undoes it.
    """
    return _order(one) > _order(other)


def _order(document: RolloutDocument) -> tuple[int, bool, int]:
    return (document.generation, document.has_ended, document.number)
