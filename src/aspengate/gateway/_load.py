"""What one attempt adds to a replica's load, as this router counts it."""

from aspengate.replicas import Candidate, ReplicaRegistry, read_ms


class Load:
    """Counts an attempt at its replica until ``end``; its prompt until it has ``answered``."""

    def __init__(self, registry: ReplicaRegistry, candidate: Candidate) -> None:
        self._registry = registry
        self._view = candidate.view
        self._backlog_ms = read_ms(candidate.unread_tokens)
        self._ended = False
        with registry.lock:
            self._view.in_flight += 1
            self._view.backlog_ms += self._backlog_ms

    def answered(self) -> None:
        """Note that the replica has begun to answer, and so has read the prompt."""
        with self._registry.lock:
            self._view.backlog_ms -= self._backlog_ms
            self._backlog_ms = 0.0

    def end(self) -> None:
        """Count the attempt out."""
        if self._ended:
            return
        self._ended = True
        self.answered()
        with self._registry.lock:
            self._view.in_flight -= 1
