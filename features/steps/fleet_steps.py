"""Steps of fleet.feature."""

import http.client
import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

import uuid6
from behave import given, then, when

from aspengate.budgets import owner_key, shard_of
from aspengate.demo import LocalFleet, LocalService
from aspengate.membership import owner_of
from aspengate.standins import expected_words, file_bytes
from aspengate.table import (
    BudgetRow,
    ClientAccountRow,
    OperatorRow,
    RowChange,
    ServiceRow,
    hash_key,
)

PATIENCE_S = 60.0
TOKEN_PRICE = 2
ROWS = (
    BudgetRow(name="main", limit=10_000_000),
    BudgetRow(name="small", limit=100),
    ClientAccountRow(name="board", budget="main", key_hashes=hash_key("board-key")),
    ClientAccountRow(name="poor", budget="small", key_hashes=hash_key("poor-key")),
    ServiceRow(name="essay", price_input=1, price_output=TOKEN_PRICE),
    ServiceRow(name="files", protocol="plain", price_call=10),
    ServiceRow(name="receipts", protocol="plain", price_call=50, repeatable=False, itemised=True),
    OperatorRow(name="ed", key_hashes=hash_key("ed-key"), role="editor"),
    OperatorRow(name="rita", key_hashes=hash_key("rita-key"), role="reader"),
)
SERVICES = (
    LocalService("essay", "completion", 2, token_ms=10.0),
    LocalService("files", "plain", 1),
    LocalService("receipts", "plain", 2),
)


@given("a fleet with a model and a plain service")
def start_fleet(context):
    start(context, LocalFleet(ROWS, SERVICES, routers_per_region=3))


@given("a fleet whose blocks are never old, only idle")
def start_idle_fleet(context):
    fleet = LocalFleet(ROWS, SERVICES, routers_per_region=3)
    fleet.router_settings = replace(fleet.router_settings, rotate_ms=10_000_000, idle_ms=500)
    start(context, fleet)


def start(context, fleet):
    context.fleet = fleet
    context.cleanup.callback(context.fleet.close)
    context.fleet.start()
    context.cost = 0
    eventually(
        lambda: all(
            len(router.claims._tenures) == router.settings.claim_shards
            and all(tenure.owner for tenure in router.claims._tenures.values())
            for router in context.fleet.routers.values()
        )
    )
    eventually(lambda: all(agent.gate.ready for agent in context.fleet.agents.values()))


def eventually(holds):
    """Wait until something holds; how long it takes is no verdict."""
    deadline = time.monotonic() + PATIENCE_S
    while not holds():
        assert time.monotonic() < deadline, "it never held"
        time.sleep(0.02)


def routers(context):
    return list(context.fleet.routers.values())


def send(router, method, path, body=None, key="board-key", headers=None):
    connection = http.client.HTTPConnection(router.address, timeout=PATIENCE_S)
    sent = {"Authorization": f"Bearer {key}"} if key else {}
    connection.request(method, path, body, {**sent, **(headers or {})})
    return connection, connection.getresponse()


def ask(router, method, path, body=None, key="board-key", headers=None):
    connection, response = send(router, method, path, body, key, headers)
    data = response.read()
    connection.close()
    return response.status, data


def completion(prompt, tokens, stream=False):
    fields = {"model": "essay", "prompt": prompt, "max_tokens": tokens, "stream": stream}
    return json.dumps(fields)


def words_of_stream(data):
    events = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: ")]
    assert events[-1] == b"[DONE]", data[-100:]
    return [
        choice["text"].strip() for event in events[:-1] for choice in json.loads(event)["choices"]
    ]


def cost_of(prompt, tokens):
    return len(prompt.split()) + TOKEN_PRICE * tokens


@when("a completion, a stream and a file are asked for")
def ask_three(context):
    router = routers(context)[0]
    context.answers = [
        ask(router, "POST", "/v1/completions", completion("one two", 5)),
        ask(router, "POST", "/v1/completions", completion("three", 7, stream=True)),
        ask(router, "GET", "/services/files/fonts/a.woff2?x=1"),
    ]
    context.cost = cost_of("one two", 5) + cost_of("three", 7) + 10


@then("each answer is what the upstream gave, bit for bit")
def bit_for_bit(context):
    whole, streamed, file = context.answers
    assert [status for status, _ in context.answers] == [200] * 3, context.answers
    assert json.loads(whole[1])["choices"][0]["text"].split() == expected_words("one two", 5)
    assert words_of_stream(streamed[1]) == expected_words("three", 7)
    assert file[1] == file_bytes("/fonts/a.woff2")


@then("in the end the store has billed each once")
def billed_once(context):
    def billed():
        budgets = [
            budget
            for shard in routers(context)[-1].editor.shards()
            for name, budget in shard.budgets.items()
            if name == "main"
        ]
        return sum(budget.spent for budget in budgets)

    eventually(lambda: billed() >= context.cost)
    time.sleep(1.0)
    assert billed() == context.cost, (billed(), context.cost)


@when("a router dies during a stream with a key and the caller retries elsewhere")
def router_dies(context):
    key = str(uuid6.uuid7())
    prompt, tokens = "a long essay", 60
    body = completion(prompt, tokens, stream=True)
    name = next(iter(context.fleet.routers))
    headers = {"Idempotency-Key": key}
    connection, response = send(
        context.fleet.routers[name], "POST", "/v1/completions", body, headers=headers
    )
    assert response.status == 200
    response.readline()
    context.fleet.kill_router(name)
    connection.close()
    context.cost = cost_of(prompt, tokens)
    context.expected = expected_words(prompt, tokens)

    def retry():
        status, data = ask(routers(context)[0], "POST", "/v1/completions", body, headers=headers)
        context.retried = data
        if status != 200:
            assert json.loads(data)["error"]["run_state"] == "unknown", data
        return status == 200

    eventually(retry)


@then("the retry gets the whole answer")
def whole_retry(context):
    assert words_of_stream(context.retried) == context.expected


@then("the engine ran it once")
def ran_once(context):
    runs = [
        sum(upstream.application.runs.values())
        for upstream in context.fleet.upstreams
        if "essay" in upstream.agent
    ]
    assert sum(runs) == 1, runs


@when("a receipt is asked for with one key through every router at once")
def one_key(context):
    headers = {"Idempotency-Key": str(uuid6.uuid7())}

    def one(router):
        while True:
            status, data = ask(router, "POST", "/services/receipts/new", b"abc", headers=headers)
            if status == 200:
                return data

    with ThreadPoolExecutor(6) as pool:
        context.receipts = list(pool.map(one, routers(context) * 2))
    context.cost = 50


@then("every answer is the same receipt and it ran once")
def same_receipt(context):
    assert len(set(context.receipts)) == 1, context.receipts
    assert b" run 1 of 3 bytes" in context.receipts[0]
    (shard,) = [shard for shard in routers(context)[0].editor.shards() if "main" in shard.budgets]
    assert len(shard.items) <= 1


@when("a router with 50 open streams is stopped as planned")
def stop_router(context):
    name, router = next(iter(context.fleet.routers.items()))
    opened = [
        send(router, "POST", "/v1/completions", completion(f"stream {number}", 80, True))
        for number in range(50)
    ]
    assert all(response.status == 200 for _, response in opened)
    context.stopped = []
    stop = threading.Thread(target=lambda: context.stopped.append(router.leave(60_000)))
    stop.start()
    with ThreadPoolExecutor(50) as pool:
        context.streams = list(pool.map(lambda pair: pair[1].read(), opened))
    stop.join()
    context.fleet.routers.pop(name)
    context.fleet.listed.remove(name)
    context.cost = sum(cost_of(f"stream {number}", 80) for number in range(50))


@then("all 50 answers are whole and the stop was complete")
def fifty(context):
    assert context.stopped == [True]
    for number, data in enumerate(context.streams):
        assert words_of_stream(data) == expected_words(f"stream {number}", 80)


@when("an agent with open streams is stopped as planned")
def stop_agent(context):
    router = routers(context)[0]
    opened = [
        send(router, "POST", "/v1/completions", completion(f"stream {number}", 40, True))
        for number in range(10)
    ]
    name = next(name for name in context.fleet.agents if "essay" in name)
    context.leaving = name
    agent = context.fleet.agents[name]
    stop = threading.Thread(target=agent.leave, args=(60_000,))
    stop.start()
    context.streams = [response.read() for _, response in opened]
    stop.join()
    eventually(
        lambda: all(
            each.registry._states[agent.address].report.leaving for each in routers(context)
        )
    )
    context.before = runs_at(context, name)
    context.later = [
        ask(router, "POST", "/v1/completions", completion("later", 2))
        for router in routers(context)
    ]


def runs_at(context, name):
    return sum(
        sum(upstream.application.runs.values())
        for upstream in context.fleet.upstreams
        if upstream.agent == name
    )


@then("its answers are whole and later requests run elsewhere")
def agent_left(context):
    for number, data in enumerate(context.streams):
        assert words_of_stream(data) == expected_words(f"stream {number}", 40)
    assert [status for status, _ in context.later] == [200] * len(context.later)
    assert runs_at(context, context.leaving) == context.before


@when("the store goes down after some requests and more come")
def store_down(context):
    router = routers(context)[0]
    statuses = []
    for number in range(10):
        if number == 3:
            eventually(lambda: router.money.ledger.free("main") > 1_000)
            context.fleet.store.faults.down = True
        statuses.append(ask(router, "GET", f"/services/files/{number}")[0])
    context.statuses = statuses
    context.fleet.store.faults.down = False
    context.cost = 100


@then("all of them are answered")
def all_answered(context):
    assert context.statuses == [200] * 10, context.statuses


@when("a caller reads one token of a long stream and goes away")
def goes_away(context):
    body = completion("a very long essay", 2_000, stream=True)
    connection, response = send(routers(context)[0], "POST", "/v1/completions", body)
    response.readline()
    response.close()
    connection.close()


@then("the engine's run is cancelled")
def cancelled(context):
    engines = [each.application for each in context.fleet.upstreams if "essay" in each.agent]
    eventually(lambda: any(engine.cancelled for engine in engines))


@when("a small budget is spent and then topped up")
def spend_and_top_up(context):
    router = routers(context)[0]
    statuses = []
    for number in range(12):
        status, data = ask(router, "GET", f"/services/files/{number}", key="poor-key")
        statuses.append(status)
        if status != 200:
            context.refusal = json.loads(data)["error"]
            break
    assert statuses.count(200) == 10, statuses
    change = RowChange(BudgetRow(name="small", limit=100), BudgetRow(name="small", limit=200))
    router.editor.change((change,), "operator")
    eventually(lambda: ask(router, "GET", "/services/files/x", key="poor-key")[0] == 200)


@then("the refusal before was {code} and {run_state}, and an answer comes after")
def refusal(context, code, run_state):
    assert context.refusal["code"] == code, context.refusal
    assert context.refusal["run_state"] == run_state


WRONG = {
    "keyless": ("GET", "/services/files/a", None, "", {}),
    "unknown service": ("GET", "/services/dragons/a", None, "board-key", {}),
    "broken JSON": ("POST", "/v1/completions", b'{"model": ', "board-key", {}),
    "receipt unkeyed": ("POST", "/services/receipts/new", b"x", "board-key", {}),
    "bad key": (
        "POST",
        "/services/receipts/new",
        b"x",
        "board-key",
        {"Idempotency-Key": "not-a-uuid"},
    ),
}


@when("a {wrong} request is sent")
def wrong_request(context, wrong):
    method, path, body, key, headers = WRONG[wrong]
    context.status, data = ask(routers(context)[0], method, path, body, key, headers)
    context.error = json.loads(data)["error"]


@then("it is refused with status {status:d} and code {code}")
def refused(context, status, code):
    assert (context.status, context.error["code"]) == (status, code), context.error


@when("two editors who read the same table send different ones, and a reader sends one")
def edit_race(context):
    router = routers(context)[0]
    connection, response = send(router, "GET", "/table", key="rita-key")
    table, etag = response.read().decode(), response.headers["ETag"]
    connection.close()
    context.edits = []
    for key, priority in (("ed-key", "3"), ("ed-key", "4"), ("rita-key", "5")):
        rows = table.split("\n")
        header = rows[0].split(",")
        cells = next(row.split(",") for row in rows if row.startswith("service,files,"))
        cells[header.index("priority")] = priority
        changed = "\n".join(
            ",".join(cells) if row.startswith("service,files,") else row for row in rows
        )
        context.edits.append(
            ask(router, "PUT", "/table", changed, key=key, headers={"If-Match": etag})
        )


@then(
    "the first is accepted, the second gets a conflict that shows the change, the reader is refused"
)
def race_decided(context):
    statuses = [status for status, _ in context.edits]
    assert statuses == [200, 412, 403], context.edits
    assert b"ed changed service files" in context.edits[1][1]


@then("the accepted edit is in force in every router")
def in_force(context):
    eventually(
        lambda: all(
            router.table.view.services["files"].priority == 3 for router in routers(context)
        )
    )


@given("a fleet in two regions that share a small budget")
def two_regions(context):
    rows = tuple(row for row in ROWS if row.name != "small")
    services = (LocalService("files", "plain", 1),)
    fleet = LocalFleet(
        (*rows, BudgetRow(name="small", limit=1_000)),
        services,
        regions=("north", "south"),
        routers_per_region=2,
    )
    start(context, fleet)
    context.delivered = 0


def spend(context, router, times):
    """Ask for files at 10 credits each; return how often it was refused."""
    refused = 0
    for number in range(times):
        status, data = ask(router, "GET", f"/services/files/{number}", key="poor-key")
        context.delivered += 10 * (status == 200)
        refused += status != 200
        if status != 200:
            assert json.loads(data)["error"]["run_state"] == "not_run", data
    return refused


@when("one region is cut off and both spend until they are refused")
def cut_and_spend(context):
    by_region = {router.settings.region: router for router in routers(context)}
    for router in by_region.values():
        assert not spend(context, router, 5)
    context.fleet.network.cut.add("south")
    refused = [spend(context, router, 120) for router in by_region.values()]
    assert all(refused), refused


@then("together they spent no more than the budget")
def within_budget(context):
    assert 100 < context.delivered <= 1_000, context.delivered


@then("after the cut the budget's last credits can be spent and the bill is what was delivered")
def all_adds_up(context):
    context.fleet.network.cut.clear()
    router = routers(context)[0]

    def spent_out():
        spend(context, router, 1)
        return context.delivered == 1_000

    eventually(spent_out)
    assert spend(context, router, 5) == 5

    def billed():
        shards = router.editor.shards()
        return sum(shard.budgets["small"].spent for shard in shards if "small" in shard.budgets)

    eventually(lambda: billed() == 1_000)


@when("an agent dies while it streams to ten callers")
def agent_dies(context):
    router = routers(context)[0]
    opened = [
        send(router, "POST", "/v1/completions", completion(f"stream {number}", 100, True))
        for number in range(10)
    ]
    name = next(name for name in context.fleet.agents if "essay" in name)
    context.fleet.kill_agent(name)
    context.ends = []
    for _, response in opened:
        try:
            context.ends.append(response.read())
        except http.client.HTTPException:
            context.ends.append(b"cut")


@then("no caller gets a cut answer as a whole one, and later requests run elsewhere")
def cut_or_whole(context):
    for number, data in enumerate(context.ends):
        if data != b"cut":
            assert words_of_stream(data) == expected_words(f"stream {number}", 100)
    eventually(
        lambda: all(
            ask(router, "POST", "/v1/completions", completion("later", 2))[0] == 200
            for router in routers(context)
        )
    )


@when("a router that is {role} of the budget dies after ten calls")
def router_dies_after_calls(context, role):
    eventually(lambda: all(len(router.money.routers) == 2 for router in routers(context)))
    first = routers(context)[0]
    shard = shard_of("main", first.settings.budget_shards)
    steward = owner_of(owner_key("region-1", shard), context.fleet.routers)
    name = next(
        name for name in context.fleet.routers if (name == steward) == (role == "the steward")
    )
    for number in range(10):
        assert ask(context.fleet.routers[name], "GET", f"/services/files/{number}")[0] == 200
    context.dead = context.fleet.routers[name].session
    context.fleet.kill_router(name)
    context.cost = 100


@then("no dead session holds money")
def no_dead_session(context):
    eventually(
        lambda: all(
            context.dead not in shard.sessions for shard in routers(context)[0].editor.shards()
        )
    )


@when("the only agent of a service dies unseen and a call is made at once")
def dies_unseen(context):
    router = routers(context)[0]
    assert ask(router, "GET", "/services/files/a")[0] == 200
    context.fleet.agents["region-1-files-0"].close()
    status, data = ask(router, "GET", "/services/files/b")
    assert status >= 500, data
    context.error = json.loads(data)["error"]


@then("the call's run state is {run_state}")
def run_state_is(context, run_state):
    assert context.error["run_state"] == run_state, context.error


@given("a fleet whose blocks are neither old nor idle for long")
def long_blocks(context):
    fleet = LocalFleet(ROWS, SERVICES, routers_per_region=3)
    fleet.router_settings = replace(fleet.router_settings, rotate_ms=10_000_000, idle_ms=10_000_000)
    start(context, fleet)


@when("every router has spent from one budget and its steward is stopped as planned")
def stop_steward(context):
    eventually(lambda: all(len(router.money.routers) == 2 for router in routers(context)))
    for router in routers(context):
        assert ask(router, "GET", "/services/files/a")[0] == 200
    shard = shard_of("main", routers(context)[0].settings.budget_shards)
    name = owner_of(owner_key("region-1", shard), context.fleet.routers)
    steward = context.fleet.routers.pop(name)
    context.dead = steward.session
    context.stopped = steward.leave(60_000)
    context.fleet.listed.remove(name)
    for router in routers(context):
        router.money.ledger.retire_all()
    context.cost = 30


@then("the stop was complete and its session holds nothing")
def stop_complete(context):
    assert context.stopped
    assert all(context.dead not in shard.sessions for shard in routers(context)[0].editor.shards())
