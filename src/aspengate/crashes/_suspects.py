"""Tracks which requests may have crashed replicas, as observed by one router and its peers."""

import itertools
import threading
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from aspengate.clock import Clock

# Excused runs that are remembered for each request: other routers may report them again, but do
# so within seconds.
_MAX_EXCUSED = 64
# If a replica terminates later than this after it lost a request, in ms, the request did not crash
# it: only the connection broke. Routers detect within a second that a port refuses connections.
_MAX_TERMINATION_DELAY_MS = 5_000.0


# Separates the replica from the run's number; it does not occur in ids or start times.
_RUN_MARK = "~"


def replica_of_run(run: str) -> str:
    """Return the replica of a run that was named by ``SuspectTracker.current_run``."""
    return run.partition(_RUN_MARK)[0]


@dataclass
class _Suspect:
    """The runs that lost a request, by time, and the runs that no longer count against it."""

    lost_at: dict[str, float] = field(default_factory=dict)
    excused: deque[str] = field(default_factory=lambda: deque(maxlen=_MAX_EXCUSED))


class SuspectTracker:
    """Tracks, by request fingerprint, the runs of replicas that terminated during the request.

    A run is one process lifetime of a replica, as this router observes it. A lost response does
    not prove that the replica terminated, and its termination may be detected later or by another
    router. Therefore lost requests and terminated runs are recorded separately, in any order.
    Holds at most ``max_entries`` fingerprints and as many runs, and evicts the oldest first.
    """

    def __init__(self, clock: Clock, max_entries: int = 4_096) -> None:
        self._clock = clock
        self._max_entries = max_entries
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._ended: OrderedDict[str, float] = OrderedDict()
        self._fingerprints: OrderedDict[str, set[str]] = OrderedDict()
        self._lock = threading.Lock()

    def current_run(self, replica: str) -> str:
        """Return a name for a replica's current run.

        A replica that responds after it was recorded as terminated is in another run, even if it
        reports the same id and start time as before.
        """
        name, number = replica, 0
        with self._lock:
            while name in self._ended:
                number += 1
                name = f"{replica}{_RUN_MARK}{number}"
        return name

    def record_lost(self, fingerprint: str, run: str) -> None:
        """Record that a run of a replica lost a request, for whatever reason."""
        with self._lock:
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            if run not in suspect.excused:
                suspect.lost_at.setdefault(run, self._clock.monotonic_ms())
                self._fingerprints.setdefault(run, set()).add(fingerprint)
            self._suspects.move_to_end(fingerprint)
            for entries in (self._suspects, self._fingerprints):
                while len(entries) > self._max_entries:
                    entries.popitem(last=False)

    def record_ended(self, run: str) -> bool:
        """Record that a run has terminated; return whether this is new."""
        with self._lock:
            if run in self._ended:
                return False
            self._ended[run] = self._clock.monotonic_ms()
            while len(self._ended) > self._max_entries:
                self._ended.popitem(last=False)
            return True

    def has_ended(self, run: str) -> bool:
        """Return whether a run is recorded as terminated."""
        with self._lock:
            return run in self._ended

    def count_ended_near(self, run: str, within_ms: float) -> int:
        """Return how many other runs terminated within ``within_ms`` of a run's termination."""
        with self._lock:
            ended_ms = self._ended.get(run)
            if ended_ms is None:
                return 0
            others = (at_ms for each, at_ms in self._ended.items() if each != run)
            return sum(1 for at_ms in others if abs(at_ms - ended_ms) <= within_ms)

    def has_lost_requests(self, run: str) -> bool:
        """Return whether a run lost any request."""
        with self._lock:
            return run in self._fingerprints

    def crashed_runs(self, fingerprint: str) -> frozenset[str]:
        """Return the runs that terminated while they ran a request."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                return frozenset()
            return frozenset(run for run in suspect.lost_at if self._is_crash(suspect, run))

    def lost_fingerprints(self, run: str) -> list[str]:
        """Return the fingerprints of the requests that a run lost."""
        with self._lock:
            return sorted(self._fingerprints.get(run, ()))

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether any run that lost the request still counts against it."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return suspect is not None and bool(suspect.lost_at)

    def clear(self, fingerprint: str) -> None:
        """Excuse a request that was answered completely: earlier losses no longer count."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                suspect.excused.extend(suspect.lost_at)
                suspect.lost_at.clear()

    def recent_crashes(self, limit: int) -> tuple[list[tuple[str, str]], list[str]]:
        """Return up to ``limit`` pairs of fingerprint and crashed run, and these runs.

        Those with the most crashes come first, then the latest: with each replica many requests and
        segments are lost that did not crash it.
        """
        with self._lock:
            crashes = [
                [(fingerprint, run) for run in suspect.lost_at if self._is_crash(suspect, run)]
                for fingerprint, suspect in reversed(self._suspects.items())
            ]
        crashes.sort(key=len, reverse=True)
        found = list(itertools.islice(itertools.chain.from_iterable(crashes), limit))
        return found, sorted({run for _, run in found})

    def _is_crash(self, suspect: _Suspect, run: str) -> bool:
        """Return whether a run terminated when it lost a request; call with the lock held."""
        ended_ms = self._ended.get(run)
        return ended_ms is not None and ended_ms - suspect.lost_at[run] <= _MAX_TERMINATION_DELAY_MS
