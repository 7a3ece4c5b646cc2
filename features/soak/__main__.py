"""Runs soak tests for a range of seeds: python -m soak --seeds 1-20 --seconds 30 --routers 4."""

import argparse
import json
import sys
from pathlib import Path

from platform_standins.builds import earlier_build

from soak import SoakRun, find_violations


def main():
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--prepaid", type=int, default=2_000_000, help="tokens")
    parser.add_argument("--earlier", help="commit of the build to upgrade from and roll back to")
    parser.add_argument("--restored", action="store_true", help="restore the store from copies")
    parser.add_argument(
        "--crashing", action="store_true", help="a prompt segment crashes engine replicas"
    )
    parser.add_argument("--logs", type=Path, help="folder for the logs of failed runs")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    earlier = earlier_build(options.earlier) if options.earlier else None
    if options.earlier and earlier is None:
        parser.error(f"the history does not hold {options.earlier}")
    for seed in range(int(first), int(last or first) + 1):
        size = (options.routers, options.callers, options.prepaid)
        soak = SoakRun(
            seed,
            options.seconds,
            *size,
            earlier=earlier,
            restored=options.restored,
            crashing=options.crashing,
        ).run()
        violations = find_violations(soak)
        if not soak.figures["recovered"]:
            violations.append("not all gateways serve by the newest configuration at the end")
        failed += bool(violations)
        print(seed, "BROKEN" if violations else "kept", json.dumps(soak.figures), flush=True)
        for line in violations[:5]:
            print("   ", line, flush=True)
        if violations and options.logs:
            write_logs(soak, options.logs / str(seed))
    return 1 if failed else 0


def write_logs(soak, folder):
    """Write the fault schedule and the log lines of each router to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    plan = "\n".join(fault.describe() for fault in soak.plan)
    (folder / "plan.txt").write_text(plan, encoding="utf-8")
    for router in soak.fleet.routers:
        lines = "\n".join(json.dumps(line) for line in router.lines)
        (folder / f"{router.name}.log").write_text(lines, encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
