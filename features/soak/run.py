"""Runs a fault schedule against real gateway processes under constant load from callers."""

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

from soak.crashing import (
    ENGINES,
    SOUND_PROMPT,
    SOUND_TIMEOUT_S,
    CrashingCaller,
    serves_sound_streams,
)
from soak.plan import draw_crashing, draw_plan, draw_restored, draw_upgrade

CALLER_JOIN_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 60.0
# Upper limit of the random pause between two requests of a caller.
MAX_PAUSE_S = 0.12
STALL_S = 1.2
DRAIN_S = 2.0
BACKOFF_S = 1.5
LAPSE_S = 0.4
# The busiest replica is the one with the most requests in this time.
BUSY_WINDOW_S = 1.0
# How long the store is unavailable before it is restored, and how long after that its writers
# write their lost values again.
RESTORE_OUTAGE_S = 0.5
REWRITE_DELAY_S = 0.7
# A replica's record says that it is leaving at least this much later than its responses do.
RECORD_DELAY_S = 3.0
# Number of distinct shared prompt segments. There are enough that each engine is the preferred
# replica of some requests.
SHARED_SEGMENTS = 12
# Prompt tokens and maximum output tokens of a request.
TOKENS = (400, 60)
# Method, path prefix and service of the requests that callers send.
REQUEST_KINDS = (
    ("GET", "/receipt", "portal"),
    ("POST", "/status", "portal"),
    ("POST", "/score", "engine"),
)
_numbers = itertools.count(1)


@dataclass
class Call:
    """Records one request of a caller and its response.

    ``status`` is 0 if no response came. ``at_most_once`` marks requests that must not be retried.
    ``router`` is the process that received the request, ``leaving`` whether the response said that
    its replica is leaving. Times are of the monotonic clock.
    """

    request_id: str
    path: str
    service: str
    sent_s: float
    at_most_once: bool
    status: int = 0
    is_complete: bool = False
    body: bytes = b""
    event_ids: list = field(default_factory=list)
    router: object = None
    ended_s: float = 0.0
    leaving: bool = False


class SoakRun:
    """Runs one fault schedule and records what the invariants are checked against.

    ``calls`` are the requests of all callers, ``injected`` the faults that were injected,
    ``stopped_spans`` the router processes that were stopped (SIGSTOP) with start and end, and
    ``figures`` the counts that are printed at the end.

    With ``earlier``, the folder of another build, all routers start with that build, are replaced
    by the current one in turn, and are rolled back. With ``restored`` the store is repeatedly
    replaced by an earlier copy of itself. With ``crashing`` one caller's prompts have a segment
    that crashes engine replicas.
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
        crashing=False,
    ):
        self.seed, self.seconds = seed, seconds
        self.router_count, self.caller_count = routers, callers
        # The ratio is small because callers send so many requests that a usual ratio would hide
        # the effect of the slack.
        self.retry_ratio, self.retry_slack, self.retry_window_s = 0.02, 40, 10
        self.stream_events = 5
        self.prepaid = prepaid
        self.earlier = earlier
        self.builds = [earlier or ROOT] * routers
        self.crashing = CrashingCaller(self) if crashing else None
        draw = draw_crashing if crashing else draw_restored if restored else draw_plan
        draw = draw_upgrade if earlier else draw
        self.restoring = False
        self.plan = draw(seed, seconds, routers)
        self.stopped_spans = []
        self.calls, self.figures, self.injected = [], {}, []
        self.started_s = 0.0
        self._ended = threading.Event()
        self._lock = threading.Lock()
        self._stopped_routers = {}

    def run(self):
        """Run the schedule and return self. The fleet is stopped on return; the records stay."""
        with contextlib.ExitStack() as cleanup:
            self.fleet = Fleet(cleanup)
            cleanup.callback(self._resume_all)
            self._start()
            self.started_s = time.monotonic()
            callers = [
                threading.Thread(target=self._run_caller, args=(number,), daemon=True)
                for number in range(self.caller_count)
            ]
            if self.crashing:
                callers.append(threading.Thread(target=self.crashing.run, daemon=True))
            for thread in callers:
                thread.start()
            self._inject_faults()
            self.figures["recovered"] = self._recover()
            self._ended.set()
            for thread in callers:
                thread.join(CALLER_JOIN_TIMEOUT_S)
        served = sum(1 for call in self.calls if call.status == 200 and call.is_complete)
        self.figures["calls"], self.figures["served"] = len(self.calls), served
        return self

    def describe_moment(self, at_s):
        """Return a time of the monotonic clock as time since the start, with the active faults."""
        since_s = at_s - self.started_s
        active = [
            fault.describe()
            for fault in self.plan
            if fault.start_s <= since_s <= fault.start_s + fault.duration_s
        ]
        return f"at {since_s:.2f} s, in force: {active}"

    def _start(self):
        self.fleet.operator.change(allow_second_replica)
        self.fleet.operator.set_prepaid("board", self.prepaid)
        engines = ENGINES if self.crashing else 3
        for service, count in (("portal", 3), ("engine", engines)):
            for _ in range(count):
                self.add_replica(service)
        # With an even seed, the settings list only peer addresses of instances that are gone.
        hosts = range(11, 14) if self.seed % 2 else range(211, 214)
        self.seed_addresses = ",".join(f"127.0.0.{number}:1" for number in hosts)
        for build in self.builds:
            self.fleet.add_router(
                ready=False, seeds=self.seed_addresses, build=build, **self._retry_settings()
            )
        assert eventually(lambda: all(each.is_ready() for each in self.fleet.routers))

    def add_replica(self, service, **fields):
        """Start a replica. In upgrade runs its record holds its start time."""
        if self.earlier:
            fields["born"] = int(time.time() * 1_000)
        fields = {"events": self.stream_events, "work_s": 0.005, **fields}
        replica = self.fleet.add_replica(service, **fields)
        if self.crashing and service == "engine":
            self.crashing.arm(replica)
        return replica

    def has_ended(self, wait_s):
        """Wait for the end of the run at most ``wait_s``; return whether it has ended."""
        return self._ended.wait(wait_s)

    def healthy_replicas(self, service):
        """Return a service's replicas that have neither ended nor reported that they leave."""
        return [
            each for each in list(self.fleet.of(service)) if not each.has_ended and not each.leaving
        ]

    def _retry_settings(self):
        return {
            "retry_ratio": self.retry_ratio,
            "retry_slack": self.retry_slack,
            "retry_window_s": self.retry_window_s,
            "retry_start_ms": 1_500,
            "stop_s": 3,
        }

    def _inject_faults(self):
        for fault in self.plan:
            time.sleep(max(0.0, self.started_s + fault.start_s - time.monotonic()))
            self.injected.append(fault)
            INJECTORS[fault.kind](self, fault)
        time.sleep(max(0.0, self.started_s + self.seconds - time.monotonic()))

    def schedule(self, after_s, action):
        """Call an action on another thread after a delay."""
        timer = threading.Timer(after_s, action)
        timer.daemon = True
        timer.start()

    def restart_router(self, number):
        """Restart a router by its index if its process has ended, as the platform does."""
        with self._lock:
            router = self.fleet.routers[number]
            if self._ended.is_set() or not router.has_ended:
                return
            # The router keeps its port because callers still connect to it. The system could
            # otherwise assign that port to another server of the new process, whose responses
            # would be taken for those of the gateway.
            build = self.builds[number]
            restarted = self.fleet.start_again(router, ready=False, same_port=True, build=build)
            restarted.lines[:0] = router.lines

    def _recover(self):
        """Clear the faults and return whether all routers then serve the newest configuration."""
        for endpoint in self.fleet.store.endpoints:
            endpoint.clear_faults()
        for replica in self.fleet.replicas:
            replica.behaviour = "well"
        self._resume_all()

        newest = self.fleet.operator.configuration["configVersion"]

        def is_current(router):
            applied = router.find_all("configuration.applied")
            return bool(applied) and applied[-1]["version"] == newest

        def all_serve():
            for number in range(self.router_count):
                self.restart_router(number)
            routers = list(self.fleet.routers)
            return all(each.is_ready() and is_current(each) for each in routers)

        if not eventually(all_serve, RECOVERY_TIMEOUT_S):
            return False
        return not self.crashing or all(
            eventually(lambda: serves_sound_streams(self, router), SOUND_TIMEOUT_S)  # noqa: B023
            for router in list(self.fleet.routers)
        )

    def _resume_all(self):
        for router in list(self._stopped_routers.values()):
            if not router.has_ended:
                router.process.send_signal(signal.SIGCONT)
        self._stopped_routers.clear()

    def _run_caller(self, number):
        """Send requests on one connection until it closes, then connect to the next router."""
        rng = random.Random(f"{self.seed}/{number}")
        connection, target = None, number
        while not self._ended.is_set():
            try:
                if connection is None:
                    target += 1
                    router = self.fleet.routers[target % self.router_count]
                    connection = Caller(router.address, 6.0)
                    connection.router = router
                if not self._send_call(connection, rng):
                    connection.close()
                    connection = None
            except OSError:
                connection = None
            self._ended.wait(MAX_PAUSE_S * rng.random())

    def _send_call(self, connection, rng):
        """Send a random request and record its response; return whether the connection stays."""
        _, response = self.send_request(connection, *rng.choice(REQUEST_KINDS))
        return response.whole and response.header("Connection") != "close"

    def send_request(self, connection, method, prefix, service, shared=None):
        """Send a request and record its response; return the record and the response.

        ``shared`` are the tokens of the shared segments of its prompt, by their ids.
        """
        request_id = f"{next(_numbers):016x}"
        path = f"{prefix}/{request_id}"
        call = Call(request_id, path, service, time.monotonic(), prefix == "/status")
        call.router = connection.router
        self.calls.append(call)
        tokens = TOKENS if service == "engine" else None
        body = b"x" if method == "POST" else b""
        shared = self._shared_segments(request_id) if shared is None else shared
        parts = ""
        if tokens and shared:
            own = {request_id: tokens[0] - sum(shared.values())}
            parts = ",".join(f"{each}:{count}" for each, count in {**shared, **own}.items())
        connection.send(method, path, body=body, tokens=tokens, parts=parts, identity=request_id)
        response = connection.read()
        call.is_complete, call.body = response.whole, response.body
        call.event_ids = response.event_ids
        call.status, call.ended_s = response.status, time.monotonic()
        call.leaving = bool(response.header("Server-Leaving"))
        return call, response

    def _shared_segments(self, request_id):
        """Return the tokens of the shared segments of a caller's prompt, by their ids."""
        if self.crashing:
            return SOUND_PROMPT
        if self.earlier:
            return {f"{int(request_id, 16) % SHARED_SEGMENTS:x}": TOKENS[0] - 1}
        return {}


def allow_second_replica(configuration):
    """Let non-idempotent requests go to a second replica if the first one refuses them."""
    for route in configuration["routes"]:
        if route["pathPrefix"] == "/status/":
            route["maxAttempts"] = 2


# Functions that inject a fault into a run, by the kind of the fault.
INJECTORS = {}


def injects(kind):
    """Register the decorated function as the injector of a fault kind."""

    def register(function):
        INJECTORS[kind] = function
        return function

    return register


@injects("kill")
def kill(soak, fault):
    """Kill a router and restart it."""
    soak.fleet.routers[fault.router].process.kill()
    soak.schedule(0.3, lambda: soak.restart_router(fault.router))


@injects("kill all")
def kill_all(soak, fault):
    """Kill all routers together and restart them."""
    for number in range(soak.router_count):
        soak.fleet.routers[number].process.kill()
        soak.schedule(0.3, lambda number=number: soak.restart_router(number))


@injects("terminate")
def terminate(soak, fault):
    """Stop a router in an orderly way (SIGTERM) and restart it."""
    soak.fleet.routers[fault.router].terminate()
    soak.schedule(4.0, lambda: soak.restart_router(fault.router))


@injects("stop")
def stop(soak, fault):
    """Suspend a router's process (SIGSTOP) for the duration of the fault."""
    router = soak.fleet.routers[fault.router]
    router.process.send_signal(signal.SIGSTOP)
    soak._stopped_routers[fault.start_s] = router
    start_s = time.monotonic()
    soak.stopped_spans.append((router, start_s, start_s + fault.duration_s))

    def resume():
        if not router.has_ended:
            router.process.send_signal(signal.SIGCONT)

    soak.schedule(fault.duration_s, resume)


@injects("hang up")
def hang_up(soak, fault):
    """Have a router reload its settings (SIGHUP)."""
    soak.fleet.routers[fault.router].process.send_signal(signal.SIGHUP)


@injects("store")
def store(soak, fault):
    """Make the store fail for one router."""
    set_store_fault(soak, [soak.fleet.routers[fault.router].endpoint], fault)


@injects("store of all")
def store_of_all(soak, fault):
    """Make the store fail for all routers."""
    set_store_fault(soak, [router.endpoint for router in soak.fleet.routers], fault)


def set_store_fault(soak, endpoints, fault):
    """Apply a fault to endpoints of the store and clear it at its end."""
    for endpoint in endpoints:
        if fault.variant == "slow":
            endpoint.slow_s = 0.4
        elif fault.variant == "lose":
            endpoint.lose_writes = 1_000_000
        else:
            endpoint.fault = fault.variant

    def clear():
        for endpoint in endpoints:
            endpoint.clear_faults()

    soak.schedule(fault.duration_s, clear)


@injects("come back")
def restore_store(soak, fault):
    """Copy the store now and, after an outage, restore that copy; lost values are written again."""
    if soak.restoring:
        return
    soak.restoring = True
    store = soak.fleet.store
    earlier = store.copy()

    def begin_outage():
        for endpoint in store.endpoints:
            endpoint.fault = "reset"
        soak.schedule(RESTORE_OUTAGE_S, restore)

    def restore():
        lost = store.restore_copy(earlier)
        for endpoint in store.endpoints:
            endpoint.clear_faults()
        soak.schedule(REWRITE_DELAY_S, lambda: rewrite(lost))

    def rewrite(lost):
        store.rewrite_lost(lost)
        soak.restoring = False

    soak.schedule(fault.duration_s, begin_outage)


@injects("evacuate")
def evacuate(soak, fault):
    """Evacuate a failure domain without replicas, so that the operator's items change."""
    soak.fleet.operator.evacuate("hall-9")
    soak.schedule(fault.duration_s, lambda: soak.fleet.operator.end_evacuation("hall-9"))


@injects("replicas")
def replicas(soak, fault):
    """Make all replicas fail in one way."""
    for replica in soak.fleet.replicas:
        if fault.variant == "stall":
            replica.stall_s = STALL_S
        elif fault.variant != "surplus" or replica.service == "portal":
            # The engine stand-in's surplus response is not a stream, and gateways relay it.
            replica.behaviour = fault.variant

    def clear():
        for replica in soak.fleet.replicas:
            replica.behaviour, replica.stall_s = "well", 0.0

    soak.schedule(fault.duration_s, clear)


@injects("replica crashes")
def replica_crashes(soak, fault):
    """Crash a service's oldest running replica, unless it is the last one, and start a new one."""
    service = ("portal", "engine")[fault.router % 2]
    running = [each for each in soak.fleet.of(service) if not each.has_ended]
    if len(running) > 1:
        running[0].has_ended = True
        running[0].crash()
        running[0].unlist()
        soak.add_replica(service)


def busiest_replica(soak, fault):
    """Return the healthy replica with the most recent requests, None if fewer than two are healthy.

    The state that a replica reports affects only routers that would choose it, so the busiest
    replica tests it best.
    """
    since_s = time.monotonic() - BUSY_WINDOW_S

    def request_count(replica):
        return sum(1 for each in list(replica.requests) if each.at_s >= since_s)

    healthy = soak.healthy_replicas(("portal", "engine")[fault.router % 2])
    return max(healthy, key=request_count) if len(healthy) > 1 else None


@injects("leave")
def leave(soak, fault):
    """Have a replica report in responses, and later in its record, that it is leaving.

    Another replica starts at once.
    """
    replica = busiest_replica(soak, fault)
    if replica is None:
        return
    replica.leaving = True
    soak.add_replica(replica.service)

    def end():
        replica.has_ended = True
        replica.unlist()
        soak.schedule(DRAIN_S + 0.5, replica.crash)

    recorded_s = RECORD_DELAY_S + fault.duration_s
    soak.schedule(recorded_s, lambda: replica.has_ended or replica.list("draining"))
    soak.schedule(recorded_s + DRAIN_S, end)


@injects("rest")
def rest(soak, fault):
    """Have a replica refuse requests and ask for a backoff."""
    replica = busiest_replica(soak, fault)
    if replica is None:
        return
    replica.behaviour, replica.retry_after = "rest", str(BACKOFF_S)

    def clear():
        replica.behaviour = "well"

    soak.schedule(fault.duration_s, clear)


@injects("lapse")
def lapse(soak, fault):
    """Remove the record of a running replica and write it again shortly after."""
    replica = busiest_replica(soak, fault)
    if replica is not None:
        replica.unlist()
        soak.schedule(LAPSE_S, lambda: replica.has_ended or replica.list())


@injects("start again")
def start_again(soak, fault):
    """Crash a replica and start it again with the same id at another address."""
    replica = busiest_replica(soak, fault)
    if replica is not None:
        replica.has_ended = True
        replica.crash()
        same_id = {"identity": replica.identity}
        soak.schedule(LAPSE_S, lambda: soak.add_replica(replica.service, **same_id))


@injects("replace")
def replace(soak, fault):
    """Stop a router in an orderly way and restart it with the other build."""
    soak.builds[fault.router] = ROOT if fault.variant == "new" else soak.earlier
    soak.fleet.routers[fault.router].terminate()
    for after_s in (0.5, 2.0, 4.0):
        soak.schedule(after_s, lambda: soak.restart_router(fault.router))


@injects("storm")
def storm(soak, fault):
    """Do nothing: the entry marks the start, and the plan lists the storm's faults separately."""


@injects("key")
def revoke_key(soak, fault):
    """Revoke an API key that no caller uses, so that the configuration changes."""
    soak.fleet.operator.revoke("key-two")
