"""Selects the routers that watch the store: one leads each failure domain and updates the others.

There is no vote: each router decides by itself from the status messages that it receives.
"""

import threading
from collections.abc import Collection

import xxhash

from aspengate.clock import Clock
from aspengate.peers._members import Member, MemberList, PeerStatus
from aspengate.store import MirrorMode
from aspengate.telemetry import log_change

# Time in ms after its last status message at which a leader counts as dead: three of its status
# intervals. Together with the takeover steps below it limits the delay of a change when a leader
# dies to 1.5 s, of the 2 s that the strictest platform allows.
_LEADER_TIMEOUT_MS = 1_000.0
# Routers take over one after the other in the order of their rank, so that a leader's death causes
# store calls of one or two routers and not of the whole domain: the delay per step, in ms, and the
# maximum number of steps.
_TAKEOVER_STEP_MS = 100.0
_MAX_TAKEOVER_STEPS = 4
# Time in ms that a starting router waits for a status message of a leader before it calls the
# store itself.
_START_DELAY_MS = 150.0
# Delay in ms before a router that reaches the store replaces a live leader that does not; it
# watches the store for itself meanwhile. If no leader reaches the store, the outage probably
# affected all: the leader, which holds the domain's tokens, should go on, and it calls the store
# again every 200 ms. If some leader still reaches the store, this one alone is cut off and is
# replaced after the short delay.
_OUTAGE_GRACE_MS = 1_500.0
_ISOLATED_GRACE_MS = 300.0
# Minimum number of routers that watch the store, also in a fleet of one failure domain: if one
# misses changes because its connection is dead without a sign, the other one reports them.
MIN_LEADERS = 2


class DomainLeadership:
    """Decides whether this router leads its failure domain or receives changes from a leader.

    ``mode`` is the source of changes for this router's mirrors.

    A router does not watch the store as long as it receives status messages from a leader of its
    domain that the store answers. Otherwise it watches the store itself, and leads once the store
    has answered. No agreement is needed: two leaders only cost additional calls, and the one of
    lower rank gives way. Larger instances rank first because a leader lends tokens to all routers:
    in a fleet of 30 routers a leader with a link of 10 Mbit/s left 1,390 loans of a day unanswered,
    and 4 in 100 of all tokens were lost in transit.

    ``prefixes`` are the prefixes of the store that this router needs. A leader of an older build
    that watches fewer prefixes, or that does not name the era of its revisions, is not accepted:
    no router would report the changes that it does not watch, and its revisions cannot be compared.
    """

    def __init__(self, members: MemberList, clock: Clock, prefixes: Collection[str] = ()) -> None:
        self.mode = MirrorMode.WAITING
        self.leader: Member | None = None
        self._members = members
        self._clock = clock
        self._prefixes = frozenset(prefixes)
        self._leaderless_ms: float | None = None
        self._connected_ms: float | None = None
        self._started = False
        self._lock = threading.Lock()

    def update(self, *, connected: bool) -> None:
        """Update ``mode`` and ``leader``; ``connected`` is whether the store answers own watches.

        Call it first when the list of routers was read or could not be read, and often after that.
        """
        with self._lock:
            leader = self._other_leader(connected)
            if leader is not None:
                self._accept_leader(leader)
            else:
                self._watch_store(connected)

    def _watch_store(self, connected: bool) -> None:
        """Watch the store if no other router leads in time, and lead once the store answers."""
        now = self._clock.monotonic_ms()
        if self._leaderless_ms is None:
            self._leaderless_ms = now
        waited_ms = now - self._leaderless_ms
        if self.mode is not MirrorMode.FOLLOWING:
            self.mode = MirrorMode.WAITING
            if waited_ms >= self._takeover_delay_ms():
                self.mode = MirrorMode.FOLLOWING
                log_change("store.followed_alone", waited_ms=round(waited_ms))
        if not connected or self.mode is not MirrorMode.FOLLOWING:
            self._connected_ms = None
            return
        if self._connected_ms is None:
            self._connected_ms = now
        if not self._members.leads and now - self._connected_ms >= self._grace_ms():
            self._started = True
            self._members.leads = True
            log_change("domain.led", failure_domain=self._members.own.failure_domain)

    def _grace_ms(self) -> float:
        """Return the time in ms to wait for a live leader of the domain that lost the store."""
        domain = self._members.own.failure_domain
        leading = self._members.leading_statuses(_LEADER_TIMEOUT_MS)
        has_lost = any(
            not status.reaches_store for status in leading if status.member.failure_domain == domain
        )
        if not has_lost:
            return 0.0
        return (
            _ISOLATED_GRACE_MS
            if any(status.reaches_store for status in leading)
            else _OUTAGE_GRACE_MS
        )

    def _accept_leader(self, leader: Member) -> None:
        self._started = True
        self._leaderless_ms = None
        self.mode = MirrorMode.TOLD
        self._members.leads = False
        if self.leader != leader:
            self.leader = leader
            log_change("domain.leader_heard", leader=leader.name)

    def _other_leader(self, connected: bool) -> Member | None:
        """Return the leader to rely on, or None if this router has to watch the store itself."""
        leaders = [
            status
            for status in self._members.leading_statuses(_LEADER_TIMEOUT_MS)
            if status.reaches_store
        ]
        if len(leaders) < MIN_LEADERS:
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

    def _takeover_delay_ms(self) -> float:
        """Return the time in ms to wait for a router of higher rank to lead."""
        others = self._members.in_domain()
        if not others:
            return 0.0
        own = _rank(self._members.own)
        before = sum(1 for member in others if _rank(member) > own)
        steps = min(before, _MAX_TAKEOVER_STEPS) * _TAKEOVER_STEP_MS
        return steps if self._started else _START_DELAY_MS + steps


def _rank(member: Member) -> tuple[int, int]:
    """Return the sort key of a router: by the size of its instance, then by hash."""
    by_hash = xxhash.xxh64_intdigest(f"{member.failure_domain}/{member.name}".encode())
    return member.capacity, by_hash
