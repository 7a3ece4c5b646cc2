"""The routers of the fleet: their records in the store, and the last status message of each."""

import random
import threading
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from aspengate.allowances import router_of
from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.store import KeyValueStore, Put, Snapshot, decode_value
from aspengate.telemetry import log_change
from aspengate.topology import Distance, Topology

MEMBER_PREFIX = "aspengate/routers/"
# Time in ms after its last status message for which a router counts as alive, and for which it
# counts as a member although the store does not list it.
_ALIVE_MS = 3_000.0
_RETENTION_MS = 60_000.0
# Number of other routers that remember a grant of the store to a router. With two, one of them and
# the router itself may die at the same time.
_BACKUP_COUNT = 2
# The build that is assumed for routers that do not report one.
_UNREPORTED_BUILD = "untold"
# Time in ms for which status messages of a process may still arrive after its end was found.
_DELAYED_MS = 1_000.0
# Number of other routers that may rank before one that prepares to decide on a subject.
_SUCCESSOR_RANK = 4
# Time in ms after its last status message for which a leader may be the primary of an account:
# three of its status intervals.
_LEADER_ALIVE_MS = 1_000.0
# The same for a leader of another region, from which only leaders get every status message: the
# others get one in about 900 ms, of which one may be lost.
_FAR_LEADER_ALIVE_MS = 2_000.0


class Member(msgspec.Struct, frozen=True):
    """The record by which a router registers itself; peers reach it at ``address``.

    ``capacity`` is the memory that it may use, in MB, by which large instances are distinguished
    from small ones. ``build`` is the name of the router's build, empty for builds without a name.
    """

    name: str
    address: str
    session: str
    failure_domain: str = ""
    capacity: int = 0
    build: str = ""


@dataclass(frozen=True)
class PeerStatus:
    """The last status message of another router, received at ``received_ms`` in monotonic time.

    ``reaches_store`` is whether the store answers it, ``leads`` whether it leads its failure
    domain, and ``listed`` the number of routers that it is aware of, 0 if it has not read the
    store's list. ``prefixes`` are the prefixes of the store of which it receives changes and names
    the era. ``restored`` is the era of the store that contains all account documents known to it.
    """

    member: Member
    received_ms: float
    reaches_store: bool = False
    leads: bool = False
    listed: int = 0
    prefixes: frozenset[str] = frozenset()
    restored: int = 0


class MemberList:
    """Tracks the other routers of the fleet and the last status message of each.

    ``own`` is this router's record, and ``registered`` whether the store is known to contain it.
    ``listed`` is the number of routers when the store's list was last read, 0 if it has not been
    read. ``leads`` is whether this router leads its failure domain. Without ``topology``, all
    routers are in one region.
    """

    def __init__(self, own: Member, clock: Clock, topology: Topology | None = None) -> None:
        self.own = own
        self.topology = topology or Topology(own.failure_domain)
        self.registered = False
        self.listed = 0
        self.leads = False
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._domains: dict[str, str] = {}
        self._statuses: dict[str, PeerStatus] = {}
        self._ended: dict[str, tuple[str, float]] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """Upper estimate of the number of live routers, including this one."""
        with self._lock:
            return max(self._local_count(), self._reported_count())

    @property
    def count_known(self) -> bool:
        """Whether ``count`` is based on the store's list, as read by this or another router."""
        with self._lock:
            return bool(self.listed or self._reported_count())

    @property
    def own_count(self) -> int:
        """``count`` by this router's own data alone; 0 if it has not read the store's list."""
        with self._lock:
            return self._local_count() if self.listed else 0

    def update(self, listed: Snapshot) -> None:
        """Replace the members by the listed ones and those that sent a status message recently."""
        members = {}
        for item in listed.items:
            try:
                member = decode_value(item.value, Member, item.key)
            except AspengateError as error:
                log_change("member.unreadable", key=item.key, error=str(error))
                continue
            if member.name != self.own.name:
                members[member.name] = member
            else:
                self.registered = member == self.own
        with self._lock:
            for name, status in self._recent(_RETENTION_MS).items():
                members[name] = status.member
            self._members = members
            self._domains = {each.address: each.failure_domain for each in members.values()}
            self.listed = 1 + len(members)

    def record_status(
        self,
        member: Member,
        *,
        reaches_store: bool = False,
        leads: bool = False,
        listed: int = 0,
        prefixes: Iterable[str] = (),
        restored: int = 0,
    ) -> bool:
        """Record a status message of another router; return whether its session is a new one."""
        if member.name == self.own.name:
            return False
        now = self._clock.monotonic_ms()
        with self._lock:
            before = self._statuses.get(member.name)
            if before is None:
                log_change(
                    "member.heard", name=member.name, address=member.address, build=member.build
                )
            elif before.member.session != member.session:
                log_change(
                    "member.runs_again",
                    name=member.name,
                    session=member.session,
                    build=member.build,
                )
            self._statuses[member.name] = PeerStatus(
                member, now, reaches_store, leads, listed, frozenset(prefixes), restored
            )
            self._members[member.name] = member
            self._domains[member.address] = member.failure_domain
            return before is None or before.member.session != member.session

    def record_ended(self, member: Member) -> None:
        """Record that the process of another router's session has been found to have ended.

        The router counts as before, as what it sent may still arrive, but not as a leader.
        """
        with self._lock:
            self._ended[member.name] = member.session, self._clock.monotonic_ms()
        log_change("member.ended", name=member.name, session=member.session)

    def alive(self) -> list[Member]:
        """Return the other routers that sent a status message recently."""
        return [status.member for status in self.recent_statuses(_ALIVE_MS)]

    def following(self, prefix: str) -> list[Member]:
        """Return the other live routers that receive changes below a prefix of the store.

        Those whose process is known to have ended are left out.
        """
        return [status.member for status in self._following_statuses(prefix)]

    def builds(self) -> Counter[str]:
        """Return the number of live routers, including this one, by build."""
        members = [self.own, *self.alive()]
        return Counter(each.build or _UNREPORTED_BUILD for each in members)

    def is_router_alive(self, name: str) -> bool:
        """Return whether the other router of this name sent a status message recently."""
        with self._lock:
            status = self._statuses.get(name)
        return status is not None and self._clock.monotonic_ms() - status.received_ms <= _ALIVE_MS

    def recent_statuses(self, within_ms: float) -> list[PeerStatus]:
        """Return the last statuses of other routers that are at most ``within_ms`` old."""
        with self._lock:
            return list(self._recent(within_ms).values())

    @property
    def has_live_leader(self) -> bool:
        """Whether this router or another live one leads this router's failure domain."""
        domain = self.own.failure_domain
        statuses = self.recent_statuses(_LEADER_ALIVE_MS)
        return self.leads or any(
            status.leads and status.member.failure_domain == domain for status in statuses
        )

    def names(self) -> list[str]:
        """Return the names of the other routers, alive or only listed."""
        with self._lock:
            return list(self._members)

    def address_of(self, name: str) -> str:
        """Return the address of a router, or an empty string if it is unknown."""
        with self._lock:
            member = self._members.get(name)
        return member.address if member else ""

    def known(self) -> list[Member]:
        """Return the other routers, alive or only listed."""
        with self._lock:
            return list(self._members.values())

    def in_domain(self) -> list[Member]:
        """Return the other routers of this router's failure domain, alive or only listed."""
        return [each for each in self.known() if each.failure_domain == self.own.failure_domain]

    def distance(self, address: str) -> Distance | None:
        """Return how far the router or process at an address is, None if it is not known."""
        with self._lock:
            domain = self._domains.get(address)
        return None if domain is None else self.topology.distance(domain)

    def is_near(self, member: Member) -> bool:
        """Return whether a router is in this router's region."""
        return self.topology.distance(member.failure_domain) is not Distance.OTHER_REGION

    def preferred_witnesses(self, alive: list[Member]) -> list[Member]:
        """Return the preferred witnesses of this router's session among the other live routers.

        Leaders hold the tokens that were drawn for a region. Their witnesses are in another region,
        so that these tokens are not counted as used if the region is lost. The others hold little,
        and their witnesses are in the same region, which answers faster.
        """
        wants_far = self.leads and any(not self.is_near(each) for each in alive)
        return [each for each in alive if self.is_near(each) is not wants_far]

    def lenders(self, max_count: int) -> list[Member]:
        """Return at most ``max_count`` live routers, those that reach the store first.

        Those of this region come before others that reach the store as well, or do not reach it
        either. Within each of these groups, the order is random.
        """
        found = self.recent_statuses(_ALIVE_MS)
        random.shuffle(found)
        found.sort(key=lambda each: (not each.reaches_store, not self.is_near(each.member)))
        return [status.member for status in found[:max_count]]

    def primary(
        self, account: str, suspects: frozenset[str], *, own_reaches: bool | None
    ) -> Member:
        """Return the router that draws an account's tokens from the store, possibly this one.

        It is one of the leaders of failure domains, chosen by rendezvous hashing. All routers
        receive the leaders' status messages often, so they agree without further messages. There
        is one primary for all regions: with one in each, three regions made 3,848 store calls
        instead of 2,288 on the same day, and more tokens were lost when all routers died.

        If the store answers no leader, any router that it answers is chosen, and if it answers
        none, a leader, since leaders hold the tokens that were drawn before. ``own_reaches`` is
        whether the store answers this router, or None to ignore store access. ``suspects`` are
        sessions that recently did not answer.
        """
        now = self._clock.monotonic_ms()
        statuses = [
            status
            for status in self.recent_statuses(_ALIVE_MS)
            if status.member.session not in suspects
            if not status.leads or now - status.received_ms <= _LEADER_ALIVE_MS
        ]
        found = self._responsible(statuses, own_reaches=own_reaches)
        return _first(found, account)

    def decider(self, subject: str, prefix: str, *, own_reaches: bool) -> Member:
        """Return the router that decides on a subject for all regions, possibly this one.

        It is chosen as ``primary`` is, but alike in all regions, and among the routers that receive
        changes below ``prefix`` of the store.
        """
        now = self._clock.monotonic_ms()
        statuses = [
            status
            for status in self._following_statuses(prefix)
            if not status.leads or now - status.received_ms <= self._leader_alive_ms(status.member)
        ]
        return _first(self._responsible(statuses, own_reaches=own_reaches), subject)

    def may_decide_next(self, subject: str, prefix: str) -> bool:
        """Return whether this router is among those that may become the decider on a subject."""
        if self.leads:
            return True
        own_weight = _weight(subject, self.own)
        weights = [_weight(subject, each) for each in self.following(prefix)]
        return sum(weight > own_weight for weight in weights) <= _SUCCESSOR_RANK

    def leading_statuses(self, within_ms: float) -> list[PeerStatus]:
        """Return the last statuses of other leaders, at most ``within_ms`` old.

        Those whose process is known to have ended are left out.
        """
        statuses = self.recent_statuses(within_ms)
        return [status for status in statuses if status.leads and not self._has_ended(status)]

    def _following_statuses(self, prefix: str) -> list[PeerStatus]:
        statuses = self.recent_statuses(_ALIVE_MS)
        return [
            status
            for status in statuses
            if prefix in status.prefixes and not self._has_ended(status)
        ]

    def _has_ended(self, status: PeerStatus) -> bool:
        """Return whether a session was found to have ended and sent no status message since."""
        session, found_ms = self._ended.get(status.member.name, ("", 0.0))
        return session == status.member.session and status.received_ms <= found_ms + _DELAYED_MS

    def _leader_alive_ms(self, member: Member) -> float:
        """Return the time in ms after its last status message for which a leader may decide."""
        is_prompt = self.leads or self.is_near(member)
        return _LEADER_ALIVE_MS if is_prompt else _FAR_LEADER_ALIVE_MS

    def _responsible(self, statuses: list[PeerStatus], *, own_reaches: bool | None) -> list[Member]:
        """Return the routers among which one is responsible for a subject, given the others'.

        These are the leaders that the store answers, otherwise any router that it answers, and
        otherwise the leaders.
        """
        now = self._clock.monotonic_ms()
        own = PeerStatus(self.own, now, reaches_store=bool(own_reaches), leads=self.leads)
        statuses = [*statuses, own]
        leading = [status for status in statuses if status.leads]
        if own_reaches is not None:
            reaching = [status for status in statuses if status.reaches_store]
            leading = [status for status in leading if status.reaches_store] or reaching or leading
        return [status.member for status in leading or statuses]

    def is_first(self, subject: str) -> bool:
        """Return whether this router ranks first among the live ones for a task on ``subject``.

        This selects a single router without any coordination (rendezvous hashing).
        """
        members = [self.own, *self.alive()]
        return max(members, key=lambda each: _weight(subject, each)).name == self.own.name

    def has_restored(self, session: str, era: int) -> bool:
        """Return whether ``session`` reports that ``era`` contains all its account documents."""
        statuses = self.recent_statuses(_ALIVE_MS)
        return any(each.member.session == session and each.restored >= era for each in statuses)

    def all_restored(self, era: int) -> bool:
        """Return whether ``era`` contains all account documents known to other live routers."""
        return all(status.restored >= era for status in self.recent_statuses(_ALIVE_MS))

    def backup_peers(self, subject: str) -> list[Member]:
        """Return the live routers that keep copies of this router's data on ``subject``.

        They are the first by rendezvous hashing among the other routers, of which one is in this
        region and one in another region if there are any: a copy survives the loss of a region.
        """
        ranked = sorted(self.alive(), key=lambda each: _weight(subject, each), reverse=True)
        near = [each for each in ranked if self.is_near(each)]
        far = [each for each in ranked if not self.is_near(each)]
        far_count = min(len(far), max(_BACKUP_COUNT - len(near), 1))
        return near[: _BACKUP_COUNT - far_count] + far[:far_count]

    def find_session(self, session: str) -> Member | None:
        """Return the router, possibly this one, whose current session is ``session``, or None."""
        with self._lock:
            known = (self.own, *(status.member for status in self._statuses.values()))
        return next((member for member in known if member.session == session), None)

    def is_superseded(self, session: str) -> bool:
        """Return whether the session's router is known to have a different current session."""
        router = router_of(session)
        if router == self.own.name:
            return session != self.own.session
        with self._lock:
            status = self._statuses.get(router)
        return status is not None and status.member.session != session

    def is_alive(self, session: str) -> bool:
        """Return whether another router sent a status message in this session recently."""
        return session in {member.session for member in self.alive()}

    def addresses(self) -> list[str]:
        """Return the addresses of the other routers, those of live ones first."""
        with self._lock:
            live = self._recent(_ALIVE_MS)
            ordered = sorted(self._members.values(), key=lambda member: member.name not in live)
            return [member.address for member in ordered]

    def _recent(self, within_ms: float) -> dict[str, PeerStatus]:
        """Return the statuses of at most this age by router name; requires the lock."""
        now = self._clock.monotonic_ms()
        return {
            name: status
            for name, status in self._statuses.items()
            if now - status.received_ms <= within_ms
        }

    def _local_count(self) -> int:
        """Return the number of routers by this router's own data; requires the lock."""
        return max(1 + len(self._members), self.listed)

    def _reported_count(self) -> int:
        """Return the largest number that other routers report from the list; requires the lock.

        Reports of leaders always count, since leaders read the list again and receive the messages
        of all routers. Other reports count only while this router has not read the list itself.
        """
        reported = [
            status.listed
            for status in self._recent(_RETENTION_MS).values()
            if status.leads or not self.listed
        ]
        return max(reported, default=0)

    def register(self, store: KeyValueStore) -> None:
        """Write this router's record to the store; raises AspengateError if that fails."""
        value = msgspec.json.encode(self.own)
        store.transact({}, (Put(MEMBER_PREFIX + self.own.name, value),))
        self.registered = True

    def withdraw(self, store: KeyValueStore) -> None:
        """Remove this router's record from the store; a failure is only logged."""
        try:
            store.remove(MEMBER_PREFIX + self.own.name)
        except AspengateError as error:
            log_change("member.not_withdrawn", error=str(error))


def _first(members: Iterable[Member], subject: str) -> Member:
    """Return the first of ``members`` by rendezvous hashing."""
    return max(members, key=lambda each: _weight(subject, each))


def _weight(subject: str, member: Member) -> int:
    """Return a router's weight for ``subject`` in rendezvous hashing."""
    return xxhash.xxh64_intdigest(f"{subject}/{member.name}".encode())


def host_of(address: str) -> str:
    """Return the host of ``host:port``."""
    return address.rpartition(":")[0]


def peer_addresses(seeds: Iterable[str], port: int) -> list[str]:
    """Return the addresses of the hosts of ``seeds`` with the peers' ``port``."""
    return [f"{host_of(seed)}:{port}" for seed in seeds]
