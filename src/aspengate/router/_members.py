"""What a router knows of the other processes: from the instance list and from heartbeats."""

import threading
from collections.abc import Callable

from aspengate.adapters import Instance, InstanceList, InstanceState
from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.routing import UpstreamRegistry
from aspengate.table import TableView
from aspengate.telemetry import Counters
from aspengate.transport import Heartbeat, LoadReport, Peer

_SILENT_HEARTBEATS = 4


class Members:
    """The live routers and agents, as this router sees them.

    ``generation`` grows whenever a router came, went or was replaced.

    Routers count as live while they are listed as live and are not known to be silent; their
    sessions come with their heartbeats.
    """

    def __init__(
        self,
        *,
        name: str,
        session: str,
        region: str,
        listed: InstanceList,
        registry: UpstreamRegistry,
        peer: Peer,
        clock: Clock,
        counters: Counters,
        heartbeat_ms: float,
        table: Callable[[], TableView],
    ) -> None:
        self.name = name
        self.session = session
        self.region = region
        self.instances: tuple[Instance, ...] = ()
        self.listed_ms = 0
        self.leaving = False
        self.generation = 0
        self._listed = listed
        self._registry = registry
        self._peer = peer
        self._clock = clock
        self._counters = counters
        self._heartbeat_ms = heartbeat_ms
        self._table = table
        self._heard: dict[str, tuple[float, Heartbeat]] = {}
        self._first_seen: dict[str, float] = {}
        self._lock = threading.Lock()

    def poll(self) -> None:
        """Read the instance list; an old one stays in use while it can't be read."""
        asked_ms = self._clock.now_ms()
        try:
            instances = self._listed.instances()
        except AspengateError:
            self._counters.count("members.list_unavailable")
            instances = self.instances
        else:
            self.listed_ms = asked_ms
        now = self._clock.monotonic_ms()
        with self._lock:
            if _routers_of(instances) != _routers_of(self.instances):
                self.generation += 1
            self.instances = instances
            names = {instance.name for instance in instances}
            self._first_seen = {name: self._first_seen.get(name, now) for name in names}
        self._registry.update(instances, self._table())

    def send_heartbeats(self) -> None:
        """Tell the routers of the region, and the agents that this router uses, that it lives."""
        message = Heartbeat(
            sender=self.name,
            reply_to=self._peer.address,
            session=self.session,
            load=LoadReport(leaving=self.leaving, reported_ms=self._clock.now_ms()),
            table_version=self._table().version,
        )
        routers = [
            each.address
            for each in self.instances
            if each.role == "router" and each.region == self.region and each.name != self.name
        ]
        for address in (*routers, *self._registry.addresses()):
            self._peer.send(address, message)

    def heard(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat from a router or an agent."""
        if heartbeat.session:
            with self._lock:
                before = self._heard.get(heartbeat.sender)
                if before is not None and before[1].session != heartbeat.session:
                    self.generation += 1
                self._heard[heartbeat.sender] = (self._clock.monotonic_ms(), heartbeat)
            return
        self._registry.record_report(heartbeat.reply_to, heartbeat.load)

    def versions(self) -> dict[str, int]:
        """Return the table version that each router last spoke of."""
        with self._lock:
            return {name: beat.table_version for name, (_, beat) in self._heard.items()}

    def routers(self, *, regional: bool) -> dict[str, str]:
        """Return names and addresses of the other live routers, of our region or of all."""
        now = self._clock.monotonic_ms()
        with self._lock:
            return {
                instance.name: instance.address
                for instance in self.instances
                if instance.role == "router"
                and instance.name != self.name
                and instance.state is InstanceState.LIVE
                and (instance.region == self.region or not regional)
                and (instance.region != self.region or self._is_heard(instance.name, now))
            }

    def sharing_region(self) -> int:
        """Return how many live routers of the region are listed, heard or not, with this one.

        0 where the list was never read.
        """
        if not self.listed_ms:
            return 0
        with self._lock:
            others = [
                instance
                for instance in self.instances
                if instance.role == "router"
                and instance.name != self.name
                and instance.region == self.region
                and instance.state is InstanceState.LIVE
            ]
        return 1 + len(others)

    def processes(self) -> frozenset[str]:
        """Return the addresses of all listed processes but this one."""
        return frozenset(
            instance.address for instance in self.instances if instance.name != self.name
        )

    def is_dead(self, session: str) -> bool:
        """Return whether a session's process is gone: delisted, or replaced by a newer one."""
        if session == self.session:
            return False
        name = session.partition(".")[0]
        if not self.listed_ms:
            return False
        if name not in {instance.name for instance in self.instances}:
            return True
        with self._lock:
            heard = self._heard.get(name)
        return heard is not None and heard[1].session != session

    def _is_heard(self, name: str, now: float) -> bool:
        heard = self._heard.get(name)
        silent_after = _SILENT_HEARTBEATS * self._heartbeat_ms
        if heard is None:
            return now - self._first_seen.get(name, now) < silent_after
        return now - heard[0] < silent_after and not heard[1].load.leaving


def _routers_of(instances: tuple[Instance, ...]) -> frozenset[tuple[str, str]]:
    return frozenset((each.name, each.address) for each in instances if each.role == "router")
