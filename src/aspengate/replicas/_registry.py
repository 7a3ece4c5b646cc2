"""The replicas of each service that are listed."""

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

# How long a start of a replica is left out after another one has answered at its address, in ms.
# Its record goes or tells of another start sooner: this only bounds the harm of a false answer.
_REPLACED_MS = 15_000.0
# Of so many replicas that are not listed any more it is kept what they said of themselves: each
# takes 1.6 KB (tracemalloc). A choice; a day ends about as many.
_MOST_UNLISTED = 1_024


OnLimit = Callable[[str, ReportedLimit], None]


class ReplicaRegistry:
    """All replicas that are listed; ``on_gone`` is called with the view of each start that ended.

    ``on_limit`` is called with the name of a start, and what it says of its limit, where an answer
    that this router got tells something new. While ``limited`` is False no listed replica is held
    to a limit.

    One that starts again under its id is another one: it knows nothing of before, and nothing that
    was learnt of the earlier start holds for it. A record may lapse while its replica lives: what
    that one said of itself in its answers holds on when the record is back.
    """

    def __init__(
        self,
        clock: Clock,
        on_gone: Callable[[ReplicaView], None],
        on_limit: OnLimit = lambda _life, _limit: None,
    ) -> None:
        self.clock = clock
        self.any_limited = False
        self.revision = 0
        self._views: dict[str, ReplicaView] = {}
        self._lives: dict[str, ReplicaView] = {}
        # Made anew with each change of the list, and never changed: it is read without the lock.
        self._services: dict[str, tuple[ReplicaView, ...]] = {}
        self._unlisted: OrderedDict[str, ReplicaView] = OrderedDict()
        # What others told of limits of starts that are not listed here yet.
        self._told_early: OrderedDict[str, tuple[ReportedLimit, str]] = OrderedDict()
        self._evacuated: dict[str, float] = {}
        self._on_gone = on_gone
        self._on_limit = on_limit
        self._lock = threading.Lock()

    def update(self, replicas: Iterable[Replica], revision: int = 0) -> None:
        """Take over the list of replicas as of the store's ``revision``."""
        listed = {replica.identity: replica for replica in replicas}
        now = self.clock.monotonic_ms()
        with self._lock:
            self.revision = revision
            gone = [self._views.pop(each) for each in set(self._views) - set(listed)]
            for lapsed in gone:
                self._keep_unlisted(lapsed)
            ended = [view for each in listed.values() if (view := self._take(each)) is not None]
            self._lives = {view.incarnation: view for view in self._views.values()}
            self._services = _by_service(self._views.values())
            views = self._views.values()
            self.any_limited = any(view.reported.limit.rate_at(now) is not None for view in views)
        for view in gone:
            log_change("replica.gone", replica=view.identity, revision=number_of(revision))
        for view in (*gone, *ended):
            self._on_gone(view)

    @property
    def evacuated(self) -> tuple[str, ...]:
        """The failure domains whose replicas get nothing, in alphabetical order."""
        return tuple(sorted(self._evacuated))

    def set_evacuations(self, evacuations: Iterable[Evacuation]) -> None:
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
            log_change(
                "evacuation.began",
                failure_domain=domain,
                revision=number_of(asked[domain].revision),
            )
        for domain in sorted(set(before) - set(asked)):
            in_force_ms = round(now - before[domain])
            log_change("evacuation.ended", failure_domain=domain, in_force_ms=in_force_ms)

    def ready(self, service: str, excluded: Collection[str] = ()) -> list[ReplicaView]:
        """Return the views of a service's replicas that take new requests."""
        now = self.clock.monotonic_ms()
        evacuated, is_open = self._evacuated, Availability.OPEN
        views = self._of_service(service)
        ready = [view for view in views if availability_of(view, evacuated, now) is is_open]
        return [view for view in ready if view.identity not in excluded] if excluded else ready

    def availability(self, view: ReplicaView) -> Availability:
        """Return whether a start of a replica may get a request now, or why not."""
        return availability_of(view, self._evacuated, self.clock.monotonic_ms())

    def availability_counts(self, service: str) -> dict[Availability, int]:
        """Return how many of a service's listed replicas have each standing."""
        return dict(Counter(self.availability(view) for view in self._of_service(service)))

    def gauges(self) -> dict[str, float]:
        """Return how many listed replicas say in their answers that they leave or want rest."""
        with self._lock:
            views = list(self._views.values())
        found = Counter(self.availability(view) for view in views)
        return {
            "replicas_leaving": found[Availability.LEAVING],
            "replicas_resting": found[Availability.RESTING],
            "replicas_limited": sum(view.reported.limit.is_in_force for view in views),
        }

    def backoff_left_ms(self, service: str) -> float:
        """Return when the first of a service's resting replicas takes requests again, in ms."""
        now = self.clock.monotonic_ms()
        ends = [
            view.reported.backoff_until_ms
            for view in self._of_service(service)
            if availability_of(view, self._evacuated, now) is Availability.RESTING
        ]
        return max(0.0, min(ends, default=now) - now)

    def _of_service(self, service: str) -> tuple[ReplicaView, ...]:
        return self._services.get(service, ())

    def view(self, identity: str) -> ReplicaView | None:
        """Return the view of a listed replica."""
        with self._lock:
            return self._views.get(identity)

    def view_of_incarnation(self, life: str) -> ReplicaView | None:
        """Return the view of a start of a listed replica; None where it has ended."""
        with self._lock:
            return self._lives.get(life)

    def record_replaced(self, life: str, told_by: str = "") -> None:
        """Leave a start of a replica out: another one answers there, though it is still listed.

        ``told_by`` is the router that saw it, empty for this one. What others tell counts once:
        they would keep each other's word alive.
        """
        now = self.clock.monotonic_ms()
        with self._lock:
            view = self._lives.get(life)
            if view is None or now < view.replaced_until_ms:
                return
            if told_by and view.was_replaced:
                return
            view.replaced_until_ms = now + _REPLACED_MS
        log_change("replica.replaced", replica=life, told_by=told_by)

    def record_notice(
        self, view: ReplicaView, notice: ReplicaNotice, asked_ms: float = float("inf")
    ) -> None:
        """Take what a start of a replica says of itself in an answer.

        The request that it answers was sent at ``asked_ms``, in monotonic time.
        """
        now = self.clock.monotonic_ms()
        with self._lock:
            before, view.reported = view.reported, view.reported.with_notice(notice, asked_ms, now)
            if view.identity not in self._views:
                self._keep_unlisted(view)
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
        if notice.unreadable and not view.told_unreadable:
            view.told_unreadable = True
            log_change("replica.limit_unreadable", replica=view.identity, named=notice.unreadable)
        if view.reported.limit.number != before.limit.number:
            _tell_limit(view)
            self._on_limit(view.incarnation, view.reported.limit)

    def record_peer_limit(
        self, life: str, number: int, per_second: float | None, told_by: str = ""
    ) -> None:
        """Take what another router tells of the limit of a start of a listed replica."""
        now = self.clock.monotonic_ms()
        with self._lock:
            view = self._lives.get(life)
            if view is None:
                self._keep_told_early(life, number, per_second, told_by)
                return
            before = view.reported
            limit = before.limit.with_told(number, per_second, now)
            view.reported = replace(before, limit=limit)
            self.any_limited = self.any_limited or bool(limit.number)
        if limit.per_second != before.limit.per_second:
            _tell_limit(view, told_by)

    def _keep_told_early(
        self, life: str, number: int, per_second: float | None, told_by: str
    ) -> None:
        """Keep what was told of a start that is not listed here yet; the lock is held."""
        now = self.clock.monotonic_ms()
        before, _ = self._told_early.get(life, (ReportedLimit(), ""))
        self._told_early[life] = (before.with_told(number, per_second, now), told_by)
        self._told_early.move_to_end(life)
        while len(self._told_early) > _MOST_UNLISTED:
            self._told_early.popitem(last=False)

    def limits(self, most: int) -> dict[str, ReportedLimit]:
        """Return what starts of listed replicas have ever said of limits, the newest ``most``."""
        with self._lock:
            found = [view for view in self._views.values() if view.reported.limit.number]
        found.sort(key=lambda view: view.reported.limit.known_ms, reverse=True)
        return {view.incarnation: view.reported.limit for view in found[:most]}

    def replaced(self) -> list[str]:
        """Return the starts of listed replicas that are left out: another one answers there."""
        now = self.clock.monotonic_ms()
        with self._lock:
            return [
                view.incarnation for view in self._views.values() if now < view.replaced_until_ms
            ]

    def _take(self, replica: Replica) -> ReplicaView | None:
        """Take over a record; return the view of the start that it shows to have ended."""
        view = self._views.get(replica.identity)
        if view is None:
            self._begin(self._unlisted_view(replica) or ReplicaView(replica))
            return None
        if replica.is_other_incarnation(view.replica):
            starts = 0 if replica.born_ms else view.starts + 1
            self._begin(ReplicaView(replica, starts))
            return view
        self._update(view, replica)
        return None

    def _keep_unlisted(self, view: ReplicaView) -> None:
        """Keep what a replica without a record has said: a record may lapse while it lives."""
        if view.reported == ReportedState():
            return
        self._unlisted[view.identity] = view
        while len(self._unlisted) > _MOST_UNLISTED:
            self._unlisted.popitem(last=False)

    def _unlisted_view(self, replica: Replica) -> ReplicaView | None:
        """Return the view of a start whose record is back; None for another start."""
        view = self._unlisted.pop(replica.identity, None)
        if view is None or replica.is_other_incarnation(view.replica):
            return None
        view.replica = replica
        return view

    def _begin(self, view: ReplicaView) -> None:
        self._views[view.identity] = view
        told, told_by = self._told_early.pop(view.incarnation, (ReportedLimit(), ""))
        is_told = told.number > view.reported.limit.number
        if is_told:
            view.reported = replace(view.reported, limit=told)
        self._note_cold(view)
        log_change(
            "replica.listed",
            replica=view.identity,
            start=view.incarnation,
            service=view.replica.service,
            address=view.replica.address,
            state=view.replica.state.value,
            revision=number_of(self.revision),
        )
        if is_told:
            _tell_limit(view, told_by)

    def _update(self, view: ReplicaView, replica: Replica) -> None:
        if view.replica.state is not replica.state:
            log_change(
                "replica.state",
                replica=replica.identity,
                state=replica.state.value,
                revision=number_of(self.revision),
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


def _tell_limit(view: ReplicaView, told_by: str = "") -> None:
    limit = view.reported.limit
    log_change(
        "replica.limited" if limit.is_in_force else "replica.limit_ended",
        replica=view.identity,
        start=view.incarnation,
        service=view.replica.service,
        per_second=limit.per_second,
        before=limit.before,
        number=limit.number,
        told_by=told_by,
    )


def _by_service(views: Iterable[ReplicaView]) -> dict[str, tuple[ReplicaView, ...]]:
    found: defaultdict[str, list[ReplicaView]] = defaultdict(list)
    for view in views:
        found[view.replica.service].append(view)
    return {service: tuple(each) for service, each in found.items()}
