"""All upstreams that a router knows, and which of them may be chosen."""

import threading
from collections.abc import Iterable, Sequence

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.membership import rank_owners
from aspengate.platform import Instance, InstanceState
from aspengate.routing._candidates import Candidate, UpstreamState
from aspengate.routing._policies import ChoiceContext, Policy
from aspengate.table import TableView
from aspengate.transport import LoadReport

_REPORT_HALF_LIFE_MS = 2_000.0
_EJECT_AFTER_FAILURES = 3
_EJECT_MS = 5_000.0
_MAX_EJECTED_FRACTION = 0.5
_SLOW_START_MS = 5_000.0
_SLOW_START_FLOOR = 0.2
_SAMPLE = 12
_DRAWS = range(_SAMPLE)
_DEFAULT_SUBSET = 24


class UpstreamRegistry:
    """The upstreams that this router uses, kept up to date from the instance list and agents.

    Of each service it uses at most ``subset`` upstreams, of its own region where there are any,
    chosen by the router's ``name``: so that the number of pairs that talk to each other grows
    with the routers and not with routers times agents, and every upstream is used by some.
    ``silent_after_ms`` is how long an agent may stay unheard before it gets no new work.
    """

    def __init__(
        self,
        clock: Clock,
        region: str,
        failure_domain: str,
        *,
        name: str = "",
        subset: int = _DEFAULT_SUBSET,
        silent_after_ms: float = 3_000.0,
    ) -> None:
        self.name = name
        self.subset = subset
        self.clock = clock
        self.region = region
        self.failure_domain = failure_domain
        self.silent_after_ms = silent_after_ms
        self._states: dict[str, UpstreamState] = {}
        self._by_service: dict[str, list[UpstreamState]] = {}
        self._lock = threading.Lock()

    def update(self, instances: Iterable[Instance], table: TableView) -> None:
        """Take over the instance list and the operators' words on upstreams."""
        now = self.clock.monotonic_ms()
        listed = {instance.address: instance for instance in instances if instance.role == "agent"}
        with self._lock:
            for address in set(self._states) - set(listed):
                self._states.pop(address)
            for address, instance in listed.items():
                state = self._states.get(address)
                if state is None or state.instance.name != instance.name:
                    state = UpstreamState(instance, heard_ms=now, joined_ms=now)
                    self._states[address] = state
                state.instance = instance
                row = table.upstreams.get(instance.upstream or instance.name)
                state.weight = row.weight if row else 1.0
                state.max_concurrency = row.max_concurrency if row else 0
                disabled = row is not None and not row.enabled
                state.leaving = disabled or instance.state is InstanceState.LEAVING
            self._by_service = {}
            for state in self._states.values():
                self._by_service.setdefault(state.instance.service, []).append(state)

    def _used(self, instances: Iterable[Instance]) -> list[Instance]:
        by_service: dict[str, list[Instance]] = {}
        for instance in instances:
            if instance.role == "agent":
                by_service.setdefault(instance.service, []).append(instance)
        used = []
        for group in by_service.values():
            live = [each for each in group if each.state is InstanceState.LIVE]
            near = [each for each in live if each.region == self.region] or live or group
            if len(near) <= self.subset:
                used += near
                continue
            by_name = {each.name: each for each in near}
            ranked = rank_owners(self.name, by_name)[: self.subset]
            used += [by_name[name] for name in ranked]
        return used

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all listed agents."""
        return tuple(self._states)

    def touch(self, address: str) -> None:
        """Note that an agent lives, since it sent part of an answer."""
        state = self._states.get(address)
        if state is not None:
            state.heard_ms = self.clock.monotonic_ms()

    def heard(self, address: str, report: LoadReport) -> None:
        """Take an agent's word of its load."""
        state = self._states.get(address)
        if state is None:
            return
        now = self.clock.monotonic_ms()
        state.heard_ms = now
        if report.reported_ms >= state.report.reported_ms:
            state.report = report
            state.report_received_ms = now
            state.in_flight_at_report = state.in_flight

    def choose(
        self,
        service: str,
        policy: Policy,
        context: ChoiceContext,
        hits: dict[str, int],
        excluded: frozenset[str] = frozenset(),
    ) -> UpstreamState:
        """Return the upstream for a request and count the request there.

        Raises AspengateError of kind NO_UPSTREAM where none may be chosen, and OVERLOADED where
        all that may be are at their limit.
        """
        with self._lock:
            usable = self._usable(self._sample(service, context, hits), excluded)
            open_ones = [state for state in usable if not _is_full(state)]
            if not open_ones:
                usable = self._usable(self._by_service.get(service, ()), excluded)
                open_ones = [state for state in usable if not _is_full(state)]
            if not open_ones:
                kind = ErrorKind.OVERLOADED if usable else ErrorKind.NO_UPSTREAM
                raise AspengateError(kind, f"no upstream for {service!r} can take the request")
            now = self.clock.monotonic_ms()
            candidates = [self._candidate(state, hits, now) for state in open_ones]
            chosen = policy(candidates, context).state
            chosen.in_flight += 1
            return chosen

    def finished(self, state: UpstreamState, *, failed: bool) -> None:
        """Note that a request left an upstream; failures in a row eject it for a while."""
        with self._lock:
            state.in_flight = max(0, state.in_flight - 1)
            if not failed:
                state.failures = 0
                return
            state.failures += 1
            if state.failures >= _EJECT_AFTER_FAILURES:
                state.ejected_until_ms = self.clock.monotonic_ms() + _EJECT_MS
                state.failures = 0

    def _sample(
        self, service: str, context: ChoiceContext, hits: dict[str, int]
    ) -> Sequence[UpstreamState]:
        """Return some upstreams of a service: a few random ones, and those with prefix hits.

        Weighing all of 2,000 for each request would cost milliseconds, and would send every
        router to the same few.
        """
        pool = self._by_service.get(service, [])
        if len(pool) <= _SAMPLE:
            return pool
        draw = context.generator.random
        sampled = {id(state): state for state in (pool[int(draw() * len(pool))] for _ in _DRAWS)}
        for address in hits:
            state = self._states.get(address)
            if state is not None and state.instance.service == service:
                sampled[id(state)] = state
        return list(sampled.values())

    def _usable(
        self, pool: Sequence[UpstreamState], excluded: frozenset[str]
    ) -> list[UpstreamState]:
        now = self.clock.monotonic_ms()
        heard = [
            state
            for state in pool
            if not state.leaving
            and not state.report.leaving
            and state.weight > 0
            and now - state.heard_ms <= self.silent_after_ms
            and state.instance.address not in excluded
        ]
        kept = [state for state in heard if state.ejected_until_ms <= now]
        if len(kept) < len(heard) * (1 - _MAX_EJECTED_FRACTION):
            return heard
        return kept

    def _candidate(self, state: UpstreamState, hits: dict[str, int], now: float) -> Candidate:
        age = max(0.0, now - state.report_received_ms)
        trust = 0.5 ** (age / _REPORT_HALF_LIFE_MS)
        others = max(0, state.report.running + state.report.waiting - state.in_flight_at_report)
        ahead = state.in_flight + trust * others
        warm = min(1.0, (now - state.joined_ms) / _SLOW_START_MS)
        weight = state.weight * max(_SLOW_START_FLOOR, warm)
        return Candidate(
            state=state,
            expected_wait=ahead / weight,
            prefix_hits=hits.get(state.instance.address, 0),
            distance=self._distance(state.instance),
        )

    def _distance(self, instance: Instance) -> int:
        if instance.region != self.region:
            return 2
        return 0 if instance.failure_domain == self.failure_domain else 1


def _is_full(state: UpstreamState) -> bool:
    return bool(state.max_concurrency) and state.in_flight >= state.max_concurrency
