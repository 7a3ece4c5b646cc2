"""Slopes of cost and size, measured on this code: what one more of something costs."""

import functools
import gc
import os
import random
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from aspengate.adapters import Instance
from aspengate.agent import DispatchGate, RecordStore
from aspengate.budgets import (
    Account,
    Block,
    BlockLedger,
    Budget,
    ClosedBlocks,
    Session,
    SetLimit,
    Shard,
    ShardSteward,
    SizingPolicy,
    apply_commands,
    encode_shard,
)
from aspengate.claims import ClaimOwner, KeyTimes, claim_key
from aspengate.clock import ManualClock
from aspengate.router import AnswerStream, StreamTable
from aspengate.routing import (
    ChoiceContext,
    PrefixMemory,
    UpstreamRegistry,
    open_policy,
    prefix_blocks,
)
from aspengate.table import (
    AuditEntry,
    ClientAccountRow,
    RowChange,
    TableDocument,
    TableLog,
    TableView,
    hash_key,
)
from aspengate.telemetry import NullCounters
from aspengate.transport import (
    BlockClosed,
    BlocksSettled,
    Chunk,
    Chunks,
    ClaimReply,
    ClaimRequest,
    ClaimTicket,
    Dispatch,
    DrawReply,
    DrawRequest,
    Fence,
    FenceAck,
    Heartbeat,
    LoadReport,
    Message,
    Sealer,
    UsageRecord,
    decode_message,
    encode_message,
)

_ADDRESS = "10.200.100.100:49152"
_SESSION = "region-10-router-076.0123abcd@10.200.100.100:49152"
_REPEATS = 5
_FAR_MS = 10**12
_MAX_CHOICES = 2_000
_SEAL_BYTES = 16


def measure_slopes() -> dict[str, float]:
    """Return every slope by name; the unit is the name's last part (``us``, ``bytes``)."""
    slopes: dict[str, float] = {}
    for measure in (_ledger, _steward, _documents, _messages, _agent, _claims, _routing, _table):
        slopes |= measure()
    slopes |= _tokens()
    slopes |= _resident()
    return {name: float(f"{value:.4g}") for name, value in slopes.items()}


def _microseconds(action: Callable[[], object], times: int) -> float:
    """Return the median time of one call, in microseconds."""
    found = []
    for _ in range(_REPEATS):
        gc.collect()
        began = time.process_time_ns()
        for _ in range(times):
            action()
        found.append((time.process_time_ns() - began) / times / 1_000)
    return sorted(found)[_REPEATS // 2]


def _bytes_each(make: Callable[[], object], count: int) -> float:
    """Return the memory of what ``make`` builds, per each of its ``count`` parts, in bytes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (after - before) / count


def _block(number: int, budget: str = "budget") -> Block:
    return Block(f"{_SESSION}#{_SESSION}#{number}", _SESSION, budget, 10**9, _FAR_MS)


def _ledger() -> dict[str, float]:
    ledger = BlockLedger(_SESSION, _ADDRESS)
    ledger.add(_block(1), 0)

    def pair() -> None:
        reservation = ledger.reserve("budget", 100, 1.0)
        if reservation is not None:
            ledger.settle(reservation, "account|service", 60, 1.0)

    def many() -> BlockLedger:
        filled = BlockLedger(_SESSION, _ADDRESS)
        for number in range(5_000):
            filled.add(_block(number, f"budget-{number}"), 0)
        return filled

    return {
        "ledger.reserve_settle.us": _microseconds(pair, 20_000),
        "ledger.block.bytes": _bytes_each(many, 5_000),
    }


def _steward() -> dict[str, float]:
    slopes = {}
    for budgets in (50, 200):
        commands = [SetLimit(f"budget-{each}", 10**9, "operator", 0) for each in range(budgets)]
        shard = apply_commands(Shard(), "limits", commands)
        steward = ShardSteward(_SESSION, "region", "address", SizingPolicy())
        steward.observe(shard, 0)
        for each in range(budgets):
            steward.draw(f"budget-{each}", _SESSION, 1_000, 1_000, 0)
        write = steward.plan(0)
        shard = apply_commands(shard, write.operation_id, write.commands)
        steward.applied(write, shard, 0)
        again = functools.partial(_plan_and_apply, steward, shard)
        slopes[f"steward.plan_apply_{budgets}.us"] = _microseconds(again, 50)
    number = iter(range(10**9))

    def draw_and_close() -> None:
        block = steward.draw("budget-1", _SESSION, 10, 10, next(number) % 1_000)
        if block is not None:
            steward.close_block(block.block_id, {"account|service": 0}, (), 0)

    slopes["steward.draw_close.us"] = _microseconds(draw_and_close, 2_000)
    return slopes


def _plan_and_apply(steward: ShardSteward, shard: Shard) -> Shard:
    return apply_commands(shard, "again", steward.plan(0).commands)


def _documents() -> dict[str, float]:
    def shard(budgets: int, holders: int) -> int:
        account = Account(10**9, 10**6, {"client-account-100|service-100": 10**9})
        accounts = {f"{_SESSION}{holder}": account for holder in range(holders)}
        closed = ClosedBlocks(10**5, (10**5 + 2, 10**5 + 7))
        session = Session("region-10", _ADDRESS, _FAR_MS, {_SESSION: closed})
        document = Shard(
            budgets={
                f"budget-{number:06}": Budget(
                    10**9, {"client-account-100|service-100": 10**9}, accounts
                )
                for number in range(budgets)
            },
            sessions={f"{_SESSION}{holder}": session for holder in range(holders)},
        )
        return len(encode_shard(document))

    per_budget = (shard(200, 0) - shard(100, 0)) / 100
    per_account = (shard(200, 2) - shard(200, 1)) / 200
    return {"document.budget.bytes": per_budget, "document.account.bytes": per_account}


def _messages() -> dict[str, float]:
    report = LoadReport(10, 2, 1_000, _FAR_MS)
    record = _record(1)
    samples: dict[str, Message] = {
        "heartbeat": Heartbeat("region-10-router-076", _ADDRESS, _SESSION, report, 9),
        "draw": DrawRequest(10**6, _ADDRESS, _SESSION, "budget-000001", 500, 5_000),
        "draw_reply": DrawReply(
            10**6,
            "budget-000001",
            _block(10**5).block_id,
            _SESSION,
            5_000,
            _FAR_MS,
            "10.2.1.1:49152",
        ),
        "block_closed": BlockClosed(
            _ADDRESS,
            _SESSION,
            _block(10**5).block_id,
            _SESSION,
            "budget-000001",
            {"client-account-100|service-100": 10**5},
        ),
        "blocks_settled": BlocksSettled((_block(10**5).block_id,)),
        "claim": ClaimRequest(
            10**6,
            "10.2.1.1:49152",
            9,
            "account/" + "0" * 36,
            "0" * 32,
            _FAR_MS,
            "0" * 32,
            "10.2.1.1:49152",
        ),
        "claim_reply": ClaimReply(
            10**6, "granted", ClaimTicket("account/" + "0" * 36, 9, _SESSION, _FAR_MS)
        ),
        "fence": Fence(10**6, _ADDRESS, _SESSION),
        "fence_ack": FenceAck(10**6, _ADDRESS, _SESSION, (record,)),
    }
    slopes = {
        f"message.{name}.bytes": float(len(encode_message(message)) + _SEAL_BYTES)
        for name, message in samples.items()
    }
    sealer = Sealer(("secret",))
    heartbeat = samples["heartbeat"]
    slopes["message.seal_open.us"] = _microseconds(
        lambda: decode_message(sealer.open(sealer.seal(encode_message(heartbeat)))), 5_000
    )
    return slopes


def _record(number: int) -> UsageRecord:
    return UsageRecord(
        request_id=f"{number:032}",
        block_id=_block(number).block_id,
        sequence=number,
        holder=_SESSION,
        router_session=_SESSION,
        budget="budget-000001",
        client_account="client-account-100",
        service="service-100",
        input_tokens=500,
        output_tokens=500,
        cost=1_500,
        finished_ms=_FAR_MS,
    )


def _dispatch() -> Dispatch:
    return Dispatch(
        stream=1,
        router_session=_SESSION,
        reply_to=_ADDRESS,
        request_id="0" * 32,
        service="service",
        budget="budget",
        client_account="account",
        holder=_SESSION,
        block_id=_block(1).block_id,
        sequence=1,
        upper_bound=100,
        honour_until_ms=_FAR_MS,
        deadline_ms=_FAR_MS,
        priority=0,
        method="POST",
        path="/v1/completions",
        headers=(),
        body=b"",
        price_input=1,
        price_output=2,
        price_call=0,
    )


def _agent() -> dict[str, float]:
    gate, dispatch = DispatchGate(), _dispatch()

    def records() -> RecordStore:
        store = RecordStore()
        for number in range(2_000):
            store.finish(
                msgspec.msgpack.decode(msgspec.msgpack.encode(_record(number)), type=UsageRecord)
            )
        return store

    return {
        "agent.gate.us": _microseconds(lambda: gate.check(dispatch, 1, 1), 20_000),
        "agent.record.bytes": _bytes_each(records, 2_000),
    }


def _claims() -> dict[str, float]:
    def owner(count: int) -> ClaimOwner:
        made = ClaimOwner(0, _SESSION, None, _FAR_MS, KeyTimes())
        for number in range(count):
            key = claim_key("client-account-100", f"{number:036}")
            made.decide(key, f"{number:032}", 10**6, f"{number:032}", "10.2.1.1:49152", 10**6)
        return made

    return {
        "claims.decide.us": _microseconds(lambda: owner(2_000), 3) / 2_000,
        "claims.claim.bytes": _bytes_each(lambda: owner(5_000), 5_000),
    }


def _routing() -> dict[str, float]:
    clock = ManualClock()
    registry = UpstreamRegistry(clock, "region", "domain")
    instances = [
        Instance(
            f"agent-{number}",
            "agent",
            f"10.0.{number // 250}.{number % 250}:1",
            "region",
            "domain",
            "model",
        )
        for number in range(_MAX_CHOICES)
    ]
    registry.update(instances, TableView())
    prefixes = PrefixMemory()
    prompt = bytes(random.Random(1).randrange(256) for _ in range(64 * 64))
    for instance in instances[:3]:
        prefixes.record_sent(prefix_blocks(prompt), instance.address)
    policy, context = open_policy("weighted_score"), ChoiceContext(random.Random(1))

    def choose() -> None:
        hits = prefixes.hits(blocks)
        state = registry.choose("model", policy, context, hits)
        registry.record_finished(state, failed=False)

    blocks = prefix_blocks(prompt)
    return {
        "routing.choose_2000.us": _microseconds(choose, 2_000),
        "routing.hash_64_blocks.us": _microseconds(lambda: prefix_blocks(prompt), 2_000),
        "routing.upstream.bytes": _bytes_each(lambda: _filled_registry(clock, instances), 2_000),
        "routing.prefix_block.bytes": _bytes_each(_filled_prefixes, 20_000),
    }


def _filled_registry(clock: ManualClock, instances: list[Instance]) -> UpstreamRegistry:
    registry = UpstreamRegistry(clock, "region", "domain")
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(instances), type=list[Instance])
    registry.update(decoded, TableView())
    return registry


def _filled_prefixes() -> PrefixMemory:
    memory = PrefixMemory()
    for number in range(20_000):
        memory.record_sent((number * 2**40,), "10.0.0.1:1")
    return memory


def _table() -> dict[str, float]:
    change = RowChange(
        None, ClientAccountRow(name="account-100", budget="b-100", key_hashes=hash_key("key"))
    )
    entries = tuple(AuditEntry(number, "operator-1", _FAR_MS, (change,)) for number in range(8))

    def view() -> TableView:
        rows = tuple(
            ClientAccountRow(
                name=f"account-{number}",
                budget=f"budget-{number}",
                key_hashes=hash_key(str(number)),
            )
            for number in range(2_000)
        )
        return TableView.of(TableDocument(1, rows))

    return {
        "table.account_row.bytes": _bytes_each(view, 2_000),
        "table.log_of_8_edits.bytes": float(len(msgspec.msgpack.encode(TableLog(9, entries)))),
        "table.stored_row.bytes": float(len(msgspec.msgpack.encode(change.after))),
    }


def _tokens() -> dict[str, float]:
    """Return the cost of a one-token chunk in a router, by how many share a message."""
    slopes = {}
    for batch in (1, 32, 256):
        streams = StreamTable(_SESSION, NullCounters())
        opened = [streams.open("agent") for _ in range(batch)]
        data = encode_message(
            Chunks(_SESSION, tuple(Chunk(each.number, 0, b"x" * 60) for each in opened))
        )

        relay = functools.partial(_accept, streams, opened, data)
        cost = _microseconds(relay, 2_000 // batch + 20)
        slopes[f"tokens.accept_batch_{batch}.us"] = cost / batch
    return slopes


def _accept(streams: StreamTable, opened: list[AnswerStream], data: bytes) -> None:
    streams.accept(decode_message(data))
    for each in opened:
        each.ready()
        each.position = 0


_RESIDENT_PROGRAM = """
import os, sys
def resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
bare = resident()
{imports}
print(bare, resident())
"""


def _resident() -> dict[str, float]:
    """Return the resident memory of a bare interpreter and of each daemon's imports, in bytes."""
    slopes = {}
    for name, imports in (
        ("router", "import aspengate.router, aspengate.adapters"),
        ("agent", "import aspengate.agent, aspengate.adapters"),
    ):
        program = _RESIDENT_PROGRAM.format(imports=imports)
        output = subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            text=True,
            check=True,
            env=dict(os.environ),
        ).stdout.split()
        slopes["resident.interpreter.bytes"] = float(output[0])
        slopes[f"resident.{name}_imports.bytes"] = float(output[1]) - float(output[0])
    return slopes
