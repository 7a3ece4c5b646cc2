"""The routers that are registered in the store."""

import threading
from collections.abc import Iterable

import msgspec

from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.store import KeyValueStore, MirrorState, Put
from aspengate.telemetry import log_change

MEMBER_PREFIX = "aspengate/routers/"
_ALIVE_MS = 3_000.0


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
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._heard_ms: dict[str, float] = {}
        self._lock = threading.Lock()

    @property
    def count(self) -> int:
        """How many routers may be alive, this one among them."""
        with self._lock:
            return 1 + len(self._members)

    def update(self, state: MirrorState) -> None:
        """Take over what is registered in the store."""
        members = {}
        for item in state.items.values():
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
            self._members = members

    def heard(self, member: Member) -> None:
        """Note a sign of life of another router."""
        if member.name == self.own.name:
            return
        with self._lock:
            if member.name not in self._heard_ms:
                log_change("member.heard", name=member.name, address=member.address)
            self._heard_ms[member.name] = self._clock.monotonic_ms()
            self._members[member.name] = member

    def alive(self) -> list[str]:
        """Return the addresses of the other routers that were heard of lately."""
        now = self._clock.monotonic_ms()
        with self._lock:
            return [
                member.address
                for name, member in self._members.items()
                if now - self._heard_ms.get(name, float("-inf")) <= _ALIVE_MS
            ]

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
