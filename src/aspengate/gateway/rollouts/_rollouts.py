"""The rollouts of a gateway: composition of their parts and their connections to the rest."""

import threading
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

from aspengate.clock import Clock
from aspengate.gateway._ports import Deployment
from aspengate.gateway.rollouts._controller import RolloutController
from aspengate.gateway.rollouts._decider_watch import DeciderWatch
from aspengate.gateway.rollouts._documents import RolloutDocuments
from aspengate.gateway.rollouts._log import log_document
from aspengate.gateway.rollouts._orders import RolloutOrders
from aspengate.gateway.rollouts._reporter import RolloutReporter
from aspengate.gateway.rollouts._traffic import RolloutTraffic
from aspengate.peers import HaltedRollout, Member, RolloutNotice, RolloutReport
from aspengate.replicas import Replica, ReplicaRegistry
from aspengate.rollouts import RolloutDecider, RolloutDocument, RolloutPolicy, VersionGate
from aspengate.store import MirrorState
from aspengate.telemetry import Counters, log_change


class RolloutFleet(Protocol):
    """What rollouts need of the other routers."""

    @property
    def session(self) -> str:
        """The name of this router's session."""

    def rollout_decider(self, service: str) -> Member:
        """Return the router that decides on a service, possibly this one."""

    def may_decide_next(self, service: str) -> bool:
        """Return whether this router is among those that may become the decider on a service."""

    def record_ended(self, member: Member) -> None:
        """Record that the process of a router's session has ended."""

    def rollout_sessions(self) -> set[str]:
        """Return the sessions of the other living routers that take part in rollouts."""

    def confirmed_ms(self, within_ms: float) -> float:
        """Return until when this router is known to have the store's changes, in monotonic ms.

        Minus infinity if that is over ``within_ms`` ago.
        """

    def send_rollout_report(self, report: RolloutReport, address: str) -> None:
        """Send a report to another router."""

    def announce_halted_rollouts(self, notice: RolloutNotice) -> None:
        """Send a notice to all other routers, several times."""


class Rollouts:
    """Carries out the operator's orders to move services to other versions.

    Created only if rollouts are enabled. ``fleet`` returns the other routers; it is a function as
    these are connected later. ``is_loaded`` returns whether the documents in the store and the list
    of replicas have been read, ``rewrites_lost`` whether this router writes an item again that the
    store has lost, and ``cold_start_ms`` for how long replicas of a service are cold.
    """

    def __init__(
        self,
        policy: RolloutPolicy,
        configuration_ms: float,
        deployment: Deployment,
        registry: ReplicaRegistry,
        clock: Clock,
        counters: Counters,
        *,
        fleet: Callable[[], RolloutFleet],
        is_loaded: Callable[[], bool],
        rewrites_lost: Callable[[str], bool],
        cold_start_ms: Callable[[str], float],
    ) -> None:
        self.policy = policy
        self.gate = VersionGate(policy, configuration_ms)
        self.traffic = RolloutTraffic(self.gate, clock, counters)
        self.orders = RolloutOrders(deployment, clock, counters)
        self.documents = RolloutDocuments(clock, counters, self._on_document)
        self._clock = clock
        self._counters = counters
        self._fleet = fleet
        self._halted: dict[str, int] = {}
        self._listed: frozenset[str] = frozenset()
        self._deciders: dict[str, str] = {}
        self._lock = threading.Lock()
        self.controller = RolloutController(
            deployment,
            RolloutDecider(policy),
            self.orders,
            self.documents,
            registry,
            clock,
            counters,
            is_loaded=is_loaded,
            session=lambda: fleet().session,
            decides=lambda each: fleet().rollout_decider(each).session == fleet().session,
            rewrites_lost=rewrites_lost,
            reporting=lambda: fleet().rollout_sessions(),
            cold_start_ms=cold_start_ms,
            on_stopped=self._stop_target,
        )
        self.reporter = RolloutReporter(
            self.traffic,
            clock,
            counters,
            running=self._running,
            decider=lambda each: fleet().rollout_decider(each),
            session=lambda: fleet().session,
            send=lambda report, address: fleet().send_rollout_report(report, address),
            on_report=self.controller.handle_report,
        )
        self.watch = DeciderWatch(
            clock, counters, deciders=self._watched_deciders, on_ended=self._on_decider_ended
        )

    def start(self) -> None:
        """Start to decide and to report."""
        self.controller.start()
        self.reporter.start()
        self.watch.start()

    def close(self) -> None:
        """Stop deciding and reporting; another router takes over."""
        self.controller.close()
        self.reporter.close()
        self.watch.close()

    def load_orders(self, state: MirrorState) -> None:
        """Read the orders among the operator's items."""
        before = set(self.orders.services)
        self.orders.load(state)
        documents = {known.document.service for known in self.documents.all()}
        for service in before.union(self.orders.services, documents):
            self._apply_order(service)
        self.controller.wake()

    def load_documents(self, state: MirrorState) -> None:
        """Read the documents in the store."""
        self.documents.load(state)
        self.controller.wake()

    def handle_replicas(self, replicas: Iterable[Replica], *, is_first: bool) -> None:
        """Note the versions of the listed replicas, before requests are sent to them."""
        versions: defaultdict[str, set[str]] = defaultdict(set)
        for replica in replicas:
            versions[replica.service].add(replica.version)
        now = self._clock.monotonic_ms()
        for service in self._listed.union(versions):
            self.gate.set_versions(service, versions.get(service, ()), now, is_first=is_first)
        self._listed = frozenset(versions)

    def refresh(self) -> None:
        """Renew the time until which the documents are known to be current; call it often."""
        confirmed_ms = self._confirmed_ms()
        self.gate.record_contact(confirmed_ms)
        now = self._clock.monotonic_ms()
        for known in self.documents.all():
            if not known.document.has_ended:
                self.gate.set(known.document.service, known.document, confirmed_ms, now)

    def handle_store_restored(self) -> None:
        """Give routers that know newer documents the time to write them again."""
        self.controller.restored_ms = self._clock.monotonic_ms()

    def handle_report(self, report: RolloutReport) -> None:
        """Take another router's evidence."""
        self.controller.handle_report(report)

    def handle_notice(self, notice: RolloutNotice, address: str) -> None:
        """Stop sending to targets that another router found to be bad."""
        for each in notice.halted:
            if self._record_halted(each.service, each.generation):
                self.controller.handle_stopped(each.service, each.generation)
                log_change(
                    "rollout.halted",
                    service=each.service,
                    generation=each.generation,
                    why="another router's notice",
                    told_by=address,
                )

    def known_halts(self) -> RolloutNotice | None:
        """Return a notice for a router that may have missed the earlier ones, or None."""
        with self._lock:
            halted = [HaltedRollout(*each) for each in self._halted.items()]
        return RolloutNotice(halted) if halted else None

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges, by name."""
        now = self._clock.monotonic_ms()
        running = self._running()
        return {
            "rollouts_running": len(running),
            "rollouts_decided": len(self.controller.decided_services),
            **{f"rollout_share_{each}": self.gate.share(each, now) for each in running},
        }

    def _running(self) -> dict[str, int]:
        """Return the generation of each service's running attempt."""
        services = [known.document.service for known in self.documents.all()]
        found = {service: self.gate.generation(service) for service in services}
        return {service: generation for service, generation in found.items() if generation}

    def _watched_deciders(self) -> list[Member] | None:
        """Return the deciders of running attempts that this router may follow, None without any."""
        running = self._running()
        deciders = {service: self._fleet().rollout_decider(service) for service in running}
        sessions = {service: member.session for service, member in deciders.items()}
        if sessions != self._deciders:
            # A new decider raises no share before it has the reports of most routers.
            self._deciders = sessions
            self.reporter.wake()
        if not running:
            return None
        return [
            member
            for service, member in deciders.items()
            if member.session != self._fleet().session and self._fleet().may_decide_next(service)
        ]

    def _on_decider_ended(self, member: Member) -> None:
        self._fleet().record_ended(member)
        self.controller.wake()
        self.reporter.wake()

    def _apply_order(self, service: str) -> None:
        if self.orders.is_loaded:
            known = self.documents.get(service)
            seen = self.orders.current(service, known.document if known else None)
            self.gate.set_order(service, seen.order if seen else None)

    def _on_document(self, document: RolloutDocument, before: RolloutDocument | None) -> None:
        service = document.service
        if not document.has_ended:
            self.traffic.recorder(service, document.generation)
        self.gate.set(service, document, self._confirmed_ms(), self._clock.monotonic_ms())
        self._apply_order(service)
        self.controller.handle_document(document)
        self.reporter.wake()
        self.watch.wake()
        if document.decider != self._fleet().session:
            log_document(document, before)

    def _confirmed_ms(self) -> float:
        return self._fleet().confirmed_ms(self.policy.rollback_ms)

    def _stop_target(self, service: str, generation: int) -> None:
        """Stop sending to a target at all routers, without waiting for the store."""
        if self._record_halted(service, generation):
            notice = RolloutNotice([HaltedRollout(service, generation)])
            self._fleet().announce_halted_rollouts(notice)

    def _record_halted(self, service: str, generation: int) -> bool:
        """Record that a target gets no more requests; return whether that is new."""
        with self._lock:
            if self._halted.get(service, 0) >= generation:
                return False
            self._halted[service] = generation
        self.gate.halt(service, generation)
        return True
