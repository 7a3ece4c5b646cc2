"""Steps on the crash records that routers share through the store."""

import itertools
import random
from collections import Counter
from zlib import crc32

import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock
from aspengate.crashes import (
    RECORD_PREFIX,
    CrashPolicy,
    CrashRecord,
    CrashSubject,
    crash_subjects,
    decode_record,
    encode_record,
)
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._crash_guard import CrashGuard
from aspengate.peers import CrashNotice, DatagramPort, LostRun, merge_crashes
from aspengate.store import ConditionFailedError, MirrorState, StoreItem
from aspengate.telemetry import NullCounters

SYNC_MS = 3_000.0
MAX_LATE_SENDS = 3
CONTENT = "0f" * 16
SUBJECTS = (CrashSubject(CONTENT),)
CRASHES = 3


class RecordStore:
    """Holds the store's items, which ``transact`` and ``remove`` change."""

    def __init__(self):
        self.items = {}
        self.revision = 0

    def transact(self, conditions, puts):
        for key, revision in conditions.items():
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                raise ConditionFailedError({key: item} if item else {})
        self.revision += 1
        for put in puts:
            self.items[put.key] = StoreItem(put.key, put.value, self.revision)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1

    def state(self):
        return MirrorState(dict(self.items), self.revision, self.revision)


class StoreLink:
    """One router's connection to the store, which can be interrupted."""

    def __init__(self, records):
        self.records = records
        self.cut = False

    def _check(self):
        if self.cut:
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, "cut off")

    def transact(self, conditions, puts):
        self._check()
        return self.records.transact(conditions, puts)

    def remove(self, key):
        self._check()
        self.records.remove(key)


class Router:
    """A router; ``undisturbed_since_ms`` is the time of its last failure."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.begin()

    def begin(self):
        self.link = StoreLink(self.simulation.records)
        self.undisturbed_since_ms = self.simulation.clock.monotonic_ms()
        self.runs = getattr(self, "runs", 0) + 1
        self.guard = CrashGuard(
            self.link,
            self.simulation.clock,
            NullCounters(),
            broadcast=lambda notice: self.simulation.broadcast(self, notice),
            on_ended=lambda run: None,
            reaches_store=lambda: not self.link.cut,
            is_first=lambda content: (
                self is self.simulation.routers[crc32(content.encode()) % self.simulation.count]
            ),
            has_ended=lambda address: address in self.simulation.ended,
            is_superseded=lambda session: (
                session not in {each.session for each in self.simulation.routers}
            ),
        )
        self.session = self.guard.records.session = f"{self.name}.{self.runs}"

    def is_in_sync(self):
        return (
            not self.link.cut
            and self.simulation.clock.monotonic_ms() >= self.undisturbed_since_ms + SYNC_MS
        )

    def load_records(self):
        if not self.link.cut:
            self.guard.load_records(self.simulation.records.state())


class CrashSimulation:
    """Simulates a request that crashes every replica, on routers with incomplete information.

    ``crashes`` is the number of crashes after which sends are counted.
    """

    crashes = CRASHES

    def __init__(self, count, seed):
        self.count = count
        self.segment = "shared"
        self.source = random.Random(seed)
        self.kill_probability = self.source.choice([0.1, 0.5, 0.9])
        self.calm_weight = self.source.choice([12, 60, 1_000])
        self.mass_restart_probability = self.source.choice([0.0, 0.2, 0.6])
        self.clock = ManualClock()
        self.records = RecordStore()
        self.ended = set()
        self.end_times = []
        self.sends = []
        self.unseen = 0
        self.tries = 0
        self.under_way = []
        self.mass_restarts = []
        self.messages = []
        self.numbers = 0
        self.routers = [Router(self, f"front-{number}") for number in range(count)]
        self.clock.advance(SYNC_MS)

    def broadcast(self, sender, notice):
        """Deliver a notice to the others within 20 ms, unless all three datagrams are lost."""
        if sender.link.cut:
            return
        for each in self.routers:
            if each is not sender and self.source.random() > 0.01**3:
                due = self.clock.monotonic_ms() + self.source.uniform(1, 20)
                self.messages.append((due, each, each.runs, notice))

    def receive_request(self):
        """Send the caller's request to a random router."""
        router = self.source.choice(self.routers)
        router.load_records()
        subjects = self.subjects()
        try:
            trial = router.guard.admit(subjects, None)
        except AspengateError:
            return
        self.send(router, subjects, trial)

    def subjects(self):
        """Return the subjects of the next request."""
        return SUBJECTS

    def send(self, router, subjects, trial):
        self.numbers += 1
        now = self.clock.monotonic_ms()
        counted = self.end_times[self.crashes - 1 : self.crashes]
        if router.is_in_sync() and counted and now > counted[0] + SYNC_MS:
            self.sends.append(now)
        if trial is not None:
            trial.sent = True
        run = router.guard.current_run(f"i-{self.numbers}")
        due = now + self.source.choice([20, 20, 100, 400])
        self.under_way.append((due, router, router.runs, run, subjects, trial))

    def crash(self, router, runs, run, subjects, trial):
        """Terminate a replica; its router detects that unless it terminates at the same moment.

        ``unseen`` counts crashes that no router can report to the others.
        """
        self.ended.add(run)
        self.end_times.append(self.clock.monotonic_ms())
        if router.runs != runs:
            self.unseen += 1
            return
        if self.source.random() < self.kill_probability:
            self.unseen += 1
            self.restart(router)
            return
        self.unseen += router.link.cut
        if self.source.random() < self.mass_restart_probability:
            self.mass_restarts.append(self.clock.monotonic_ms() + self.source.uniform(1, 50))
        router.guard.record_lost(subjects, run, run, trial)
        if trial is not None:
            router.guard.end_trial(trial)
        # The router may be killed before it writes the record.
        if self.source.random() < 0.2:
            self.restart(router)

    def restart(self, router):
        router.begin()

    def restart_all(self):
        for router in self.routers:
            router.begin()

    def cut(self):
        router = self.source.choice(self.routers)
        router.link.cut = not router.link.cut
        router.undisturbed_since_ms = self.clock.monotonic_ms()
        if not router.link.cut:
            self.resend_crashes(router)

    def resend_crashes(self, router):
        """Exchange recent crashes between a router and the others after a partition."""
        if notice := router.guard.recent_crashes():
            self.broadcast(router, notice)
        now = self.clock.monotonic_ms()
        for each in self.routers:
            if each is not router and not each.link.cut and (notice := each.guard.recent_crashes()):
                self.messages.append((now + 10, router, router.runs, notice))

    def suspend(self):
        """Suspend one router: messages that are on their way to it are delivered later."""
        router = self.source.choice(self.routers)
        later = self.source.uniform(1_000, 4_000)
        self.messages = [
            (due + later if each is router else due, each, runs, notice)
            for due, each, runs, notice in self.messages
        ]
        router.undisturbed_since_ms = self.clock.monotonic_ms() + later

    def inject_failure(self):
        """Disturb the routers with a random failure, now and then."""
        failures = [self.cut, self.suspend, self.restart_all]
        if self.source.random() < len(failures) / (len(failures) + self.calm_weight):
            self.source.choice(failures)()

    def advance(self, duration_ms):
        last = self.clock.monotonic_ms() + duration_ms
        while True:
            due = [(each[0], 0, each) for each in self.messages]
            due += [(each[0], 1, each) for each in self.under_way]
            due += [(at, 2, None) for at in self.mass_restarts]
            due = [each for each in due if each[0] <= last]
            if not due:
                break
            at, kind, event = min(due, key=lambda each: each[:2])
            self.clock.advance(max(0.0, at - self.clock.monotonic_ms()))
            if kind == 2:
                self.mass_restarts.remove(at)
                self.restart_all()
            elif kind == 1:
                self.under_way.remove(event)
                self.crash(*event[1:])
            else:
                self.messages.remove(event)
                _, router, runs, notice = event
                if router.runs == runs and not router.link.cut:
                    router.guard.handle_notice(notice)
        self.clock.advance(last - self.clock.monotonic_ms())
        for router in self.routers:
            if not router.link.cut:
                router.guard.records.apply_pending_changes()


class SegmentSimulation(CrashSimulation):
    """Simulates streams of different content with one segment that crashes every replica.

    Sound streams share the first segment; most of them are answered. ``refused`` counts those that
    a router refused, of ``sound``. The last segment of the others occurs in no sound stream; it is
    one of ``rare``, and missing from some of them.
    """

    crashes = 5

    def __init__(self, count, seed):
        super().__init__(count, seed)
        self.sound = 0
        self.refused = 0
        self.rare = self.source.choice([3, 1_000])
        self.alone_probability = self.source.choice([0.0, 0.3])
        self.stream_sound()

    def subjects(self):
        rare = [] if self.source.random() < self.alone_probability else [self.numbers % self.rare]
        segments = ["first", "crashing", *(f"rare-{each}" for each in rare)]
        return crash_subjects(f"{self.numbers:032x}", segments)

    def stream_sound(self):
        """Have some routers answer a sound stream, unless they refuse it."""
        for router in self.source.sample(self.routers, min(4, len(self.routers))):
            self.sound += 1
            subjects = crash_subjects(f"a{self.sound:031x}", ["first", "other"])
            router.load_records()
            try:
                trial = router.guard.admit(subjects, None)
            except AspengateError:
                self.refused += 1
                continue
            router.guard.record_answered(subjects, trial, has_output=True)
            if trial is not None:
                router.guard.end_trial(trial)


@given("{routers:d} routers that share the records of a store")
def routers_with_shared_records(context, routers):
    context.count = routers


@then(
    "no order of sends, crashes, restarts, partitions, message losses and pauses exceeds the limit"
)
def limit_holds(context):
    few = context.count < 100

    @given_any(st.integers(0, 2**32))
    @settings(max_examples=60 if few else 4)
    def check(seed):
        simulation = CrashSimulation(context.count, seed)
        for _ in range(120):
            simulation.receive_request()
            simulation.advance(simulation.source.choice([100, 250, 600]))
            simulation.inject_failure()
        assert len(simulation.end_times) >= CRASHES
        assert len(simulation.sends) <= MAX_LATE_SENDS + simulation.unseen, (
            simulation.sends,
            simulation.end_times,
        )

    check()


@then("no order of events lets a crashing segment exceed the limit or refuses most sound streams")
def segment_limit_holds(context):
    few = context.count < 100

    @given_any(st.integers(0, 2**32))
    @settings(max_examples=30 if few else 2)
    def check(seed):
        simulation = SegmentSimulation(context.count, seed)
        for _ in range(120):
            simulation.receive_request()
            simulation.advance(simulation.source.choice([100, 250, 600]))
            simulation.stream_sound()
            simulation.inject_failure()
        assert len(simulation.end_times) >= CRASHES
        assert len(simulation.sends) <= MAX_LATE_SENDS + simulation.unseen, (
            simulation.sends,
            simulation.end_times,
        )
        assert simulation.refused * 2 <= simulation.sound, (simulation.refused, simulation.sound)

    check()


def record_crashes(context, count):
    """Let one router record that a request crashed replicas, and report it to the others."""
    simulation = context.simulation = CrashSimulation(context.count, 1)
    for number in range(count):
        run = f"i-{number}"
        simulation.ended.add(run)
        simulation.routers[0].guard.record_lost(SUBJECTS, run, run, None)
    simulation.advance(100)
    for router in simulation.routers:
        router.load_records()
    return simulation


def verdicts(simulation, subjects=lambda: SUBJECTS):
    """Return how many routers send the request, run a trial or refuse it now.

    ``subjects`` returns the subjects of the request that each of them receives.
    """
    found = Counter()
    for router in simulation.routers:
        router.load_records()
        try:
            trial = router.guard.admit(subjects(), None)
        except AspengateError as error:
            found[error.kind] += 1
        else:
            found["sent" if trial is None else "tried"] += 1
            if trial is not None:
                simulation.trial = trial
                simulation.trial_router = router
    return found


def answer(simulation, trial, router):
    """Answer a trial completely."""
    trial.sent = True
    router.guard.record_answered(SUBJECTS, trial, has_output=True)
    router.guard.end_trial(trial)
    simulation.advance(100)


@when(
    "a request was on {crashes:d} crashed replicas by chance, and its trial is answered completely"
)
def answered_trial(context, crashes):
    simulation = record_crashes(context, crashes)
    found = verdicts(simulation)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    answer(simulation, simulation.trial, simulation.trial_router)


@then("no router suspects it, and the store has no record")
def no_suspicion(context):
    assert not context.simulation.records.items
    assert verdicts(context.simulation) == {"sent": context.count}


def crash_others(simulation, router, count):
    """Let a router record that another request crashed replicas."""
    for number in range(count):
        run = f"other-{number}"
        simulation.ended.add(run)
        router.guard.record_lost((CrashSubject("another request"),), run, run, None)


def run_trial(simulation, *, crashes, after_crash=lambda: None):
    """Send the trial that was just admitted; it crashes its replica or is inconclusive.

    ``after_crash`` is called right after its end.
    """
    simulation.trial.sent = True
    simulation.tries += 1
    if crashes:
        simulation.numbers += 1
        run = f"tried-{simulation.numbers}"
        simulation.ended.add(run)
        subjects = simulation.trial.subjects
        simulation.trial_router.guard.record_lost(subjects, run, run, simulation.trial)
    simulation.trial_router.guard.end_trial(simulation.trial)
    after_crash()
    simulation.advance(100)


def trial_seconds(simulation, duration_ms, *, crashes):
    """Repeat the request every second; return the seconds at which it got a trial."""
    found = []
    for second in range(int(duration_ms / 1_000)):
        if verdicts(simulation)["tried"]:
            found.append(second)
            run_trial(simulation, crashes=crashes)
        simulation.advance(1_000)
    return found


@when("a request was on two crashed replicas, and its caller disconnects during each trial")
def caller_disconnects(context):
    context.trials = trial_seconds(record_crashes(context, 2), 610_000, crashes=False)


@when("a request was on two crashed replicas, and the router of each of its trials is killed")
def killed_in_trials(context):
    simulation = record_crashes(context, 2)
    context.trials = []
    for second in range(700):
        if verdicts(simulation)["tried"]:
            context.trials.append(second)
            simulation.trial_router.begin()
        simulation.advance(1_000)


@then("it gets three trials and is then refused for ten minutes")
def three_trials(context):
    assert len(context.trials) == 4, context.trials
    assert context.trials[2] < 10 and context.trials[3] >= 600, context.trials


@when("a request was on two crashed replicas, and the router of its trial is killed and restarted")
def restarted_in_trial(context):
    simulation = record_crashes(context, 2)
    assert verdicts(simulation)["tried"] == 1
    simulation.trial_router.begin()
    assert verdicts(simulation) == {ErrorKind.SUSPECTED: context.count}


@then("another router runs a trial after a second")
def trial_after_restart(context):
    simulation = context.simulation
    simulation.advance(1_000)
    assert verdicts(simulation) == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}


@then("it gets three trials in a minute and is then refused for ten minutes")
def three_trials_in_a_minute(context):
    assert len(context.trials) == 4, context.trials
    assert context.trials[2] < 60 and context.trials[3] >= context.trials[2] + 600, context.trials


@when(
    "a request was on two crashed replicas, its caller disconnects during two trials, "
    "and the third one crashes a replica"
)
def mixed_trials(context):
    simulation = record_crashes(context, 2)
    trial_seconds(simulation, 2_500, crashes=False)
    assert simulation.tries == 2, simulation.tries
    simulation.advance(1_000)
    context.trials = trial_seconds(simulation, 605_000, crashes=True)


@then("it is refused for ten minutes after the third trial")
def long_pause(context):
    assert len(context.trials) == 2, context.trials
    assert context.trials[1] - context.trials[0] >= 600, context.trials


@when("a request was on two crashed replicas, and each of its trials crashes a replica")
def crashing_trials(context):
    context.trials = trial_seconds(record_crashes(context, 2), 2_000_000, crashes=True)


@then("it gets a trial at once, after a minute and after ten more, and never again")
def rarer_trials(context):
    assert len(context.trials) == 3, context.trials
    assert context.trials[0] == 0 and context.trials[1] >= 55 and context.trials[2] >= 600
    assert verdicts(context.simulation) == {ErrorKind.QUARANTINED: context.count}


@when(
    "a request was on two crashed replicas, and four replicas terminate together during its trial"
)
def terminates_with_others(context):
    simulation = record_crashes(context, 2)
    assert verdicts(simulation)["tried"] == 1
    other = next(each for each in simulation.routers if each is not simulation.trial_router)
    run_trial(simulation, crashes=True, after_crash=lambda: crash_others(simulation, other, 3))


@then("it gets another trial a second later")
def trial_soon(context):
    simulation = context.simulation
    assert verdicts(simulation) == {ErrorKind.SUSPECTED: context.count}
    simulation.advance(1_000)
    assert verdicts(simulation) == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}


@when("a request is refused, and its record is removed")
def removed_record(context):
    simulation = record_crashes(context, 2)
    assert verdicts(simulation)["tried"] == 1
    run_trial(simulation, crashes=True)
    assert verdicts(simulation) == {ErrorKind.QUARANTINED: context.count}
    assert list(simulation.records.items) == [RECORD_PREFIX + CONTENT]
    simulation.records.remove(RECORD_PREFIX + CONTENT)


@then("every router sends it again")
def sent_again(context):
    assert verdicts(context.simulation) == {"sent": context.count}


@when("a request was on two crashed replicas, and no router reaches the store")
def no_store(context):
    simulation = record_crashes(context, 2)
    for router in simulation.routers:
        router.link.cut = True
    found = verdicts(simulation)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    simulation.trial.sent = True


@then("one of them runs one trial, and a complete response clears the request")
def one_trial(context):
    simulation = context.simulation
    assert verdicts(simulation) == {ErrorKind.SUSPECTED: context.count}
    # Only the connection to the store was interrupted, not those to the other routers.
    for router in simulation.routers:
        router.link.cut = False
    answer(simulation, simulation.trial, simulation.trial_router)
    assert verdicts(simulation) == {"sent": context.count}


def segment_request(simulation):
    """Return the subjects of another request that has the segment."""
    simulation.numbers += 1
    return crash_subjects(f"{simulation.numbers:032x}", [simulation.segment])


def crash_with_segment(simulation, count):
    """Let the first router lose requests with the segment to replicas that terminate."""
    for _ in range(count):
        subjects = segment_request(simulation)
        run = f"i-{simulation.numbers}"
        simulation.ended.add(run)
        simulation.routers[0].guard.record_lost(subjects, run, run, None)
        simulation.advance(200)


def answer_segment(simulation, router, *, has_output=True):
    router.guard.record_answered(segment_request(simulation), None, has_output=has_output)


def segment_verdicts(simulation):
    """Return how many routers send, try or refuse a request with the segment."""
    return verdicts(simulation, lambda: segment_request(simulation))


@when("a segment was answered at every router, and six replicas with it terminate")
def answered_segment(context):
    crash_answered_segment(context, "shared")


@when("a segment with an empty id was answered at every router, and six replicas with it terminate")
def answered_empty_id(context):
    crash_answered_segment(context, "")


def crash_answered_segment(context, segment):
    simulation = context.simulation = CrashSimulation(context.count, 1)
    simulation.segment = segment
    for router in simulation.routers:
        answer_segment(simulation, router)
    crash_with_segment(simulation, 6)


@then("every router sends requests with it")
def segment_sent(context):
    assert segment_verdicts(context.simulation) == {"sent": context.count}


def crash_segment_trial(context):
    simulation = context.simulation = CrashSimulation(context.count, 1)
    crash_with_segment(simulation, 3)
    found = segment_verdicts(simulation)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    run_trial(simulation, crashes=True)
    assert segment_verdicts(simulation) == {ErrorKind.QUARANTINED: context.count}
    return simulation


@when("a segment's trial crashed a replica, and then a router answers a request with it")
def wrong_verdict(context):
    simulation = crash_segment_trial(context)
    answer_segment(simulation, simulation.routers[-1])
    simulation.advance(100)


@when("a segment's trial crashed a replica, and no request with it is answered")
def right_verdict(context):
    crash_segment_trial(context)


@then("requests with it are refused until one router runs a trial after a minute")
def segment_tried_after_a_minute(context):
    simulation = context.simulation
    simulation.advance(58_000)
    assert segment_verdicts(simulation) == {ErrorKind.QUARANTINED: context.count}
    simulation.advance(2_000)
    found = segment_verdicts(simulation)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found


def crash_with_two_segments(context):
    simulation = context.simulation = CrashSimulation(context.count, 1)
    context.both = lambda: crash_subjects(f"{simulation.numbers:032x}", ["one", "other"])
    for number in range(3):
        simulation.ended.add(f"i-{number}")
        simulation.numbers += 1
        router = simulation.routers[0]
        router.guard.record_lost(context.both(), f"i-{number}", f"i-{number}", None)
        simulation.advance(200)
    simulation.numbers += 1
    return simulation


@when("two segments of a request were on three crashed replicas, and no router reaches the store")
def two_segments_without_store(context):
    simulation = crash_with_two_segments(context)
    for router in simulation.routers:
        router.link.cut = True


@then("one router runs one trial of both")
def trial_of_both(context):
    found = verdicts(context.simulation, context.both)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    assert len(context.simulation.trial.subjects) == 2


@when("two segments of a request were on three crashed replicas, and a trial of both crashed one")
def joint_trial(context):
    simulation = crash_with_two_segments(context)
    found = verdicts(simulation, context.both)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    run_trial(simulation, crashes=True)
    context.crashed_ms = simulation.clock.monotonic_ms()
    assert verdicts(simulation, context.both) == {ErrorKind.QUARANTINED: context.count}


@then("a request with one of them is tried, and its answer clears that one only")
def told_apart(context):
    simulation = context.simulation
    one = crash_subjects("c" * 32, ["one"])
    found = verdicts(simulation, lambda: one)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    simulation.trial.sent = True
    simulation.trial_router.guard.record_answered(one, simulation.trial, has_output=True)
    simulation.trial_router.guard.end_trial(simulation.trial)
    simulation.advance(100)
    assert verdicts(simulation, lambda: one) == {"sent": context.count}
    found = verdicts(simulation, context.both)
    assert found == {ErrorKind.QUARANTINED: context.count}, found


@when("a caller's streams name another's segment, each with one of several that crash replicas")
def several_crashing_segments(context):
    crash_beside_segment(context, kinds=4)


@when("a caller's streams name another's segment, each with a new one that crashes replicas")
def new_crashing_segments(context):
    crash_beside_segment(context, kinds=40)


def crash_beside_segment(context, kinds):
    """Send streams for ten seconds; each that a router admits crashes its replica."""
    simulation = context.simulation = CrashSimulation(context.count, 1)
    for number in range(40):
        simulation.numbers += 1
        segments = [f"crashing-{number % kinds}", "other"]
        subjects = crash_subjects(f"{simulation.numbers:032x}", segments)
        router = simulation.routers[number % context.count]
        router.load_records()
        try:
            trial = router.guard.admit(subjects, None)
        except AspengateError:
            simulation.advance(250)
            continue
        if trial is not None:
            trial.sent = True
        run = f"i-{simulation.numbers}"
        simulation.ended.add(run)
        router.guard.record_lost(subjects, run, run, trial)
        if trial is not None:
            router.guard.end_trial(trial)
        simulation.advance(250)


@then("a request with the other caller's segment alone is sent or tried")
def other_segment_admitted(context):
    found = verdicts(context.simulation, lambda: crash_subjects("d" * 32, ["other"]))
    assert found["sent"] + found["tried"] > 0, found


@when("a trial of the other caller's segment alone is not sent")
def trial_not_sent(context):
    simulation = context.simulation
    found = verdicts(simulation, lambda: crash_subjects("d" * 32, ["other"]))
    assert found["tried"] == 1, found
    simulation.trial_router.guard.end_trial(simulation.trial)
    simulation.advance(100)
    simulation.advance(2_000)


@then("a request with that segment and a new one is refused")
def refused_beside_new(context):
    found = verdicts(context.simulation, lambda: crash_subjects("e" * 32, ["other", "new"]))
    assert found == {ErrorKind.QUARANTINED: context.count}, found


def one_alone():
    return crash_subjects("c" * 32, ["one"])


@when("a request with one of them alone is tried, and its caller disconnects")
def alone_caller_disconnects(context):
    simulation = context.simulation
    assert verdicts(simulation, one_alone)["tried"] == 1
    run_trial(simulation, crashes=False)


@when("a request with one of them alone is tried, and its router is killed and restarted")
def alone_router_restarted(context):
    simulation = context.simulation
    assert verdicts(simulation, one_alone)["tried"] == 1
    simulation.trial_router.begin()


@when(
    "a request with one of them alone is tried, "
    "and its router is killed and restarted, and the next is not sent"
)
def alone_restarted_and_not_sent(context):
    alone_router_restarted(context)
    simulation = context.simulation
    simulation.advance(1_100)
    assert verdicts(simulation, one_alone)["tried"] == 1
    simulation.trial_router.guard.end_trial(simulation.trial)


@when("a request with one of them alone is tried, and its router does not report the end")
def alone_without_report(context):
    simulation = context.simulation
    assert verdicts(simulation, one_alone)["tried"] == 1
    simulation.advance(20_100)


@then("a request with that one and a new segment is refused until the pause of a minute is over")
def refused_for_a_minute(context):
    simulation = context.simulation

    def beside_new():
        return crash_subjects("e" * 32, ["one", "new"])

    simulation.advance(2_000)
    while simulation.clock.monotonic_ms() < context.crashed_ms + 57_000:
        for request in (beside_new, context.both):
            found = verdicts(simulation, request)
            assert found == {ErrorKind.QUARANTINED: context.count}, found
        simulation.advance(1_000)
    simulation.advance(5_000)
    assert verdicts(simulation, beside_new)["tried"] == 1


def other_alone():
    return crash_subjects("d" * 32, ["other"])


@when("a trial of the other caller's segment alone is not sent, five times")
def trials_not_sent(context):
    simulation = context.simulation
    context.started_ms = []
    for _ in range(100):
        if verdicts(simulation, other_alone)["tried"]:
            context.started_ms.append(simulation.clock.monotonic_ms())
            simulation.trial_router.guard.end_trial(simulation.trial)
        simulation.advance(100)
        if len(context.started_ms) == 5:
            break
    simulation.advance(2_000)


@then("each one started at least a second after the one before")
def spaced_trials(context):
    assert len(context.started_ms) == 5, context.started_ms
    for one, other in itertools.pairwise(context.started_ms):
        assert 1_000 <= other - one <= 1_500, context.started_ms


@then("after one that crashes its replica, no request with the segment is sent again")
def never_sent_again(context):
    simulation = context.simulation
    assert verdicts(simulation, other_alone)["tried"] == 1
    run_trial(simulation, crashes=True)
    for _ in range(3):
        found = verdicts(simulation, other_alone)
        assert found == {ErrorKind.QUARANTINED: context.count}, found
        simulation.advance(700_000)


def rewrite_records(simulation, field):
    """Write all records again with the fields up to one, as builds do that have no others."""
    names = CrashRecord.__struct_fields__
    known = names[: names.index(field) + 1]
    store = simulation.records
    for key, item in store.items.items():
        values = msgspec.json.decode(item.value)
        store.revision += 1
        value = msgspec.json.encode({name: values[name] for name in known if name in values})
        store.items[key] = StoreItem(key, value, store.revision)


@when('a build that has only the fields up to "{field}" writes the records again')
def rewritten_records(context, field):
    rewrite_records(context.simulation, field)


class SegmentTrials:
    """Runs trials of a segment with any outcome, while another build writes its records again.

    ``sent_ms`` are the times of the trials whose requests were sent, and ``crashed`` counts those
    that crashed their replica.
    """

    def __init__(self, count, field):
        self.simulation = CrashSimulation(count, 1)
        self.field = field
        self.sent_ms = []
        self.crashed = 0
        crash_with_segment(self.simulation, 3)

    def run(self, beside, outcome, rewrites, pause_ms):
        """Offer a request with the segment and others to the routers; end its trial, if any."""
        simulation = self.simulation
        segments = [simulation.segment, *beside]
        if verdicts(simulation, lambda: crash_subjects("d" * 32, segments))["tried"]:
            if rewrites:
                rewrite_records(simulation, self.field)
                simulation.trial_router.load_records()
            self.end_trial(outcome)
        simulation.advance(100)
        if rewrites:
            rewrite_records(simulation, self.field)
        simulation.advance(pause_ms)

    def end_trial(self, outcome):
        simulation = self.simulation
        if outcome == "not sent":
            simulation.trial_router.guard.end_trial(simulation.trial)
            return
        self.sent_ms.append(simulation.clock.monotonic_ms())
        if outcome == "killed":
            simulation.trial_router.begin()
        elif outcome != "not reported":
            self.crashed += outcome == "crashed"
            run_trial(simulation, crashes=outcome == "crashed")


@then('no outcomes of trials and builds with the fields up to "{field}" let a segment get more')
def three_trials_in_all(context, field):
    event = st.tuples(
        st.sampled_from([[], ["new"], ["new", "newer"]]),
        st.sampled_from(["not sent", "crashed", "inconclusive", "killed", "not reported"]),
        st.booleans(),
        st.sampled_from([1_000.0, 2_000.0, 25_000.0, 61_000.0, 601_000.0]),
    )

    @given_any(st.lists(event, min_size=4, max_size=20))
    def check(events):
        trials = SegmentTrials(context.count, field)
        for each in events:
            trials.run(*each)
        assert trials.crashed <= 3, events
        for first, fourth in zip(trials.sent_ms, trials.sent_ms[3:], strict=False):
            assert fourth - first >= 600_000, (trials.sent_ms, events)

    check()


@then("after ten minutes a request with it and a segment that was on no crashed replica is tried")
def tried_after_ten_minutes(context):
    simulation = context.simulation
    simulation.advance(600_000)
    found = verdicts(simulation, lambda: crash_subjects("d" * 32, ["other", "sound"]))
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found


@when("a segment was on three crashed replicas, and then 200 other requests are lost with one")
def many_lost(context):
    simulation = context.simulation = CrashSimulation(context.count, 1)
    crash_with_segment(simulation, 3)
    simulation.ended.add("i-last")
    for number in range(200):
        subjects = crash_subjects(f"b{number:031x}", [f"other-{number}"])
        simulation.routers[0].guard.record_lost(subjects, "i-last", "i-last", None)


@then("a notice of recent crashes names the segment's three crashes")
def recent_segment_crashes(context):
    (segment, _) = segment_request(context.simulation)
    notice = context.simulation.routers[0].guard.recent_crashes()
    runs = {each.run for each in notice.lost if each.content == segment.fingerprint}
    assert len(runs) == 3 and runs <= set(notice.ended), notice


@when("a segment was on three crashed replicas, and an answer without output is recorded")
def answer_without_output(context):
    simulation = context.simulation = CrashSimulation(context.count, 1)
    crash_with_segment(simulation, 3)
    answer_segment(simulation, simulation.routers[0], has_output=False)


@when("a segment was answered 31 s ago, and three replicas with it terminate")
def old_answer(context):
    simulation = context.simulation = CrashSimulation(context.count, 1)
    for router in simulation.routers:
        answer_segment(simulation, router)
    simulation.advance(31_000)
    crash_with_segment(simulation, 3)


@then("one router runs a trial of it")
def one_segment_trial(context):
    found = segment_verdicts(context.simulation)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found


@when("a request was on two crashed replicas, and its record is unreadable")
def unreadable_record(context):
    simulation = record_crashes(context, 2)
    key = RECORD_PREFIX + CONTENT
    simulation.records.revision += 1
    simulation.records.items[key] = StoreItem(key, b"[[[", simulation.records.revision)


@then("one router runs a trial, and the record can be read again")
def replaced_record(context):
    found = verdicts(context.simulation)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    item = context.simulation.records.items[RECORD_PREFIX + CONTENT]
    assert decode_record(item.value, item.key).tries == 1


@given("arbitrary bytes and corrupted records in the store")
def any_records(context):
    good = encode_record(CrashRecord(("i-1", "i-2"), 1, "front-1.aa", 17))
    changed = st.builds(
        lambda at, byte: good[:at] + bytes([byte]) + good[at + 1 :],
        st.integers(0, len(good) - 1),
        st.integers(0, 255),
    )
    deep = st.builds(lambda depth: b"[" * depth, st.integers(0, 300_000))
    json = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(CrashRecord.__struct_fields__), inner, max_size=4)
        ),
    ).map(msgspec.json.encode)
    context.values = st.binary(max_size=50) | changed | deep | json


@then("reading them returns a record or raises BAD_REQUEST")
def read_any(context):
    @given_any(context.values)
    def check(value):
        try:
            record = decode_record(value, "a key")
        except AspengateError as error:
            assert error.kind is ErrorKind.BAD_REQUEST
        else:
            assert isinstance(record, CrashRecord)

    check()


@given("a trial of a request with as many segments and crashed replicas as records name")
def longest_trial(context):
    context.runs = [f"{number:0200}@{10**12}~{number}" for number in range(100)]


@when("ids of replicas and segments are 200 characters long")
def long_ids(context):
    # An unprintable character is the longest one in JSON.
    segments = [chr(1) * 200 + str(number) for number in range(100)]
    subjects = crash_subjects(CONTENT, segments)
    names = frozenset(each.fingerprint for each in subjects if each.is_segment)
    beside = names - {subjects[0].fingerprint}
    policy, session, now = CrashPolicy(), "front-1." + "a" * 40, 10**12
    record = CrashRecord().begin_trial(subjects[0], beside, session, context.runs, now, policy)
    record = record.end_trial(context.runs, now, policy, has_ended=True)
    record = record.begin_trial(subjects[0], beside, session, context.runs, now, policy)
    context.record = replace(record, wait_until_ms=now)


@then("its record is read as it was written")
def read_longest(context):
    assert context.record.prior_together, context.record
    assert decode_record(encode_record(context.record), "a key") == context.record


@given("{count:d} segments that were on crashed replicas with ids of {length:d} characters")
def many_segments(context, count, length):
    context.runs = [f"{number:0{length}d}" for number in range(count)]
    subjects = [crash_subjects(CONTENT, [f"segment {number}"])[0] for number in range(count)]
    context.fingerprints = [subject.fingerprint for subject in subjects]


@when("a router reports them all at once, the replicas, and that the segments are cleared")
def report_all(context):
    context.received = []
    sender, receiver = (
        DatagramPort(
            "127.0.0.1:0", NullCounters(), lambda notice, _: context.received.append(notice)
        )
        for _ in range(2)
    )
    for port in (sender, receiver):
        context.cleanup.callback(port.close)
        port.start()
    lost = list(map(LostRun, context.fingerprints, context.runs))
    for message in merge_crashes([CrashNotice(lost, context.runs, context.fingerprints)]):
        sender.send(message, receiver.address)
    context.lost = lost


@then("another router receives every entry")
def all_received(context):
    def received(field):
        return Counter(each for notice in context.received for each in getattr(notice, field))

    assert eventually(lambda: received("cleared") == Counter(context.fingerprints), 10.0)
    assert received("ended") == Counter(context.runs)
    assert received("lost") == Counter(context.lost)
