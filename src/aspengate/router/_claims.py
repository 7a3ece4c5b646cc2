"""A router's part in claims: as owner of some shards, and as asker."""

import threading
import uuid
from collections.abc import Iterable

from aspengate.adapters import Store, StoreDocument
from aspengate.claims import (
    ClaimDecision,
    ClaimOwner,
    ClaimTenure,
    KeyTimes,
    acquire_tenure,
    claim_shard,
    creation_time_ms,
)
from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.membership import owner_of
from aspengate.telemetry import Counters, log_change
from aspengate.transport import (
    ClaimReply,
    ClaimRequest,
    ClaimTicket,
    Peer,
    ReleaseClaim,
    SeenClaim,
)

_CALL_TIMEOUT_MS = 1_500.0
_RENEW_FRACTION = 4


class ClaimService:
    """Owns the claim shards that fall to this router, and asks other owners.

    ``routers`` maps the names of all live routers to their addresses.
    """

    def __init__(
        self,
        *,
        name: str,
        session: str,
        store: Store,
        clock: Clock,
        counters: Counters,
        peer: Peer,
        shard_count: int,
        lease_ms: int,
        times: KeyTimes,
    ) -> None:
        self.name = name
        self.session = session
        self.shard_count = shard_count
        self.lease_ms = lease_ms
        self.times = times
        self.routers: dict[str, str] = {}
        self.fenced: set[str] = set()
        self.leaving = False
        self._store = store
        self._clock = clock
        self._counters = counters
        self._peer = peer
        self._owners: dict[int, ClaimOwner] = {}
        self._tenures: dict[int, ClaimTenure] = {}
        self._inherited: dict[str, dict[str, SeenClaim]] = {}
        self._lock = threading.Lock()

    def claim(
        self, key: str, digest: str, request_id: str, agent: str
    ) -> tuple[ClaimTicket | None, str]:
        """Ask for the right to start a keyed call at ``agent``.

        Return a ticket, or the agent that already has the call. Raises AspengateError of kind
        BAD_REQUEST, CLAIM_UNAVAILABLE or OUTCOME_UNKNOWN.
        """
        born_ms = creation_time_ms(key.rpartition("/")[2])
        shard = claim_shard(key, self.shard_count)
        address = self._owner_address(shard)

        def request(call: int) -> ClaimRequest:
            return ClaimRequest(
                call, self._peer.address, shard, key, digest, born_ms, request_id, agent
            )

        if address == self._peer.address:
            reply = self.decide(request(0))
        else:
            try:
                reply = self._peer.call(address, request, ClaimReply, _CALL_TIMEOUT_MS)
            except AspengateError as error:
                raise AspengateError(
                    ErrorKind.CLAIM_UNAVAILABLE, f"the owner does not answer: {error}"
                ) from error
        if reply.ticket is None and not reply.agent:
            kind = ErrorKind(reply.decision)
            raise AspengateError(kind, _REASONS.get(kind, reply.decision), where="Idempotency-Key")
        return reply.ticket, reply.agent

    def decide(self, request: ClaimRequest) -> ClaimReply:
        """Decide as owner of the request's shard."""
        with self._lock:
            owner = self._owners.get(request.shard)
            if owner is None:
                decision = ClaimDecision(refusal=ErrorKind.CLAIM_UNAVAILABLE)
            else:
                decision = owner.decide(
                    request.key,
                    request.digest,
                    request.born_ms,
                    request.request_id,
                    request.agent,
                    self._clock.now_ms(),
                )
        if decision.refusal is not None:
            self._counters.count(f"claims.refused.{decision.refusal.value}")
            return ClaimReply(request.call, decision.refusal.value)
        if decision.ticket is None:
            self._counters.count("claims.joined")
            return ClaimReply(request.call, "joined", agent=decision.joined_agent)
        self._counters.count("claims.granted")
        return ClaimReply(request.call, "granted", ticket=decision.ticket)

    def release(self, ticket: ClaimTicket, request_id: str) -> None:
        """Free a key whose call certainly did not start."""
        message = ReleaseClaim(ticket.shard, ticket.key, request_id)
        if ticket.owner == self.session:
            self.released(message)
        else:
            self._peer.send(ticket.owner.partition("@")[2], message)

    def released(self, message: ReleaseClaim) -> None:
        """Take the word, as owner, that a call did not start."""
        with self._lock:
            owner = self._owners.get(message.shard)
            if owner is not None:
                owner.release(message.key, message.request_id)

    def inherit(self, owner_session: str, claims: Iterable[SeenClaim]) -> None:
        """Keep what agents say of a fenced owner's claims, for the takeover of its shards."""
        with self._lock:
            known = self._inherited.setdefault(owner_session, {})
            known.update({seen.key: seen for seen in claims})

    def predecessors(self) -> frozenset[str]:
        """Return the other sessions that own shards which fall to this router."""
        members = {*self.routers, self.name}
        return frozenset(
            tenure.owner
            for shard, tenure in self._tenures.copy().items()
            if tenure.owner
            and tenure.owner != self.session
            and tenure.owner not in self.fenced
            and owner_of(f"claims/{shard}", members) == self.name
        )

    def tick(self) -> None:
        """Take the shards that fall to this router, and renew those that it owns."""
        members = {*self.routers} | ({self.name} if not self.leaving else set())
        for shard in range(self.shard_count):
            if not self.leaving and owner_of(f"claims/{shard}", members) == self.name:
                self._hold(shard)
            else:
                self._read_tenure(shard)

    def _hold(self, shard: int) -> None:
        now = self._clock.now_ms()
        owner = self._owners.get(shard)
        if owner is not None and owner.valid_until_ms - now > self.lease_ms * (
            1 - 1 / _RENEW_FRACTION
        ):
            return
        operation_id = uuid.uuid4().hex
        predecessor = ""

        def transition(tenure: ClaimTenure) -> ClaimTenure:
            nonlocal predecessor
            predecessor = "" if tenure.owner == self.session else tenure.owner
            return acquire_tenure(
                tenure,
                operation_id,
                session=self.session,
                address=self._peer.address,
                now_ms=self._clock.now_ms(),
                lease_ms=self.lease_ms,
                clock_error_ms=self.times.clock_error_ms,
                fenced=frozenset(self.fenced),
            )

        try:
            tenure = self._document(shard).update(operation_id, transition).value
        except AspengateError as error:
            self._counters.count(f"claims.hold_failed.{error.kind.value}")
            if error.kind is ErrorKind.CONFLICT:
                self._read_tenure(shard)
            return
        self._install(shard, tenure, predecessor)

    def _install(self, shard: int, tenure: ClaimTenure, predecessor: str) -> None:
        with self._lock:
            self._tenures[shard] = tenure
            owner = self._owners.get(shard)
            if owner is not None:
                owner.valid_until_ms = tenure.valid_until_ms
                return
            inherited = [
                seen
                for seen in self._inherited.get(predecessor, {}).values()
                if seen.shard == shard
            ]
            self._owners[shard] = ClaimOwner(
                shard,
                self.session,
                tenure.started_ms if tenure.epoch > 1 else None,
                tenure.valid_until_ms,
                self.times,
                inherited,
            )
        log_change("claims.taken", shard=shard, epoch=tenure.epoch, inherited=len(inherited))

    def _read_tenure(self, shard: int) -> None:
        known = self._tenures.get(shard)
        now = self._clock.now_ms()
        if known is not None and known.owner != self.session and now < known.valid_until_ms:
            member = known.owner.partition(".")[0] in self.routers
            if member and known.owner not in self.fenced:
                return
        try:
            self._tenures[shard] = self._document(shard).read().value
        except AspengateError:
            self._counters.count("claims.read_failed")

    def _owner_address(self, shard: int) -> str:
        tenure = self._tenures.get(shard)
        if tenure is None or not tenure.owner:
            raise AspengateError(ErrorKind.CLAIM_UNAVAILABLE, "no owner of the key is known")
        return tenure.address

    def _document(self, shard: int) -> StoreDocument[ClaimTenure]:
        return StoreDocument(
            self._store, f"aspengate/claims/{shard}", ClaimTenure(), ClaimTenure.has_applied
        )


_REASONS: dict[ErrorKind, str] = {
    ErrorKind.BAD_REQUEST: "was used for another request, or is from the future",
    ErrorKind.CLAIM_UNAVAILABLE: "the key's owner can't decide now",
    ErrorKind.OUTCOME_UNKNOWN: "an earlier attempt with this key may have run",
}
