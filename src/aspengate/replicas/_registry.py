"""The replicas of each service that are listed."""

import threading
from collections.abc import Callable, Collection, Iterable

from aspengate.clock import Clock
from aspengate.replicas._evacuation import Evacuation
from aspengate.replicas._replica import Replica, ReplicaState
from aspengate.replicas._view import ReplicaView
from aspengate.telemetry import log_change

# How long a replica is left out after another one has answered at its address, in ms. Its id is
# never used again, so this only bounds the harm of a false answer: the list drops it sooner.
_REPLACED_MS = 15_000.0


class ReplicaRegistry:
    """All replicas that are listed; ``on_gone`` is called with the id of each that left."""

    def __init__(self, clock: Clock, on_gone: Callable[[str], None]) -> None:
        self.clock = clock
        self.revision = 0
        self._views: dict[str, ReplicaView] = {}
        self._evacuated: dict[str, float] = {}
        self._on_gone = on_gone
        self._lock = threading.Lock()

    def update(self, replicas: Iterable[Replica], revision: int = 0) -> None:
        """Take over the list of replicas as of the store's ``revision``."""
        listed = {replica.identity: replica for replica in replicas}
        with self._lock:
            self.revision = revision
            gone = [self._views.pop(each) for each in set(self._views) - set(listed)]
            for replica in listed.values():
                self._take(replica)
        for view in gone:
            log_change("replica.gone", replica=view.identity, revision=revision)
            self._on_gone(view.identity)

    @property
    def evacuated(self) -> tuple[str, ...]:
        """The failure domains whose replicas get nothing, in alphabetical order."""
        return tuple(sorted(self._evacuated))

    def evacuate(self, evacuations: Iterable[Evacuation]) -> None:
        """Take over all evacuations that are in force; those before end where not among them."""
        asked = {each.failure_domain: each for each in evacuations}
        now = self.clock.monotonic_ms()
        with self._lock:
            before = self._evacuated
            self._evacuated = {domain: before.get(domain, now) for domain in asked}
            for view in self._views.values():
                if view.replica.failure_domain in set(before) - set(asked):
                    view.returned_ms = now
        for domain in sorted(set(asked) - set(before)):
            log_change("evacuation.began", failure_domain=domain, revision=asked[domain].revision)
        for domain in sorted(set(before) - set(asked)):
            in_force_ms = round(now - before[domain])
            log_change("evacuation.ended", failure_domain=domain, in_force_ms=in_force_ms)

    def ready(self, service: str, excluded: Collection[str] = ()) -> list[ReplicaView]:
        """Return the views of a service's replicas that take new requests."""
        now = self.clock.monotonic_ms()
        with self._lock:
            return [
                view
                for view in self._views.values()
                if view.replica.service == service
                and view.replica.state is ReplicaState.READY
                and view.identity not in excluded
                and view.replica.failure_domain not in self._evacuated
                and now >= view.replaced_until_ms
            ]

    def view(self, identity: str) -> ReplicaView | None:
        """Return the view of a listed replica."""
        with self._lock:
            return self._views.get(identity)

    def note_replaced(self, identity: str, told_by: str = "") -> None:
        """Leave a replica out: another one answers at its address, though it is still listed.

        ``told_by`` is the router that saw it, empty for this one. What others tell counts once:
        they would keep each other's word alive.
        """
        now = self.clock.monotonic_ms()
        with self._lock:
            view = self._views.get(identity)
            if view is None or now < view.replaced_until_ms:
                return
            if told_by and view.was_replaced:
                return
            view.replaced_until_ms = now + _REPLACED_MS
        log_change("replica.replaced", replica=identity, told_by=told_by)

    def replaced(self) -> list[str]:
        """Return the listed replicas that are left out because another one answers there."""
        now = self.clock.monotonic_ms()
        with self._lock:
            return [
                identity for identity, view in self._views.items() if now < view.replaced_until_ms
            ]

    def _take(self, replica: Replica) -> None:
        view = self._views.get(replica.identity)
        if view is None:
            view = self._views[replica.identity] = ReplicaView(replica)
            self._note_cold(view)
            log_change(
                "replica.listed",
                replica=replica.identity,
                service=replica.service,
                address=replica.address,
                state=replica.state.value,
                revision=self.revision,
            )
            return
        if view.replica.state is not replica.state:
            log_change(
                "replica.state",
                replica=replica.identity,
                state=replica.state.value,
                revision=self.revision,
            )
        is_changed, view.replica = view.replica != replica, replica
        if is_changed:
            self._note_cold(view)

    def _note_cold(self, view: ReplicaView) -> None:
        """Take over how long a replica says that it is still cold, in a record that is new here."""
        now = self.clock.monotonic_ms()
        was_cold = now < view.cold_until_ms
        view.cold_until_ms = now + view.replica.cold_ms
        if view.replica.cold_ms and not was_cold:
            log_change("replica.cold", replica=view.identity, cold_ms=round(view.replica.cold_ms))
