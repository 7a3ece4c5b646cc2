"""The part of docs/CAPACITY.md on gateways: what sweeps over sizes showed, carried on."""

import math
from collections.abc import Sequence

import msgspec

# The size that the design has to carry, in routers.
TARGET_ROUTERS = 760
# A quantity grows with the number of routers to a power between these, as sweeps showed; a slope
# outside of them is taken for noise.
_LEAST_POWER = 0.0
_MOST_POWER = 2.0


class SweepRow(msgspec.Struct, frozen=True):
    """One quantity at each size: at the middle router and at the busiest; the same length both.

    ``limit`` is what one router may have, 0 where none is stated.
    """

    quantity: str
    middle: list[float]
    busiest: list[float]
    limit: float = 0.0
    carried_by: str = ""


class Sweep(msgspec.Struct, frozen=True):
    """One deployment played with several numbers of routers."""

    deployment: str
    routers: list[int]
    rows: list[SweepRow]


def power_of(routers: Sequence[int], values: Sequence[float]) -> float:
    """Return the power of the number of routers by which a quantity grew over the last sizes."""
    first, last = values[-2], values[-1]
    if first <= 0 or last <= 0:
        return _LEAST_POWER
    power = math.log(last / first) / math.log(routers[-1] / routers[-2])
    return min(_MOST_POWER, max(_LEAST_POWER, power))


def carried_on(routers: Sequence[int], values: Sequence[float]) -> float:
    """Return what a quantity comes to at the target size by the power of its last sizes."""
    scale = (TARGET_ROUTERS / routers[-1]) ** power_of(routers, values)
    return float(values[-1] * scale)


def read_sweeps(content: bytes) -> list[Sweep]:
    """Return the sweeps of a file; raises msgspec.ValidationError where it is not one."""
    return msgspec.json.decode(content, type=list[Sweep])


def gateway_capacity_lines(sweeps: Sequence[Sweep]) -> list[str]:
    """Return the page's part on gateways."""
    lines = [
        "## Gateways, from sweeps of the users' deployments",
        "",
        "The same day with growing numbers of routers (`measurements/sweeps.json`, from the users'",
        f"`sweep`), and what its last slope comes to at {TARGET_ROUTERS} routers: not played.",
        "",
    ]
    for sweep in sweeps:
        lines += _table(sweep)
    return lines


def _table(sweep: Sweep) -> list[str]:
    sizes = " | ".join(str(each) for each in sweep.routers)
    lines = [
        f"### {sweep.deployment}",
        "",
        f"| quantity, middle / busiest router | {sizes} | power of the busiest "
        f"| at {TARGET_ROUTERS} | limit | fits | carried by |",
        f"|---|{'--:|' * len(sweep.routers)}--:|--:|--:|---|---|",
    ]
    for row in sweep.rows:
        cells = [f"{m:g} / {b:g}" for m, b in zip(row.middle, row.busiest, strict=True)]
        middle = carried_on(sweep.routers, row.middle)
        busiest = carried_on(sweep.routers, row.busiest)
        fits = "-" if not row.limit else "yes" if busiest <= row.limit else "**no**"
        limit = f"{row.limit:g}" if row.limit else "-"
        lines.append(
            f"| {row.quantity} | {' | '.join(cells)} | {power_of(sweep.routers, row.busiest):.2f} "
            f"| {middle:.3g} / {busiest:.3g} | {limit} | {fits} | {row.carried_by} |"
        )
    return [*lines, ""]
