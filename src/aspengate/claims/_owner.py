"""The owner of a claim shard, which grants each key to one request."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from aspengate.claims._keys import KeyTimes, creation_time_ms
from aspengate.errors import ErrorKind
from aspengate.transport import ClaimTicket, SeenClaim


@dataclass(frozen=True)
class ClaimDecision:
    """Holds an owner's decision on a claim; exactly one field is set.

    ``ticket`` grants the claim; ``joined_agent`` is the agent that already has the request and
    its response; ``refusal`` is the kind of error.
    """

    ticket: ClaimTicket | None = None
    joined_agent: str = ""
    refusal: ErrorKind | None = None


@dataclass
class _Claim:
    digest: str
    request_id: str
    agent: str
    created_ms: int


class ClaimOwner:
    """Decides on the claims of one shard during one session's tenure.

    An owner records the claims that it grants. Of the claims that earlier owners granted it has
    only those that agents reported (``inherited``), so an unknown key that may be older than the
    tenure is refused as ``outcome_unknown`` and never granted. ``started_ms`` is ``None`` for the
    first tenure of a shard, which has no predecessor. Not thread-safe: callers hold a lock.
    """

    def __init__(
        self,
        shard: int,
        session: str,
        started_ms: int | None,
        valid_until_ms: int,
        times: KeyTimes,
        inherited: Iterable[SeenClaim] = (),
    ) -> None:
        self.shard = shard
        self.session = session
        self.started_ms = started_ms
        self.valid_until_ms = valid_until_ms
        self.times = times
        self._claims: OrderedDict[str, _Claim] = OrderedDict()
        for seen in inherited:
            self._claims[seen.key] = _Claim(
                "", seen.request_id, seen.agent, _seen_creation_ms(seen)
            )

    def __len__(self) -> int:
        return len(self._claims)

    def decide(
        self, key: str, digest: str, created_ms: int, request_id: str, agent: str, now_ms: int
    ) -> ClaimDecision:
        """Decide whether ``request_id`` may start its call under ``key`` at ``agent``.

        Refuses with CLAIM_UNAVAILABLE if the tenure has ended or ends within the clock error.
        """
        if now_ms > self.valid_until_ms - self.times.clock_error_ms:
            return ClaimDecision(refusal=ErrorKind.CLAIM_UNAVAILABLE)
        if created_ms > now_ms + self.times.future_tolerance_ms:
            return ClaimDecision(refusal=ErrorKind.BAD_REQUEST)
        self._discard_expired(now_ms)
        known = self._claims.get(key)
        if known is not None:
            return _join_claim(known, digest)
        if self._may_have_been_granted(created_ms, now_ms):
            return ClaimDecision(refusal=ErrorKind.OUTCOME_UNKNOWN)
        self._claims[key] = _Claim(digest, request_id, agent, created_ms)
        return ClaimDecision(ticket=ClaimTicket(key, self.shard, self.session, self.valid_until_ms))

    def release(self, key: str, request_id: str) -> None:
        """Release a key whose request the agent refused without running it.

        Does nothing if another request holds the key.
        """
        known = self._claims.get(key)
        if known is not None and known.request_id == request_id:
            del self._claims[key]

    def _may_have_been_granted(self, created_ms: int, now_ms: int) -> bool:
        if created_ms < now_ms - self.times.max_age_ms:
            return True
        if self.started_ms is None:
            return False
        return created_ms <= self.started_ms + self.times.guard_ms

    def _discard_expired(self, now_ms: int) -> None:
        # These keys are past max_age_ms, so they are refused even after their claim is gone.
        oldest = now_ms - self.times.max_age_ms - self.times.future_tolerance_ms
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.created_ms >= oldest:
                return
            del self._claims[key]


def _join_claim(known: _Claim, digest: str) -> ClaimDecision:
    if known.digest and known.digest != digest:
        return ClaimDecision(refusal=ErrorKind.BAD_REQUEST)
    return ClaimDecision(joined_agent=known.agent)


def _seen_creation_ms(seen: SeenClaim) -> int:
    """Return the creation time of the key of a claim that an agent reported, in ms."""
    return creation_time_ms(seen.key.rpartition("/")[2])
