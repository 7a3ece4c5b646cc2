"""The routers that are registered in the store."""

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

MEMBER_PREFIX = "aspengate/routers/"
_ALIVE_MS = 3_000.0
_REMEMBERED_MS = 60_000.0
# So many other routers remember what the store has granted one: one of them and the router itself
# may die together.
_KEEPERS = 2
# What stands for the build of routers that tell of none.
_NO_BUILD = "untold"
# A leader that was not heard for so long, in ms, draws no tokens: three of its beats.
_LEADER_ALIVE_MS = 1_000.0


class Member(msgspec.Struct, frozen=True):
    """A router as it registers itself: ``address`` is where its peers reach it.

    ``capacity`` tells large instances from small ones: the memory it may use, in MB. ``build`` is
    the name of its program's build, empty in builds that have none.
    """

    name: str
    address: str
    session: str
    failure_domain: str = ""
    capacity: int = 0
    build: str = ""


@dataclass(frozen=True)
class PeerStatus:
    """What a router told of itself last, at ``at_ms`` in monotonic milliseconds.

    ``leads`` tells whether it follows the store for its failure domain, ``listed`` how many
    routers it knows, 0 where it has not read the store's list. ``prefixes`` are the parts of the
    store that it follows or is told of, and of which it names the history. ``restored`` is the
    history of the store that holds all which it knows.
    """

    member: Member
    received_ms: float
    reaches_store: bool = False
    leads: bool = False
    listed: int = 0
    prefixes: frozenset[str] = frozenset()
    restored: int = 0


class MemberList:
    """All registered routers but this one, and when each was last heard.

    ``leads`` tells whether this router itself follows the store for its failure domain.
    """

    def __init__(self, own: Member, clock: Clock) -> None:
        self.own = own
        self.registered = False
        self.listed = 0
        self.leads = False
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._signs: dict[str, PeerStatus] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """How many routers may be alive, this one among them."""
        with self._lock:
            return max(self._known_here(), self._told())

    @property
    def count_known(self) -> bool:
        """Whether ``count`` goes by the store's list, as read by this router or by another."""
        with self._lock:
            return bool(self.listed or self._told())

    @property
    def own_count(self) -> int:
        """How many routers this one knows of itself; 0 where it has not read the store's list."""
        with self._lock:
            return self._known_here() if self.listed else 0

    def update(self, listed: Snapshot) -> None:
        """Take over what is registered in the store."""
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
            for name, sign in self._recent(_REMEMBERED_MS).items():
                members[name] = sign.member
            self._members = members
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
        """Note a sign of life of another router; return whether its run is new to this one."""
        if member.name == self.own.name:
            return False
        now = self._clock.monotonic_ms()
        with self._lock:
            before = self._signs.get(member.name)
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
            self._signs[member.name] = PeerStatus(
                member, now, reaches_store, leads, listed, frozenset(prefixes), restored
            )
            self._members[member.name] = member
            return before is None or before.member.session != member.session

    def alive(self) -> list[Member]:
        """Return the other routers that were heard of lately."""
        return [sign.member for sign in self.recent_statuses(_ALIVE_MS)]

    def builds(self) -> Counter[str]:
        """Return how many routers, of this one and those heard lately, run each build."""
        members = [self.own, *self.alive()]
        return Counter(each.build or _NO_BUILD for each in members)

    def is_router_alive(self, name: str) -> bool:
        """Return whether another router was heard of lately."""
        with self._lock:
            sign = self._signs.get(name)
        return sign is not None and self._clock.monotonic_ms() - sign.received_ms <= _ALIVE_MS

    def recent_statuses(self, within_ms: float) -> list[PeerStatus]:
        """Return the last signs of the other routers that are not older than ``within_ms``."""
        with self._lock:
            return list(self._recent(within_ms).values())

    @property
    def has_live_leader(self) -> bool:
        """Whether this router leads, or has just heard one that leads its failure domain."""
        domain = self.own.failure_domain
        signs = self.recent_statuses(_LEADER_ALIVE_MS)
        return self.leads or any(
            sign.leads and sign.member.failure_domain == domain for sign in signs
        )

    def names(self) -> list[str]:
        """Return the names of the other routers, heard of or only listed."""
        with self._lock:
            return list(self._members)

    def address_of(self, name: str) -> str:
        """Return where a router is reached; empty where it is not known."""
        with self._lock:
            member = self._members.get(name)
        return member.address if member else ""

    def in_domain(self) -> list[Member]:
        """Return the other routers of this router's failure domain, heard of or only listed."""
        with self._lock:
            known = list(self._members.values())
        return [each for each in known if each.failure_domain == self.own.failure_domain]

    def lenders(self, most: int) -> list[Member]:
        """Return up to ``most`` live routers in random order, those that reach the store first."""
        found = self.recent_statuses(_ALIVE_MS)
        random.shuffle(found)
        found.sort(key=lambda sign: not sign.reaches_store)
        return [sign.member for sign in found[:most]]

    def primary(
        self, account: str, suspects: frozenset[str], *, own_reaches: bool | None
    ) -> Member:
        """Return the router that draws an account's tokens, which may be this one.

        It is one of those that lead a failure domain, which all routers hear often: so all agree
        on it, without a message (rendezvous hashing). Where the store answers none of these it is
        any that the store answers, and where there is none either, one that leads: it holds what
        was drawn. ``own_reaches`` tells whether the store answers this router, None that it does
        not matter of any. ``suspects`` are sessions that did not answer lately.
        """
        now = self._clock.monotonic_ms()
        signs = [
            sign
            for sign in self.recent_statuses(_ALIVE_MS)
            if sign.member.session not in suspects
            if not sign.leads or now - sign.received_ms <= _LEADER_ALIVE_MS
        ]
        signs.append(PeerStatus(self.own, now, reaches_store=bool(own_reaches), leads=self.leads))
        leading = [sign for sign in signs if sign.leads]
        if own_reaches is not None:
            reaching = [sign for sign in signs if sign.reaches_store]
            leading = [sign for sign in leading if sign.reaches_store] or reaching or leading
        signs = leading or signs

        return max((sign.member for sign in signs), key=lambda each: _weight(account, each))

    def is_first(self, subject: str) -> bool:
        """Return whether this router ranks first of those heard lately in what is one's to do."""
        members = [self.own, *self.alive()]
        return max(members, key=lambda each: _weight(subject, each)).name == self.own.name

    def has_restored(self, session: str, era: int) -> bool:
        """Return whether a session says that a history of the store holds all that it knows."""
        signs = self.recent_statuses(_ALIVE_MS)
        return any(each.member.session == session and each.restored >= era for each in signs)

    def all_restored(self, era: int) -> bool:
        """Return whether a history of the store holds all that the other live routers know."""
        return all(sign.restored >= era for sign in self.recent_statuses(_ALIVE_MS))

    def backup_peers(self, subject: str) -> list[Member]:
        """Return the routers that remember what this one tells of ``subject``, as far as they live.

        They rank first among the others (rendezvous hashing).
        """
        ranked = sorted(self.alive(), key=lambda each: _weight(subject, each), reverse=True)
        return ranked[:_KEEPERS]

    def find_session(self, session: str) -> Member | None:
        """Return the router whose present run is ``session``, this one among them."""
        with self._lock:
            known = (self.own, *(sign.member for sign in self._signs.values()))
        return next((member for member in known if member.session == session), None)

    def is_superseded(self, session: str) -> bool:
        """Return whether the session's router was heard in another run."""
        router = router_of(session)
        if router == self.own.name:
            return session != self.own.session
        with self._lock:
            heard = self._signs.get(router)
        return heard is not None and heard.member.session != session

    def is_alive(self, session: str) -> bool:
        """Return whether the session was heard of lately."""
        return session in {member.session for member in self.alive()}

    def addresses(self) -> list[str]:
        """Return the addresses of the other routers, those heard of lately first."""
        with self._lock:
            heard = self._recent(_ALIVE_MS)
            ordered = sorted(self._members.values(), key=lambda member: member.name not in heard)
            return [member.address for member in ordered]

    def _recent(self, within_ms: float) -> dict[str, PeerStatus]:
        """Return the signs by name that are not older; call it with the lock held."""
        now = self._clock.monotonic_ms()
        return {
            name: sign for name, sign in self._signs.items() if now - sign.received_ms <= within_ms
        }

    def _known_here(self) -> int:
        """Return how many routers this one was listed or has heard; call it with the lock held."""
        return max(1 + len(self._members), self.listed)

    def _told(self) -> int:
        """Return how many routers others know who read the list; call it with the lock held.

        Leaders read it again and hear all others; the word of the rest counts for a router that
        has not read it.
        """
        told = [
            sign.listed
            for sign in self._recent(_REMEMBERED_MS).values()
            if sign.leads or not self.listed
        ]
        return max(told, default=0)

    def register(self, store: KeyValueStore) -> None:
        """Write this router into the store; raises AspengateError where that fails."""
        value = msgspec.json.encode(self.own)
        store.transact({}, (Put(MEMBER_PREFIX + self.own.name, value),))
        self.registered = True

    def withdraw(self, store: KeyValueStore) -> None:
        """Take this router out of the store, as far as the store can be reached."""
        try:
            store.remove(MEMBER_PREFIX + self.own.name)
        except AspengateError as error:
            log_change("member.not_withdrawn", error=str(error))


def _weight(subject: str, member: Member) -> int:
    """Return a router's rank in what concerns ``subject`` (rendezvous hashing)."""
    return xxhash.xxh64_intdigest(f"{subject}/{member.name}".encode())


def host_of(address: str) -> str:
    """Return the host of ``host:port``."""
    return address.rpartition(":")[0]


def peer_addresses(seeds: Iterable[str], port: int) -> list[str]:
    """Return where the routers named as seeds would listen to their peers."""
    return [f"{host_of(seed)}:{port}" for seed in seeds]
