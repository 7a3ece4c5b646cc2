"""The routers that are registered in the store."""

import random
import threading
from collections.abc import Iterable

import msgspec
import xxhash

from aspengate.allowances import router_of
from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.store import KeyValueStore, Put, Snapshot
from aspengate.telemetry import log_change

MEMBER_PREFIX = "aspengate/routers/"
_ALIVE_MS = 3_000.0
_REMEMBERED_MS = 60_000.0


class Member(msgspec.Struct, frozen=True):
    """A router as it registers itself: ``address`` is where its peers reach it."""

    name: str
    address: str
    session: str


class MemberList:
    """All registered routers but this one, and when each was last heard."""

    def __init__(self, own: Member, clock: Clock) -> None:
        self.own = own
        self.registered = False
        self.listed = 0
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._heard: dict[str, Member] = {}
        self._told_listed = 0
        self._reaches_store: dict[str, bool] = {}
        self._heard_ms: dict[str, float] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """How many routers may be alive, this one among them."""
        with self._lock:
            return max(1 + len(self._members), self.listed, self._told_listed)

    def update(self, listed: Snapshot) -> None:
        """Take over what is registered in the store."""
        members = {}
        for item in listed.items:
            try:
                member = msgspec.json.decode(item.value, type=Member)
            except msgspec.MsgspecError as error:
                log_change("member.unreadable", key=item.key, error=str(error))
                continue
            if member.name != self.own.name:
                members[member.name] = member
            else:
                self.registered = member == self.own
        with self._lock:
            now = self._clock.monotonic_ms()
            for name, member in self._heard.items():
                if now - self._heard_ms[name] <= _REMEMBERED_MS:
                    members[name] = member
            self._members = members
            self.listed = 1 + len(members)
            self._told_listed = 0

    def heard(self, member: Member, *, reaches_store: bool = False, listed: int = 0) -> None:
        """Note a sign of life of another router, with what else its news tell."""
        if member.name == self.own.name:
            return
        with self._lock:
            before = self._heard.get(member.name)
            if before is None:
                log_change("member.heard", name=member.name, address=member.address)
            elif before.session != member.session:
                log_change("member.runs_again", name=member.name, session=member.session)
            self._heard_ms[member.name] = self._clock.monotonic_ms()
            self._heard[member.name] = member
            self._reaches_store[member.name] = reaches_store
            if not self.listed:
                self._told_listed = max(self._told_listed, listed)
            self._members[member.name] = member

    def alive(self) -> list[Member]:
        """Return the other routers that were heard of lately."""
        now = self._clock.monotonic_ms()
        with self._lock:
            return [
                member
                for name, member in self._heard.items()
                if now - self._heard_ms[name] <= _ALIVE_MS
            ]

    def lenders(self, most: int) -> list[Member]:
        """Return up to ``most`` live routers in random order, those that reach the store first."""
        found = self.alive()
        random.shuffle(found)
        with self._lock:
            reached = dict(self._reaches_store)
        found.sort(key=lambda member: not reached.get(member.name, False))
        return found[:most]

    def primary(
        self, account: str, suspects: frozenset[str], *, own_reaches: bool | None
    ) -> Member:
        """Return the router that draws an account's tokens, which may be this one.

        All routers that hear the same agree on it, without a message (rendezvous hashing). One
        that the store does not answer is primary only where no other is left; ``own_reaches``
        tells that of this router, None that it does not matter of any. ``suspects`` are sessions
        that did not answer lately.
        """
        found = [member for member in self.alive() if member.session not in suspects]
        found.append(self.own)
        if own_reaches is not None:
            with self._lock:
                reaching = {name for name, yes in self._reaches_store.items() if yes}
            reaching |= {self.own.name} if own_reaches else set()
            found = [member for member in found if member.name in reaching] or found

        def weight(member: Member) -> int:
            return xxhash.xxh64_intdigest(f"{account}/{member.name}".encode())

        return max(found, key=weight)

    def runs(self, session: str) -> Member | None:
        """Return the router whose present run is ``session``, this one among them."""
        with self._lock:
            known = (self.own, *self._heard.values())
        return next((member for member in known if member.session == session), None)

    def is_superseded(self, session: str) -> bool:
        """Return whether the session's router was heard in another run."""
        router = router_of(session)
        if router == self.own.name:
            return session != self.own.session
        with self._lock:
            heard = self._heard.get(router)
        return heard is not None and heard.session != session

    def is_alive(self, session: str) -> bool:
        """Return whether the session was heard of lately."""
        return session in {member.session for member in self.alive()}

    def addresses(self) -> list[str]:
        """Return the addresses of the other routers, those heard of lately first."""
        now = self._clock.monotonic_ms()
        with self._lock:
            heard = {name for name, at in self._heard_ms.items() if now - at <= _ALIVE_MS}
            ordered = sorted(self._members.values(), key=lambda member: member.name not in heard)
            return [member.address for member in ordered]

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


def host_of(address: str) -> str:
    """Return the host of ``host:port``."""
    return address.rpartition(":")[0]


def peer_addresses(seeds: Iterable[str], port: int) -> list[str]:
    """Return where the routers named as seeds would listen to their peers."""
    return [f"{host_of(seed)}:{port}" for seed in seeds]
