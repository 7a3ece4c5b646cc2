"""Stream directories of several routers over a fake network, with lists that lag."""

from aspengate.clock import ManualClock
from aspengate.configuration import FleetConfiguration, Route, RouteKind, Service, WeightedService
from aspengate.connections import Waiter
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway import CallerRequest
from aspengate.gateway._exchange import Exchange
from aspengate.gateway.streams import StreamDirectory, StreamPeers
from aspengate.peers import StreamNotice, StreamQuery, StreamReply
from aspengate.replicas import Replica
from aspengate.telemetry import NullCounters

ROUTERS = 3
VERSIONS = ("v1", "v2", "v3")
SERVICE = Service("engine")
OTHER_SERVICE = Service("other-engine")
ROUTE = Route(
    name="r-score",
    host="board.example",
    path_prefix="/score/",
    kind=RouteKind.STREAMING,
    services=(WeightedService("engine", 1), WeightedService("other-engine", 1)),
    timeout_ms=5_000.0,
    objective_ms=800.0,
    resumable=True,
)
# A stream is taken up again within this time only, which the route's timeout promises.
LIFETIME_MS = 9_500.0


class DirectoryFleet:
    """Routers with a directory each, and a store whose list each router sees when it is told to.

    A router that is cut reaches neither the store nor other routers. ``mixed`` are the streams
    that were continued at another version than the one that began them, and ``sent`` all messages.
    """

    def __init__(self, versions=("v1",)):
        self.clock = ManualClock()
        self.numbers = {f"i-{version}": 1 for version in VERSIONS}
        self.versions_of = {f"i-{version}": version for version in VERSIONS}
        self.listed = {f"i-{version}" for version in versions}
        self.cut_routers = set()
        self.dead = set()
        self.losing = set()
        self.seen = {}
        self.sent = []
        self.mixed = []
        self.streams = []
        self.begun = []
        self.routers = [self._make_router(index) for index in range(ROUTERS)]
        for index in range(ROUTERS):
            self.see(index)

    def apply(self, name, *arguments):
        """Apply an event by its name."""
        getattr(self, name.replace(" ", "_"))(*arguments)

    def list(self, version):
        self.listed.add(f"i-{version}")

    def drop(self, version):
        self.listed.discard(f"i-{version}")

    def see(self, router):
        """Bring a router's list of replicas up to date, if it reaches the store."""
        if router not in self.cut_routers | self.dead:
            self.seen[router] = self._list()
            self.routers[router].handle_replicas(self.seen[router])

    def cut(self, router):
        self.cut_routers.add(router)

    def join(self, router):
        """End a cut; the router reads the store's list at once."""
        self.cut_routers.discard(router)
        self.see(router)

    def lose(self, router):
        """Lose the messages that a router sends from now on, until it is told again."""
        self.losing ^= {router}

    def kill(self, router):
        self.dead.add(router)

    def start(self, router):
        """Start a router again, without anything that it knew."""
        if router in self.dead:
            self.dead.discard(router)
            self.routers[router] = self._make_router(router)
            self.seen.pop(router, None)
            self.see(router)

    def wait(self, duration_ms):
        self.clock.advance(duration_ms)

    def begin(self, router, version):
        """Begin a stream at a replica of a version, if the router lists one."""
        found = [each for each in self.seen.get(router, ()) if each.version == version]
        if found and router not in self.dead:
            exchange = self._exchange(f"begun-{len(self.streams)}")
            pin = self.routers[router].record_first_event(exchange, found[0])
            self.begun.append((exchange, pin))
            self.streams.append((version, self.clock.time_ms))

    def take_up(self, router, number):
        """Take a stream up; return the version at which the router continues it, or None."""
        if number >= len(self.streams) or router in self.dead or router not in self.seen:
            return None
        version, begun_ms = self.streams[number]
        if self.clock.time_ms - begun_ms > LIFETIME_MS:
            return None
        found = self._resume(router, number)
        if found is not None and found.version != version:
            self.mixed.append((number, version, found.version))
        return None if found is None else found.version

    def may_continue(self, router, number):
        """Return whether a router lists a replica at which a stream may continue."""
        pin, directory = self._resume(router, number), self.routers[router]
        return pin is not None and any(directory.admits(pin, each) for each in self.seen[router])

    def may_continue_response(self, router, number):
        """Return whether the router that began a stream may continue it in the same response."""
        exchange, pin = self.begun[number]
        pin = self.routers[router].recheck(exchange, pin)
        return any(self.routers[router].admits(pin, each) for each in self.seen[router])

    def change_version(self, version, other):
        """Restart the replica of a version at another one, under its id."""
        self.versions_of[f"i-{version}"] = other
        self.numbers[f"i-{version}"] = 1

    def announce(self, router):
        """Have a router tell the others of its streams, as it does when a version is added."""
        self.routers[router]._announce("engine")

    def add_replica(self, version):
        """List another replica of a version."""
        identity = f"i-{version}-other"
        self.versions_of[identity], self.numbers[identity] = version, 1
        self.listed.add(identity)

    def rewrite(self, version):
        """Write the record of a replica again; all routers see it."""
        self.numbers[f"i-{version}"] += 1
        for router in range(ROUTERS):
            self.see(router)

    def end_process(self, version):
        for directory in self.routers:
            directory.handle_ended_replica(f"i-{version}")

    def _resume(self, router, number):
        request = self._exchange(f"resuming-{number}", resumes=f"begun-{number}")
        try:
            return self.routers[router].resume(request).pin
        except AspengateError as error:
            assert error.kind is ErrorKind.STREAM_UNKNOWN, error
            return None

    def _list(self):
        return [
            Replica(each, "engine", "", version=self.versions_of[each], number=self.numbers[each])
            for each in sorted(self.listed)
        ]

    def resumed_service(self, router, number):
        """Return the service at which a stream continues whose request drew the other service."""
        exchange = self._exchange("resuming", resumes=f"begun-{number}", service=OTHER_SERVICE)
        return self.routers[router].resume(exchange).known_service.name

    def _exchange(self, request_id, resumes="", service=SERVICE):
        request = CallerRequest(
            request_id=request_id,
            method="POST",
            target="/score/1",
            host=ROUTE.host,
            path="/score/1",
            headers=(),
            body=b"",
            key="",
            received_ms=0.0,
            last_event_id="1" if resumes else "",
            resumes=resumes,
        )
        services = {each.name: each for each in (SERVICE, OTHER_SERVICE)}
        configuration = FleetConfiguration(version=1, services=services)
        waiter = Waiter(self.clock, None, float("inf"))
        return Exchange(request, configuration, waiter, ROUTE, service)

    def _make_router(self, index):
        def others(_):
            return [str(each) for each in range(ROUTERS) if each not in {index} | self.dead]

        peers = StreamPeers(
            holders=others,
            all_asked=others,
            send=lambda message, address: self._send(index, message, int(address)),
            has_current_list=lambda: self._has_current_list(index),
        )
        directory = StreamDirectory(self.clock, NullCounters(), peers)
        directory.queries.reply_timeout_ms = 0.0
        return directory

    def _has_current_list(self, router):
        """Return what a router can know: the store confirms its list, or all are in contact."""
        lists = [self.seen.get(each) for each in range(ROUTERS)]
        is_whole = not self.cut_routers | self.dead and all(each == lists[0] for each in lists)
        return is_whole or (
            router not in self.cut_routers and self.seen.get(router) == self._list()
        )

    def _send(self, sender, message, receiver):
        self.sent.append(message)
        unreachable = self.cut_routers | self.dead
        if sender in unreachable | self.losing or receiver in unreachable:
            return
        directory = self.routers[receiver]
        match message:
            case StreamNotice():
                directory.handle_notice(message)
            case StreamQuery():
                self._send(receiver, directory.handle_query(message), sender)
            case StreamReply():
                directory.queries.handle_reply(message, str(sender))
