"""Decides whether a replica may receive new requests, with the reason if not."""

import enum
from collections.abc import Collection

from aspengate.replicas._replica import ReplicaState
from aspengate.replicas._view import ReplicaView


class Availability(enum.Enum):
    """Why a replica receives no new requests; if several reasons apply, the first one here.

    The values appear in the reasons of refused requests.
    """

    UNLISTED = "no longer listed"
    DRAINING = "drains by its record"
    LEAVING = "said that it leaves"
    EVACUATED = "in an evacuated failure domain"
    REPLACED = "replaced at its address"
    RESTING = "asked for rest"
    OPEN = "takes requests"


# Looked up once, as availability is computed for each replica of a service on each request.
_READY = ReplicaState.READY
_OPEN = Availability.OPEN


def availability_of(view: ReplicaView, evacuated: Collection[str], now_ms: float) -> Availability:
    """Return the availability of one incarnation of a replica at ``now_ms``.

    It follows from three sources that count equally: the record, the replica's responses, and
    responses of another replica at its address. A record alone is not enough: while the store was
    unavailable, a record was still marked ready 12.8 s after the replica's responses reported that
    it was leaving.
    """
    replica = view.replica
    reported = view.reported
    if replica.state is not _READY:
        return Availability.DRAINING
    if reported.leaving_ms is not None:
        return Availability.LEAVING
    if replica.failure_domain in evacuated:
        return Availability.EVACUATED
    if now_ms < view.replaced_until_ms:
        return Availability.REPLACED
    if now_ms < reported.backoff_until_ms:
        return Availability.RESTING
    return _OPEN
