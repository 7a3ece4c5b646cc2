"""What the scripts of this review share: routers as on the platform, a proxy, and the record.

The store, the operator and the caller are the project's own stand-ins (features/platform_standins).
"""

import contextlib
import ctypes
import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "features"))

from platform_standins.client import Caller  # noqa: E402
from platform_standins.fleet import ask, eventually  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# The deployment of letterwerf-aspen: three zones, its bounds, the limits of a `front` machine.
ZONES = ("ams-hal-a", "ams-hal-b", "hlm-hal")
FIELDS = {
    "region": "nl-west",
    "zones": dict.fromkeys(ZONES, "nl-west"),
    "limits": {"memoryMb": 300, "maxFds": 4100},
    "bounds": {
        "graceS": 8,
        "drainMs": 2000,
        "configApplyMs": 2000,
        "retryBudgetRatio": 0.2,
        "budgetSlack": 56,
        "budgetWindowS": 10,
        "settle_ms": 1500,
    },
    "platform": {"writes_per_s": 400},
}
CALLER_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


# A case ends by itself after this time, in seconds; it may take 120.
_LONGEST_S = 110
_PR_SET_PDEATHSIG = 1


def _end_with_parent():
    """Have the kernel end this process once the one that started it has ended."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class CannotRunError(Exception):
    """Raised if the case can't be played here, which says nothing about the rule."""


class Record:
    """Writes ``record.txt``: a line for each thing that was sent, answered, run or done."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def line(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
            self._file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def free_port(host="127.0.0.1"):
    """Return a port below the ephemeral ones that is free for TCP and UDP at an address."""
    import random

    source = random.SystemRandom()
    for _ in range(1000):
        port = source.randrange(20_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as tcp:
            tcp.bind((host, port))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                udp.bind((host, port))
            return port
    raise CannotRunError("no free port")


def render(template, fields):
    """Fill a settings template as DEPLOY.md describes it, as far as this project uses it."""

    def look_up(path, scopes):
        first, *rest = path.split(".")
        for scope in reversed(scopes):
            if isinstance(scope, dict) and first in scope:
                found = scope[first]
                for key in rest:
                    found = found[int(key)] if isinstance(found, list) else found.get(key, "")
                return found
        return ""

    def section(match, scopes):
        entries = look_up(match.group(1), scopes)
        pairs = list(entries.items()) if isinstance(entries, dict) else list(enumerate(entries))
        made = []
        for index, (key, value) in enumerate(pairs):
            text = match.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(value))
            made.append(text.replace("{{,}}", "" if index == len(pairs) - 1 else ","))
        return "".join(made)

    scopes = [fields]
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: section(m, scopes), template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(m.group(1), scopes)), text)


class Router:
    """A router that is started with the command and the settings template of the deploy file."""

    def __init__(self, bench, zone, store_address, peer_port):
        number = len(bench.routers) + 1
        self.name = f"front-{zone}-{number}"
        self.host = f"127.0.0.{20 + number}"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        role = deploy["roles"]["router"]
        self.address = f"{self.host}:{free_port(self.host)}"
        self.ready_address = f"{self.host}:{free_port(self.host)}"
        fields = {
            **FIELDS,
            "nodeName": self.name,
            "ip": self.host,
            "zone": zone,
            "portRange": [peer_port, peer_port + 15],
            "seeds": "",
            "listen": {"front": self.address, "ready": self.ready_address},
            "platform": {**FIELDS["platform"], "address": store_address},
        }
        text = render((ROOT / role["template"]).read_text("utf-8"), fields)
        # The port of the deploy file may be in use on this machine.
        text = text.replace(f"{self.host}:9464", f"{self.host}:{free_port(self.host)}")
        self.settings = Path(bench.folder) / f"{self.name}.ini"
        self.settings.write_text(text, "utf-8")
        self.log = open(Path(bench.folder) / f"{self.name}.log", "w+", encoding="utf-8")
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ASPENGATE_BOOT": str(self.settings),
        }
        self.process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=_end_with_parent,
        )

    def is_ready(self):
        return ask(self.ready_address) == 200

    def lines(self, message):
        """Return its log lines of one type."""
        found = []
        for line in Path(self.log.name).read_text("utf-8").splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if entry.get("message_type") == f"aspengate.{message}":
                    found.append(entry)
        return found


class Bench:
    """Holds what a case has started, and ends it."""

    def __init__(self, record):
        self.record = record
        self.cleanup = contextlib.ExitStack()
        self.folder = self.cleanup.enter_context(tempfile.TemporaryDirectory())
        self.routers = []
        self.peer_port = free_port("")

    def start_router(self, zone, store_address):
        router = Router(self, zone, store_address, self.peer_port)
        self.cleanup.callback(self.stop, router.process)
        self.routers.append(router)
        return router

    def start_process(self, *arguments, **options):
        command = [sys.executable, *map(str, arguments)]
        process = subprocess.Popen(command, preexec_fn=_end_with_parent, **options)
        self.cleanup.callback(self.stop, process)
        return process

    def await_ready(self, within_s=30.0):
        for router in self.routers:
            if not eventually(router.is_ready, within_s):
                raise CannotRunError(f"{router.name} is not ready")

    @staticmethod
    def stop(process):
        if process.poll() is None:
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


class SilencingProxy:
    """Passes connections on to ``target``; ``silence`` makes those that are open go silent.

    A silent connection is neither closed nor reset: what either side sends on it is dropped. New
    connections are passed on as before.
    """

    def __init__(self, target):
        self.target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        self._open = set()
        self._silent = set()
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Return the number of connections that go silent."""
        with self._lock:
            self._silent |= self._open
            return len(self._silent)

    def end_silent(self):
        """Reset the connections that went silent."""
        with self._lock:
            silent = list(self._silent)
        for each in (side for pair in silent for side in pair):
            with contextlib.suppress(OSError):
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                each.shutdown(socket.SHUT_RDWR)
                each.close()

    def close(self):
        self._listener.close()

    def _accept(self):
        host, _, port = self.target.rpartition(":")
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection((host, int(port)))
            except OSError:
                return
            for each in (near, far):
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = (near, far)
            with self._lock:
                self._open.add(pair)
            threading.Thread(target=self._pass_on, args=(pair,), daemon=True).start()

    def _pass_on(self, pair):
        near, far = pair
        try:
            while True:
                for source in select.select(pair, [], [])[0]:
                    data = source.recv(65536)
                    if pair in self._silent:
                        if data:
                            continue
                        # Its end gets lost as well; the other side keeps its connection.
                        source.close()
                        time.sleep(600.0)
                    if not data:
                        return
                    (far if source is near else near).sendall(data)
        except OSError:
            pass
        finally:
            with self._lock:
                self._open.discard(pair)
            for each in pair:
                each.close()


def play(folder, case):
    """Run ``case(bench, record)``, which returns whether the rule held; exit as asked."""
    record = Record(folder)

    def stop(number, _frame):
        raise CannotRunError(f"ended by signal {number}")

    for each in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(each, stop)
    signal.alarm(_LONGEST_S)
    try:
        bench = Bench(record)
        with bench.cleanup:
            held = case(bench, record)
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
        os._exit(NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    os._exit(HELD if held else BROKEN)


__all__ = [
    "CALLER_LIMITS",
    "TROUBLE",
    "ZONES",
    "Bench",
    "Caller",
    "CannotRunError",
    "Record",
    "SilencingProxy",
    "eventually",
    "free_port",
    "play",
]
