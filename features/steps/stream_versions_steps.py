"""Steps on streams of services whose replicas run several software versions."""

import json
import signal
import time

from behave import given, then, when
from platform_standins import Fleet
from platform_standins.fleet import eventually

from gateway_world import GENEROUS_RETRIES, TOKENS, wait_for_retries
from stream_callers import EVENTS, Stream, begin, parts_of, take_up
from stream_load import StreamLoad


def start_fleet(context, routers, engines, **bounds):
    """Start gateways that know each other, and engines of versions with fields."""
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    for version, fields in engines:
        context.fleet.add_replica("engine", version=version, events=EVENTS, **fields)
    for _ in range(routers):
        seeds = context.fleet.routers[0].peer_address if context.fleet.routers else ""
        context.fleet.add_router(seeds=seeds, **{**GENEROUS_RETRIES, **bounds})
    assert eventually(
        lambda: all(
            len(router.find_all("member.heard")) >= routers - 1 for router in context.fleet.routers
        )
    )
    context.router = context.fleet.routers[0]
    wait_for_retries(context)


@given(
    'a gateway, and one engine of version "{one}" that breaks streams off beside two of "{other}"'
)
def one_engine_breaks(context, one, other):
    start_fleet(context, 1, [(one, {}), (other, {}), (other, {})])
    context.fleet.of("engine")[0].behaviour = "break off"


@when("{count:d} scores are streamed")
def stream_scores(context, count):
    context.answers = []
    for number in range(count):
        caller = context.fleet.routers[0].call()
        caller.send("POST", "/score/1", body=b"essay", tokens=TOKENS, parts=parts_of(number))
        context.answers.append(caller.read())
        caller.close()


@then("no response has events of two versions")
def no_mixed_response(context):
    mixed = [answer.event_versions for answer in context.answers if len(answer.event_versions) > 1]
    assert not mixed, mixed


@then('the responses that an engine of "{version}" began are recognisably incomplete')
def cut_responses(context, version):
    begun = [answer for answer in context.answers if version in answer.event_versions]
    assert begun and not any(answer.whole for answer in begun), len(begun)


@given('two gateways, and two engines of each of the versions "{one}" and "{other}"')
def two_gateways(context, one, other):
    start_fleet(context, 2, [(version, {}) for version in (one, one, other, other)])


@when("{count:d} callers break off after the first event of their streams")
def callers_break_off(context, count):
    routers = context.fleet.routers
    context.streams = [begin(routers[number % len(routers)], number) for number in range(count)]


@when("one engine of each version ends")
def one_engine_of_each_ends(context):
    for version in {engine.version for engine in context.fleet.replicas}:
        end(context, next(each for each in context.fleet.replicas if each.version == version))


def end(context, engine):
    """End an engine; wait until no gateway lists it."""
    engine.unlist()
    engine.close()
    assert eventually(
        lambda: all(
            router.find("replica.gone", replica=engine.identity) for router in context.fleet.routers
        )
    )


@when("they take their streams up at the other gateway")
def taken_up_elsewhere(context):
    for stream in context.streams:
        take_up(context.fleet.routers[(stream.number + 1) % 2], stream)


@then("no stream has events of two versions")
def no_mixed_stream(context):
    begun = {version for stream in context.streams for version in stream.versions}
    assert len(begun) > 1, f"all streams ran at {begun}"
    mixed = [stream for stream in context.streams if len(stream.versions) > 1]
    assert not mixed, mixed


@then("all of them go on to their end")
def all_go_on(context):
    ended = [stream for stream in context.streams if not stream.is_whole]
    assert not ended, ended


@when(
    "a caller breaks off after the first event and takes its stream up twice, each time elsewhere"
)
def taken_up_twice(context):
    context.streams = []
    for number in range(10):
        stream = begin(context.fleet.routers[number % 2], number)
        take_up(context.fleet.routers[(number + 1) % 2], stream, events=1)
        take_up(context.fleet.routers[number % 2], stream)
        context.streams.append(stream)


@when("a stream is taken up that nobody knows")
def unknown_taken_up(context):
    context.received = received_requests(context)
    context.answer = take_up(context.router, Stream("never-begun", 0, last_event_id=1))


def received_requests(context):
    return sum(len(engine.requests) for engine in context.fleet.replicas)


@when('a caller breaks off a stream of version "{version}", and all engines of it end')
def version_ends(context, version):
    numbers = iter(range(100))
    stream = begin(context.router, next(numbers))
    while stream.versions != {version}:
        stream = begin(context.router, next(numbers))
    for engine in [each for each in context.fleet.replicas if each.version == version]:
        end(context, engine)
    context.received = received_requests(context)
    context.answer = take_up(context.fleet.routers[1], stream)


@then('the caller is refused at once with "{code}", and no engine gets the request')
def refused_at_once(context, code):
    assert context.answer.status == 503, context.answer.status
    assert json.loads(context.answer.body)["error"]["code"] == code, context.answer.body
    assert context.answer.seconds < 0.5, context.answer.seconds
    assert received_requests(context) == context.received


@given('four gateways, and two engines of each of the versions "{one}" and "{other}"')
def four_gateways(context, one, other):
    start_fleet(context, 4, [(version, {}) for version in (one, one, other, other)])
    context.fleet.operator.set_prepaid("board", 100_000_000)


@given('four gateways, and four engines of version "{one}"')
def four_gateways_of_one_version(context, one):
    start_fleet(context, 4, [(one, {})] * 4)
    context.fleet.operator.set_prepaid("board", 100_000_000)


@when("callers break streams off and take them up at any gateway while {trouble}")
def streams_under_trouble(context, trouble):
    load = StreamLoad(context.fleet)
    TROUBLES[trouble](context.fleet)
    load.stop()
    context.load = load
    context.streams = load.streams


@then("at least half as many of them go on as new ones begin")
def half_go_on(context):
    went_on, began = context.load.shares()
    assert went_on >= began / 2, (went_on, began)


@then("at least nine in ten of them go on")
def nearly_all_go_on(context):
    went_on, _ = context.load.shares()
    assert went_on >= 0.9, went_on


def kill_gateways(fleet):
    for router in list(fleet.routers):
        time.sleep(0.5)
        router.kill()
        fleet.start_again(router)


def freeze_gateways(fleet):
    for router in fleet.routers:
        router.process.send_signal(signal.SIGSTOP)
        time.sleep(1.4)
        router.process.send_signal(signal.SIGCONT)


def break_streams_off(fleet):
    for engine in fleet.replicas:
        engine.behaviours = {number: "break off" for number in range(3, 10_000, 3)}
    time.sleep(3.0)


def replace_engines(fleet):
    """Replace engines abruptly, by others of the same versions under new ids."""
    for engine in list(fleet.replicas):
        time.sleep(0.5)
        engine.close()
        engine.unlist()
        fleet.add_replica("engine", version=engine.version, events=EVENTS)
    time.sleep(0.5)


def silence_store(fleet):
    """Silence the store once the gateways have drawn tokens."""
    time.sleep(1.0)
    endpoints = [router.endpoint for router in fleet.routers]
    for endpoint in endpoints:
        endpoint.fault = "silent"
    time.sleep(4.0)
    for endpoint in endpoints:
        endpoint.fault = ""


TROUBLES = {
    "nothing fails": lambda _: time.sleep(2.0),
    "gateways are killed in turn": kill_gateways,
    "gateways are frozen in turn": freeze_gateways,
    "engines break off every third stream": break_streams_off,
    "engines are replaced in turn": replace_engines,
    "the store is silent for 4 s": silence_store,
}
