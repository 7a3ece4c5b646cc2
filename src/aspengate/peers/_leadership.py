"""Which routers follow the store: one leads each failure domain and tells the others there."""

import threading
from collections.abc import Collection

import xxhash

from aspengate.clock import Clock
from aspengate.peers._members import Member, MemberList, PeerStatus
from aspengate.store import MirrorMode
from aspengate.telemetry import log_change

# A leader that is not heard for so long, in ms, leads no more: three of its beats. Together with
# the steps below it bounds how much later a change is in force where a leader dies: 1.5 s of the
# 2 s that the strictest platform allows.
_SILENT_MS = 1_000.0
# Routers take over one after the other, by rank, so that a leader's death costs the store calls
# of one or two of them and not of the whole domain. In ms, and how many steps at most.
_STEP_MS = 100.0
_MOST_STEPS = 4
# A router that starts waits so long, in ms, to hear of a leader before it asks the store itself.
_START_MS = 150.0
# While one that has led is still heard, though the store does not answer it, others that the
# store answers follow it for themselves, but wait so long before they lead, in ms. Where the store
# seems to have been away for all, the one that holds the domain's tokens is to lead on: it asks
# the store again every 200 ms. Otherwise it is cut off alone, and replaced soon.
_GRACE_MS = 1_500.0
_SHORT_GRACE_MS = 300.0
# So many routers follow the store at least, also in a fleet of one failure domain: what one
# misses while its connection is dead without a sign the other one's news tell.
_LEAST_LEADERS = 2


class DomainLeadership:
    """Decides whether this router leads its failure domain, or rests while another one does.

    ``stance`` is where this router's mirrors learn of changes from.

    A router rests as long as it hears a leader of its domain that the store answers. Otherwise
    it follows the store itself, and leads once the store has answered. Nobody has to agree on
    it: two leaders cost some calls and nothing else, and the one of lower rank gives way. Larger
    instances rank first: a leader lends tokens to all, and where it had a link of 10 Mbit/s 1,390
    loans of a day went unanswered and 4 in 100 of all tokens were lost on the way (30 routers, 1
    play).

    ``prefixes`` are the parts of the store that this router has to know. A leader of an older build
    that follows less, or does not name the history of its revisions, is no one to rest behind:
    what it leaves out nobody would tell of, and its revisions can't be compared.
    """

    def __init__(self, members: MemberList, clock: Clock, prefixes: Collection[str] = ()) -> None:
        self.mode = MirrorMode.WAITING
        self.leader: Member | None = None
        self._members = members
        self._clock = clock
        self._prefixes = frozenset(prefixes)
        self._alone_ms: float | None = None
        self._connected_ms: float | None = None
        self._started = False
        self._lock = threading.Lock()

    def update(self, *, connected: bool) -> None:
        """Decide anew; ``connected`` tells whether the store answers this router's own watches.

        Call it once the list of routers was read or could not be, and often after that.
        """
        with self._lock:
            leader = self._other_leader(connected)
            if leader is not None:
                self._rest(leader)
            else:
                self._follow(connected)

    def _follow(self, connected: bool) -> None:
        """Follow the store where nobody else has begun to in time, and lead where it answers."""
        now = self._clock.monotonic_ms()
        if self._alone_ms is None:
            self._alone_ms = now
        waited_ms = now - self._alone_ms
        if self.mode is not MirrorMode.FOLLOWING:
            self.mode = MirrorMode.WAITING
            if waited_ms >= self._delay_ms():
                self.mode = MirrorMode.FOLLOWING
                log_change("store.followed_alone", waited_ms=round(waited_ms))
        if not connected or self.mode is not MirrorMode.FOLLOWING:
            self._connected_ms = None
            return
        if self._connected_ms is None:
            self._connected_ms = now
        if not self._members.leads and now - self._connected_ms >= self._claim_delay_ms():
            self._started = True
            self._members.leads = True
            log_change("domain.led", failure_domain=self._members.own.failure_domain)

    def _claim_delay_ms(self) -> float:
        """Return how long to leave the lead to one that has lost the store, in milliseconds."""
        domain = self._members.own.failure_domain
        leading = [sign for sign in self._members.recent_statuses(_SILENT_MS) if sign.leads]
        has_lost = any(
            not sign.reaches_store for sign in leading if sign.member.failure_domain == domain
        )
        if not has_lost:
            return 0.0
        return _SHORT_GRACE_MS if any(sign.reaches_store for sign in leading) else _GRACE_MS

    def _rest(self, leader: Member) -> None:
        self._started = True
        self._alone_ms = None
        self.mode = MirrorMode.TOLD
        self._members.leads = False
        if self.leader != leader:
            self.leader = leader
            log_change("domain.leader_heard", leader=leader.name)

    def _other_leader(self, connected: bool) -> Member | None:
        """Return the leader to rely on, None where this router is to follow the store itself."""
        leaders = [
            sign
            for sign in self._members.recent_statuses(_SILENT_MS)
            if sign.leads and sign.reaches_store
        ]
        if len(leaders) < _LEAST_LEADERS:
            return None
        own = self._members.own
        found = [
            each
            for each in leaders
            if each.member.failure_domain == own.failure_domain
            and each.member.capacity >= own.capacity
            and each.prefixes >= self._prefixes
        ]
        if self._members.leads and connected:
            found = [each for each in found if _rank(each.member) > _rank(own)]
        best: PeerStatus | None = max(found, key=lambda each: _rank(each.member), default=None)
        return best.member if best else None

    def _delay_ms(self) -> float:
        """Return how long to wait for another router to lead, in milliseconds."""
        others = self._members.in_domain()
        if not others:
            return 0.0
        own = _rank(self._members.own)
        before = sum(1 for member in others if _rank(member) > own)
        steps = min(before, _MOST_STEPS) * _STEP_MS
        return steps if self._started else _START_MS + steps


def _rank(member: Member) -> tuple[int, int]:
    """Return what routers are ordered by: the larger instance first, then by hash."""
    by_hash = xxhash.xxh64_intdigest(f"{member.failure_domain}/{member.name}".encode())
    return member.capacity, by_hash
