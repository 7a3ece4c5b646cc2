"""Plays a plan on real gateways, with callers that go on calling."""

import contextlib
import itertools
import random
import signal
import threading
import time
from dataclasses import dataclass, field

from platform_standins import Caller, Fleet
from platform_standins.fleet import eventually

from soak.plan import draw_plan

ENDED_S = 20.0
RECOVERED_S = 60.0
PACE_S = 0.12
STALL_S = 1.2
TOKENS = (400, 60)
PATHS = (("GET", "/receipt", "portal"), ("POST", "/status", "portal"), ("POST", "/score", "engine"))
_numbers = itertools.count(1)


@dataclass
class Call:
    """One request of a caller; ``status`` is 0 where no answer came."""

    identity: str
    path: str
    service: str
    sent_s: float
    once: bool
    status: int = 0
    whole: bool = False
    body: bytes = b""
    events: list = field(default_factory=list)


class Soak:
    """One run; ``calls`` are what callers sent and got, ``figures`` what the checks counted."""

    def __init__(self, seed, seconds, routers=4, callers=16, prepaid=2_000_000):
        self.seed, self.seconds, self.size, self.callers = seed, seconds, routers, callers
        # A small ratio: callers ask so often that a usual one would hide what the slack allows.
        self.ratio, self.slack, self.window_s, self.events = 0.02, 40, 10, 5
        self.prepaid = prepaid
        self.plan = draw_plan(seed, seconds, routers)
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
                self.fleet.add_replica(service, events=self.events, work_s=0.005)
        # In every other run the settings name only instances that are gone.
        hosts = range(11, 14) if self.seed % 2 else range(211, 214)
        self.seeds = ",".join(f"127.0.0.{number}:1" for number in hosts)
        for _ in range(self.size):
            self.fleet.add_router(ready=False, seeds=self.seeds, **self._bounds())
        assert eventually(lambda: all(each.is_ready() for each in self.fleet.routers))

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
            again = self.fleet.start_again(router, ready=False, same_port=True)
            again.lines[:0] = router.lines

    def _recovers(self):
        """Return whether all routers serve again once nothing strikes any more."""
        for door in self.fleet.store.doors:
            door.mend()
        for replica in self.fleet.replicas:
            replica.behaviour = "well"
        self._wake_all()

        def all_serve():
            for number in range(self.size):
                self._restart(number)
            return all(each.is_ready() for each in list(self.fleet.routers))

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
                    connection = Caller(self.fleet.routers[target % self.size].address, 6.0)
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
        self.calls.append(call)
        tokens = TOKENS if service == "engine" else None
        body = b"x" if method == "POST" else b""
        connection.send(method, path, body=body, tokens=tokens, identity=identity)
        answer = connection.read()
        call.whole, call.body, call.events = answer.whole, answer.body, answer.event_ids
        call.status = answer.status
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

    def wake():
        if not router.has_ended:
            router.process.send_signal(signal.SIGCONT)

    soak._later(fault.for_s, wake)


@strike("hang up")
def hang_up(soak, fault):
    soak.fleet.routers[fault.router].process.send_signal(signal.SIGHUP)


@strike("store")
def store(soak, fault):
    spoil(soak, [soak.fleet.routers[fault.router].door], fault)


@strike("store of all")
def store_of_all(soak, fault):
    spoil(soak, [router.door for router in soak.fleet.routers], fault)


def spoil(soak, doors, fault):
    for door in doors:
        if fault.how == "slow":
            door.slow_s = 0.4
        elif fault.how == "lose":
            door.lose_writes = 1_000_000
        else:
            door.fault = fault.how

    def mend():
        for door in doors:
            door.mend()

    soak._later(fault.for_s, mend)


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
    listed = [each for each in soak.fleet.of(service) if not each.gone]
    if len(listed) > 1:
        listed[0].gone = True
        listed[0].crash()
        listed[0].unlist()
        soak.fleet.add_replica(service, events=soak.events, work_s=0.005)


@strike("storm")
def storm(soak, fault):
    """Mark the beginning in the plan; what it consists of strikes by itself."""


@strike("key")
def key(soak, fault):
    soak.fleet.operator.revoke("key-two")
