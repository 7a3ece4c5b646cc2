"""Registry of the listed replicas, with what their records, responses and peers report."""

import threading
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from aspengate.clock import Clock
from aspengate.replicas._availability import Availability, availability_of
from aspengate.replicas._evacuation import Evacuation
from aspengate.replicas._replica import Replica
from aspengate.replicas._reported_limit import ReportedLimit
from aspengate.replicas._reported_state import ReplicaNotice, ReportedState
from aspengate.replicas._view import ReplicaView
from aspengate.store import number_of
from aspengate.telemetry import log_change

# How long an incarnation receives no requests after another replica responded at its address. In
# most cases its record is removed or replaced earlier; this bounds the effect of a wrong response.
_REPLACED_EXCLUSION_MS = 15_000.0
# Limit on the unlisted replicas whose reported state is kept, at 1.6 KB each; about as many
# replicas terminate in a day.
_MAX_UNLISTED = 1_024


OnLimit = Callable[[str, ReportedLimit], None]
Admits = Callable[[ReplicaView], bool]


class ReplicaRegistry:
    """Holds a view of each listed replica.

    ``on_gone`` is called with the view of each incarnation that has ended or is no longer listed.
    ``on_limit`` is called with the name of an incarnation and its limit if a response to this
    router changed the limit. While ``any_limited`` is False, no listed replica is limited.

    A replica that restarts under its id gets a new view: nothing recorded for the earlier
    incarnation applies to it. A record may lapse while its replica runs; the state that the replica
    has reported in responses still applies when the record is back.
    """

    def __init__(
        self,
        clock: Clock,
        on_gone: Callable[[ReplicaView], None],
        on_limit: OnLimit = lambda _incarnation, _limit: None,
    ) -> None:
        self.clock = clock
        self.any_limited = False
        self.revision = 0
        self._views: dict[str, ReplicaView] = {}
        self._incarnations: dict[str, ReplicaView] = {}
        # Replaced with each change of the list and never mutated, as it is read without the lock.
        self._services: dict[str, tuple[ReplicaView, ...]] = {}
        self._unlisted: OrderedDict[str, ReplicaView] = OrderedDict()
        # Limits that other routers reported for incarnations that are not listed here yet.
        self._early_limits: OrderedDict[str, tuple[ReportedLimit, str]] = OrderedDict()
        self._evacuated: dict[str, float] = {}
        self._on_gone = on_gone
        self._on_limit = on_limit
        self._lock = threading.Lock()

    def update(self, replicas: Iterable[Replica], revision: int = 0) -> None:
        """Replace the list of replicas by that of the store's ``revision``."""
        listed = {replica.identity: replica for replica in replicas}
        now = self.clock.monotonic_ms()
        with self._lock:
            self.revision = revision
            gone = [self._views.pop(each) for each in set(self._views) - set(listed)]
            for lapsed in gone:
                self._retain_unlisted(lapsed)
            ended = [
                view for each in listed.values() if (view := self._apply_record(each)) is not None
            ]
            self._incarnations = {view.incarnation: view for view in self._views.values()}
            self._services = _by_service(self._views.values())
            views = self._views.values()
            self.any_limited = any(view.reported.limit.rate_at(now) is not None for view in views)
        for view in gone:
            log_change("replica.gone", replica=view.identity, revision=number_of(revision))
        for view in (*gone, *ended):
            self._on_gone(view)

    @property
    def evacuated(self) -> tuple[str, ...]:
        """The evacuated failure domains, in alphabetical order."""
        return tuple(sorted(self._evacuated))

    def set_evacuations(self, evacuations: Iterable[Evacuation]) -> None:
        """Replace the evacuations in force; earlier ones that are missing have ended."""
        asked = {each.failure_domain: each for each in evacuations}
        now = self.clock.monotonic_ms()
        with self._lock:
            before = self._evacuated
            self._evacuated = {domain: before.get(domain, now) for domain in asked}
            for view in self._views.values():
                if view.replica.failure_domain in set(before) - set(asked):
                    view.evacuation_ended_ms = now
        for domain in sorted(set(asked) - set(before)):
            log_change(
                "evacuation.began",
                failure_domain=domain,
                revision=number_of(asked[domain].revision),
            )
        for domain in sorted(set(before) - set(asked)):
            in_force_ms = round(now - before[domain])
            log_change("evacuation.ended", failure_domain=domain, in_force_ms=in_force_ms)

    def ready(self, service: str, excluded: Collection[str] = ()) -> list[ReplicaView]:
        """Return the views of a service's available replicas, without those ``excluded`` by id."""
        now = self.clock.monotonic_ms()
        evacuated, is_open = self._evacuated, Availability.OPEN
        views = self._of_service(service)
        ready = [view for view in views if availability_of(view, evacuated, now) is is_open]
        return [view for view in ready if view.identity not in excluded] if excluded else ready

    def listed(self, service: str) -> tuple[ReplicaView, ...]:
        """Return the views of a service's listed replicas, available or not."""
        return self._of_service(service)

    def availability(self, view: ReplicaView) -> Availability:
        """Return whether an incarnation may receive a request now, or why not."""
        if self._views.get(view.identity) is not view:
            return Availability.UNLISTED
        return availability_of(view, self._evacuated, self.clock.monotonic_ms())

    def availability_counts(
        self, service: str, admits: Admits = lambda _: True
    ) -> dict[Availability, int]:
        """Return the number of a service's listed replicas that are admitted, by availability."""
        views = filter(admits, self._of_service(service))
        return dict(Counter(self.availability(view) for view in views))

    def gauges(self) -> dict[str, float]:
        """Return how many listed replicas are leaving, backing off or limited."""
        with self._lock:
            views = list(self._views.values())
        found = Counter(self.availability(view) for view in views)
        return {
            "replicas_leaving": found[Availability.LEAVING],
            "replicas_resting": found[Availability.RESTING],
            "replicas_limited": sum(view.reported.limit.is_in_force for view in views),
        }

    def backoff_left_ms(self, service: str, admits: Admits = lambda _: True) -> float:
        """Return the time, in ms, to the end of the first backoff of a service's replicas, or 0.

        Only replicas that are admitted count.
        """
        now = self.clock.monotonic_ms()
        ends = [
            view.reported.backoff_until_ms
            for view in filter(admits, self._of_service(service))
            if availability_of(view, self._evacuated, now) is Availability.RESTING
        ]
        return max(0.0, min(ends, default=now) - now)

    def _of_service(self, service: str) -> tuple[ReplicaView, ...]:
        return self._services.get(service, ())

    def view(self, identity: str) -> ReplicaView | None:
        """Return the view of a listed replica, None if it is not listed."""
        with self._lock:
            return self._views.get(identity)

    def view_of_incarnation(self, incarnation: str) -> ReplicaView | None:
        """Return the view of an incarnation by name, None if it is not listed."""
        with self._lock:
            return self._incarnations.get(incarnation)

    def record_replaced(self, incarnation: str, reported_by: str = "") -> None:
        """Exclude a listed incarnation for a time, as another replica responded at its address.

        ``reported_by`` is the router that observed it, empty for this one. A report of another
        router counts only once per incarnation, as routers would otherwise renew each other's
        reports without end.
        """
        now = self.clock.monotonic_ms()
        with self._lock:
            view = self._incarnations.get(incarnation)
            if view is None or now < view.replaced_until_ms:
                return
            if reported_by and view.was_replaced:
                return
            view.replaced_until_ms = now + _REPLACED_EXCLUSION_MS
        log_change("replica.replaced", replica=incarnation, told_by=reported_by)

    def has_ended_since(self, view: ReplicaView, since_ms: float) -> bool:
        """Return whether an incarnation that ran at ``since_ms`` is known to have ended.

        That is so if its address has refused a connection since, if another replica responded or
        was listed there, or if its record is of another start. A record that is gone shows nothing:
        some replicas continue to serve without one.
        """
        if view.refused_ms >= since_ms or self.clock.monotonic_ms() < view.replaced_until_ms:
            return True
        with self._lock:
            current = self._views.get(view.identity)
            if current is not None and current is not view and not _is_same_start(current, view):
                return True
            return any(
                other.listed_ms >= since_ms and other.replica.address == view.replica.address
                for other in self._views.values()
                if other.identity != view.identity
            )

    def record_notice(
        self, view: ReplicaView, notice: ReplicaNotice, asked_ms: float = float("inf")
    ) -> None:
        """Record the state that an incarnation reports in a response.

        Its request was sent at ``asked_ms``, in monotonic time. If the record has lapsed and
        returned since, the notice also applies to the incarnation's new view.
        """
        now = self.clock.monotonic_ms()
        with self._lock:
            current = self._views.get(view.identity) or self._unlisted.get(view.identity)
            if current is not None and current is not view and _is_same_start(current, view):
                view.reported = view.reported.with_notice(notice, asked_ms, now)
                view = current
            before, view.reported = view.reported, view.reported.with_notice(notice, asked_ms, now)
            if view.identity not in self._views:
                self._retain_unlisted(view)
            self.any_limited = self.any_limited or bool(view.reported.limit.number)
        if view.reported.is_leaving and not before.is_leaving:
            log_change(
                "replica.leaving",
                replica=view.identity,
                start=view.incarnation,
                service=view.replica.service,
                state=view.replica.state.value,
            )
        if notice.backoff_ms > 0:
            log_change(
                "replica.rests",
                replica=view.identity,
                start=view.incarnation,
                service=view.replica.service,
                asked_ms=round(notice.backoff_ms),
                rest_ms=round(view.reported.backoff_until_ms - now),
            )
        if notice.unreadable and not view.unreadable_logged:
            view.unreadable_logged = True
            log_change("replica.limit_unreadable", replica=view.identity, named=notice.unreadable)
        if view.reported.limit.number != before.limit.number:
            _log_limit(view)
            self._on_limit(view.incarnation, view.reported.limit)

    def record_peer_limit(
        self, incarnation: str, number: int, per_second: float | None, reported_by: str = ""
    ) -> None:
        """Record a limit that another router reports for an incarnation.

        If the incarnation is not listed here yet, the limit is kept until it is.
        """
        now = self.clock.monotonic_ms()
        with self._lock:
            view = self._incarnations.get(incarnation)
            if view is None:
                self._store_early_limit(incarnation, number, per_second, reported_by)
                return
            before = view.reported
            limit = before.limit.with_peer_report(number, per_second, now)
            view.reported = replace(before, limit=limit)
            self.any_limited = self.any_limited or bool(limit.number)
        if limit.per_second != before.limit.per_second:
            _log_limit(view, reported_by)

    def _store_early_limit(
        self, incarnation: str, number: int, per_second: float | None, reported_by: str
    ) -> None:
        """Keep the limit of an incarnation that is not listed yet; the caller holds the lock."""
        now = self.clock.monotonic_ms()
        before, _ = self._early_limits.get(incarnation, (ReportedLimit(), ""))
        self._early_limits[incarnation] = (
            before.with_peer_report(number, per_second, now),
            reported_by,
        )
        self._early_limits.move_to_end(incarnation)
        while len(self._early_limits) > _MAX_UNLISTED:
            self._early_limits.popitem(last=False)

    def limits(self, max_count: int) -> dict[str, ReportedLimit]:
        """Return limits by incarnation, including those that ended, newest first up to a count."""
        with self._lock:
            found = [view for view in self._views.values() if view.reported.limit.number]
        found.sort(key=lambda view: view.reported.limit.updated_ms, reverse=True)
        return {view.incarnation: view.reported.limit for view in found[:max_count]}

    def replaced(self) -> list[str]:
        """Return the listed incarnations that are excluded by ``record_replaced``."""
        now = self.clock.monotonic_ms()
        with self._lock:
            return [
                view.incarnation for view in self._views.values() if now < view.replaced_until_ms
            ]

    def _apply_record(self, replica: Replica) -> ReplicaView | None:
        """Apply a record; return the view of the earlier incarnation if the record ends it."""
        view = self._views.get(replica.identity)
        if view is None:
            self._add_view(self._unlisted_view(replica) or ReplicaView(replica))
            return None
        if replica.is_other_incarnation(view.replica):
            starts = 0 if replica.born_ms else view.previous_starts + 1
            self._add_view(ReplicaView(replica, starts))
            return view
        self._update_record(view, replica)
        return None

    def _retain_unlisted(self, view: ReplicaView) -> None:
        """Keep the state that a replica without a record has reported, as the record may return."""
        if view.reported == ReportedState():
            return
        self._unlisted[view.identity] = view
        while len(self._unlisted) > _MAX_UNLISTED:
            self._unlisted.popitem(last=False)

    def _unlisted_view(self, replica: Replica) -> ReplicaView | None:
        """Return the kept view of an incarnation whose record is back, or None."""
        view = self._unlisted.pop(replica.identity, None)
        if view is None or replica.is_other_incarnation(view.replica):
            return None
        view.replica = replica
        return view

    def _add_view(self, view: ReplicaView) -> None:
        self._views[view.identity] = view
        view.listed_ms = self.clock.monotonic_ms()
        early, reported_by = self._early_limits.pop(view.incarnation, (ReportedLimit(), ""))
        is_early = early.number > view.reported.limit.number
        if is_early:
            view.reported = replace(view.reported, limit=early)
        self._update_cold_until(view)
        log_change(
            "replica.listed",
            replica=view.identity,
            start=view.incarnation,
            service=view.replica.service,
            address=view.replica.address,
            state=view.replica.state.value,
            revision=number_of(self.revision),
        )
        if is_early:
            _log_limit(view, reported_by)

    def _update_record(self, view: ReplicaView, replica: Replica) -> None:
        if view.replica.state is not replica.state:
            log_change(
                "replica.state",
                replica=replica.identity,
                state=replica.state.value,
                revision=number_of(self.revision),
            )
        is_changed, view.replica = view.replica != replica, replica
        if is_changed:
            self._update_cold_until(view)

    def _update_cold_until(self, view: ReplicaView) -> None:
        """Update until when a replica is cold from its new record."""
        now = self.clock.monotonic_ms()
        was_cold = now < view.cold_until_ms
        view.cold_until_ms = now + view.replica.cold_ms
        if view.replica.cold_ms and not was_cold:
            log_change("replica.cold", replica=view.identity, cold_ms=round(view.replica.cold_ms))


def _log_limit(view: ReplicaView, reported_by: str = "") -> None:
    limit = view.reported.limit
    log_change(
        "replica.limited" if limit.is_in_force else "replica.limit_ended",
        replica=view.identity,
        start=view.incarnation,
        service=view.replica.service,
        per_second=limit.per_second,
        before=limit.previous_per_second,
        number=limit.number,
        told_by=reported_by,
    )


def _is_same_start(current: ReplicaView, earlier: ReplicaView) -> bool:
    """Return whether two views of a replica, of which one is earlier, are of the same start."""
    is_other = current.replica.is_other_incarnation(earlier.replica)
    return current.incarnation == earlier.incarnation and not is_other


def _by_service(views: Iterable[ReplicaView]) -> dict[str, tuple[ReplicaView, ...]]:
    found: defaultdict[str, list[ReplicaView]] = defaultdict(list)
    for view in views:
        found[view.replica.service].append(view)
    return {service: tuple(each) for service, each in found.items()}
