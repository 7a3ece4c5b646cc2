"""Steps on machines that are suspended for a while."""

import re
import socket
import threading
import time

from behave import given, then, when

from aspengate.clock import ManualClock, SystemClock
from aspengate.clock import _clock as clock_module
from aspengate.connections import Waiter
from aspengate.errors import AspengateError, ErrorKind
from aspengate.telemetry import NullCounters
from structure_steps import SOURCE

CLOCK_READ = re.compile(
    r"\btime\.(monotonic|time|monotonic_ns|time_ns|clock_gettime|perf_counter)\("
)
# Packages that are not part of the daemons: stand-ins, the demo and experiments. The clock package
# itself reads the clocks.
EXEMPT = {"clock", "demo", "standins", "experiments"}


class StoppedTime:
    """Replaces the module ``time``, with a monotonic clock that does not count ``suspended_s``."""

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME
    CLOCK_MONOTONIC = time.CLOCK_MONOTONIC

    def __init__(self):
        self.suspended_s = 0.0

    def monotonic(self):
        return 100.0

    def clock_gettime(self, which):
        return 100.0 if which == time.CLOCK_MONOTONIC else 200.0 + self.suspended_s

    def time_ns(self):
        return int((1_790_000_000 + self.suspended_s) * 1e9)

    def sleep(self, seconds):
        pass


@given("a machine whose monotonic clock stops while the other clocks advance by 5 s")
def stopped_clock(context):
    context.stopped = StoppedTime()
    real = clock_module.time
    clock_module.time = context.stopped
    context.cleanup.callback(setattr, clock_module, "time", real)
    context.clock = SystemClock()
    context.before_ms = context.clock.monotonic_ms()


@then("the daemons' clock has advanced by 5 s and reports a suspension of 5 s")
def counted(context):
    before_ms = context.clock.suspended_ms()
    context.stopped.suspended_s = 5.0
    assert context.clock.monotonic_ms() - context.before_ms == 5_000
    assert context.clock.suspended_ms() - before_ms == 5_000


@given("a request that waits for its replica with one minute left until its deadline")
def waiting_request(context):
    context.clock = ManualClock()
    ours, theirs = socket.socketpair()
    context.cleanup.callback(ours.close)
    context.cleanup.callback(theirs.close)
    waiter = Waiter(context.clock, None, context.clock.monotonic_ms() + 60_000)
    context.ended = []

    def wait():
        try:
            waiter.wait_readable(ours)
        except AspengateError as error:
            context.ended.append(error.kind)

    context.thread = threading.Thread(target=wait, daemon=True)
    context.thread.start()


@when("the machine is suspended for two minutes")
def suspend(context):
    time.sleep(0.1)
    context.clock.advance(120_000)


@then("the request fails with an expired deadline within 20 s")
def deadline_expired(context):
    context.thread.join(20)
    assert context.ended == [ErrorKind.DEADLINE_EXCEEDED], context.ended


@when("the sources are searched for direct reads of the system's clocks")
def search_clock_reads(context):
    context.found = [
        (path.name, number)
        for path in SOURCE.rglob("*.py")
        if not EXEMPT & set(path.relative_to(SOURCE).parts)
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if CLOCK_READ.search(line)
    ]


@then("none is found outside the clock package")
def none_outside_clock(context):
    assert not context.found, context.found


@when("a router on it polls its clock")
def poll_clock(context):
    from aspengate.gateway._suspension import SuspensionDetector

    context.counters = NullCounters()
    context.ended = []
    detector = SuspensionDetector(context.clock, context.counters, lambda: context.ended.append(1))
    detector.poll()
    assert not context.ended
    context.stopped.suspended_s = 5.0
    detector.poll()
    detector.poll()


@then("it ends the pending watches, and a counter reports the length of the suspension")
def watches_ended(context):
    assert context.ended == [1]
    assert context.counters.values["clock.suspended_ms"] == 5_000, context.counters.values
