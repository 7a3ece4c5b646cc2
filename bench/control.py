"""What a daemon spends while nobody calls: processor time and resident memory.

Run it as ``python bench/control.py``. It starts the stand-ins, one agent and two routers as
processes on loopback, lets them settle, and reads their processor time over 20 seconds.
"""

import http.client
import json
import os
import re
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

SETTLE_S = 5.0
SPAN_S = 20.0
ANY = "127.0.0.1:0"
PLACE = {"region": "north", "failure_domain": "hall-1"}
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")

Sections = dict[str, dict[str, str]]


class Daemon:
    """A process of ours whose standard error is read for its addresses."""

    def __init__(self, folder: str, name: str, command: list[str], settings: Sections) -> None:
        path = Path(folder) / f"{name}.ini"
        path.write_text(
            "\n".join(
                f"[{section}]\n" + "\n".join(f"{key} = {value}" for key, value in keys.items())
                for section, keys in settings.items()
            )
        )
        arguments = [sys.executable, "-m", "aspengate", *command, "--settings", str(path)]
        self.process = subprocess.Popen(arguments, stderr=subprocess.PIPE, text=True)
        self.text = ""
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        for line in self.process.stderr or ():
            self.text += line

    def find(self, pattern: str) -> str:
        """Wait for a match in what the process printed; return its first group."""
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            found = re.search(pattern, self.text)
            if found:
                return found.group(1)
            time.sleep(0.05)
        raise TimeoutError(f"{pattern}: {self.text}")

    def cpu_s(self) -> float:
        """Return the processor time so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def resident_mb(self) -> float:
        """Return the resident memory, in MB."""
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE / 2**20


def list_instance(address: str, name: str, role: str, peer: str, service: str) -> None:
    """Tell the stand-in of the instance list about a process."""
    connection = http.client.HTTPConnection(address)
    body = {"name": name, "role": role, "address": peer, "service": service, **PLACE}
    connection.request("PUT", f"/instances/{name}", json.dumps(body))
    connection.getresponse().read()
    connection.close()


def start_fleet(folder: str, engine: dict[str, str] | None = None) -> dict[str, Daemon]:
    """Start everything; return all processes by name. ``engine`` adds to its settings."""
    extra = {"engine": engine or {}}
    stand_ins = {
        kind: Daemon(
            folder,
            kind,
            ["stand-in", kind],
            {"stand-in": {"listen": ANY, **extra.get(kind, {})}},
        )
        for kind in ("store", "instances", "engine")
    }
    addresses = {kind: each.find(rf"{kind} at (\S+)") for kind, each in stand_ins.items()}
    fleet = {"secrets": "shared"}
    agent = Daemon(
        folder,
        "agent",
        ["agent"],
        {
            "instance": {"name": "agent", "listen": ANY, **PLACE},
            "platform": {"store": addresses["store"]},
            "fleet": fleet,
            "upstream": {"service": "essay", "upstream_address": addresses["engine"]},
        },
    )
    peer = agent.find(r'"address":"([^"]+)"')
    list_instance(addresses["instances"], "agent", "agent", peer, "essay")
    daemons = {"agent": agent}
    for name in ("router-1", "router-2"):
        router = Daemon(
            folder,
            name,
            ["router"],
            {
                "instance": {"name": name, "listen": ANY, "peer_listen": ANY, **PLACE},
                "platform": {"store": addresses["store"], "instances": addresses["instances"]},
                "fleet": fleet,
            },
        )
        peer = router.find(r'"session":"[^@"]+@([^"]+)"')
        list_instance(addresses["instances"], name, "router", peer, "")
        daemons[name] = router
    daemons |= stand_ins
    return daemons


def main() -> None:
    """Measure, and print the figures as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        daemons = start_fleet(folder)
        try:
            time.sleep(SETTLE_S)
            before = {name: each.cpu_s() for name, each in daemons.items()}
            time.sleep(SPAN_S)
            figures = {
                name: {
                    "percent_of_a_core": 100 * (each.cpu_s() - before[name]) / SPAN_S,
                    "resident_mb": each.resident_mb(),
                }
                for name, each in daemons.items()
                if name in {"agent", "router-1", "router-2"}
            }
        finally:
            for each in daemons.values():
                each.process.kill()
    sys.stdout.write(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
