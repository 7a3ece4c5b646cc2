"""How soon an accepted edit is in force in a few hundred followers.

Run it as ``python bench/edits.py``. 300 followers, each with its own watch on one store in memory,
in one process; 40 edits one after the other, then a burst of 20 at once. The time runs from the
moment the edit was accepted to the moment the last follower has it in force.
"""

import json
import sys
import threading
import time

from aspengate.clock import SystemClock
from aspengate.router import TableEditor, TableFollower
from aspengate.standins import MemoryStore
from aspengate.table import RowChange, ServiceRow
from aspengate.telemetry import NullCounters

FOLLOWERS = 300
EDITS = 40
BURST = 20
PATIENCE_S = 60.0


def edit(editor: TableEditor, name: str, number: int) -> int:
    """Change one service's row; return the accepted version."""
    rows = editor.storage.read().rows
    before = next((row for row in rows if row.identity == ("service", name)), None)
    after = ServiceRow(name=name, price_call=number)
    return editor.change((RowChange(before, after),), "bench")


def wait_for(followers: list[TableFollower], version: int) -> float:
    """Wait until all followers have a version; return the seconds it took."""
    began = time.monotonic()
    while any(each.view.version < version for each in followers):
        if time.monotonic() - began > PATIENCE_S:
            raise TimeoutError(f"version {version} is not in force everywhere")
        time.sleep(0.001)
    return time.monotonic() - began


def burst(store: MemoryStore) -> int:
    """Let 20 operators edit different rows at once; return the highest version."""
    versions: list[int] = []

    def one(number: int) -> None:
        versions.append(edit(TableEditor(store, SystemClock(), 1), f"burst-{number}", number))

    threads = [threading.Thread(target=one, args=(number,)) for number in range(BURST)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return max(versions)


def main() -> None:
    """Measure, and print the figures as JSON."""
    store, clock = MemoryStore(), SystemClock()
    editor = TableEditor(store, clock, 1)
    followers = [TableFollower(store, clock, NullCounters()) for _ in range(FOLLOWERS)]
    for each in followers:
        each.start()
    calls_before = dict(store.calls)
    times = sorted(wait_for(followers, edit(editor, "essay", each)) for each in range(EDITS))
    calls = {name: store.calls[name] - calls_before.get(name, 0) for name in store.calls}
    burst_s = wait_for(followers, burst(store))
    for each in followers:
        each.close()
    figures = {
        "followers": FOLLOWERS,
        "edits": EDITS,
        "in_force_ms": {
            "p50": 1_000 * times[len(times) // 2],
            "p99": 1_000 * times[-1 - len(times) // 100],
            "max": 1_000 * times[-1],
        },
        "burst_of_20_in_force_ms": 1_000 * burst_s,
        "calls_per_edit": {name: count / EDITS for name, count in calls.items()},
    }
    sys.stdout.write(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
