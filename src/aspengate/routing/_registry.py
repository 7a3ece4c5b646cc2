"""All upstreams that a router knows, and which of them may be chosen."""

import threading
from collections.abc import Collection, Iterable, Sequence

from aspengate.adapters import Instance, InstanceState
from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.membership import rank_owners
from aspengate.routing._candidates import Candidate, UpstreamState
from aspengate.routing._policies import ChoiceContext, Policy
from aspengate.table import TableView
from aspengate.transport import LoadReport

_REPORT_HALF_LIFE_MS = 2_000.0
_REPORT_SMOOTHING = 0.05
_OTHERS_WEIGHT = 0.25
_EJECT_AFTER_FAILURES = 3
_EJECT_MS = 5_000.0
_MAX_EJECTED_FRACTION = 0.5
_SLOW_START_MS = 5_000.0
_SLOW_START_FLOOR = 0.2
_SAMPLE = 12
_DRAWS = range(_SAMPLE)
_DEFAULT_SUBSET = 24
_LEAST_USERS = 2


class UpstreamRegistry:
    """The upstreams that this router uses, kept up to date from the instance list and agents.

    Of each service it uses about ``subset`` upstreams, of its own region where there are any, so
    that the number of pairs that talk to each other grows with the routers and not with routers
    times agents. ``name`` is the router's, by which its share is found.
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
        self._subsets: dict[str, tuple[frozenset[str], frozenset[str], frozenset[str]]] = {}
        self._by_service: dict[str, list[UpstreamState]] = {}
        self._heard: dict[str, float] = {}
        self._lock = threading.Lock()

    def update(self, instances: Collection[Instance], table: TableView) -> None:
        """Take over the instance list and the operators' words on upstreams."""
        now = self.clock.monotonic_ms()
        listed = {instance.address: instance for instance in self._used(instances)}
        known = {instance.address for instance in instances}
        with self._lock:
            self._heard = {key: at for key, at in self._heard.items() if key in known}
            for address in set(self._states) - set(listed):
                self._states.pop(address)
            for address, instance in listed.items():
                state = self._states.get(address)
                if state is None or state.instance.name != instance.name:
                    state = UpstreamState(instance, last_activity_ms=now, joined_ms=now)
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
        routers = {self.name}
        for instance in instances:
            if instance.role == "agent":
                by_service.setdefault(instance.service, []).append(instance)
            elif instance.region == self.region:
                routers.add(instance.name)
        used = []
        for service, group in by_service.items():
            live = [each for each in group if each.state is InstanceState.LIVE]
            near = [each for each in live if each.region == self.region] or live or group
            names = self._subset_of(service, frozenset(routers), near)
            used += [each for each in near if each.name in names]
        return used

    def _subset_of(
        self, service: str, routers: frozenset[str], near: list[Instance]
    ) -> frozenset[str]:
        """Return the names of the upstreams that this router uses out of those ``near``.

        Each upstream is used by the routers that rank first for it, so that all upstreams are
        used by equally many, and a router that comes or goes moves few of them.
        """
        names = frozenset(each.name for each in near)
        if len(names) <= self.subset:
            return names
        known = self._subsets.get(service)
        if known is not None and known[:2] == (routers, names):
            return known[2]
        users = max(_LEAST_USERS, -(-self.subset * len(routers) // len(names)))
        chosen = frozenset(
            name for name in names if self.name in rank_owners(name, routers)[:users]
        )
        self._subsets[service] = (routers, names, chosen)
        return chosen

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all listed agents."""
        return tuple(self._states)

    def record_activity(self, address: str) -> None:
        """Note that an agent lives, since it sent part of an answer."""
        now = self.clock.monotonic_ms()
        self._heard[address] = now
        state = self._states.get(address)
        if state is not None:
            state.last_activity_ms = now

    def record_sent(self, address: str) -> None:
        """Note that an agent was sent work; one that is not in use is expected to answer now."""
        if address not in self._states:
            self._heard[address] = self.clock.monotonic_ms()

    def is_unresponsive(self, address: str) -> bool:
        """Return whether an agent that was sent work has not been heard of for too long.

        An agent that is leaving still answers what it has, so it need not be in use any more.
        """
        last = self._heard.get(address, float("-inf"))
        state = self._states.get(address)
        if state is not None:
            last = max(last, state.last_activity_ms)
        return self.clock.monotonic_ms() - last > self.silent_after_ms

    def record_report(self, address: str, report: LoadReport) -> None:
        """Take an agent's word of its load."""
        now = self.clock.monotonic_ms()
        self._heard[address] = now
        state = self._states.get(address)
        if state is None:
            return
        state.last_activity_ms = now
        if report.reported_ms >= state.report.reported_ms:
            state.report = report
            state.report_received_ms = now
            others = max(0, report.running + report.waiting - state.in_flight)
            state.others_in_flight += _REPORT_SMOOTHING * (others - state.others_in_flight)

    def choose(
        self,
        service: str,
        policy: Policy,
        context: ChoiceContext,
        hits: dict[str, int],
        excluded: frozenset[str] = frozenset(),
        share: float = 1.0,
    ) -> UpstreamState:
        """Return the upstream for a request and count the request there.

        Work that may wait uses only a ``share`` of what upstreams take, so that it is the first
        to be refused when they are short.

        Raises AspengateError of kind NO_UPSTREAM where none may be chosen, and OVERLOADED where
        all that may be are at their limit.
        """
        with self._lock:
            usable = self._usable(self._sample(service, context, hits), excluded)
            open_ones = [state for state in usable if not _is_full(state, share)]
            if not open_ones:
                usable = self._usable(self._by_service.get(service, ()), excluded)
                open_ones = [state for state in usable if not _is_full(state, share)]
            if not open_ones:
                kind = ErrorKind.OVERLOADED if usable else ErrorKind.NO_UPSTREAM
                raise AspengateError(kind, f"no upstream for {service!r} can take the request")
            now = self.clock.monotonic_ms()
            candidates = [self._candidate(state, hits, now) for state in open_ones]
            chosen = policy(candidates, context).state
            chosen.in_flight += 1
            return chosen

    def record_finished(
        self, state: UpstreamState, *, failed: bool, first_answer_ms: float | None = None
    ) -> None:
        """Note that a request left an upstream; failures in a row eject it for a while.

        ``first_answer_ms`` is how long its first token took, where it streamed tokens.
        """
        with self._lock:
            now = self.clock.monotonic_ms()
            if first_answer_ms is not None:
                state.limit.observe(first_answer_ms, state.in_flight, now)
            state.in_flight = max(0, state.in_flight - 1)
            if not failed:
                state.failures = 0
                return
            state.failures += 1
            if state.failures >= _EJECT_AFTER_FAILURES:
                state.ejected_until_ms = now + _EJECT_MS
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
        for address in sorted(hits):
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
            and now - state.last_activity_ms <= self.silent_after_ms
            and state.instance.address not in excluded
        ]
        kept = [state for state in heard if state.ejected_until_ms <= now]
        if len(kept) < len(heard) * (1 - _MAX_EJECTED_FRACTION):
            return heard
        return kept

    def _candidate(self, state: UpstreamState, hits: dict[str, int], now: float) -> Candidate:
        age = max(0.0, now - state.report_received_ms)
        trust = 0.5 ** (age / _REPORT_HALF_LIFE_MS)
        ahead = state.in_flight + _OTHERS_WEIGHT * trust * state.others_in_flight
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


def _is_full(state: UpstreamState, share: float) -> bool:
    if state.max_concurrency and state.in_flight >= state.max_concurrency:
        return True
    return not state.limit.allows(state.in_flight, share)
