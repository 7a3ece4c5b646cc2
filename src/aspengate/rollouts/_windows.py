"""Selects the times over which the cohorts of a rollout are compared."""

from collections import deque

from aspengate.rollouts._evidence import Evidence
from aspengate.rollouts._verdict import Verdict, judge

# The length of the recent window, in ms. A version that turns bad shows there even if many good
# responses came before.
_RECENT_MS = 5_000.0
# The number of earlier steps that are compared. A usual rollout has some ten steps, but the share
# of a router that is cut off again and again changes every few seconds.
_MAX_EARLIER = 64


class EvidenceWindows:
    """Divides cumulative evidence into steps of a constant share, and judges it.

    ``earlier`` is the evidence of the last steps before the current one.

    Within one step, both cohorts have constant shares of the requests at all times. Over several
    steps they do not: a slow period of the whole service late in a rollout would be a large part
    of the target's responses and a small part of the baseline's.
    Not thread-safe.
    """

    def __init__(self) -> None:
        self._share: float | None = None
        self._start = Evidence()
        self.earlier: deque[Evidence] = deque(maxlen=_MAX_EARLIER)
        self._snapshots: deque[tuple[float, Evidence]] = deque()

    def add(self, evidence: Evidence, share: float, now_ms: float) -> Verdict:
        """Take the newest evidence and return the verdict; ``share`` has held since the last call.

        To be called about every 500 ms. Evidence of another generation starts anew.
        """
        if evidence.generation != self._start.generation:
            self._share = None
            self._start = Evidence(evidence.generation)
            self.earlier.clear()
            self._snapshots.clear()
        if share != self._share:
            self._begin_step(share, now_ms)
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now_ms - _RECENT_MS:
            self._snapshots.popleft()
        oldest = self._snapshots[0][1]
        recent = evidence.subtract(oldest) if oldest is not self._start else None
        self._snapshots.append((now_ms, evidence))
        return judge(evidence.subtract(self._start), recent, earlier=self.earlier)

    def _begin_step(self, share: float, now_ms: float) -> None:
        """Begin a step at the last snapshot, if there is one."""
        start_ms, start = self._snapshots[-1] if self._snapshots else (now_ms, self._start)
        if self._share is not None:
            self.earlier.append(start.subtract(self._start).without_states())
        self._share = share
        self._start = start
        self._snapshots = deque([(start_ms, start)])
