"""What a router adds to a direct call, in one run at 50 requests a second.

Run it as ``python bench/latency.py``. Calls go in turn to the stand-in service itself and through
the router, one after the other, so that both see the same machine.
"""

import http.client
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from control import Daemon, start_fleet

from aspengate.table import (
    BudgetRow,
    ClientAccountRow,
    ServiceRow,
    hash_key,
    rows_to_csv,
)

CALLS = 500
EVERY_S = 0.02
ROWS = (
    BudgetRow(name="main", limit=10**9),
    ClientAccountRow(name="board", budget="main", key_hashes=hash_key("key")),
    ServiceRow(name="essay", price_output=1),
)
BODY = json.dumps({"model": "essay", "prompt": "x", "max_tokens": 1})
HEADERS = {"Authorization": "Bearer key", "Content-Type": "application/json"}


def call_ms(connection: http.client.HTTPConnection) -> float:
    """Make one call on an open connection; return its time in milliseconds."""
    began = time.perf_counter()
    connection.request("POST", "/v1/completions", BODY, HEADERS)
    response = connection.getresponse()
    response.read()
    if response.status != 200:
        raise RuntimeError(f"answered {response.status}")
    return (time.perf_counter() - began) * 1_000


def percentiles(values: list[float]) -> dict[str, float]:
    """Return the median and the 95th percentile."""
    ordered = sorted(values)
    return {
        f"p{share}_ms": ordered[min(len(ordered) - 1, share * len(ordered) // 100)]
        for share in (50, 95)
    }


def import_table(folder: str, store: str) -> None:
    """Write the table with the command line."""
    path = Path(folder) / "table.csv"
    path.write_text(rows_to_csv(ROWS))
    command = [sys.executable, "-m", "aspengate", "table", "import", str(path), "--store", store]
    subprocess.run(command, check=True, capture_output=True)


def connect(address: str) -> http.client.HTTPConnection:
    """Return a connection that is warm."""
    connection = http.client.HTTPConnection(address, timeout=30)
    deadline = time.monotonic() + 30
    while True:
        try:
            call_ms(connection)
            return connection
        except (RuntimeError, OSError):
            if time.monotonic() > deadline:
                raise
            time.sleep(0.2)


def measure(daemons: dict[str, Daemon], folder: str) -> dict[str, object]:
    """Make the calls and return the figures."""
    store = daemons["store"].find(r"store at (\S+)")
    import_table(folder, store)
    direct = connect(daemons["engine"].find(r"engine at (\S+)"))
    routed = connect(daemons["router-1"].find(r'"session":"[^"]+","address":"([^"]+)"'))
    times: dict[str, list[float]] = {"direct": [], "routed": []}
    for number in range(CALLS):
        began = time.monotonic()
        name = ("direct", "routed")[number % 2]
        times[name].append(call_ms(direct if name == "direct" else routed))
        time.sleep(max(0.0, EVERY_S - (time.monotonic() - began)))
    figures = {name: percentiles(values) for name, values in times.items()}
    added = {key: figures["routed"][key] - figures["direct"][key] for key in figures["direct"]}
    return {**figures, "added": added}


def main() -> None:
    """Measure, and print the figures as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        daemons = start_fleet(folder, engine={"token_ms": "0", "prefill_ms": "0"})
        try:
            figures = measure(daemons, folder)
        finally:
            for each in daemons.values():
                each.process.kill()
    sys.stdout.write(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
