"""Decides in each router to which versions of a service an attempt may be sent."""

import random
import threading
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from aspengate.replicas import Replica
from aspengate.rollouts._cohort import Cohort
from aspengate.rollouts._document import RolloutDocument, RolloutState, is_newer
from aspengate.rollouts._order import RolloutOrder
from aspengate.rollouts._policy import RolloutPolicy

# Routes with a credit of their own; the others of a service share one.
_MAX_ROUTES = 1_024
_MAX_KNOWN_VERSIONS = 256
# An unannounced version gets this fraction of the exposure share.
_UNANNOUNCED_FRACTION = 0.5
# A rollback is decided within this time after the 50th bad response. A router that nothing reaches
# any more stops earlier by as much, at least after half of the policy's time.
_DECISION_MS = 1_500.0


class VersionedView(Protocol):
    """Anything that has a replica, such as a ``ReplicaView``."""

    @property
    def replica(self) -> Replica:
        """The replica, of which the service and the version count."""


View = TypeVar("View", bound=VersionedView)


def _is_always_available(_: VersionedView) -> bool:
    return True


@dataclass
class _Service:
    """What a router knows of one service's versions; changed under the gate's lock only.

    ``order`` is meaningless until ``has_read_order``. ``unannounced`` maps versions to the time at
    which they were first seen, and ``credits`` holds the credit of each route.
    """

    document: RolloutDocument | None = None
    confirmed_ms: float = float("-inf")
    order: RolloutOrder | None = None
    has_read_order: bool = False
    halted_generation: int = 0
    listed: frozenset[str] = frozenset()
    known: dict[str, None] = field(default_factory=dict)
    unannounced: dict[str, float] = field(default_factory=dict)
    credits: dict[str, float] = field(default_factory=dict)

    @property
    def is_restricted(self) -> bool:
        return self.document is not None or self.order is not None or bool(self.unannounced)

    @property
    def pending_order(self) -> RolloutOrder | None:
        """An order for a target that the document does not name yet."""
        order, document = self.order, self.document
        if order is None or document is None:
            return order
        is_later = order.revision > document.order_revision
        return order if is_later and order.target_version != document.target_version else None

    @property
    def running(self) -> RolloutDocument | None:
        """The document of a running attempt that no later order has replaced."""
        document = self.document
        if document is None or document.has_ended or self.pending_order is not None:
            return None
        return document


@dataclass(frozen=True)
class _Split:
    """The versions that may receive attempts, and the share of ``limited`` among them."""

    limited: frozenset[str]
    others: frozenset[str]
    share: float


class VersionGate:
    """Restricts attempts to the versions of a service that may receive them now; thread-safe.

    ``configuration_ms`` is how long a configuration change may take to reach a router.
    ``draw_start`` returns the random credit in [0, 1) with which a route begins.
    """

    def __init__(
        self,
        policy: RolloutPolicy,
        configuration_ms: float,
        draw_start: Callable[[], float] = random.random,
    ) -> None:
        self._policy = policy
        self._configuration_ms = configuration_ms
        self._draw_start = draw_start
        self._contact_ms = float("-inf")
        self._services: dict[str, _Service] = {}
        # Only the services whose attempts may be restricted, so that others cost one look-up.
        self._restricted: dict[str, _Service] = {}
        self._lock = threading.Lock()

    def set(
        self, service: str, document: RolloutDocument | None, confirmed_ms: float, now_ms: float
    ) -> None:
        """Apply a service's document; an older one than the applied one has no effect.

        ``confirmed_ms`` is when the store, or a peer that reaches it, last stated that the document
        is the current one. During an attempt it has to advance at least every second: if it is
        older than ``rollback_ms`` less 1.5 s, the target receives no attempts of this router. None
        removes the document.
        """
        with self._lock:
            state = self._state(service)
            applied = state.document
            if document is not None and applied is not None and is_newer(applied, document):
                return
            state.document = document
            state.confirmed_ms = max(state.confirmed_ms, min(confirmed_ms, now_ms))
            if document is not None:
                state.unannounced.pop(document.target_version, None)
            self._update(service, state)

    def set_order(self, service: str, order: RolloutOrder | None) -> None:
        """Note the order that the store has for a service; None if it has none.

        Call it only once the orders have been read. A running attempt without an order stops.
        """
        with self._lock:
            state = self._state(service)
            state.order, state.has_read_order = order, True
            self._update(service, state)

    def set_versions(
        self, service: str, versions: Iterable[str], now_ms: float, *, is_first: bool = False
    ) -> None:
        """Note the versions of a service's listed replicas.

        ``is_first`` is whether this is the first list that the router reads after its start.
        """
        with self._lock:
            state = self._state(service)
            listed = frozenset(versions)
            if self._policy.is_enabled and not is_first and listed & state.known.keys():
                for version in listed - state.known.keys():
                    state.unannounced[version] = now_ms
            state.listed = listed
            state.known.update(dict.fromkeys(listed))
            for version in list(state.known)[: len(state.known) - _MAX_KNOWN_VERSIONS]:
                del state.known[version]
            if state.document is not None:
                state.unannounced.pop(state.document.target_version, None)
            self._update(service, state)

    def record_contact(self, now_ms: float) -> None:
        """Note that the router has received all changes of the store up to now, or a peer's.

        Unannounced versions that have been listed for ``configuration_ms`` become ordinary ones.
        """
        with self._lock:
            self._contact_ms = max(self._contact_ms, now_ms)
            since_ms = self._contact_ms - self._configuration_ms
            for service, state in list(self._restricted.items()):
                for version, seen_ms in list(state.unannounced.items()):
                    if seen_ms <= since_ms:
                        del state.unannounced[version]
                self._update(service, state)

    def halt(self, service: str, generation: int) -> None:
        """Stop sending to the target of an attempt, by own evidence or a peer's notice."""
        with self._lock:
            state = self._state(service)
            state.halted_generation = max(state.halted_generation, generation)

    def select(
        self,
        service: str,
        route: str,
        views: Sequence[View],
        now_ms: float,
        is_available: Callable[[View], bool] = _is_always_available,
        *,
        is_continuation: bool = False,
    ) -> list[View]:
        """Draw the cohort of one attempt; return the views that may receive it.

        Call it once for each attempt, including retries and resumed streams. ``views`` are those
        that the attempt may use otherwise. Empty if none of them may receive it. The views of a
        continuation are of the one version that began its stream: if that has a limited share, the
        attempt is taken off the share of later ones.
        """
        state = self._restricted.get(service)
        if state is None:
            return list(views)
        with self._lock:
            split = self._split(state, {view.replica.version for view in views}, now_ms)
            limited = [view for view in views if view.replica.version in split.limited]
            if is_continuation and limited:
                is_limited = split.share > 0 and self._advance(state, route)
            else:
                is_limited = split.share > 0 and self._draw(state, route, split.share)
        others = [view for view in views if view.replica.version in split.others]
        if not split.others:
            return limited
        return limited if is_limited and any(map(is_available, limited)) else others

    def allows(self, view: VersionedView, now_ms: float) -> bool:
        """Return whether an attempt may still be sent to a view; check it just before sending."""
        state = self._restricted.get(view.replica.service)
        if state is None:
            return True
        version = view.replica.version
        with self._lock:
            split = self._split(state, (version,), now_ms)
        if version in split.limited:
            return split.share > 0 or not split.others
        return version in split.others

    def cohort_of(self, service: str, version: str) -> Cohort | None:
        """Return the cohort of a version, None without a running attempt or if it is in none."""
        state = self._restricted.get(service)
        if state is None:
            return None
        with self._lock:
            document = state.running
        if document is None:
            return None
        if version == document.target_version:
            return Cohort.TARGET
        return Cohort.BASELINE if _is_baseline(document, version) else None

    def generation(self, service: str) -> int:
        """Return the running attempt whose evidence is to be recorded, 0 if there is none."""
        state = self._restricted.get(service)
        document = state.running if state is not None else None
        return document.generation if document is not None else 0

    def share(self, service: str, now_ms: float) -> float:
        """Return the share of the target, or of unannounced versions; 1 without a restriction."""
        state = self._restricted.get(service)
        if state is None:
            return 1.0
        with self._lock:
            return self._split(state, (), now_ms).share

    def _state(self, service: str) -> _Service:
        return self._services.setdefault(service, _Service())

    def _update(self, service: str, state: _Service) -> None:
        if state.is_restricted:
            self._restricted[service] = state
        else:
            self._restricted.pop(service, None)

    def _draw(self, state: _Service, route: str, share: float) -> bool:
        """Return whether systematic sampling picks this attempt."""
        route, credit = self._credit(state, route)
        credit += share
        state.credits[route] = credit - 1 if credit >= 1 else credit
        return credit >= 1

    def _advance(self, state: _Service, route: str) -> bool:
        """Take an attempt off the next draws; return False if one has been taken off already.

        A route is thus at most one attempt further ahead of its share than by draws alone.
        """
        route, credit = self._credit(state, route)
        if credit < 0:
            return False
        state.credits[route] = credit - 1
        return True

    def _credit(self, state: _Service, route: str) -> tuple[str, float]:
        """Return the name under which a route's credit is kept, and the credit."""
        if route not in state.credits and len(state.credits) >= _MAX_ROUTES:
            route = ""
        credit = state.credits.get(route)
        return route, self._draw_start() if credit is None else credit

    def _split(self, state: _Service, versions: Collection[str], now_ms: float) -> _Split:
        """Return how the listed versions, and ``versions``, share the attempts."""
        present = state.listed.union(versions)
        pending, running = state.pending_order, state.running
        if pending is not None:
            limited = frozenset((pending.target_version,))
            return _Split(limited, _in_use(state, present) - limited, 0.0)
        if running is not None:
            limited = present & {running.target_version}
            others = frozenset(each for each in present if _is_baseline(running, each))
            if not limited and not others:
                others = present
            return _Split(limited, others, self._running_share(state, running, now_ms))
        in_use = _in_use(state, present)
        limited = in_use & state.unannounced.keys()
        return _Split(
            limited, in_use - limited, self._policy.exposure_share * _UNANNOUNCED_FRACTION
        )

    def _running_share(self, state: _Service, document: RolloutDocument, now_ms: float) -> float:
        """Return the target's share of a running attempt, 0 if this router must not send there.

        The attempt may have been ended since the document was last confirmed.
        """
        is_withdrawn = state.has_read_order and state.order is None
        is_halted = state.halted_generation == document.generation
        rollback_ms = self._policy.rollback_ms
        max_age_ms = max(rollback_ms / 2, rollback_ms - _DECISION_MS)
        is_unconfirmed = now_ms - state.confirmed_ms > max_age_ms
        return 0.0 if is_withdrawn or is_halted or is_unconfirmed else document.share


def _is_baseline(document: RolloutDocument, version: str) -> bool:
    if document.base_versions:
        return version in document.base_versions
    return version != document.target_version and version not in document.retired_versions


def _in_use(state: _Service, present: frozenset[str]) -> frozenset[str]:
    """Return the present versions that the last document leaves in use; all if it leaves none."""
    document = state.document
    if document is None:
        return present
    out_of_use = set(document.retired_versions)
    if document.state is RolloutState.COMPLETED:
        out_of_use |= set(document.base_versions) - {document.target_version}
    else:
        out_of_use.add(document.target_version)
    return (present - out_of_use) or present
