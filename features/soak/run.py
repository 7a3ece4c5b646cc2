"""Plays a plan on real gateways, with callers that go on calling."""

import contextlib
import itertools
import random
import signal
import threading
import time
from dataclasses import dataclass, field

from platform_standins import Caller, Fleet
from platform_standins.builds import ROOT
from platform_standins.fleet import eventually

from soak.plan import draw_plan, draw_restored, draw_upgrade

ENDED_S = 20.0
RECOVERED_S = 60.0
PACE_S = 0.12
STALL_S = 1.2
DRAIN_S = 2.0
REST_S = 1.5
LAPSE_S = 0.4
ASKED_S = 1.0
# How long a store that comes back from a copy is away, and until its writers have written again.
AWAY_S = 0.5
WRITTEN_AGAIN_S = 0.7
# A record says that its replica leaves so much later at least than its answers do.
RECORDED_LATE_S = 3.0
# Prompts of so many kinds, so that each engine is somebody's first choice.
MOST_PARTS = 12
TOKENS = (400, 60)
PATHS = (("GET", "/receipt", "portal"), ("POST", "/status", "portal"), ("POST", "/score", "engine"))
_numbers = itertools.count(1)


@dataclass
class Call:
    """One request of a caller; ``status`` is 0 where no answer came.

    ``router`` is the process that got it; ``leaving`` tells what the answer said of its replica.
    """

    identity: str
    path: str
    service: str
    sent_s: float
    once: bool
    status: int = 0
    whole: bool = False
    body: bytes = b""
    events: list = field(default_factory=list)
    router: object = None
    ended_s: float = 0.0
    leaving: bool = False


class Soak:
    """One run; ``calls`` are what callers sent and got, ``figures`` what the checks counted.

    With ``earlier``, the folder of another build, all routers begin with that one, are replaced one
    after the other, and back. ``frozen`` are the processes that were stopped, from when to when.
    Where it is ``restored`` the store comes back from copies of itself.
    """

    def __init__(
        self,
        seed,
        seconds,
        routers=4,
        callers=16,
        prepaid=2_000_000,
        earlier=None,
        *,
        restored=False,
    ):
        self.seed, self.seconds, self.size, self.callers = seed, seconds, routers, callers
        # A small ratio: callers ask so often that a usual one would hide what the slack allows.
        self.ratio, self.slack, self.window_s, self.events = 0.02, 40, 10, 5
        self.prepaid = prepaid
        self.earlier = earlier
        self.builds = [earlier or ROOT] * routers
        draw = draw_upgrade if earlier else draw_restored if restored else draw_plan
        self.coming_back = False
        self.plan = draw(seed, seconds, routers)
        self.frozen = []
        self.calls, self.figures, self.happened = [], {}, []
        self.begun_s = 0.0
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._stopped = {}

    def play(self):
        """Play the plan; the fleet is gone afterwards, what was seen stays."""
        with contextlib.ExitStack() as cleanup:
            self.fleet = Fleet(cleanup)
            cleanup.callback(self._wake_all)
            self._start()
            self.begun_s = time.monotonic()
            callers = [
                threading.Thread(target=self._call_on, args=(number,), daemon=True)
                for number in range(self.callers)
            ]
            for thread in callers:
                thread.start()
            self._strike()
            self.figures["recovered"] = self._recovers()
            self._ended.set()
            for thread in callers:
                thread.join(ENDED_S)
        served = sum(1 for call in self.calls if call.status == 200 and call.whole)
        self.figures["calls"], self.figures["served"] = len(self.calls), served
        return self

    def moment(self, at_s):
        """Return when something was, and the faults in force then."""
        since = at_s - self.begun_s
        near = [each.told() for each in self.plan if each.at_s <= since <= each.at_s + each.for_s]
        return f"at {since:.2f} s, in force: {near}"

    def _start(self):
        self.fleet.operator.change(allow_second_replica)
        self.fleet.operator.set_prepaid("board", self.prepaid)
        for service, count in (("portal", 3), ("engine", 3)):
            for _ in range(count):
                self.add_replica(service)
        # In every other run the settings name only instances that are gone.
        hosts = range(11, 14) if self.seed % 2 else range(211, 214)
        self.seeds = ",".join(f"127.0.0.{number}:1" for number in hosts)
        for build in self.builds:
            self.fleet.add_router(ready=False, seeds=self.seeds, build=build, **self._bounds())
        assert eventually(lambda: all(each.is_ready() for each in self.fleet.routers))

    def add_replica(self, service, **fields):
        """Have a replica start; in a run with two builds all say when they did."""
        if self.earlier:
            fields["born"] = int(time.time() * 1_000)
        return self.fleet.add_replica(service, events=self.events, work_s=0.005, **fields)

    def sound(self, service):
        """Return a service's replicas that have neither ended nor said that they leave."""
        return [
            each for each in list(self.fleet.of(service)) if not each.has_ended and not each.leaving
        ]

    def _bounds(self):
        return {
            "retry_ratio": self.ratio,
            "retry_slack": self.slack,
            "retry_window_s": self.window_s,
            "retry_start_ms": 1_500,
            "stop_s": 3,
        }

    def _strike(self):
        for fault in self.plan:
            time.sleep(max(0.0, self.begun_s + fault.at_s - time.monotonic()))
            self.happened.append(fault)
            STRIKES[fault.kind](self, fault)
        time.sleep(max(0.0, self.begun_s + self.seconds - time.monotonic()))

    def _later(self, after_s, action):
        timer = threading.Timer(after_s, action)
        timer.daemon = True
        timer.start()

    def _restart(self, number):
        """Start a router that has ended once more, as the platform does."""
        with self._lock:
            router = self.fleet.routers[number]
            if self._ended.is_set() or not router.has_ended:
                return
            # At its old address: callers still know that, and the system would hand the port
            # to another server of the new process, whose answers then look like a caller's.
            build = self.builds[number]
            again = self.fleet.start_again(router, ready=False, same_port=True, build=build)
            again.lines[:0] = router.lines

    def _recovers(self):
        """Return whether all routers serve again once nothing strikes any more."""
        for endpoint in self.fleet.store.endpoints:
            endpoint.clear_faults()
        for replica in self.fleet.replicas:
            replica.behaviour = "well"
        self._wake_all()

        newest = self.fleet.operator.configuration["configVersion"]

        def knows_newest(router):
            applied = router.find_all("configuration.applied")
            return bool(applied) and applied[-1]["version"] == newest

        def all_serve():
            for number in range(self.size):
                self._restart(number)
            routers = list(self.fleet.routers)
            return all(each.is_ready() and knows_newest(each) for each in routers)

        return bool(eventually(all_serve, RECOVERED_S))

    def _wake_all(self):
        for router in list(self._stopped.values()):
            if not router.has_ended:
                router.process.send_signal(signal.SIGCONT)
        self._stopped.clear()

    def _call_on(self, number):
        """Call on one connection as long as its router keeps it; then try the next router."""
        chance = random.Random(f"{self.seed}/{number}")
        connection, target = None, number
        while not self._ended.is_set():
            try:
                if connection is None:
                    target += 1
                    router = self.fleet.routers[target % self.size]
                    connection = Caller(router.address, 6.0)
                    connection.router = router
                if not self._one_call(connection, chance):
                    connection.close()
                    connection = None
            except OSError:
                connection = None
            self._ended.wait(PACE_S * chance.random())

    def _one_call(self, connection, chance):
        method, prefix, service = chance.choice(PATHS)
        identity = f"{next(_numbers):016x}"
        path = f"{prefix}/{identity}"
        call = Call(identity, path, service, time.monotonic(), prefix == "/status")
        call.router = connection.router
        self.calls.append(call)
        tokens = TOKENS if service == "engine" else None
        body = b"x" if method == "POST" else b""
        parts = ""
        if tokens and self.earlier:
            shared = int(identity, 16) % MOST_PARTS
            parts = f"{shared:x}:{tokens[0] - 1},{identity}:1"
        connection.send(method, path, body=body, tokens=tokens, parts=parts, identity=identity)
        answer = connection.read()
        call.whole, call.body, call.events = answer.whole, answer.body, answer.event_ids
        call.status, call.ended_s = answer.status, time.monotonic()
        call.leaving = bool(answer.header("Server-Leaving"))
        return answer.whole and answer.header("Connection") != "close"


def allow_second_replica(configuration):
    """Let what may run once go to a second replica, where the first one refuses it."""
    for route in configuration["routes"]:
        if route["pathPrefix"] == "/status/":
            route["maxAttempts"] = 2


STRIKES = {}


def strike(kind):
    def register(function):
        STRIKES[kind] = function
        return function

    return register


@strike("kill")
def kill(soak, fault):
    soak.fleet.routers[fault.router].process.kill()
    soak._later(0.3, lambda: soak._restart(fault.router))


@strike("kill all")
def kill_all(soak, fault):
    for number in range(soak.size):
        soak.fleet.routers[number].process.kill()
        soak._later(0.3, lambda number=number: soak._restart(number))


@strike("terminate")
def terminate(soak, fault):
    soak.fleet.routers[fault.router].terminate()
    soak._later(4.0, lambda: soak._restart(fault.router))


@strike("stop")
def stop(soak, fault):
    router = soak.fleet.routers[fault.router]
    router.process.send_signal(signal.SIGSTOP)
    soak._stopped[fault.at_s] = router
    begun_s = time.monotonic()
    soak.frozen.append((router, begun_s, begun_s + fault.for_s))

    def wake():
        if not router.has_ended:
            router.process.send_signal(signal.SIGCONT)

    soak._later(fault.for_s, wake)


@strike("hang up")
def hang_up(soak, fault):
    soak.fleet.routers[fault.router].process.send_signal(signal.SIGHUP)


@strike("store")
def store(soak, fault):
    spoil(soak, [soak.fleet.routers[fault.router].endpoint], fault)


@strike("store of all")
def store_of_all(soak, fault):
    spoil(soak, [router.endpoint for router in soak.fleet.routers], fault)


def spoil(soak, endpoints, fault):
    for endpoint in endpoints:
        if fault.how == "slow":
            endpoint.slow_s = 0.4
        elif fault.how == "lose":
            endpoint.lose_writes = 1_000_000
        else:
            endpoint.fault = fault.how

    def mend():
        for endpoint in endpoints:
            endpoint.clear_faults()

    soak._later(fault.for_s, mend)


@strike("come back")
def come_back(soak, fault):
    """Have the store go away later, and come back as it is now; its writers write again."""
    if soak.coming_back:
        return
    soak.coming_back = True
    store = soak.fleet.store
    earlier = store.copy()

    def away():
        for endpoint in store.endpoints:
            endpoint.fault = "reset"
        soak._later(AWAY_S, back)

    def back():
        lost = store.restore_copy(earlier)
        for endpoint in store.endpoints:
            endpoint.clear_faults()
        soak._later(WRITTEN_AGAIN_S, lambda: written_again(lost))

    def written_again(lost):
        store.rewrite_lost(lost)
        soak.coming_back = False

    soak._later(fault.for_s, away)


@strike("evacuate")
def evacuate(soak, fault):
    """Evacuate a failure domain that no replica is in, so that the operator's part changes."""
    soak.fleet.operator.evacuate("hall-9")
    soak._later(fault.for_s, lambda: soak.fleet.operator.end_evacuation("hall-9"))


@strike("replicas")
def replicas(soak, fault):
    for replica in soak.fleet.replicas:
        if fault.how == "stall":
            replica.stall_s = STALL_S
        elif fault.how != "surplus" or replica.service == "portal":
            # Of the engines' stand-ins a surplus answer is no stream, which gateways pass on.
            replica.behaviour = fault.how

    def mend():
        for replica in soak.fleet.replicas:
            replica.behaviour, replica.stall_s = "well", 0.0

    soak._later(fault.for_s, mend)


@strike("replica crashes")
def replica_crashes(soak, fault):
    service = ("portal", "engine")[fault.router % 2]
    listed = [each for each in soak.fleet.of(service) if not each.has_ended]
    if len(listed) > 1:
        listed[0].has_ended = True
        listed[0].crash()
        listed[0].unlist()
        soak.add_replica(service)


def spoken(soak, fault):
    """Return the one of two or more sound replicas that is asked most, None without another.

    What it says of itself is put to the test only where routers would choose it.
    """
    since_s = time.monotonic() - ASKED_S

    def asked(replica):
        return sum(1 for each in list(replica.requests) if each.at_s >= since_s)

    found = soak.sound(("portal", "engine")[fault.router % 2])
    return max(found, key=asked) if len(found) > 1 else None


@strike("leave")
def leave(soak, fault):
    """Say in answers that it leaves; the record says so later, and another one starts."""
    replica = spoken(soak, fault)
    if replica is None:
        return
    replica.leaving = True
    soak.add_replica(replica.service)

    def end():
        replica.has_ended = True
        replica.unlist()
        soak._later(DRAIN_S + 0.5, replica.crash)

    recorded_s = RECORDED_LATE_S + fault.for_s
    soak._later(recorded_s, lambda: replica.has_ended or replica.list("draining"))
    soak._later(recorded_s + DRAIN_S, end)


@strike("rest")
def rest(soak, fault):
    """Turn requests away and ask for rest."""
    replica = spoken(soak, fault)
    if replica is None:
        return
    replica.behaviour, replica.retry_after = "rest", str(REST_S)

    def mend():
        replica.behaviour = "well"

    soak._later(fault.for_s, mend)


@strike("lapse")
def lapse(soak, fault):
    """Have a record go and come back while its replica lives."""
    replica = spoken(soak, fault)
    if replica is not None:
        replica.unlist()
        soak._later(LAPSE_S, lambda: replica.has_ended or replica.list())


@strike("start again")
def start_again(soak, fault):
    """Have a replica end and start again under its id, at another address."""
    replica = spoken(soak, fault)
    if replica is not None:
        replica.has_ended = True
        replica.crash()
        again = {"identity": replica.identity}
        soak._later(LAPSE_S, lambda: soak.add_replica(replica.service, **again))


@strike("replace")
def replace(soak, fault):
    """Stop a router as planned and start it with the other build."""
    soak.builds[fault.router] = ROOT if fault.how == "new" else soak.earlier
    soak.fleet.routers[fault.router].terminate()
    for after_s in (0.5, 2.0, 4.0):
        soak._later(after_s, lambda: soak._restart(fault.router))


@strike("storm")
def storm(soak, fault):
    """Mark the beginning in the plan; what it consists of strikes by itself."""


@strike("key")
def key(soak, fault):
    soak.fleet.operator.revoke("key-two")
