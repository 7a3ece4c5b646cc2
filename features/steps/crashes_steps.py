"""Steps on requests under which replicas end."""

import json
import threading
import time

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st
from platform_standins import Caller
from platform_standins.fleet import eventually

from aspengate.crashes import content_id
from aspengate.explanation import read_lines, tell_story
from aspengate.losses import cause_of
from gateway_world import TOKENS, start_gateways


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
    start_gateways(context, replicas=4)


@given("two gateways before four portal replicas")
def two_gateways(context):
    start_gateways(context, routers=2, replicas=4)


def notices_sent(router):
    """Return how many notices on ended replicas a gateway has sent, by its figures."""
    text = Caller(router.metrics_address).request("GET", "/metrics").body.decode()
    lines = [line for line in text.splitlines() if 'event="datagrams.sent.crashes"' in line]
    return sum(float(line.rpartition(" ")[2]) for line in lines if "_total" in line)


@when("one of them sees a receipt end its replica, and the other one is killed and starts again")
def seen_and_started(context):
    for replica in context.fleet.of("portal"):
        replica.crash_on = "/receipt/ending"
    assert ask(context.router, "/receipt/ending") == 502
    # Each notice is sent three times within a second.
    assert eventually(lambda: notices_sent(context.router) == 3)
    other = context.fleet.routers[1]
    other.kill()
    context.fleet.start_again(other)


@then("the first one tells the other one once more what it knows")
def told_once_more(context):
    assert eventually(lambda: notices_sent(context.router) > 3, 10.0)


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


@when("a receipt has ended three of them and is asked for once more")
def asked_once_more(context):
    for replica in context.fleet.of("portal"):
        replica.crash_on = "/receipt/ending"
    statuses = [ask(context.router, "/receipt/ending") for _ in range(4)]
    assert statuses == [502, 502, 502, 503], statuses


@then("its story names each replica, when it ended and which router saw it")
def story_names_ends(context):
    ended = [replica.identity for replica in context.fleet.of("portal") if replica.gone]
    assert len(ended) == 3, ended
    ends = eventually(lambda: len(found := context.router.find_all("request.ended")) == 4 and found)
    lines = [json.dumps(line) for line in context.router.lines]
    told = read_lines("router-1", lines)
    story = "\n".join(tell_story(ends[-1]["request_id"], told).lines())
    cause = cause_of(ends[-1]["request_id"], told)
    for identity in ended:
        assert f"replica.ended  replica={identity}" in story, story
        assert f"{identity} " in cause and "as router-1 saw" in cause, cause


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


ENDING = {
    "a receipt": ("/receipt/ending", {}),
    "a status that may run once": ("/status/ending", {}),
    "a stream that may be resumed": ("/score/ending", {"tokens": TOKENS, "body": b"essay"}),
}
ENDS = 3
CONTACT_S = 2.0
AFTER_S = 4.0
BACK_S = 1.0
PERIOD_S = 0.25
MOST_S = 40.0
ALLOWED = 3


class EndingFleet:
    """Gateways before replicas that a request ends, and that come back under new ids."""

    def __init__(self, context):
        start_gateways(context, routers=4, replicas=6)
        self.fleet = context.fleet
        self.ended = []
        self.lock = threading.Lock()
        self.closing = threading.Event()
        self.back_s = 0.0
        self.on_end = lambda: None
        context.cleanup.callback(self.closing.set)
        for replica in list(self.fleet.replicas):
            self.watch(replica)

    def watch(self, replica):
        replica.crash_on = "ending"
        replica.on_crash = self.take_end

    def take_end(self, replica):
        with self.lock:
            self.ended.append(time.monotonic())
        threading.Thread(target=self.replace, args=(replica,), daemon=True).start()
        self.on_end()

    def replace(self, replica):
        """Have another replica start, and the record of the one that ended lapse later."""
        if not self.closing.wait(BACK_S):
            with self.lock:
                self.watch(self.fleet.add_replica(replica.service))
        if not self.closing.wait(BACK_S):
            replica.unlist()

    def arrivals(self, target):
        return [
            request.at_s
            for replica in list(self.fleet.replicas)
            for request in list(replica.requests)
            if request.target == target
        ]

    def kill(self, router):
        """Kill a gateway and start it again, where it has not been replaced already."""
        with self.lock:
            if router not in self.fleet.routers:
                return
            router.kill()
            again = self.fleet.start_again(router, ready=False)
        if eventually(again.is_ready):
            self.back_s = max(self.back_s, time.monotonic())


@given("four gateways before six replicas of each service, which come back after they have ended")
def ending_fleet(context):
    context.ending = EndingFleet(context)


@when("{request} that ends them is asked for four times a second, and {trouble}")
def ask_for_ending(context, request, trouble):
    ending = context.ending
    context.target, fields = ENDING[request]
    context.usual = []
    begin_trouble(ending, trouble)
    usual = threading.Thread(target=ask_usual, args=(context,), daemon=True)
    usual.start()
    last = time.monotonic() + MOST_S
    number = 0
    while time.monotonic() < last and not ending.closing.is_set():
        if len(ending.ended) >= ENDS and time.monotonic() > ending.ended[2] + CONTACT_S + AFTER_S:
            break
        router = ending.fleet.routers[number % len(ending.fleet.routers)]
        ending.sender = router
        threading.Thread(
            target=ask_quietly, args=(router, context.target, fields), daemon=True
        ).start()
        number += 1
        time.sleep(PERIOD_S)
    ending.closing.set()
    usual.join()
    assert len(ending.ended) >= ENDS, ending.ended


def begin_trouble(ending, trouble):
    routers = ending.fleet.routers

    def kill_all():
        if len(ending.ended) == ENDS:
            for router in list(routers):
                threading.Thread(target=ending.kill, args=(router,), daemon=True).start()

    def kill_sender():
        """Kill the gateway some 20 ms after the end; it may just have seen it."""
        threading.Timer(0.02, ending.kill, (ending.sender,)).start()

    if trouble.startswith("all"):
        ending.on_end = kill_all
    elif trouble.startswith("the gateway"):
        ending.on_end = kill_sender


def ask_quietly(router, path, fields):
    method = "POST" if fields else "GET"
    try:
        caller = router.call()
        caller.request(method, path, **fields)
        caller.close()
    except OSError:
        pass


def ask_usual(context):
    """Ask for usual receipts at all gateways in turn; keep when, and the status."""
    ending = context.ending
    number = 0
    while not ending.closing.wait(PERIOD_S / 2):
        number += 1
        router = ending.fleet.routers[number % len(ending.fleet.routers)]
        begun = time.monotonic()
        try:
            status = ask(router, f"/receipt/{number}")
        except OSError:
            status = 0
        context.usual.append((begun, status))


@then("at most three of its arrivals are later than 2 s after the third end")
def arrivals_in_bound(context):
    third = context.ending.ended[2]
    arrivals = sorted(at - third for at in context.ending.arrivals(context.target))
    late = [at for at in arrivals if at > CONTACT_S]
    assert len(late) <= ALLOWED, (len(context.ending.ended), arrivals)


@then("the usual requests of others are answered from then on")
def usual_answered(context):
    # A call to a gateway that was killed and does not listen yet is refused by the system.
    since = max(context.ending.ended[2] + CONTACT_S + 1.0, context.ending.back_s)
    found = [status for at, status in context.usual if at > since]
    assert found and set(found) == {200}, found


@when("one receipt is asked for often, and all portal replicas end at once, twice")
def end_all_at_once(context):
    ending = context.ending
    context.common = []
    asking = [
        threading.Thread(target=ask_common, args=(context, router), daemon=True)
        for router in ending.fleet.routers
        for _ in range(3)
    ]
    for replica in ending.fleet.of("portal"):
        replica.work_s = 0.1
    for thread in asking:
        thread.start()
    for _ in range(2):
        assert eventually(lambda: context.common and context.common[-1] == 200)
        time.sleep(0.2)
        alive = [each for each in ending.fleet.of("portal") if not each.gone]
        for replica in alive:
            replica.gone = True
            replica.crash()
            ending.take_end(replica)
        assert eventually(lambda: any(not each.gone for each in ending.fleet.of("portal")))


def ask_common(context, router):
    while not context.ending.closing.is_set():
        context.common.append(ask(router, "/receipt/common"))


@then("it is answered by all gateways once the replicas are back")
def common_answered(context):
    ending = context.ending
    ended = {replica.identity for replica in ending.fleet.of("portal") if replica.gone}
    assert len(ended) >= 12, ended
    told = [line for router in ending.fleet.routers for line in router.find_all("replica.ended")]
    assert told, "no request was there when its replica ended"

    def all_answer():
        return all(ask(router, "/receipt/common") == 200 for router in ending.fleet.routers)

    assert eventually(all_answer, 15.0)
    ending.closing.set()
