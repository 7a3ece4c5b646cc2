"""What one router has seen and heard of requests under which replicas ended."""

import threading
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from aspengate.clock import Clock

# So many runs of one request's past are remembered as excused: what routers tell of them again
# comes within seconds.
_MOST_EXCUSED = 64
# A replica that ends later than this after it lost a request, in ms, did not end under it: the
# answer was only broken off. Routers find out within a second that nobody listens any more.
_MOST_APART_MS = 5_000.0


# Marks the number of a run in its name, which no id or time holds.
_RUN_MARK = "~"


def replica_of_run(run: str) -> str:
    """Return the replica that ``SuspectTracker.current_run`` named a run of."""
    return run.partition(_RUN_MARK)[0]


@dataclass
class _Suspect:
    """When runs of replicas lost the request, and those of them that speak no more against it."""

    lost_at: dict[str, float] = field(default_factory=dict)
    excused: deque[str] = field(default_factory=lambda: deque(maxlen=_MOST_EXCUSED))


class SuspectTracker:
    """Counts, by content, the runs of replicas that ended while the request was there.

    A replica's answer may break off though it lives, and that it has ended may be known later, or
    to another router. So both are noted apart, in any order: which run of a replica lost which
    request, and which runs have ended. Holds at most ``most`` contents and as many runs, and
    forgets those first that were noted first.
    """

    def __init__(self, clock: Clock, most: int = 4_096) -> None:
        self._clock = clock
        self._most = most
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._ended: OrderedDict[str, float] = OrderedDict()
        self._contents: OrderedDict[str, set[str]] = OrderedDict()
        self._lock = threading.Lock()

    def current_run(self, replica: str) -> str:
        """Return a name for a replica's present run.

        A replica that has ended and answers again is another run, also where it says the same of
        itself as before.
        """
        name, number = replica, 0
        with self._lock:
            while name in self._ended:
                number += 1
                name = f"{replica}{_RUN_MARK}{number}"
        return name

    def record_lost(self, content: str, run: str) -> None:
        """Note that a run of a replica lost a request, whatever the reason."""
        with self._lock:
            suspect = self._suspects.setdefault(content, _Suspect())
            if run not in suspect.excused:
                suspect.lost_at.setdefault(run, self._clock.monotonic_ms())
                self._contents.setdefault(run, set()).add(content)
            self._suspects.move_to_end(content)
            for kept in (self._suspects, self._contents):
                while len(kept) > self._most:
                    kept.popitem(last=False)

    def record_ended(self, run: str) -> bool:
        """Note that a run of a replica has ended; return whether that was not known."""
        with self._lock:
            if run in self._ended:
                return False
            self._ended[run] = self._clock.monotonic_ms()
            while len(self._ended) > self._most:
                self._ended.popitem(last=False)
            return True

    def count_ended_near(self, run: str, within_ms: float) -> int:
        """Return how many other runs ended within so many milliseconds of the end of one."""
        with self._lock:
            ended_ms = self._ended.get(run)
            if ended_ms is None:
                return 0
            others = (at_ms for each, at_ms in self._ended.items() if each != run)
            return sum(1 for at_ms in others if abs(at_ms - ended_ms) <= within_ms)

    def has_lost_requests(self, run: str) -> bool:
        """Return whether any request was lost at a run."""
        with self._lock:
            return run in self._contents

    def crashed_runs(self, content: str) -> frozenset[str]:
        """Return the runs that ended while a request was there."""
        with self._lock:
            suspect = self._suspects.get(content)
            if suspect is None:
                return frozenset()
            return frozenset(run for run in suspect.lost_at if self._is_end(suspect, run))

    def lost_fingerprints(self, run: str) -> list[str]:
        """Return the requests that were lost at a run."""
        with self._lock:
            return sorted(self._contents.get(run, ()))

    def is_suspect(self, content: str) -> bool:
        """Return whether anything speaks against a request."""
        with self._lock:
            suspect = self._suspects.get(content)
            return suspect is not None and bool(suspect.lost_at)

    def clear(self, content: str) -> None:
        """Excuse a request that was answered in whole: what is known by now counts no more."""
        with self._lock:
            suspect = self._suspects.get(content)
            if suspect is not None:
                suspect.excused.extend(suspect.lost_at)
                suspect.lost_at.clear()

    def recent_crashes(self, most: int) -> tuple[list[tuple[str, str]], list[str]]:
        """Return the newest requests with the ended runs that lost them, and these runs."""
        found: list[tuple[str, str]] = []
        with self._lock:
            for content, suspect in reversed(self._suspects.items()):
                found += [(content, run) for run in suspect.lost_at if self._is_end(suspect, run)]
                if len(found) >= most:
                    break
        return found[:most], sorted({run for _, run in found[:most]})

    def _is_end(self, suspect: _Suspect, run: str) -> bool:
        """Return whether a run ended when it lost a request; call it with the lock held."""
        ended_ms = self._ended.get(run)
        return ended_ms is not None and ended_ms - suspect.lost_at[run] <= _MOST_APART_MS
