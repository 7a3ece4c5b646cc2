"""Processor time of a router for each token that it relays, against a plain HTTP relay.

Run it as ``python bench/tokens.py``. Each way runs in three processes on loopback: a feeder that
plays the engines or their agents, the relay under test, and a reader that plays the callers. What
counts is the relay's own processor time for each one-token chunk, so that a busy machine does not
change the verdict. Bounded: 48 streams of 200 tokens for each way.
"""

import http.client
import json
import multiprocessing
import queue
import selectors
import socket
import sys
import threading
import time
from multiprocessing.connection import Connection

from aspengate.adapters import Instance
from aspengate.clock import SystemClock
from aspengate.router import Router, RouterSettings, TableEditor
from aspengate.serving import StartResponse, WsgiEnvironment, WsgiServer
from aspengate.standins import MemoryStore, StandInInstanceList
from aspengate.table import BudgetRow, ClientAccountRow, ServiceRow, hash_key
from aspengate.telemetry import NullCounters
from aspengate.transport import (
    Chunk,
    Chunks,
    Dispatch,
    Done,
    Header,
    Heartbeat,
    LoadReport,
    Message,
    Peer,
    Sealer,
    Started,
    UsageRecord,
)

STREAMS = 48
TOKENS = 200
TOKEN_S = 0.02
ANY = "127.0.0.1:0"
EVENT = b'data: {"choices": [{"text": "token "}]}\n\n'
SECRET = ("bench",)
THREADS = 64
MAX_BODY = 1_000_000


def plain_feeder(link: Connection) -> None:
    """Stream tokens over HTTP, as an engine does."""

    def application(environ: WsgiEnvironment, start_response: StartResponse) -> object:
        start_response("200 OK", [("Content-Type", "text/event-stream")])

        def stream() -> object:
            for _ in range(TOKENS):
                time.sleep(TOKEN_S)
                yield EVENT

        return stream()

    server = WsgiServer(application, ANY, THREADS, MAX_BODY)  # type: ignore[arg-type]
    server.start()
    link.send(server.address)
    link.recv()


def plain_relay(link: Connection) -> None:
    """Relay with one thread and one upstream connection a stream."""
    upstream = link.recv()

    def application(environ: WsgiEnvironment, start_response: StartResponse) -> object:
        connection = http.client.HTTPConnection(upstream)
        connection.request("GET", "/")
        answer = connection.getresponse()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return iter(lambda: answer.read1(65_536), b"")

    server = WsgiServer(application, ANY, THREADS, MAX_BODY)  # type: ignore[arg-type]
    server.start()
    link.send(server.address)
    measure(link)


class AgentFeeder:
    """Plays the agents: answers every dispatch, one message for all streams at each step."""

    def __init__(self) -> None:
        self.peer = Peer(ANY, Sealer(SECRET), NullCounters())
        self.arrived: queue.SimpleQueue[Dispatch] = queue.SimpleQueue()
        self.routers: set[str] = set()

    def handle(self, message: Message) -> None:
        """Note dispatches and routers."""
        if isinstance(message, Dispatch):
            self.arrived.put(message)
        elif isinstance(message, Heartbeat):
            self.routers.add(message.reply_to)

    def run(self, stopped: threading.Event) -> None:
        """Send one token to every open stream at each step."""
        opened: dict[int, tuple[Dispatch, int]] = {}
        while not stopped.wait(TOKEN_S):
            while not self.arrived.empty():
                dispatch = self.arrived.get()
                opened[dispatch.stream] = (dispatch, 0)
                start = Started(
                    dispatch.stream,
                    dispatch.router_session,
                    200,
                    (Header("Content-Type", "text/event-stream"),),
                )
                self.peer.send(dispatch.reply_to, start)
            if opened:
                self.step(opened)

    def step(self, opened: dict[int, tuple[Dispatch, int]]) -> None:
        """Send the next token of each stream, and the end of those that have all."""
        first = next(iter(opened.values()))[0]
        chunks = tuple(Chunk(stream, sent, EVENT) for stream, (_, sent) in opened.items())
        self.peer.send(first.reply_to, Chunks(first.router_session, chunks))
        for stream, (dispatch, sent) in list(opened.items()):
            opened[stream] = (dispatch, sent + len(EVENT))
            if sent + len(EVENT) == TOKENS * len(EVENT):
                self.peer.send(dispatch.reply_to, done_of(dispatch, TOKENS * len(EVENT)))
                del opened[stream]


def done_of(dispatch: Dispatch, length: int) -> Done:
    """Return the end of an answer."""
    usage = UsageRecord(
        dispatch.request_id,
        dispatch.block_id,
        dispatch.sequence,
        dispatch.holder,
        dispatch.router_session,
        dispatch.budget,
        dispatch.client_account,
        dispatch.service,
        1,
        TOKENS,
        TOKENS,
        0,
    )
    return Done(dispatch.stream, dispatch.router_session, length, usage, LoadReport())


def agent_feeder(link: Connection) -> None:
    """Play the agents of the router under test."""
    feeder = AgentFeeder()
    feeder.peer.start(feeder.handle)
    link.send(feeder.peer.address)
    stopped = threading.Event()
    threading.Thread(target=feeder.run, args=(stopped,), daemon=True).start()
    link.recv()
    stopped.set()


def our_relay(link: Connection) -> None:
    """Run a whole router, with its budgets, in front of the agents."""
    agent = link.recv()
    store, clock, listed = MemoryStore(), SystemClock(), StandInInstanceList()
    rows = (
        BudgetRow(name="main", limit=10**12),
        ClientAccountRow(name="board", budget="main", key_hashes=hash_key("key")),
        ServiceRow(name="essay", price_output=1),
    )
    settings = RouterSettings(
        name="router",
        listen=ANY,
        peer_listen=ANY,
        region="north",
        failure_domain="hall-1",
        store=ANY,
        instances=ANY,
        secrets=SECRET,
        silent_after_ms=600_000,
    )
    TableEditor(store, clock, settings.budget_shards).replace(rows, "bench")
    listed.put(Instance("agent", "agent", agent, "north", "hall-1", "essay"))
    router = Router(settings, store, listed, clock, NullCounters())
    listed.put(Instance("router", "router", router.peer.address, "north", "hall-1"))
    router.start()
    link.send(router.address)
    measure(link)


def measure(link: Connection) -> None:
    """Report this process's processor time between two words of the bench."""
    link.recv()
    began = time.process_time()
    link.recv()
    link.send(time.process_time() - began)


def read_streams(address: str) -> tuple[int, float]:
    """Read all streams on one thread; return the bytes and the seconds it took."""
    host, _, port = address.rpartition(":")
    body = json.dumps({"model": "essay", "max_tokens": TOKENS, "stream": True, "prompt": "x"})
    request = (
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer key\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()
    selector = selectors.DefaultSelector()
    began = time.monotonic()
    for _ in range(STREAMS):
        connection = socket.create_connection((host, int(port)))
        connection.sendall(request)
        selector.register(connection, selectors.EVENT_READ)
    received = 0
    while selector.get_map():
        for key, _ in selector.select(timeout=30):
            data = key.fileobj.recv(65_536)  # type: ignore[union-attr]
            received += data.count(b"data: ")
            if not data:
                selector.unregister(key.fileobj)
                key.fileobj.close()  # type: ignore[union-attr]
    return received, time.monotonic() - began


def run_way(feeder: object, relay: object) -> dict[str, float]:
    """Run one way and return its figures."""
    context = multiprocessing.get_context("spawn")
    feeder_link, feeder_end = context.Pipe()
    relay_link, relay_end = context.Pipe()
    processes = [
        context.Process(target=feeder, args=(feeder_end,), daemon=True),  # type: ignore[arg-type]
        context.Process(target=relay, args=(relay_end,), daemon=True),  # type: ignore[arg-type]
    ]
    for process in processes:
        process.start()
    relay_link.send(feeder_link.recv())
    address = relay_link.recv()
    time.sleep(2.0)
    relay_link.send("begin")
    tokens, seconds = read_streams(address)
    relay_link.send("end")
    cpu = relay_link.recv()
    for process in processes:
        process.terminate()
    return {
        "tokens": tokens,
        "tokens_per_s": tokens / seconds,
        "cpu_us_per_token": cpu / max(1, tokens) * 1e6,
        "tokens_per_core_s": tokens / cpu,
    }


def main() -> None:
    """Measure both ways, and print figures and their ratio as JSON."""
    plain = run_way(plain_feeder, plain_relay)
    ours = run_way(agent_feeder, our_relay)
    ratio = plain["cpu_us_per_token"] / ours["cpu_us_per_token"]
    figures = {"plain_http_relay": plain, "router": ours, "plain_over_router": ratio}
    sys.stdout.write(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
