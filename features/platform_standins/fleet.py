"""Starts routers as processes that use the test doubles of the platform."""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from platform_standins.client import Caller
from platform_standins.operator import Operator
from platform_standins.replica import ReplicaStandIn
from platform_standins.store import StoreStandIn

ROOT = Path(__file__).resolve().parent.parent.parent
TIMEOUT_S = 60.0
# Below the range of ephemeral ports, which the kernel also assigns to clients of other programs.
_UNASSIGNED_PORTS = (20_000, 32_000)
_SETTINGS = """\
[instance]
name = {name}
listen = {host}:{port}
ready_listen = {host}:0
failure_domain = {domain}

[peers]
peer_ports = {peer_port}-{peer_port}
seeds = {seeds}
{regions}

[store]
store = {store}

[metrics]
metrics_listen = {host}:0

[log]
log_lines_per_second = 100000

[limits]
{limits}

[bounds]
{bounds}
"""


def eventually(check, timeout_s=TIMEOUT_S):
    """Poll ``check`` until its value is true or the timeout has passed; return the value."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = check()
        if value or time.monotonic() >= deadline:
            return value
        time.sleep(0.02)


class RouterProcess:
    """A router process; ``lines`` are its log lines, ``build`` is the folder of its program.

    ``regions`` and ``threads`` are its settings of these names, ``limits`` those of the section of
    that name, and ``domain`` is its failure domain.

    With ``unread`` its output is not read after the start.
    """

    def __init__(
        self,
        folder,
        name,
        host,
        endpoint,
        peer_port,
        seeds="",
        unread=False,
        *,
        port=0,
        build=ROOT,
        domain="hall-1",
        regions="",
        threads=None,
        limits=None,
        **bounds,
    ):
        self.limits = {"threads": threads, **(limits or {})}
        self.build = build
        self.domain = domain
        self.regions = regions
        self.name = name
        self.port = port
        self.host = host
        self.endpoint = endpoint
        self.seeds = seeds
        self.path = Path(folder) / f"{name}.ini"
        self.bounds = bounds
        self.write_settings(peer_port, seeds)
        self.lines = []
        self.process = subprocess.Popen(
            [sys.executable, str(build / "deploy" / "start.py")],
            env={**os.environ, "ASPENGATE_BOOT": str(self.path)},
            stdout=subprocess.PIPE,
            text=True,
        )
        if unread:
            while self.find("gateway.started") is None:
                self.lines.append(json.loads(self.process.stdout.readline()))
        else:
            threading.Thread(target=self._read, daemon=True).start()
        started = eventually(lambda: self.find("gateway.started") or self.has_ended)
        assert started is not True, self.lines
        self.address = started["listen"]
        self.ready_address = started["ready"]
        self.peer_address = started["peers"]
        metrics = self.find("metrics.serving")
        self.metrics_address = metrics["address"] if metrics else ""

    def write_settings(self, peer_port, seeds=""):
        bounds = "\n".join(f"{key} = {value}" for key, value in self.bounds.items())
        text = _SETTINGS.format(
            name=self.name,
            host=self.host,
            port=self.port,
            domain=self.domain,
            # Older builds reject settings that they do not know.
            regions=f"regions = {self.regions}" if self.regions else "",
            peer_port=peer_port,
            seeds=seeds,
            store=self.endpoint.address,
            limits="\n".join(f"{key} = {value}" for key, value in self.limits.items() if value),
            bounds=bounds,
        )
        self.path.write_text(text, encoding="utf-8")

    def _read(self):
        for line in self.process.stdout:
            try:
                self.lines.append(json.loads(line))
            except ValueError:
                self.lines.append({"text": line})

    @property
    def has_ended(self):
        return self.process.poll() is not None

    def find(self, message, **fields):
        """Return the first log line of a message type with these fields, or None."""
        return next(iter(self.find_all(message, **fields)), None)

    def find_all(self, message, **fields):
        """Return the log lines of a message type with these fields."""
        return [
            line
            for line in list(self.lines)
            if line.get("message_type", "") == f"aspengate.{message}"
            if all(line.get(key) == value for key, value in fields.items())
        ]

    def call(self):
        return Caller(self.address)

    def is_ready(self):
        return ask(self.ready_address) == 200

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def kill(self):
        self.process.kill()
        self.process.wait()


def ask(address, path="/ready"):
    """Return the HTTP status of a GET; 0 if the connection fails."""
    try:
        caller = Caller(address, 5.0)
    except OSError:
        return 0
    try:
        caller.raw(f"GET {path} HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n".encode())
        return caller.read_head()[0]
    except OSError:
        return 0
    finally:
        caller.close()


class Fleet:
    """A store, an operator, replicas and routers, which ``cleanup`` stops."""

    def __init__(self, cleanup):
        self.cleanup = cleanup
        self.folder = cleanup.enter_context(tempfile.TemporaryDirectory())
        self.store = StoreStandIn()
        cleanup.callback(self.store.close)
        self.operator = Operator(self.store)
        self.replicas = []
        self.routers = []
        self.peer_port = _free_port()

    def add_replica(self, service, **fields):
        replica = ReplicaStandIn(self.store, service, **fields)
        self.cleanup.callback(replica.close)
        replica.list()
        self.replicas.append(replica)
        return replica

    def of(self, service):
        return [replica for replica in self.replicas if replica.service == service]

    def add_router(
        self, *, ready=True, endpoint=None, seeds="", unread=False, build=ROOT, **bounds
    ):
        """Start a router on its own loopback address; wait until it is ready."""
        number = len(self.routers) + 1
        router = RouterProcess(
            self.folder,
            f"router-{number}",
            f"127.0.0.{10 + number}",
            endpoint or self.store.open_endpoint(),
            self.peer_port,
            seeds,
            unread,
            build=build,
            **bounds,
        )
        self.cleanup.callback(router.kill)
        self.routers.append(router)
        if ready:
            assert eventually(router.is_ready), router.lines
        return router

    def start_again(self, router, *, ready=True, same_port=False, build=None):
        """Restart a router that has ended, with its name, host and build; return the new process.

        ``build`` replaces its build. With ``same_port`` it listens for callers at the same port
        as before, which must be free.
        """
        again = RouterProcess(
            self.folder,
            router.name,
            router.host,
            router.endpoint,
            self.peer_port,
            router.seeds,
            port=int(router.address.rpartition(":")[2]) if same_port else 0,
            build=build or router.build,
            domain=router.domain,
            regions=router.regions,
            limits=router.limits,
            **router.bounds,
        )
        self.cleanup.callback(again.kill)
        self.routers[self.routers.index(router)] = again
        if ready:
            assert eventually(again.is_ready), again.lines
        return again

    def runs(self, identity):
        return sum(replica.runs[identity] for replica in self.replicas)


def _free_port():
    """Return a port that is free on all addresses, for all routers of a fleet."""
    while True:
        # Steps seed the global generator, so that two test runs at the same time would try the same
        # ports.
        port = random.SystemRandom().randrange(*_UNASSIGNED_PORTS)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("", port))
            return port
