"""Steps on requests under which replicas end."""

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st
from platform_standins.fleet import eventually

from aspengate.crashes import content_id
from gateway_world import start


def ask(router, path, **fields):
    """Ask a router once; return the status, 0 where the connection ended."""
    caller = router.call()
    try:
        return caller.request("GET", path, **fields).status
    except OSError:
        return 0
    finally:
        caller.close()


@given("a gateway before four portal replicas")
def four_portals(context):
    start(context, replicas=4)


@when("a receipt ends its replica, and another one's answer is lost")
def ended_and_lost(context):
    for replica in context.fleet.of("portal"):
        replica.crash_on = "/receipt/ending"
    assert ask(context.router, "/receipt/ending") == 502
    alive = [replica for replica in context.fleet.of("portal") if not replica.gone]
    for replica in alive:
        replica.behaviour = "lose"
    assert ask(context.router, "/receipt/lost") == 502


@then("one line tells which replica ended under which request, and none of the other")
def one_line(context):
    ended = [replica for replica in context.fleet.of("portal") if replica.gone]
    found = eventually(lambda: context.router.find_all("replica.ended"))
    contents = [content_id("board", f"/receipt/{name}", b"") for name in ("ending", "lost")]
    told = [(line["replica"], line["content"]) for line in found]
    assert told == [(ended[0].identity, contents[0])], told
    ends = eventually(lambda: len(context.router.find_all("request.ended")) == 2)
    assert ends, context.router.lines
    lines = context.router.find_all("request.ended")
    assert [line["content"] for line in lines] == contents, lines


@given("requests of two accounts with paths and bodies of any kind")
def any_requests(context):
    context.requests = st.tuples(
        st.sampled_from(["board", "shop", ""]), st.text(max_size=5), st.binary(max_size=5)
    )


@then("two have the same id just where all of these are equal")
def same_id(context):
    @given_any(context.requests, context.requests)
    def check(one, other):
        same = content_id(*one) == content_id(*other)
        assert same == (one == other)

    check()
