"""What becomes of calls that may not be repeated while the store is down.

Run it as ``python bench/claims_outage.py``. The real service that owns claim shards, on an injected
clock: one call a second for each of four shards, through outages of several lengths, with the
owner alive, and with the owner dying in the middle of the outage. Nothing is sent.
"""

import json
import sys
from types import SimpleNamespace
from typing import cast

from aspengate.claims import KeyTimes
from aspengate.clock import ManualClock
from aspengate.router import ClaimService
from aspengate.standins import MemoryStore
from aspengate.telemetry import NullCounters
from aspengate.transport import ClaimRequest, Peer

SHARDS = 4
LEASE_MS = 600_000
BEFORE_S = 1_000
AFTER_S = 900
OUTAGES_S = (60, 300, 600, 1_800, 3_600)


class Site:
    """Two routers that may own claim shards, over one store."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.services = {name: self._service(name) for name in ("a", "b")}
        for name, service in self.services.items():
            service.routers = {other: other for other in self.services if other != name}
        self.tick()

    def _service(self, name: str) -> ClaimService:
        return ClaimService(
            name=name,
            session=f"{name}.1@{name}",
            store=self.store,
            clock=self.clock,
            counters=NullCounters(),
            peer=cast(Peer, SimpleNamespace(address=name)),
            shard_count=SHARDS,
            lease_ms=LEASE_MS,
            times=KeyTimes(),
        )

    def tick(self) -> None:
        """Let every router take and renew what falls to it."""
        for service in self.services.values():
            service.tick()

    def kill(self, name: str) -> None:
        """End a router; the others see it go."""
        del self.services[name]
        for service in self.services.values():
            service.routers.pop(name, None)

    def granted(self, number: int) -> int:
        """Return for how many shards some router grants a new key now."""
        found = 0
        for shard in range(SHARDS):
            request = ClaimRequest(
                0, "", shard, f"key-{number}-{shard}", "", self.clock.now_ms(), "", "agent"
            )
            decisions = [each.decide(request).decision for each in self.services.values()]
            found += "granted" in decisions
        return found


def run(outage_s: int, *, owner_dies: bool) -> dict[str, float]:
    """Return the refused part of the calls made during and after an outage."""
    site = Site()
    refused = {"during": 0, "after": 0}
    for second in range(BEFORE_S + outage_s + AFTER_S):
        site.clock.advance(1_000)
        in_outage = BEFORE_S <= second < BEFORE_S + outage_s
        site.store.faults.down = in_outage
        if owner_dies and second == BEFORE_S + outage_s // 2:
            site.kill("a")
        site.tick()
        granted = site.granted(second)
        if second >= BEFORE_S:
            refused["during" if in_outage else "after"] += SHARDS - granted
    return {
        "outage_s": outage_s,
        "owner_dies": owner_dies,
        "refused_during": refused["during"] / (SHARDS * outage_s),
        "refused_after_s": refused["after"] / SHARDS,
    }


def main() -> None:
    """Run all outages, and print the figures as JSON."""
    rows = [run(outage, owner_dies=dies) for dies in (False, True) for outage in OUTAGES_S]
    sys.stdout.write(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
