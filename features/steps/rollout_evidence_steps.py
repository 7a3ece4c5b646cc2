"""Steps for the evidence and the verdict of rollouts."""

import math
import random
import threading

import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st

from aspengate.rollouts import (
    Cohort,
    CohortEvidence,
    Evidence,
    EvidenceCollector,
    EvidenceRecorder,
    Histogram,
    ReplicaEvidence,
    RouteEvidence,
    judge,
    merge_evidence,
)
from aspengate.rollouts._histogram import bucket_of
from aspengate.rollouts._verdict import binomial_tail
from rollout_history import (
    CANARY,
    CHANGING,
    CHANGING_TO_ALL,
    LOW_RATE,
    RAMP,
    History,
    World,
    fail,
    of_target,
    slower,
)


def part(source, share):
    return source.random() < share


def be_silent(source, attempt, answer):
    if part(source, 0.3):
        answer.wait_ms = None


def fail_streams(source, attempt, answer):
    if attempt[2] == "stream":
        fail(source, attempt, answer)


def slow_service(factor):
    def behave(source, attempt, answer):
        answer.wait_ms *= factor
        answer.pause_ms *= factor

    return behave


def between(start_ms, end_ms, change):
    def behave(source, attempt, answer):
        if start_ms <= attempt[3] < end_ms:
            change(source, attempt, answer)

    return behave


def break_half(source, attempt, answer):
    answer.failed = answer.failed or part(source, 0.5)


def garble(source, attempt, answer):
    answer.failed = answer.failed or part(source, 0.1)


def refuse(source, attempt, answer):
    if part(source, 0.3):
        answer.failed = None


def fail_at(replica, *, silent=False):
    def behave(source, attempt, answer):
        if attempt[1] == replica:
            answer.failed, answer.wait_ms = True, None if silent else answer.wait_ms

    return behave


def be_cold(source, attempt, answer):
    answer.cold = True
    answer.wait_ms *= 10


FAULTS = {
    "30 % of the responses fail": of_target(fail),
    "50 % of the responses fail": of_target(break_half),
    "30 % of the requests are silent": of_target(be_silent),
    "30 % of the responses are wrong on one route only": of_target(fail_streams),
    "all responses start 5 times later": slower(1.0),
    "30 % of the responses start 5 times later": slower(0.3),
    "all pauses are 5 times longer": slower(1.0, pauses=True),
    "30 % of the pauses are 5 times longer": slower(0.3, pauses=True),
}
PROBLEMS = {
    "nothing happens": None,
    "both cohorts are 5 times slower for 3 s": between(21_000, 24_000, slow_service(5)),
    "both cohorts are 3 times slower for 3 s at the last step": between(
        41_000, 44_000, slow_service(3)
    ),
    "half of both cohorts' requests break for 2 s": between(31_000, 33_000, break_half),
    "half of both cohorts' requests break for 3 s at the last step": between(
        25_000, 28_000, break_half
    ),
    "one in ten answers of both cohorts is garbled": garble,
    "three in ten replicas are full": refuse,
    "one replica of the target fails": fail_at("target-0"),
    "one replica of the target is silent": fail_at("target-0", silent=True),
    "one replica of the baseline fails": fail_at("baseline-0"),
    "the target's replicas are cold and 10 times slower": of_target(between(0, 15_000, be_cold)),
}


@given("a version of which {fault} from the beginning")
def bad_version(context, fault):
    context.behave = FAULTS[fault]
    context.replicas = 4


@given("a version of which {fault} after 30 s")
def bad_version_later(context, fault):
    context.behave = between(30_000, float("inf"), FAULTS[fault])
    context.replicas = 4


@given("a good version while {problem}")
def good_version(context, problem):
    context.behave = PROBLEMS[problem]
    context.replicas = 4


@given("a good version with two replicas while {problem}")
def good_version_on_two(context, problem):
    context.behave = PROBLEMS[problem]
    context.replicas = 2


def play(context, histories, shares, per_second, **others):
    world = World(
        context.behave, shares=shares, per_second=per_second, replicas=context.replicas, **others
    )
    context.outcomes = [History(world, seed).run() for seed in range(histories)]


@when("it gets 5 % of 300 requests a second in {histories:d} histories")
def play_canary(context, histories):
    play(context, histories, CANARY, 300.0)


@when("it gets 5 % to 25 % of 300 requests a second in {histories:d} histories")
def play_second_step(context, histories):
    play(context, histories, ((0, 0.05), (20_000, 0.25)), 300.0)


@when("it gets 5 %, 25 %, 50 % and all of 300 requests a second in {histories:d} histories")
def play_ramp(context, histories):
    play(context, histories, RAMP, 300.0)


@when("it gets 20 % and then 50 % of 5 requests a second in {histories:d} histories")
def play_low_rate(context, histories):
    play(context, histories, LOW_RATE, 5.0)


@when("its share of 5 requests a second changes every 3 s in {histories:d} histories")
def play_changing(context, histories):
    play(context, histories, CHANGING, 5.0, duration_ms=24_000.0)


@when(
    "its share of 5 requests a second changes every 3 s and then it gets all in {histories:d} "
    "histories"
)
def play_changing_to_all(context, histories):
    play(context, histories, CHANGING_TO_ALL, 5.0, duration_ms=30_000.0)


@then('it is judged bad before its 50th bad response in each of them, because of "{reason}"')
def judged_bad(context, reason):
    for outcome in context.outcomes:
        assert outcome.verdict.is_bad and outcome.bad < 50, outcome
        assert reason in outcome.verdict.reason, outcome


@then('it is judged bad in each of them, because of "{reason}"')
def judged_bad_at_all(context, reason):
    for outcome in context.outcomes:
        assert outcome.verdict.is_bad and reason in outcome.verdict.reason, outcome


@then("the verdict names that route in most of them")
def names_route(context):
    named = [each.verdict.route for each in context.outcomes]
    assert named.count("stream") > len(named) / 2 and "plain" not in named, named


@then("it is not judged bad in any of them")
def not_judged_bad(context):
    bad = [each for each in context.outcomes if each.verdict.is_bad]
    assert not bad, bad


def cohort(completed, failed, replica=""):
    total = completed + failed
    results = {replica: ReplicaEvidence(completed, failed)}
    return CohortEvidence(sent=total, answered=total, replicas=results)


@given("evidence of a version of which three responses failed")
def three_failed(context):
    context.target = cohort(0, 3, "i-1")


@then("it is not bad whatever the baseline did")
def few_not_bad(context):
    for baseline in (cohort(0, 0), cohort(10, 0), cohort(10_000, 0), cohort(0, 10_000)):
        evidence = Evidence(1, {"chat": RouteEvidence(context.target, baseline)})
        assert not judge(evidence, evidence).is_bad


@then("a version without any evidence is not bad")
def nothing_not_bad(context):
    assert not judge(Evidence(), None).is_bad


@then("a version without a baseline to compare with is not bad")
def no_baseline(context):
    alone = Evidence(1, {"chat": RouteEvidence(cohort(10, 30, "i-1"))})
    assert not judge(alone, alone).is_bad


def two_replicas(failures, waiting, total=36, baseline=84):
    """Return evidence of a target with two replicas that got equally many attempts."""
    late = bucket_of(5_000.0)
    replicas = {
        f"i-{number}": ReplicaEvidence(
            total // 2 - failed - silent, failed, Histogram({late: silent} if silent else {})
        )
        for number, (failed, silent) in enumerate(zip(failures, waiting, strict=True))
    }
    target = CohortEvidence(total, total - sum(waiting), sum(waiting), replicas=replicas)
    first_ms = Histogram({bucket_of(60.0): baseline})
    answers = {"": ReplicaEvidence(baseline)}
    other = CohortEvidence(baseline, baseline, first_ms=first_ms, replicas=answers)
    return Evidence(1, {"/": RouteEvidence(target, other)})


@given("evidence of {failures} failures and {waiting} silent attempts of {total:d} at two replicas")
def failures_at_two(context, failures, waiting, total):
    pairs = [[int(each) for each in text.split(" and ")] for text in (failures, waiting)]
    context.evidence = two_replicas(*pairs, total)


@then("the version is {verdict}")
def verdict_is(context, verdict):
    found = judge(context.evidence)
    expected = {"bad": (True, False), "suspect": (False, True), "not suspect": (False, False)}
    assert (found.is_bad, found.is_suspect) == expected[verdict], found


@then("it is suspect after few recent responses, and not after many")
def recent_clears(context):
    assert judge(context.evidence, two_replicas((0, 0), (0, 0), 8)).is_suspect
    assert not judge(context.evidence, two_replicas((0, 0), (0, 0), 40)).is_suspect


@given("evidence of 8 failed responses of 20, and a baseline of 2 of 400")
def clear_failures(context):
    routes = {"chat": RouteEvidence(cohort(12, 8, "i-1"), cohort(398, 2))}
    context.verdict = judge(Evidence(1, routes))


@then("the probability of a number of bad responses is that of the binomial distribution")
def binomial(context):
    @given_any(st.integers(1, 200), st.integers(0, 200), st.floats(0.01, 0.9))
    def check(total, number, rate):
        bad = min(number, total)
        terms = [
            math.comb(total, each) * rate**each * (1 - rate) ** (total - each)
            for each in range(bad, total + 1)
        ]
        expected = math.fsum(terms) if bad > total * rate else 1.0
        found = binomial_tail(bad, total, rate)
        assert math.isclose(found, expected, rel_tol=1e-6), (found, expected)

    check()


@then('the verdict\'s reason is "{reason}"')
def reason_is(context, reason):
    assert context.verdict.is_bad and context.verdict.route == "chat"
    assert context.verdict.reason == reason, context.verdict.reason


COUNTS = st.integers(0, 1_000)
HISTOGRAMS = st.builds(Histogram, st.dictionaries(st.integers(-6, 34), st.integers(1, 99)))
REPLICAS = st.builds(ReplicaEvidence, COUNTS, COUNTS, HISTOGRAMS)
COHORTS = st.builds(
    CohortEvidence,
    COUNTS,
    COUNTS,
    COUNTS,
    HISTOGRAMS,
    HISTOGRAMS,
    HISTOGRAMS,
    HISTOGRAMS,
    st.dictionaries(st.sampled_from(["", "i-1", "i-2"]), REPLICAS),
)
ROUTES = st.dictionaries(
    st.sampled_from(["", "a", "b"]), st.builds(RouteEvidence, COHORTS, COHORTS)
)
EVIDENCE = st.builds(Evidence, st.integers(1, 2), ROUTES)


@then("the sum of any evidence is the same in any order and grouping")
def sums_any_way(context):
    @given_any(st.lists(EVIDENCE, max_size=4), st.randoms(), st.integers(0, 4))
    def check(parts, source, cut):
        total = merge_evidence(parts)
        groups = [merge_evidence(parts[:cut]), merge_evidence(parts[cut:])]
        assert merge_evidence(groups) == total
        source.shuffle(parts)
        assert merge_evidence(parts) == total

    check()


@then("evidence since an earlier snapshot plus that snapshot is the evidence")
def subtraction_inverts(context):
    @given_any(st.builds(Evidence, st.just(1), ROUTES), st.builds(Evidence, st.just(1), ROUTES))
    def check(earlier, added):
        later = merge_evidence([earlier.without_states(), added])
        since = later.subtract(earlier)
        assert merge_evidence([earlier.without_states(), since]) == later

    check()


def reports(source, session):
    """Return a router's numbered, cumulative reports."""
    recorder = EvidenceRecorder(1)
    found = []
    for number in range(1, 6):
        for _ in range(source.randrange(5)):
            attempt = recorder.begin("a", source.choice(list(Cohort)), "i-1", 0.0)
            attempt.end(source.choice([True, False, None]), source.uniform(1, 900))
        found.append((session, number, recorder.snapshot(0.0)))
    return found


@then("any delivery of reports that ends with each router's last one gives the same total")
def any_delivery(context):
    @given_any(st.randoms(use_true_random=False))
    def check(source):
        by_router = [reports(source, f"router-{number}") for number in range(3)]
        last = [each[-1] for each in by_router]
        sent = [each for router in by_router for each in router if source.random() < 0.6]
        sent += last + source.choices(sent or last, k=5)
        source.shuffle(sent)
        collector = EvidenceCollector(1)
        for report in sent:
            collector.add(*report)
        assert collector.total() == merge_evidence(evidence for _, _, evidence in last)

    check()


@given("two routers of which each has an attempt in flight")
def two_in_flight(context):
    context.collector = EvidenceCollector()
    for session in ("a", "b"):
        recorder = EvidenceRecorder(1)
        recorder.begin("chat", Cohort.BASELINE, "i-1", 0.0)
        context.collector.add(session, 1, recorder.snapshot(1_000.0))


@when("one of them has stopped")
def one_stopped(context):
    context.evidence = context.collector.total(alive={"a"})


@then("one attempt is in flight, and both count as sent")
def one_in_flight(context):
    assert (context.evidence.in_flight, context.evidence.baseline.sent) == (1, 2)
    waiting = context.evidence.baseline.replicas[""].waiting_ms
    assert waiting.total == 1


@given("a recorder with an attempt of each outcome")
def each_outcome(context):
    recorder = EvidenceRecorder(1)

    def begin(**options):
        return recorder.begin("chat", Cohort.TARGET, "i-1", 0.0, **options)

    plain, stream, refused, failed, cold, turned_cold, _late = (begin() for _ in range(7))
    plain.end(False, 100.0)
    plain.end(True)
    stream.first_response(2.0, 50.0)
    stream.first_response(9.0, 90.0)
    stream.end(False, None, 30.0)
    refused.end(None)
    failed.end(True, 5.0)
    cold = begin(cold=True)
    cold.first_response(40.0, 900.0)
    cold.end(False, 2_000.0)
    turned_cold.end(False, 3_000.0, cold=True)
    begin(cold=True)
    context.evidence = recorder.snapshot(2_000.0)


@then("only sent attempts, answers, failures and latencies that count are recorded")
def counted(context):
    target = context.evidence.target
    assert (target.sent, target.answered, target.completed, target.failed) == (9, 5, 4, 1)
    assert target.in_flight == 3 and target.replicas["i-1"].waiting_ms.total == 2
    assert target.first_ratios.counts == {2: 1} and target.first_ms.total == 2
    assert target.complete_ms.total == 1 and target.pauses_ms.total == 1


@given("an attempt that began before the recorder was reset")
def earlier_attempt(context):
    context.recorder = EvidenceRecorder(1)
    context.attempt = context.recorder.begin("chat", Cohort.TARGET, "i-1", 0.0)
    context.earlier = context.recorder.snapshot(0.0)
    context.recorder.reset(2)


@when("the attempt ends")
def attempt_ends(context):
    context.attempt.end(True)


@then("the evidence of the new generation is empty")
def empty_evidence(context):
    assert context.recorder.snapshot(1.0) == Evidence(2, {})


@then("reports of the earlier generation are ignored")
def earlier_ignored(context):
    collector = EvidenceCollector(2)
    assert not collector.add("a", 1, context.earlier)
    assert collector.total() == Evidence(2, {})
    assert merge_evidence([context.earlier, Evidence(2)]) == Evidence(2, {})


@given("a recorder with attempts on 100 routes at 100 replicas with many latencies")
def large_recorder(context):
    source = random.Random(1)
    recorder = EvidenceRecorder(1)
    for number in range(20_000):
        cohort_ = list(Cohort)[number % 2]
        replica = f"replica-{source.randrange(100)}"
        attempt = recorder.begin(f"route-{source.randrange(100)}", cohort_, replica, 0.0)
        attempt.first_response(source.lognormvariate(0, 1), 60 * source.lognormvariate(0, 1))
        attempt.end(number % 7 == 0, 300 * source.lognormvariate(0, 1), source.uniform(1, 90))
    context.evidence = recorder.snapshot(0.0)


@then("it names at most 16 routes, and its evidence has at most {kilobytes:d} KB")
def small_evidence(context, kilobytes):
    assert len([each for each in context.evidence.routes if each]) == 16
    size = len(msgspec.msgpack.encode(context.evidence))
    print(f"{size} bytes")
    assert size <= kilobytes * 1_024, size
    assert context.evidence.target.sent == context.evidence.baseline.sent == 10_000


@then("it is the same after encoding and decoding")
def same_after_coding(context):
    data = msgspec.msgpack.encode(context.evidence)
    assert msgspec.msgpack.decode(data, type=Evidence) == context.evidence


@when("8 threads record 500 attempts each while snapshots are taken")
def many_threads(context):
    context.recorder = EvidenceRecorder(1)

    def record():
        for number in range(500):
            attempt = context.recorder.begin("chat", Cohort.TARGET, f"i-{number % 3}", 0.0)
            attempt.first_response(1.0, 5.0)
            attempt.end(number % 5 == 0, 10.0)

    threads = [threading.Thread(target=record) for _ in range(8)]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        context.recorder.snapshot(0.0)
    for thread in threads:
        thread.join()


@then("all attempts are counted once")
def all_counted(context):
    evidence = context.recorder.snapshot(0.0)
    target = evidence.target
    assert (target.sent, target.answered, target.in_flight) == (4_000, 4_000, 0)
    assert (target.completed, target.failed) == (3_200, 800)
    assert context.recorder.snapshot(9.0) is evidence
