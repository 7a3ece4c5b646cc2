"""Limits what requests lose by trying replicas that are probably slower or farther away."""

import threading

# Trials may cost this fraction of the response times of all requests. With 2 requests a second and
# one replica that is ten times slower than the others, that is a trial in about 45 s. With 0.05, a
# replica that had recovered was tried after 90 s.
_TRIAL_SHARE = 0.1


class TrialBudget:
    """Allows trials of the replicas of each service, within a share of its response times.

    A trial is allowed while nothing is owed. Its expected loss is then owed, and each request of
    the service pays off a share of a usual response time. Thread-safe.
    """

    def __init__(self) -> None:
        self._owed_ms: dict[str, float] = {}
        self._lock = threading.Lock()

    def allows_trial(self, service: str, response_ms: float) -> bool:
        """Count a request of a service, and return whether it may be used as a trial."""
        with self._lock:
            owed_ms = self._owed_ms.get(service, 0.0) - _TRIAL_SHARE * response_ms
            if owed_ms > 0:
                self._owed_ms[service] = owed_ms
                return False
            self._owed_ms.pop(service, None)
            return True

    def record_trial(self, service: str, lost_ms: float) -> None:
        """Record a trial and its expected loss."""
        with self._lock:
            self._owed_ms[service] = self._owed_ms.get(service, 0.0) + lost_ms
