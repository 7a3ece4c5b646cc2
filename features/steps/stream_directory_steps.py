"""Steps on what routers know together of the versions that began streams."""

from behave import given, then, when
from hypothesis import example, settings
from hypothesis import given as given_any
from hypothesis import strategies as st

from stream_directories import ROUTERS, VERSIONS, DirectoryFleet

ROUTER = st.integers(0, ROUTERS - 1)
EVENTS = st.one_of(
    st.tuples(st.sampled_from(("list", "drop")), st.sampled_from(VERSIONS)),
    st.tuples(st.sampled_from(("see", "cut", "join", "lose", "kill", "start")), ROUTER),
    st.tuples(st.just("begin"), ROUTER, st.sampled_from(VERSIONS)),
    st.tuples(st.just("take up"), ROUTER, st.integers(0, 3)),
    st.tuples(st.just("wait"), st.sampled_from((1, 1_000, 9_000))),
)


LIST_V2 = ("list", "v2")
BEGIN_AT_V1 = ("begin", 0, "v1")
BEGIN_AT_V2 = ("begin", 0, "v2")
SEE = [("see", router) for router in range(ROUTERS)]
TAKE_UP_AT_1 = ("take up", 1, 0)


@given("routers that begin streams at versions that come and go")
def fleet_of_directories(context):
    context.events = st.lists(EVENTS, max_size=40)


@then("no sequence of lists, cuts, restarts and losses lets a stream continue at another version")
def never_another_version(context):
    @settings(max_examples=400)
    @given_any(context.events)
    @example([BEGIN_AT_V1, LIST_V2, ("see", 1), ("kill", 0), TAKE_UP_AT_1])
    @example([("lose", 0), LIST_V2, ("see", 0), BEGIN_AT_V2, ("kill", 0), TAKE_UP_AT_1])
    @example([("lose", 0), LIST_V2, *SEE, BEGIN_AT_V2, ("kill", 0), TAKE_UP_AT_1])
    @example([("lose", 0), LIST_V2, *SEE, BEGIN_AT_V1, ("kill", 0), TAKE_UP_AT_1])
    @example([BEGIN_AT_V1, ("kill", 0), LIST_V2, ("drop", "v1"), *SEE, TAKE_UP_AT_1])
    @example([("cut", 1), LIST_V2, ("see", 0), BEGIN_AT_V2, TAKE_UP_AT_1])
    def run(events):
        fleet = DirectoryFleet()
        fleet.apply("wait", 60_000)
        for event in events:
            fleet.apply(*event)
        assert not fleet.mixed, (events, fleet.mixed)

    run()


@given("routers in contact, and a service of version {version} that they have listed for a minute")
def settled_fleet(context, version):
    context.fleet = DirectoryFleet([version])
    context.fleet.apply("wait", 60_000)


@when("router {router:d} begins a stream at version {version}")
def begin_at(context, router, version):
    context.fleet.apply("begin", router, version)


@when("version {version} is listed at all routers")
def listed_everywhere(context, version):
    context.fleet.apply("list", version)
    for router in range(ROUTERS):
        context.fleet.apply("see", router)


@when("version {version} is listed, which no router sees")
def listed_nowhere(context, version):
    context.fleet.apply("list", version)


@when("router {router:d} is killed")
def router_is_killed(context, router):
    context.fleet.apply("kill", router)


@when("all routers are killed and start again")
def all_start_again(context):
    for router in range(ROUTERS):
        context.fleet.apply("kill", router)
    for router in range(ROUTERS):
        context.fleet.apply("start", router)


@when("router {router:d} is cut off from the store and the other routers")
def router_is_cut_off(context, router):
    context.fleet.apply("cut", router)


@when("{seconds:d} s pass")
def seconds_pass(context, seconds):
    context.fleet.apply("wait", seconds * 1_000)


@when("the replica of version {version} restarts at version {other} under its id")
def restarts_under_id(context, version, other):
    context.fleet.change_version(version, other)
    for router in range(ROUTERS):
        context.fleet.apply("see", router)


@when(
    "the replica of version {version} restarts at version {other} under its id, "
    "which only router {router:d} sees"
)
def restarts_seen_by_one(context, version, other, router):
    context.fleet.change_version(version, other)
    context.fleet.apply("see", router)


@when(
    "the replica of version {version} restarts at version {other} under its id, "
    "which no router sees"
)
def restarts_unseen(context, version, other):
    context.fleet.change_version(version, other)


@when("router {router:d} sees the list of replicas")
def router_sees_list(context, router):
    context.fleet.apply("see", router)


@when("router {router:d} announces its streams again")
def announces_again(context, router):
    context.fleet.announce(router)


@when("version {version} is listed by another replica")
def listed_by_another(context, version):
    context.fleet.add_replica(version)
    for router in range(ROUTERS):
        context.fleet.apply("see", router)


@when("the process of the replica of version {version} ends, and its record stays")
def process_ends(context, version):
    context.fleet.end_process(version)


@when("the record of the replica of version {version} is written again")
def record_is_rewritten(context, version):
    context.fleet.rewrite(version)


@then("router {router:d} continues it at version {version}")
def continues_at(context, router, version):
    assert context.fleet.take_up(router, 0) == version


@then("router {router:d} refuses to continue it")
def refuses_to_continue(context, router):
    assert context.fleet.take_up(router, 0) is None


@then("router {router:d} has no replica at which it may continue")
def no_replica_to_continue(context, router):
    assert not context.fleet.may_continue(router, 0)


@then("router {router:d} has a replica at which it may continue")
def replica_to_continue(context, router):
    assert context.fleet.may_continue(router, 0)


@then("no router has sent a message on streams")
def no_messages(context):
    assert not context.fleet.sent, context.fleet.sent


@then("router {router:d} continues it at its service, though the request drew another one")
def continues_at_service(context, router):
    assert context.fleet.resumed_service(router, 0) == "engine"


@then("router {router:d} does not continue it in the same response")
def not_in_response(context, router):
    assert not context.fleet.may_continue_response(router, 0)


@then("router {router:d} may continue it in the same response")
def in_response(context, router):
    assert context.fleet.may_continue_response(router, 0)
