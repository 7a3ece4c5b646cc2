"""Decides the steps of rollouts at the router that is responsible, and writes the documents."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.gateway._ports import Deployment
from aspengate.gateway.rollouts._capacity import cohort_capacity
from aspengate.gateway.rollouts._documents import KnownDocument, RolloutDocuments
from aspengate.gateway.rollouts._log import log_document, log_verdict
from aspengate.gateway.rollouts._orders import RolloutOrders, SeenOrder
from aspengate.gateway.rollouts._reports import FleetReports
from aspengate.peers import RolloutReport
from aspengate.replicas import ReplicaRegistry
from aspengate.rollouts import (
    DOCUMENT_PREFIX,
    DecisionTime,
    FleetEvidence,
    RolloutDecider,
    RolloutDocument,
    RolloutState,
    encode_document,
)
from aspengate.store import ConditionFailedError, Put
from aspengate.telemetry import Counters, log_change, supervised_thread

# Delay before the next step after another write came first, or after the store failed, in ms.
_CONFLICT_RETRY_MS = 50.0
_STORE_RETRY_MS = 500.0


class _Service:
    """What this router knows of a service's rollout beside the document.

    ``decides_since_ms`` is when this router became the decider, None while it isn't.
    ``generation`` is that of the newest document, and ``order_seen_ms`` when this router first saw
    the order with which that attempt began.
    """

    def __init__(self, clock: Clock) -> None:
        self.reports = FleetReports(clock)
        self.decides_since_ms: float | None = None
        self.generation = 0
        self.order_seen_ms: float | None = None
        self.failure_logged = False


@dataclass(frozen=True)
class _Write:
    """A document to write while the store's item is at ``revision``; 0 if there is none.

    ``before`` is the document that it replaces, and ``evidence`` what the decision is based on.
    """

    document: RolloutDocument
    revision: int
    before: RolloutDocument | None
    evidence: FleetEvidence | None = None


class RolloutController:
    """Steps each rollout every 500 ms while there is an order or a running document.

    ``decides`` returns whether this router decides on a service, ``rewrites_lost`` whether it
    writes a document again that the store has lost, and ``reporting`` the sessions of the other
    living routers that take part in rollouts. ``on_stopped`` is called with a service and a
    generation whose target must get no more requests; it does not wait for the store.
    ``is_loaded`` returns whether the documents and the list of replicas have been read: without the
    list, an attempt would begin without base versions.
    """

    def __init__(
        self,
        deployment: Deployment,
        decider: RolloutDecider,
        orders: RolloutOrders,
        documents: RolloutDocuments,
        registry: ReplicaRegistry,
        clock: Clock,
        counters: Counters,
        *,
        is_loaded: Callable[[], bool],
        session: Callable[[], str],
        decides: Callable[[str], bool],
        rewrites_lost: Callable[[str], bool],
        reporting: Callable[[], set[str]],
        cold_start_ms: Callable[[str], float],
        on_stopped: Callable[[str, int], None],
    ) -> None:
        self.restored_ms: float | None = None
        self._deployment = deployment
        self._decider = decider
        self._orders = orders
        self._documents = documents
        self._registry = registry
        self._clock = clock
        self._counters = counters
        self._is_loaded = is_loaded
        self._session = session
        self._decides = decides
        self._rewrites_lost = rewrites_lost
        self._reporting = reporting
        self._cold_start_ms = cold_start_ms
        self._on_stopped = on_stopped
        self._services: dict[str, _Service] = {}
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, "rollouts", counters)

    def start(self) -> None:
        """Start to decide."""
        self._thread.start()

    def close(self) -> None:
        """Stop deciding."""
        self._closing.set()
        self._wakeup.set()

    def wake(self) -> None:
        """Step now instead of after the interval."""
        self._wakeup.set()

    @property
    def decided_services(self) -> list[str]:
        """The services on which this router decides."""
        services = list(self._services.items())
        return [name for name, each in services if each.decides_since_ms is not None]

    def handle_report(self, report: RolloutReport) -> None:
        """Take a router's evidence; if it has halted, a decision is made at once."""
        service = self._services.get(report.service)
        if service is not None and service.reports.add(report):
            self._wakeup.set()

    def handle_stopped(self, name: str, generation: int) -> None:
        """Record that another decider ended an attempt, also if it could not write that."""
        service = self._services.get(name)
        if service is not None and service.reports.handle_stopped(generation):
            self._wakeup.set()

    def handle_document(self, document: RolloutDocument) -> None:
        """Collect the evidence of a new generation from now on, and step."""
        service = self._service(document.service)
        service.reports.begin(document.generation)
        if document.generation > service.generation:
            # Reports of the attempt may have arrived before its document.
            service.generation, service.order_seen_ms = document.generation, None
        seen = self._orders.get(document.service)
        if seen is not None and seen.order.revision == document.order_revision:
            service.order_seen_ms = service.order_seen_ms or seen.seen_ms
        self._wakeup.set()

    def _service(self, name: str) -> _Service:
        with self._lock:
            return self._services.setdefault(name, _Service(self._clock))

    def _run(self) -> None:
        while not self._closing.is_set():
            pause_ms = self.step()
            self._wakeup.wait(None if pause_ms is None else pause_ms / 1_000)
            self._wakeup.clear()

    def step(self) -> float | None:
        """Decide on each service; return the time to the next step in ms, None without work."""
        if not self._orders.is_loaded:
            return None
        if not self._is_loaded():
            return _STORE_RETRY_MS
        active = {
            known.document.service
            for known in self._documents.all()
            if not known.document.has_ended or not known.is_stored
        }
        pauses = []
        writes = []
        for name in {*active, *self._orders.services}:
            pause_ms, write = self._decide(name, self._service(name))
            pauses.append(pause_ms)
            writes += [write] if write else []
        # A slow store must not delay the decisions on other services.
        pauses += [retry_ms for write in writes if (retry_ms := self._write(write)) is not None]
        return min(pauses, default=None)

    def _decide(self, name: str, service: _Service) -> tuple[float, _Write | None]:
        """Return the time to a service's next step, in ms, and the document to write now."""
        known = self._documents.get(name)
        document = known.document if known else None
        revision = known.revision if known else self._documents.stored_revision(name)
        is_decider = self._note_decider(name, service)
        seen = self._orders.current(name, document)
        time = self._decision_time(service, known, seen)
        pause_ms = self._decider.pause_ms(document, time)
        if known is not None and not known.is_stored:
            if not self._rewrites_lost(name):
                return pause_ms, None
            self._counters.count("rollouts.rewritten")
            return pause_ms, _Write(known.document, revision, known.document)
        if not is_decider:
            return pause_ms, None
        order = seen.order if seen else None
        target = document.target_version if document else order.target_version if order else ""
        evidence = self._evidence(service, document)
        next_document = self._decider.decide(
            name,
            order,
            self._orders.revision,
            document,
            evidence,
            cohort_capacity(
                self._registry, name, target, document, self._cold_start_ms(name), self._clock
            ),
            time,
            self._session(),
        )
        if next_document is None:
            return pause_ms, None
        if document is not None and not document.has_ended and _stops(document, next_document):
            self._on_stopped(name, document.generation)
        return pause_ms, _Write(next_document, revision, document, evidence)

    def _note_decider(self, name: str, service: _Service) -> bool:
        """Return whether this router decides on a service, and note since when."""
        is_decider = self._decides(name)
        if is_decider != (service.decides_since_ms is not None):
            service.decides_since_ms = self._clock.monotonic_ms() if is_decider else None
            service.reports.restart_windows()
            generation = service.reports.generation
            log_change("rollout.decider", service=name, decides=is_decider, generation=generation)
        return is_decider

    def _decision_time(
        self, service: _Service, known: KnownDocument | None, seen: SeenOrder | None
    ) -> DecisionTime:
        now = self._clock.monotonic_ms()
        document = known.document if known else None
        is_current = document is not None and (
            seen is None
            or (seen.order.target_version == document.target_version and not document.has_ended)
        )
        return DecisionTime(
            now,
            self._clock.now_ms(),
            service.order_seen_ms if is_current else seen.seen_ms if seen else None,
            known.step_seen_ms if known else now,
            self.restored_ms,
        )

    def _evidence(
        self, service: _Service, document: RolloutDocument | None
    ) -> FleetEvidence | None:
        """Return the joint evidence on the running attempt, None without one."""
        reports, since_ms = service.reports, service.decides_since_ms
        if document is None or document.has_ended or since_ms is None:
            return None
        if reports.generation != document.generation:
            return None
        was_bad = reports.bad_verdict is not None
        evidence = reports.evidence(document.share, self._session(), self._reporting(), since_ms)
        if evidence.verdict is not None and evidence.verdict.is_bad and not was_bad:
            log_verdict(document, evidence.verdict)
        return evidence

    def _write(self, write: _Write) -> float | None:
        """Write a document and its status together.

        Return None if that is confirmed, otherwise the delay before the next step, in ms.
        """
        document = write.document
        key = DOCUMENT_PREFIX + document.service
        # The document comes last: a store that numbers the writes of a transaction one by one
        # returns the revision of the last one.
        puts = (self._deployment.rollout_status(document), Put(key, encode_document(document)))
        try:
            revision = self._deployment.store.transact({key: write.revision}, puts)
        except ConditionFailedError as failure:
            self._counters.count("rollouts.conflicts")
            self._documents.adopt(document.service, failure.items.get(key))
            return _CONFLICT_RETRY_MS
        except AspengateError as error:
            self._record_failure(document, error)
            return _STORE_RETRY_MS
        self._service(document.service).failure_logged = False
        self._documents.record_written(document, revision)
        log_document(document, write.before, write.evidence)
        return None

    def _record_failure(self, document: RolloutDocument, error: AspengateError) -> None:
        """Count a failed write, and log the first one in a row."""
        self._counters.count("rollouts.store_failed")
        service = self._service(document.service)
        if service.failure_logged:
            return
        service.failure_logged = True
        log_change(
            "rollout.not_written",
            service=document.service,
            generation=document.generation,
            wanted=document.state.value,
            error=str(error),
        )


def _stops(document: RolloutDocument, next_document: RolloutDocument) -> bool:
    """Return whether a running attempt's target gets no more requests by its next document."""
    is_replaced = next_document.generation > document.generation
    return is_replaced or next_document.state is RolloutState.ROLLED_BACK
