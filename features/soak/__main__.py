"""Plays seeds one after the other: python -m soak --seeds 1-20 --seconds 30 --routers 4."""

import argparse
import json
import sys
from pathlib import Path

from platform_standins.builds import earlier_build

from soak import Soak, broken_promises


def main():
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--prepaid", type=int, default=2_000_000, help="tokens")
    parser.add_argument("--earlier", help="commit of another build to begin with and go back to")
    parser.add_argument("--restored", action="store_true", help="the store comes back from copies")
    parser.add_argument("--logs", type=Path, help="folder for the lines of runs that broke one")
    chosen = parser.parse_args()
    first, _, last = chosen.seeds.partition("-")
    failed = 0
    earlier = earlier_build(chosen.earlier) if chosen.earlier else None
    if chosen.earlier and earlier is None:
        parser.error(f"the history does not hold {chosen.earlier}")
    for seed in range(int(first), int(last or first) + 1):
        size = (chosen.routers, chosen.callers, chosen.prepaid)
        soak = Soak(seed, chosen.seconds, *size, earlier=earlier, restored=chosen.restored).play()
        broken = broken_promises(soak)
        if not soak.figures["recovered"]:
            broken.append("not all gateways serve by the newest configuration at the end")
        failed += bool(broken)
        print(seed, "BROKEN" if broken else "kept", json.dumps(soak.figures), flush=True)
        for line in broken[:5]:
            print("   ", line, flush=True)
        if broken and chosen.logs:
            keep_logs(soak, chosen.logs / str(seed))
    return 1 if failed else 0


def keep_logs(soak, folder):
    folder.mkdir(parents=True, exist_ok=True)
    plan = "\n".join(fault.told() for fault in soak.plan)
    (folder / "plan.txt").write_text(plan, encoding="utf-8")
    for router in soak.fleet.routers:
        lines = "\n".join(json.dumps(line) for line in router.lines)
        (folder / f"{router.name}.log").write_text(lines, encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
