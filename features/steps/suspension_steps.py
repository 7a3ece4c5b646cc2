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

READING = re.compile(r"\btime\.(monotonic|time|monotonic_ns|time_ns|clock_gettime|perf_counter)\(")
# What is neither a daemon's nor decides anything: stand-ins, the demo and measurements.
APART = {"clock", "demo", "standins", "experiments"}


class StoppedTime:
    """The module ``time`` of a machine whose steady clock does not count some seconds."""

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


@given("a machine whose steady clock stands still while the others run for 5 s")
def stopped_clock(context):
    context.stopped = StoppedTime()
    real = clock_module.time
    clock_module.time = context.stopped
    context.cleanup.callback(setattr, clock_module, "time", real)
    context.clock = SystemClock()
    context.before_ms = context.clock.monotonic_ms()


@then("the clock of the daemons has gone on by 5 s, and tells of a suspension of 5 s")
def counted(context):
    before_ms = context.clock.suspended_ms()
    context.stopped.suspended_s = 5.0
    assert context.clock.monotonic_ms() - context.before_ms == 5_000
    assert context.clock.suspended_ms() - before_ms == 5_000


@given("a request that waits for its replica with a minute left")
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


@then("the request's time is over within some seconds")
def time_over(context):
    context.thread.join(20)
    assert context.ended == [ErrorKind.DEADLINE_EXCEEDED], context.ended


@when("the sources are searched for readings of the system's clocks")
def search_readings(context):
    context.found = [
        (path.name, number)
        for path in SOURCE.rglob("*.py")
        if not APART & set(path.relative_to(SOURCE).parts)
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if READING.search(line)
    ]


@then("none is found but in the clock's package")
def none_but_clock(context):
    assert not context.found, context.found


@when("a router on it looks at its clock")
def look_at_clock(context):
    from aspengate.gateway._suspension import SuspensionDetector

    context.counters = NullCounters()
    context.ended = []
    watch = SuspensionDetector(context.clock, context.counters, lambda: context.ended.append(1))
    watch.poll()
    assert not context.ended
    context.stopped.suspended_s = 5.0
    watch.poll()
    watch.poll()


@then("it ends the watches that wait, and a line and a counter tell for how long it was suspended")
def watches_ended(context):
    assert context.ended == [1]
    assert context.counters.values["clock.suspended_ms"] == 5_000, context.counters.values
