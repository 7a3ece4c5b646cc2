"""Tracks the upstreams that a router uses and decides which of them may be chosen."""

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
_EJECTION_MS = 5_000.0
_MAX_EJECTED_FRACTION = 0.5
_SLOW_START_MS = 5_000.0
_SLOW_START_FLOOR = 0.2
_SAMPLE_SIZE = 12
_DRAWS = range(_SAMPLE_SIZE)
_DEFAULT_SUBSET = 24
_MIN_ROUTERS_PER_UPSTREAM = 2


class UpstreamRegistry:
    """Tracks the upstreams that this router uses, from the instance list and agents' messages.

    The router uses about ``subset`` upstreams of each service, from its own region if that has
    any. Thus the number of router-agent pairs that communicate grows with the number of routers
    and not with routers times agents. ``name`` is the name of this router, which determines its
    subset. An agent that has sent nothing for ``silent_after_ms`` receives no new requests.
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
        self._last_activity_ms: dict[str, float] = {}
        self._lock = threading.Lock()

    def update(self, instances: Collection[Instance], table: TableView) -> None:
        """Apply the instance list and the operators' rows on upstreams in the table.

        An upstream whose address now belongs to another instance name starts with fresh state.
        """
        now = self.clock.monotonic_ms()
        listed = {instance.address: instance for instance in self._select_used(instances)}
        known = {instance.address for instance in instances}
        with self._lock:
            self._last_activity_ms = {
                key: at for key, at in self._last_activity_ms.items() if key in known
            }
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

    def _select_used(self, instances: Iterable[Instance]) -> list[Instance]:
        """Return the agents that this router uses, of all services.

        Live agents of this region are preferred, then live agents of any region, then all.
        """
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
            eligible = [each for each in live if each.region == self.region] or live or group
            names = self._subset_of(service, frozenset(routers), eligible)
            used += [each for each in eligible if each.name in names]
        return used

    def _subset_of(
        self, service: str, routers: frozenset[str], eligible: list[Instance]
    ) -> frozenset[str]:
        """Return the names of those ``eligible`` upstreams that this router uses.

        Each upstream is used by the routers that rank highest for it. Thus all upstreams are used
        by the same number of routers, and a router that joins or leaves reassigns few of them.
        """
        names = frozenset(each.name for each in eligible)
        if len(names) <= self.subset:
            return names
        cached = self._subsets.get(service)
        if cached is not None and cached[:2] == (routers, names):
            return cached[2]
        routers_per_upstream = max(
            _MIN_ROUTERS_PER_UPSTREAM, -(-self.subset * len(routers) // len(names))
        )
        chosen = frozenset(
            name for name in names if self.name in rank_owners(name, routers)[:routers_per_upstream]
        )
        self._subsets[service] = (routers, names, chosen)
        return chosen

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all agents that this router uses."""
        return tuple(self._states)

    def record_activity(self, address: str) -> None:
        """Record that an agent is alive because it sent part of a response."""
        now = self.clock.monotonic_ms()
        self._last_activity_ms[address] = now
        state = self._states.get(address)
        if state is not None:
            state.last_activity_ms = now

    def record_sent(self, address: str) -> None:
        """Record that a request was sent to an agent.

        If this router does not use the agent, its time limit for sending something starts now.
        """
        if address not in self._states:
            self._last_activity_ms[address] = self.clock.monotonic_ms()

    def is_unresponsive(self, address: str) -> bool:
        """Return whether an agent that was sent work has sent nothing for ``silent_after_ms``.

        This also covers agents that the router no longer uses, since an agent that is leaving
        still completes the requests it has.
        """
        last = self._last_activity_ms.get(address, float("-inf"))
        state = self._states.get(address)
        if state is not None:
            last = max(last, state.last_activity_ms)
        return self.clock.monotonic_ms() - last > self.silent_after_ms

    def record_report(self, address: str, report: LoadReport) -> None:
        """Record a load report of an agent; reports older than the last one only prove activity."""
        now = self.clock.monotonic_ms()
        self._last_activity_ms[address] = now
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
        """Return the upstream for a request and count the request as in flight there.

        ``hits`` gives the number of prefix hits by address, and ``excluded`` the addresses that
        may not be chosen. The request may use only ``share`` of each upstream's adaptive limit, so
        that requests that may wait are the first to be rejected when capacity is short.

        Raises AspengateError of kind NO_UPSTREAM if no upstream may be chosen, and OVERLOADED if
        all that may be chosen are at their limits.
        """
        with self._lock:
            usable = self._usable(self._sample(service, context, hits), excluded)
            below_limit = [state for state in usable if not _is_full(state, share)]
            if not below_limit:
                usable = self._usable(self._by_service.get(service, ()), excluded)
                below_limit = [state for state in usable if not _is_full(state, share)]
            if not below_limit:
                kind = ErrorKind.OVERLOADED if usable else ErrorKind.NO_UPSTREAM
                raise AspengateError(kind, f"no upstream for {service!r} can take the request")
            now = self.clock.monotonic_ms()
            candidates = [self._candidate(state, hits, now) for state in below_limit]
            chosen = policy(candidates, context).state
            chosen.in_flight += 1
            return chosen

    def record_finished(
        self, state: UpstreamState, *, failed: bool, first_answer_ms: float | None = None
    ) -> None:
        """Record that a request at an upstream has ended.

        Three failures in a row eject the upstream for 5 s. ``first_answer_ms`` is the time to the
        first token of a streamed response, and None for others.
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
                state.ejected_until_ms = now + _EJECTION_MS
                state.failures = 0

    def _sample(
        self, service: str, context: ChoiceContext, hits: dict[str, int]
    ) -> Sequence[UpstreamState]:
        """Return some upstreams of a service: a few random ones, and those with prefix hits.

        Scoring all of 2,000 upstreams for each request would take milliseconds, and all routers
        would choose the same few.
        """
        pool = self._by_service.get(service, [])
        if len(pool) <= _SAMPLE_SIZE:
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
        """Return the upstreams that may be chosen, including full ones.

        Ejected upstreams are left out unless that would leave out more than half of those that
        are otherwise usable; then ejection is ignored.
        """
        now = self.clock.monotonic_ms()
        available = [
            state
            for state in pool
            if not state.leaving
            and not state.report.leaving
            and state.weight > 0
            and now - state.last_activity_ms <= self.silent_after_ms
            and state.instance.address not in excluded
        ]
        not_ejected = [state for state in available if state.ejected_until_ms <= now]
        if len(not_ejected) < len(available) * (1 - _MAX_EJECTED_FRACTION):
            return available
        return not_ejected

    def _candidate(self, state: UpstreamState, hits: dict[str, int], now: float) -> Candidate:
        # The older the last report, the less the load from other routers counts. A new upstream
        # starts with a fifth of its weight and reaches its full weight after the slow start.
        age = max(0.0, now - state.report_received_ms)
        report_weight = 0.5 ** (age / _REPORT_HALF_LIFE_MS)
        queued = state.in_flight + _OTHERS_WEIGHT * report_weight * state.others_in_flight
        warm = min(1.0, (now - state.joined_ms) / _SLOW_START_MS)
        weight = state.weight * max(_SLOW_START_FLOOR, warm)
        return Candidate(
            state=state,
            expected_wait=queued / weight,
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
