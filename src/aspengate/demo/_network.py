"""Links between regions that can be cut: wrappers around sockets, store and instance list."""

from dataclasses import dataclass, field

from aspengate.adapters import Entry, Instance, InstanceList, Store
from aspengate.errors import AspengateError, ErrorKind
from aspengate.telemetry import Counters
from aspengate.transport import Message, Peer, Sealer


@dataclass
class Network:
    """Knows which regions are cut off from the others and from the platform."""

    sealer: Sealer
    cut: set[str] = field(default_factory=set)
    region_of: dict[str, str] = field(default_factory=dict)

    def is_open(self, region: str, address: str) -> bool:
        """Return whether a process in ``region`` reaches the process at ``address``."""
        other = self.region_of.get(address, region)
        return region == other or not ({region, other} & self.cut)

    def peer(self, region: str, listen: str, counters: Counters) -> Peer:
        """Return a peer whose messages are lost while its region is cut off."""
        peer = _CuttablePeer(self, region, listen, counters)
        self.region_of[peer.address] = region
        return peer

    def store(self, region: str, store: Store) -> Store:
        """Return the store as a region sees it."""
        return _CuttableStore(self, region, store)

    def instance_list(self, region: str, listed: InstanceList) -> InstanceList:
        """Return the instance list as a region sees it."""
        return _CuttableList(self, region, listed)

    def check(self, region: str) -> None:
        """Raise STORE_UNAVAILABLE where a region is cut off from the platform."""
        if region in self.cut:
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, "the region is cut off")


class _CuttablePeer(Peer):
    def __init__(self, network: Network, region: str, listen: str, counters: Counters) -> None:
        super().__init__(listen, network.sealer, counters)
        self._network = network
        self._region = region

    def send(self, address: str, message: Message) -> bool:
        if not self._network.is_open(self._region, address):
            self.counters.count("network.lost")
            return True
        return super().send(address, message)


@dataclass(frozen=True)
class _CuttableStore:
    network: Network
    region: str
    inner: Store

    def get(self, key: str) -> Entry | None:
        self.network.check(self.region)
        return self.inner.get(key)

    def compare_and_swap(self, key: str, revision: int, value: bytes) -> int | None:
        self.network.check(self.region)
        return self.inner.compare_and_swap(key, revision, value)

    def watch(self, key: str, after_revision: int, timeout_ms: float) -> Entry | None:
        self.network.check(self.region)
        return self.inner.watch(key, after_revision, min(timeout_ms, 1_000))


@dataclass(frozen=True)
class _CuttableList:
    network: Network
    region: str
    inner: InstanceList

    def instances(self) -> tuple[Instance, ...]:
        self.network.check(self.region)
        return self.inner.instances()
