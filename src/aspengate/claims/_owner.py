"""The owner of a claim shard: it gives each key once."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from aspengate.claims._keys import KeyTimes, creation_time_ms
from aspengate.errors import ErrorKind
from aspengate.transport import ClaimTicket, SeenClaim


@dataclass(frozen=True)
class ClaimDecision:
    """What an owner answers: a ticket, the agent that has the answer, or an error kind."""

    ticket: ClaimTicket | None = None
    joined_agent: str = ""
    refusal: ErrorKind | None = None


@dataclass
class _Claim:
    digest: str
    request_id: str
    agent: str
    born_ms: int


class ClaimOwner:
    """One session's tenure over a claim shard.

    It remembers what it granted. Of keys that were born before its tenure it knows only what
    agents have told it, so an unknown one is answered ``outcome_unknown`` and never granted.
    ``started_ms`` is ``None`` for the first tenure ever of a shard, which nobody preceded.
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
            self._claims[seen.key] = _Claim("", seen.request_id, seen.agent, _seen_birth(seen))

    def __len__(self) -> int:
        return len(self._claims)

    def decide(
        self, key: str, digest: str, born_ms: int, request_id: str, agent: str, now_ms: int
    ) -> ClaimDecision:
        """Decide on a request to start the call under ``key`` at ``agent``."""
        if now_ms > self.valid_until_ms - self.times.clock_error_ms:
            return ClaimDecision(refusal=ErrorKind.CLAIM_UNAVAILABLE)
        if born_ms > now_ms + self.times.future_tolerance_ms:
            return ClaimDecision(refusal=ErrorKind.BAD_REQUEST)
        self._forget(now_ms)
        known = self._claims.get(key)
        if known is not None:
            return _joined(known, digest)
        if self._may_have_run(born_ms, now_ms):
            return ClaimDecision(refusal=ErrorKind.OUTCOME_UNKNOWN)
        self._claims[key] = _Claim(digest, request_id, agent, born_ms)
        return ClaimDecision(ticket=ClaimTicket(key, self.shard, self.session, self.valid_until_ms))

    def release(self, key: str, request_id: str) -> None:
        """Free a key whose request was truly refused by the agent."""
        known = self._claims.get(key)
        if known is not None and known.request_id == request_id:
            del self._claims[key]

    def _may_have_run(self, born_ms: int, now_ms: int) -> bool:
        if born_ms < now_ms - self.times.max_age_ms:
            return True
        if self.started_ms is None:
            return False
        return born_ms <= self.started_ms + self.times.guard_ms

    def _forget(self, now_ms: int) -> None:
        oldest = now_ms - self.times.max_age_ms - self.times.future_tolerance_ms
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.born_ms >= oldest:
                return
            del self._claims[key]


def _joined(known: _Claim, digest: str) -> ClaimDecision:
    if known.digest and known.digest != digest:
        return ClaimDecision(refusal=ErrorKind.BAD_REQUEST)
    return ClaimDecision(joined_agent=known.agent)


def _seen_birth(seen: SeenClaim) -> int:
    """Return when the key of a claim told by an agent was made, in milliseconds."""
    return creation_time_ms(seen.key.rpartition("/")[2])
