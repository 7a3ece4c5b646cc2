"""Runs one policy on one routing scenario, with the real registry and policies."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.adapters import Instance
from aspengate.clock import ManualClock
from aspengate.errors import AspengateError
from aspengate.experiments._engines import EngineRequest, FakeEngine
from aspengate.routing import (
    ChoiceContext,
    PrefixMemory,
    UpstreamRegistry,
    UpstreamState,
    open_policy,
)
from aspengate.table import TableView

_SECOND_MS = 1_000.0
_REPORT_EVERY_MS = 500.0
_REPORT_LAG_MS = 300.0
_FIRST_TOKEN_GOAL_MS = 1_600.0
_SUFFIX_BLOCKS = 4
_WARM_UP_S = 10
# Requests a second that one engine carries when half of the prompt blocks are cached: 28 prompt
# blocks of 4 ms, one 20 ms prefill step, and its share of 29.6 ms decode steps for 64 tokens.
_NOMINAL_PER_ENGINE = 1_000.0 / (20.0 + 14 * 4.0 + 64 * 29.6 / 32)


@dataclass(frozen=True)
class RoutingFault:
    """Something that goes wrong at ``at_s``.

    ``kind`` is ``killed`` (one engine), ``slow`` (one engine, four times), ``frozen`` (load
    reports stop) or ``failure_domain`` (a quarter of the engines is killed).
    """

    kind: str
    at_s: float


@dataclass(frozen=True)
class RoutingScenario:
    """Requests at ``load`` times the nominal capacity of all engines."""

    name: str
    load: float
    engines: int = 16
    routers: int = 4
    prompts: int = 40
    seconds: int = 60
    heavy_tail: bool = False
    may_wait_share: float = 0.0
    faults: tuple[RoutingFault, ...] = ()


@dataclass(frozen=True)
class RoutingResult:
    """What one policy did; times in milliseconds, of requests after the warm-up.

    ``goodput`` counts answers whose first token came within 1.6 s, as a part of the nominal
    capacity; ``late`` is the part of the admitted requests whose first token did not.
    """

    scenario: str
    policy: str
    requests: int
    refused: int
    refused_may_wait: int
    failed: int
    late: float
    goodput: float
    first_p50: float
    first_p95: float
    first_p99: float
    between_p95: float
    hit_rate: float
    spread: float


def routing_scenarios() -> tuple[RoutingScenario, ...]:
    """Return the scenarios of the report."""
    return (
        RoutingScenario("load_60", 0.6),
        RoutingScenario("load_90", 0.9),
        RoutingScenario("load_90_heavy_tail", 0.9, heavy_tail=True),
        RoutingScenario("load_120", 1.2),
        RoutingScenario("load_200", 2.0, may_wait_share=0.5),
        RoutingScenario("engine_killed", 0.8, faults=(RoutingFault("killed", 25),)),
        RoutingScenario("engine_slow", 0.8, faults=(RoutingFault("slow", 15),)),
        RoutingScenario("reports_frozen", 0.9, faults=(RoutingFault("frozen", 15),)),
        RoutingScenario("failure_domain_lost", 0.6, faults=(RoutingFault("failure_domain", 25),)),
    )


def run_routing_scenario(scenario: RoutingScenario, policy: str, seed: int) -> RoutingResult:
    """Run a policy on a scenario; the same seed gives the same requests to every policy."""
    return _Run(scenario, policy, seed).result()


@dataclass
class _Router:
    registry: UpstreamRegistry
    prefixes: PrefixMemory
    context: ChoiceContext


@dataclass
class _Seen:
    requests: int = 0
    refused: int = 0
    refused_may_wait: int = 0
    failed: int = 0
    first: list[float] = field(default_factory=list)
    between: list[float] = field(default_factory=list)


class _Run:
    def __init__(self, scenario: RoutingScenario, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.policy_name = policy
        self.policy = open_policy(policy)
        self.random = random.Random(seed)
        self.clock = ManualClock(0)
        self.engines = {
            f"e{number}:1": FakeEngine(f"e{number}:1") for number in range(scenario.engines)
        }
        self.prompts = _prompts(scenario.prompts, self.random)
        self.routers = [self._router(number) for number in range(scenario.routers)]
        self.seen = _Seen()
        self.frozen = False
        self._pending: dict[str, list[tuple[_Router, UpstreamState]]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def result(self) -> RoutingResult:
        self._at(0.0, self._arrive)
        self._at(_REPORT_EVERY_MS, self._report)
        for fault in self.scenario.faults:
            self._at(fault.at_s * _SECOND_MS, functools.partial(self._fault, fault.kind))
        while self._events:
            time_ms, _, action = heapq.heappop(self._events)
            self.clock.time_ms = time_ms
            action()
        return self._summary()

    def _router(self, number: int) -> _Router:
        registry = UpstreamRegistry(self.clock, "region", "domain", name=f"router-{number}")
        instances = [
            Instance(name, "agent", name, "region", "domain", "model") for name in self.engines
        ]
        registry.update(instances, TableView())
        seed = self.random.randrange(2**32)
        return _Router(registry, PrefixMemory(), ChoiceContext(random.Random(seed)))

    def _arrive(self) -> None:
        now = self.clock.time_ms
        if now >= self.scenario.seconds * _SECOND_MS:
            return
        rate = self.scenario.load * _NOMINAL_PER_ENGINE * self.scenario.engines
        self._at(now + self.random.expovariate(rate) * _SECOND_MS, self._arrive)
        blocks = (*self._prompt(), *(self.random.getrandbits(60) for _ in range(_SUFFIX_BLOCKS)))
        may_wait = self.random.random() < self.scenario.may_wait_share
        self._send(self.random.choice(self.routers), blocks, self._output(), may_wait)

    def _send(self, router: _Router, blocks: tuple[int, ...], tokens: int, may_wait: bool) -> None:
        counted = self.clock.time_ms >= _WARM_UP_S * _SECOND_MS
        self.seen.requests += counted
        try:
            state = router.registry.choose(
                "model",
                self.policy,
                router.context,
                router.prefixes.hits(blocks),
                share=0.6 if may_wait else 1.0,
            )
        except AspengateError:
            self.seen.refused += counted
            self.seen.refused_may_wait += counted and may_wait
            return
        name = state.instance.address
        router.prefixes.record_sent(blocks, name)
        engine = self.engines[name]
        if engine.dead:
            self._at(
                self.clock.time_ms + 100.0, functools.partial(self._fail, router, state, counted)
            )
            return
        self._start(engine, router, state, blocks, tokens, counted)

    def _start(
        self,
        engine: FakeEngine,
        router: _Router,
        state: UpstreamState,
        blocks: tuple[int, ...],
        tokens: int,
        counted: bool,
    ) -> None:
        arrived = self.clock.time_ms
        request = EngineRequest(blocks, tokens, 0, lambda _: None)

        def done(at_ms: float) -> None:
            first = request.token_ms[0] - arrived
            self._at(at_ms, functools.partial(self._done, router, state, request, first, counted))

        request.on_done = done
        self._pending.setdefault(engine.name, []).append((router, state))
        engine.waiting.append(request)
        if not engine.stepping:
            self._step(engine)

    def _done(
        self,
        router: _Router,
        state: UpstreamState,
        request: EngineRequest,
        first: float,
        counted: bool,
    ) -> None:
        pending = self._pending.get(state.instance.address, [])
        if not any(each[0] is router and each[1] is state for each in pending):
            return
        pending.remove((router, state))
        router.registry.record_finished(state, failed=False, first_answer_ms=first)
        router.registry.record_activity(state.instance.address)
        if counted:
            self.seen.first.append(first)
            times = request.token_ms
            self.seen.between += [later - earlier for earlier, later in itertools.pairwise(times)]

    def _fail(self, router: _Router, state: UpstreamState, counted: bool) -> None:
        router.registry.record_finished(state, failed=True)
        self.seen.failed += counted

    def _step(self, engine: FakeEngine) -> None:
        ends_ms = engine.step(self.clock.time_ms)
        engine.stepping = ends_ms > 0
        if engine.stepping:
            self._at(ends_ms, functools.partial(self._step, engine))

    def _report(self) -> None:
        now = self.clock.time_ms
        if now >= self.scenario.seconds * _SECOND_MS:
            return
        self._at(now + _REPORT_EVERY_MS, self._report)
        for engine in self.engines.values():
            if not engine.dead:
                report = engine.report(now)
                self._at(now + _REPORT_LAG_MS, functools.partial(self._hear, engine.name, report))

    def _hear(self, name: str, report: object) -> None:
        for router in self.routers:
            if self.frozen:
                router.registry.record_activity(name)
            else:
                router.registry.record_report(name, report)  # type: ignore[arg-type]

    def _fault(self, kind: str) -> None:
        if kind == "frozen":
            self.frozen = True
        elif kind == "slow":
            self.engines["e0:1"].slow = 4.0
        else:
            count = 1 if kind == "killed" else self.scenario.engines // 4
            for name in list(self.engines)[:count]:
                self._kill(self.engines[name])

    def _kill(self, engine: FakeEngine) -> None:
        engine.dead = True
        for router, state in self._pending.pop(engine.name, []):
            self._fail(router, state, True)

    def _prompt(self) -> tuple[int, ...]:
        weights = [1 / rank for rank in range(1, len(self.prompts) + 1)]
        return self.random.choices(self.prompts, weights)[0]

    def _output(self) -> int:
        if self.scenario.heavy_tail:
            return min(1_000, max(1, int(self.random.lognormvariate(3.4, 1.2))))
        return max(1, int(self.random.lognormvariate(4.0, 0.5)))

    def _at(self, time_ms: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time_ms, self._number, action))

    def _summary(self) -> RoutingResult:
        scenario, seen = self.scenario, self.seen
        on_time = sum(first <= _FIRST_TOKEN_GOAL_MS for first in seen.first)
        span = scenario.seconds - _WARM_UP_S
        nominal = _NOMINAL_PER_ENGINE * scenario.engines * span
        served = [engine.served for engine in self.engines.values()]
        asked = sum(engine.asked_blocks for engine in self.engines.values())
        return RoutingResult(
            scenario=scenario.name,
            policy=self.policy_name,
            requests=seen.requests,
            refused=seen.refused,
            refused_may_wait=seen.refused_may_wait,
            failed=seen.failed,
            late=1 - on_time / max(1, len(seen.first)),
            goodput=on_time / nominal,
            first_p50=_percentile(seen.first, 0.5),
            first_p95=_percentile(seen.first, 0.95),
            first_p99=_percentile(seen.first, 0.99),
            between_p95=_percentile(seen.between, 0.95),
            hit_rate=sum(each.hit_blocks for each in self.engines.values()) / max(1, asked),
            spread=max(served) * len(served) / max(1, sum(served)),
        )


def _prompts(count: int, generator: random.Random) -> list[tuple[int, ...]]:
    return [
        tuple(generator.getrandbits(60) for _ in range(generator.randint(8, 40)))
        for _ in range(count)
    ]


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
