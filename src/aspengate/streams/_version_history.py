"""The versions of each service that a router has seen in the list of replicas lately."""

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.replicas import Replica

# How long it is remembered that a version was listed; windows of queries are not longer.
_RETENTION_MS = 3_600_000.0
_STILL_LISTED = float("inf")
# The records of this many replicas that are not listed any more are kept: a record may lapse and
# return with another version. As many names of ended incarnations are kept: a response that an
# earlier request waits for may still begin a stream there.
_MAX_UNLISTED = 1_024


@dataclass(frozen=True)
class VersionChanges:
    """The services that a version was added to, and the replicas that changed theirs.

    The replicas have kept their ids.
    """

    services: frozenset[str] = frozenset()
    replicas: tuple[Replica, ...] = ()


@dataclass(frozen=True)
class ListedVersions:
    """The versions of a service that were listed within a time.

    ``is_complete`` is whether the router has had the list for all of that time.
    """

    versions: frozenset[str]
    is_complete: bool

    @property
    def is_single(self) -> bool:
        """Whether the service had one version for all of the time."""
        return self.is_complete and len(self.versions) == 1


class VersionHistory:
    """Remembers when each version of a service was last listed; thread-safe.

    The version in a replica's record is uncertain once its process has ended, until the record is
    written again: another process may serve there, of which the record does not tell yet. Names of
    ended incarnations that are not listed any more are kept up to a number; for some time after one
    has been dropped, every incarnation that is not listed is uncertain.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._first_list_ms = float("inf")
        self._last_listed_ms: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self._listed: dict[str, Replica] = {}
        self._unlisted: OrderedDict[str, Replica] = OrderedDict()
        self._ended: set[str] = set()
        self._ended_unlisted: OrderedDict[str, None] = OrderedDict()
        self._last_dropped_ms = float("-inf")
        self._lock = threading.Lock()

    def update(self, replicas: Iterable[Replica]) -> VersionChanges:
        """Apply a list of replicas; return what has changed since the previous one."""
        listed = {replica.identity: replica for replica in replicas}
        now = self.clock.monotonic_ms()
        with self._lock:
            is_first = self._first_list_ms == float("inf")
            self._first_list_ms = min(self._first_list_ms, now)
            services = self._update_services(listed.values(), now)
            changed = self._update_replicas(listed)
            self._drop_oldest(now)
        return VersionChanges() if is_first else VersionChanges(services, changed)

    def record_ended(self, incarnation: str) -> None:
        """Record that the process of a replica's incarnation has ended."""
        with self._lock:
            if any(each.incarnation == incarnation for each in self._listed.values()):
                self._ended.add(incarnation)

    def is_certain(self, replica: Replica) -> bool:
        """Return whether a replica, as a record described it, still runs the version in there."""
        with self._lock:
            record = self._listed.get(replica.identity) or self._unlisted.get(replica.identity)
            is_current = record is None or record.version == replica.version
            return is_current and not self._may_have_ended(replica.incarnation, record)

    def listed_versions(self, service: str, within_ms: float) -> ListedVersions:
        """Return the versions of a service that were listed within a time up to now."""
        since_ms = self.clock.monotonic_ms() - min(within_ms, _RETENTION_MS)
        with self._lock:
            found = self._last_listed_ms.get(service, {})
            versions = frozenset(name for name, at_ms in found.items() if at_ms >= since_ms)
            return ListedVersions(versions, self._first_list_ms <= since_ms)

    def _may_have_ended(self, incarnation: str, record: Replica | None) -> bool:
        """Return whether a process has ended while its record stood; ``record`` is the latest."""
        if incarnation in self._ended or incarnation in self._ended_unlisted:
            return True
        is_latest = record is not None and record.incarnation == incarnation
        return not is_latest and self._last_dropped_ms > self.clock.monotonic_ms() - _RETENTION_MS

    def _update_services(self, listed: Iterable[Replica], now_ms: float) -> frozenset[str]:
        """Update when versions were listed; return the services with several, of which one is new.

        New is one that was not in the previous list.
        """
        present: defaultdict[str, set[str]] = defaultdict(set)
        for replica in listed:
            present[replica.service].add(replica.version)
        services = set()
        for service in self._last_listed_ms.keys() | present.keys():
            times, current = self._last_listed_ms[service], present[service]
            before = {version for version, at_ms in times.items() if at_ms == _STILL_LISTED}
            times.update(dict.fromkeys(before, now_ms))
            times.update(dict.fromkeys(current, _STILL_LISTED))
            for version in [each for each in times if times[each] < now_ms - _RETENTION_MS]:
                del times[version]
            if not times:
                del self._last_listed_ms[service]
            if current - before and len(times) > 1:
                services.add(service)
        return frozenset(services)

    def _update_replicas(self, listed: dict[str, Replica]) -> tuple[Replica, ...]:
        """Update the records of replicas; return those with another version under their id."""
        changed = []
        for identity, replica in listed.items():
            before = self._listed.get(identity)
            if before is None:
                before = self._unlisted.pop(identity, None)
                self._remove_ended(replica.incarnation)
            elif before.incarnation != replica.incarnation:
                self._keep_ended(before.incarnation)
                self._remove_ended(replica.incarnation)
            elif self._ended and _is_rewritten(before, replica):
                self._remove_ended(replica.incarnation)
            if before is not None and before.version != replica.version:
                changed.append(replica)
        for identity in self._listed.keys() - listed.keys():
            self._unlisted[identity] = self._listed[identity]
            self._keep_ended(self._listed[identity].incarnation)
        self._listed = listed
        return tuple(changed)

    def _remove_ended(self, incarnation: str) -> None:
        """Apply a record of an incarnation that is written again: its process serves."""
        self._ended.discard(incarnation)
        self._ended_unlisted.pop(incarnation, None)

    def _keep_ended(self, incarnation: str) -> None:
        """Keep the name of an incarnation that is not listed any more if its process has ended."""
        if incarnation in self._ended:
            self._ended.discard(incarnation)
            self._ended_unlisted[incarnation] = None

    def _drop_oldest(self, now_ms: float) -> None:
        """Drop the records and names that exceed what is kept of replicas not listed any more."""
        while len(self._unlisted) > _MAX_UNLISTED:
            self._unlisted.popitem(last=False)
        while len(self._ended_unlisted) > _MAX_UNLISTED:
            self._ended_unlisted.popitem(last=False)
            self._last_dropped_ms = now_ms


def _is_rewritten(before: Replica, replica: Replica) -> bool:
    """Return whether a record differs from the one before, if only in its number."""
    return before != replica or before.number != replica.number
