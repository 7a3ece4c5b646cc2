"""Steps of processes.feature."""

import http.client
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from behave import given, then, when

from aspengate.standins import expected_words, file_bytes
from aspengate.table import (
    BudgetRow,
    ClientAccountRow,
    ServiceRow,
    hash_key,
    rows_to_csv,
)
from fleet_steps import completion, eventually, words_of_stream

ANY = "127.0.0.1:0"


class Process:
    """A daemon whose standard error is read for the addresses that it prints."""

    def __init__(self, folder, name, command, settings):
        path = Path(folder) / f"{name}.ini"
        path.write_text(
            "\n".join(
                f"[{section}]\n" + "\n".join(f"{key} = {value}" for key, value in keys.items())
                for section, keys in settings.items()
            )
        )
        self.name = name
        self.process = subprocess.Popen(
            [sys.executable, "-m", "aspengate", *command, "--settings", str(path)],
            stderr=subprocess.PIPE,
            text=True,
        )
        self.text = ""
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.process.stderr:
            self.text += line

    def find(self, pattern):
        eventually(lambda: re.search(pattern, self.text) or self.process.poll() is not None)
        found = re.search(pattern, self.text)
        assert found, self.text
        return found.group(1)

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(60)


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "aspengate", *arguments],
        capture_output=True,
        text=True,
        env={**os.environ, "NO_COLOR": "1"},
    )


def start(context, name, command, settings):
    process = Process(context.folder, name, command, settings)
    context.cleanup.callback(process.process.kill)
    return process


def stand_in(context, kind, **values):
    process = start(context, kind, ["stand-in", kind], {"stand-in": {"listen": ANY, **values}})
    return process.find(rf"{kind} at (\S+)")


@given("a store, an instance list, an engine, a service, agents and two routers as processes")
def start_processes(context):
    context.folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    context.store = stand_in(context, "store")
    context.list = stand_in(context, "instances", lag_ms=0)
    common = {"region": "north", "failure_domain": "hall-1"}
    context.agents, context.routers = [], []
    for service, kind, protocol in (
        ("essay", "engine", "completion"),
        ("files", "service", "plain"),
    ):
        upstream = stand_in(context, kind, token_ms=2, prefill_ms=2)
        agent = start(
            context,
            f"agent-{service}",
            ["agent"],
            {
                "instance": {"name": f"agent-{service}", "listen": ANY, **common},
                "platform": {"store": context.store},
                "fleet": {"secrets": "shared"},
                "upstream": {
                    "service": service,
                    "upstream_address": upstream,
                    "protocol": protocol,
                },
            },
        )
        address = agent.find(r'"address":"([^"]+)"')
        put_instance(context, agent.name, "agent", address, service)
        context.agents.append(agent)
    for number in (1, 2):
        router = start(
            context,
            f"router-{number}",
            ["router"],
            {
                "instance": {
                    "name": f"router-{number}",
                    "listen": ANY,
                    "peer_listen": ANY,
                    **common,
                },
                "platform": {"store": context.store, "instances": context.list},
                "fleet": {"secrets": "shared"},
                "timing": {"poll_ms": 100, "heartbeat_ms": 200},
                "budgets": {"settle_ms": 300, "idle_ms": 300, "rotate_ms": 1000},
            },
        )
        router.address = router.find(r'"session":"[^"]+","address":"([^"]+)"')
        peer = router.find(r'"session":"[^@"]+@([^"]+)"')
        put_instance(context, router.name, "router", peer, "")
        context.routers.append(router)


def put_instance(context, name, role, address, service):
    connection = http.client.HTTPConnection(context.list)
    instance = {
        "name": name,
        "role": role,
        "address": address,
        "region": "north",
        "failure_domain": "hall-1",
        "service": service,
    }
    connection.request("PUT", f"/instances/{name}", json.dumps(instance))
    assert connection.getresponse().status == 200
    connection.close()


@when("the table is imported with the command line")
def import_table(context):
    rows = (
        BudgetRow(name="main", limit=100_000),
        ClientAccountRow(name="board", budget="main", key_hashes=hash_key("key")),
        ServiceRow(name="essay", price_input=1, price_output=2),
        ServiceRow(name="files", protocol="plain", price_call=10),
    )
    path = Path(context.folder) / "table.csv"
    path.write_text(rows_to_csv(rows))
    done = run("table", "import", str(path), "--store", context.store, "--actor", "ada")
    assert done.returncode == 0, done.stderr
    history = run("table", "history", "--store", context.store)
    assert '"actor":"ada"' in history.stdout, history.stdout + history.stderr


def ask(router, method, path, body=None):
    connection = http.client.HTTPConnection(router.address, timeout=30)
    connection.request(method, path, body, {"Authorization": "Bearer key"})
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response.status, data


@then("a stream and a plain call are answered through each router")
def answered(context):
    body = completion("one two", 6, stream=True)
    for router in context.routers:
        eventually(lambda router=router: ask(router, "GET", "/services/files/warm")[0] == 200)
        eventually(lambda router=router: ask(router, "POST", "/v1/completions", body)[0] == 200)
        status, data = ask(router, "POST", "/v1/completions", body)
        assert status == 200 and words_of_stream(data) == expected_words("one two", 6)
        assert ask(router, "GET", "/services/files/a.woff2") == (200, file_bytes("/a.woff2"))


@then("the invoice of the account shows them once")
def invoice(context):
    """Two routers: two plain calls and two streams each."""
    wanted = ["main,essay,,56", "main,files,,40"]

    def shown():
        done = run("invoice", "board", "--store", context.store, "--csv")
        assert done.returncode == 0, done.stderr
        return done.stdout.splitlines()[1:]

    eventually(lambda: shown() == wanted)


@then("SIGTERM ends a router and an agent with exit code 0")
def stopped(context):
    assert context.routers[0].stop() == 0, context.routers[0].text
    assert context.agents[0].stop() == 0, context.agents[0].text


@when("a router is started with an invalid address")
def invalid_address(context):
    context.folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    process = start(context, "bad", ["router"], {"instance": {"name": "r", "listen": "example:80"}})
    context.code = process.process.wait(60)
    eventually(lambda: process.text.endswith("\n"))
    context.printed = process.text


@then("it exits with code 2 and names file, section, key and the accepted format")
def exit_two(context):
    assert context.code == 2, context.printed
    assert "bad.ini: [instance] listen: 'example:80' is not accepted: IP:port" in context.printed
