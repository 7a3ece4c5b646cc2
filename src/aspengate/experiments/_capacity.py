"""The arithmetic of docs/CAPACITY.md: measured slopes times the target's sizes."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from aspengate.experiments._gateway_capacity import Sweep, gateway_capacity_lines

Slopes = Mapping[str, float]

_ZIPF = 1.0


@dataclass(frozen=True)
class Size:
    """A site: how much of everything there is."""

    name: str
    routers: int
    agents: int
    regions: int
    requests_per_s: float
    tokens_per_s: float
    budgets: int
    accounts: int
    models: int
    edits_per_day: int
    heartbeat_s: float
    settle_s: float
    grant_horizon_s: float
    budgets_per_shard: int

    @property
    def routers_per_region(self) -> int:
        """Routers in one region."""
        return max(1, self.routers // self.regions)

    @property
    def requests_per_router(self) -> float:
        """Requests a second at one router."""
        return self.requests_per_s / self.routers

    @property
    def shards(self) -> int:
        """Budget documents."""
        return max(1, math.ceil(self.budgets / self.budgets_per_shard))


TODAY = Size(
    name="today (one user)",
    routers=3,
    agents=50,
    regions=1,
    requests_per_s=50,
    tokens_per_s=5_000,
    budgets=10,
    accounts=10,
    models=2,
    edits_per_day=50,
    heartbeat_s=2,
    settle_s=5,
    grant_horizon_s=1_800,
    budgets_per_shard=4,
)
TARGET = Size(
    name="target",
    routers=760,
    agents=12_000,
    regions=10,
    requests_per_s=50_000,
    tokens_per_s=18_000_000,
    budgets=270_000,
    accounts=420,
    models=6,
    edits_per_day=30_000,
    heartbeat_s=10,
    settle_s=600,
    grant_horizon_s=1_800,
    budgets_per_shard=200,
)

BLOCK_HOLD_S = 15.0
BLOCK_HORIZON_S = 10.0
SUBSET = 24
KEYED_SHARE = 0.05
LONGEST_KEY_S = 3_600.0
LIST_POLL_S = 1.0
FAILURES_PER_DAY = 160
ROUTER_CHANGES_PER_DAY = 140
SCANS_PER_POLL = 4
ROTATE_S = 60.0


@dataclass(frozen=True)
class Line:
    """One figure of the page; ``limit`` is ``None`` where none is set."""

    role: str
    quantity: str
    arithmetic: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    @property
    def fits(self) -> bool | None:
        """Whether the value is within its limit; ``None`` where there is none."""
        return None if self.limit is None else self.value <= self.limit


@dataclass(frozen=True)
class Demand:
    """What a router's share of the requests asks of budgets whose use follows Zipf's law."""

    draws_per_s: float
    open_blocks: float


def demand(size: Size) -> Demand:
    """Return how often a router draws a block and how many it holds.

    A budget used less often than once in ``BLOCK_HOLD_S`` costs a draw for each request; one
    used more often costs one in ``BLOCK_HORIZON_S``.
    """
    weights = [1 / rank**_ZIPF for rank in range(1, size.budgets + 1)]
    scale = size.requests_per_router / sum(weights)
    rates = [scale * weight for weight in weights]
    return Demand(
        draws_per_s=sum(min(rate, 1 / BLOCK_HORIZON_S) for rate in rates),
        open_blocks=sum(min(1.0, rate * BLOCK_HOLD_S) for rate in rates),
    )


def capacity_lines(slopes: Slopes, size: Size) -> list[Line]:
    """Return every figure for a size."""
    asked = demand(size)
    return [
        *_router_lines(slopes, size, asked),
        *_agent_lines(slopes, size),
        *_steward_lines(slopes, size, asked),
        *_claims_lines(slopes, size),
        *_configuration_lines(slopes, size),
        *_store_lines(slopes, size),
        *_token_lines(slopes, size),
    ]


def _router_lines(slopes: Slopes, size: Size, asked: Demand) -> list[Line]:
    used = min(SUBSET, max(1, size.agents // size.regions // size.models)) * size.models
    memory = (
        asked.open_blocks * slopes["ledger.block.bytes"]
        + used * slopes["routing.upstream.bytes"]
        + 20_000 * slopes["routing.prefix_block.bytes"]
        + size.accounts * slopes["table.account_row.bytes"]
    )
    per_draw = sum(
        slopes[f"message.{name}.bytes"]
        for name in ("draw", "draw_reply", "block_closed", "blocks_settled", "blocks_settled")
    )
    peers = size.routers_per_region - 1 + used
    beats = peers / size.heartbeat_s
    requests = size.requests_per_router
    control = (
        requests * (slopes["ledger.reserve_settle.us"] + slopes["routing.choose_2000.us"])
        + (2 * beats + 5 * asked.draws_per_s) * slopes["message.seal_open.us"]
    )
    return [
        Line(
            "router",
            "memory for control",
            f"{asked.open_blocks:.0f} blocks, {used} upstreams, 20,000 prefix blocks, "
            f"{size.accounts} accounts",
            memory / 2**20,
            "MB",
            32,
            "`budgets/_ledger.py`, `routing/`",
        ),
        Line(
            "router",
            "processor for control",
            f"{requests:.1f} requests/s (reserve, choose, settle), {beats:.0f} heartbeats/s, "
            f"{asked.draws_per_s:.1f} draws/s",
            control / 10_000,
            "% of a core",
            4.4,
            "`router/filters/`",
        ),
        Line(
            "router",
            "budget messages",
            f"{asked.draws_per_s:.1f} draws/s of {per_draw:.0f} bytes in five messages",
            asked.draws_per_s * per_draw / 1_000,
            "KB/s",
            6,
            "`router/_money.py`",
        ),
        Line(
            "router",
            "heartbeats sent",
            f"{peers} peers every {size.heartbeat_s:.0f} s",
            beats * slopes["message.heartbeat.bytes"] / 1_000,
            "KB/s",
            6,
            "`router/_members.py`",
        ),
    ]


def _agent_lines(slopes: Slopes, size: Size) -> list[Line]:
    requests = size.requests_per_s / size.agents
    kept = requests * (size.settle_s + ROTATE_S)
    return [
        Line(
            "agent",
            "memory for usage records",
            f"{requests:.2f} requests/s kept {size.settle_s + ROTATE_S:.0f} s until settled",
            kept * slopes["agent.record.bytes"] / 2**20,
            "MB",
            32,
            "`agent/_records.py`",
        ),
        Line(
            "agent",
            "processor for control",
            f"{requests:.2f} gate checks/s and dispatches/s",
            requests * (slopes["agent.gate.us"] + slopes["message.seal_open.us"]) / 10_000,
            "% of a core",
            4.4,
            "`agent/_gate.py`",
        ),
    ]


def _steward_lines(slopes: Slopes, size: Size, asked: Demand) -> list[Line]:
    pairs = size.shards * size.regions
    per_router = pairs / size.routers
    writes = pairs / size.settle_s
    cost = (
        asked.draws_per_s * slopes["steward.draw_close.us"]
        + per_router / size.settle_s * slopes["steward.plan_apply_200.us"]
    )
    holders = min(size.regions, 10)
    document = size.budgets_per_shard * (
        slopes["document.budget.bytes"] + holders * slopes["document.account.bytes"]
    )
    return [
        Line(
            "steward",
            "processor",
            f"{asked.draws_per_s:.1f} draws/s, {per_router:.1f} shards written every "
            f"{size.settle_s:.0f} s",
            cost / 10_000,
            "% of a core",
            4.4,
            "`budgets/_steward.py`",
        ),
        Line(
            "steward",
            "document",
            f"{size.budgets_per_shard} budgets held in {holders} regions",
            document / 1_000,
            "KB",
            1_000,
            "`budgets/_shard.py`",
        ),
        Line(
            "steward",
            "store traffic of a router",
            f"{writes / size.routers * 1_000:.1f} writes in 1,000 s, read again before each",
            2 * writes * document / size.routers / 1_000,
            "KB/s",
            6,
            "`router/_stewards.py`",
        ),
    ]


def _claims_lines(slopes: Slopes, size: Size) -> list[Line]:
    keyed = size.requests_per_router * KEYED_SHARE
    return [
        Line(
            "claims owner",
            "memory",
            f"{keyed:.2f} keyed calls/s ({KEYED_SHARE:.0%} of all) remembered an hour",
            keyed * LONGEST_KEY_S * slopes["claims.claim.bytes"] / 2**20,
            "MB",
            32,
            "`claims/_owner.py`",
        ),
        Line(
            "claims owner",
            "messages",
            f"{keyed:.2f} claims/s and replies",
            keyed * (slopes["message.claim.bytes"] + slopes["message.claim_reply.bytes"]) / 1_000,
            "KB/s",
            6,
            "`router/_claims.py`",
        ),
    ]


def _configuration_lines(slopes: Slopes, size: Size) -> list[Line]:
    edits = size.edits_per_day / 86_400
    return [
        Line(
            "configuration",
            "bytes to each router",
            f"{edits:.4f} edits/s, the log of the last 8 edits each",
            edits * slopes["table.log_of_8_edits.bytes"] / 1_000,
            "KB/s",
            6,
            "`table/_storage.py`",
        ),
        Line(
            "configuration",
            "snapshot",
            f"{size.accounts + size.models} accounts and services, and rows for a tenth of "
            "the upstreams",
            (size.accounts + size.models + size.agents / 10)
            * slopes["table.stored_row.bytes"]
            / 1_000,
            "KB",
            1_000,
            "`table/_storage.py`",
        ),
    ]


def _store_lines(slopes: Slopes, size: Size) -> list[Line]:
    pairs = size.shards * size.regions
    settle = pairs / size.settle_s
    edits = 1.4 * size.edits_per_day / 86_400
    claims = 4 / 150
    fences = FAILURES_PER_DAY / 86_400
    restarts = ROUTER_CHANGES_PER_DAY / 86_400
    recovery_reads = restarts * pairs / size.regions
    burst = size.routers_per_region * SCANS_PER_POLL / LIST_POLL_S
    watches = size.routers * (1 / 10 + size.edits_per_day / 86_400)
    return [
        Line(
            "store",
            "writes",
            f"{settle:.1f} settlements, {edits:.2f} edits, {claims:.2f} claim leases, "
            f"{fences:.4f} fences",
            settle + edits + claims + fences,
            "1/s",
            50,
            "half of 100 is left for others",
        ),
        Line(
            "store",
            "reads: table watches",
            f"{size.routers} routers, re-armed every 10 s and on each edit",
            watches,
            "1/s",
            2_000,
            "`router/_table.py`",
        ),
        Line(
            "store",
            "reads: looking for dead sessions",
            f"{ROUTER_CHANGES_PER_DAY} routers come or go a day, each read through once by the "
            f"{pairs // size.regions} shards' stewards of its region",
            recovery_reads,
            "1/s",
            2_000,
            "`router/_recovery.py`",
        ),
        Line(
            "store",
            "reads: the same after one change, while it lasts",
            f"{size.routers_per_region} routers read {SCANS_PER_POLL} shards a poll",
            burst,
            "1/s",
            2_000,
            "`router/_recovery.py`",
        ),
    ]


def _token_lines(slopes: Slopes, size: Size) -> list[Line]:
    per_router = size.tokens_per_s / size.routers
    return [
        Line(
            "router",
            "tokens accepted from agents",
            f"{per_router:.0f} tokens/s at {slopes['tokens.accept_batch_32.us']:.2f} us each, "
            "before the write to the caller",
            per_router * slopes["tokens.accept_batch_32.us"] / 10_000,
            "% of a core",
            100,
            "`router/_streams.py`",
        ),
    ]


def capacity_page(slopes: Slopes, sweeps: Sequence[Sweep]) -> str:
    """Return docs/CAPACITY.md; a test holds the committed page against the committed figures."""
    target = capacity_lines(slopes, TARGET)
    unfit = [line for line in target if line.fits is False]
    parts = [_HEAD, "\n".join(gateway_capacity_lines(sweeps))]
    parts += ["## The demo's routers: what does not fit the target yet\n", _table(unfit)]
    for size in (TARGET, TODAY):
        parts += [f"## Every figure: {size.name}\n", _table(capacity_lines(slopes, size))]
    parts += ["## The slopes\n", "| slope | measured |\n|---|--:|"]
    parts.append("\n".join(f"| {name} | {value:,.4g} |" for name, value in slopes.items()) + "\n")
    parts.append(_TAIL)
    return "\n".join(parts)


def _table(lines: list[Line]) -> str:
    rows = [
        "| role | quantity | from | value | limit | fits | carried by |",
        "|---|---|---|--:|--:|---|---|",
    ]
    for line in lines:
        limit = "-" if line.limit is None else f"{line.limit:g}"
        fits = {None: "-", True: "yes", False: "**no**"}[line.fits]
        rows.append(
            f"| {line.role} | {line.quantity} | {line.arithmetic} | {line.value:.3g} {line.unit} "
            f"| {limit} | {fits} | {line.mechanism} |"
        )
    return "\n".join(rows) + "\n"


_HEAD = """# Capacity

The first part is about gateways, the program that runs on the users' platform; the rest is about
the routers of `aspengate demo`. There every figure is a slope that `aspengate bench capacity`
measured on this code (the committed `measurements/capacity-slopes.json`) times a size. The page is
made by `aspengate docs`, and a test holds it against the slopes. Limits: 4.4% of a core, 32 MB and
6 KB a second of control for a node, 100 writes and 2,000 reads a second of the store, of which half
the writes are left for others.

Assumed, not measured: budgets are used by Zipf's law with exponent 1; the balancer spreads every
budget's requests over all routers of a region; 5% of the calls carry a key; at the target the
settings are a settlement every 600 s and a heartbeat every 10 s; 140 routers come or go a day (760
of the 12,760 processes, 1,160 changes a day, twice counted); an edit costs 1.4 writes (its log, a
tenth of a snapshot, history and log, and a budget's shard now and then).
"""

_TAIL = """## What the lines that do not fit ask for

- *Budget messages.* Most draws are for budgets that one router serves less than once in 15 s, and
  the names of sessions and blocks stand in each message as text. Next: numbers in place of names
  (about a quarter of the bytes), and holding the money of rarely used budgets at the steward, one
  short message to hold and one to settle.

## What did not fit before

| line | before | change |
|---|--:|---|
| looking for dead sessions | 13,500 reads/s | shards are read only after a router came or went |
| configuration | 570 KB/s a router | a log of the last eight edits in place of the whole table |
| store traffic of stewards | 12.9 KB/s a router | every name stands once in a shard's stored form |
| heartbeats | 880 KB/s a router | subsets of upstreams; answers count as signs of life |

## What is not in these figures

- Memory of a bare interpreter and of the libraries is named apart in the slopes (`resident.*`):
  the 32 MB are taken as the increment above them. A router's imports alone are about 25 MB.
- Bytes of TCP and IP headers; connection set-up; the HTTP side of the store's answers.
- Processor time of `pynng` and of thread switches: the slopes call the modules directly.
- The write of tokens to the caller, the largest cost of a router: see the way of the tokens in
  `measurements/`.
- Placement of models is not built; nothing here stands for it.
- Bad days (a region cut, 1,000 restarts, the store down for 30 minutes and back) are not measured
  at size: the budget experiments show ten-minute cuts and outages in small.
"""
