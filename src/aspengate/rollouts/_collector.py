"""Sums the evidence that the routers report."""

from collections.abc import Container

from aspengate.rollouts._evidence import Evidence, merge_evidence


class EvidenceCollector:
    """Keeps the newest report of each router's session and sums them.

    Reports are cumulative, so lost, repeated and reordered ones change nothing in the end.
    Not thread-safe.
    """

    def __init__(self, generation: int = 0) -> None:
        self.generation = generation
        self._reports: dict[str, tuple[int, Evidence]] = {}

    def add(self, session: str, number: int, evidence: Evidence) -> bool:
        """Take a report; return whether it is newer than the session's earlier ones.

        A report of a newer generation discards those of older ones.
        """
        if evidence.generation > self.generation:
            self.generation = evidence.generation
            self._reports.clear()
        known = self._reports.get(session)
        if evidence.generation < self.generation or (known and known[0] >= number):
            return False
        self._reports[session] = (number, evidence)
        return True

    def total(self, alive: Container[str] | None = None) -> Evidence:
        """Return the sum over all sessions.

        Attempts in flight count only for the sessions that are ``alive``, if they are given.
        """
        parts = [
            evidence if alive is None or session in alive else evidence.without_states()
            for session, (_, evidence) in self._reports.items()
        ]
        return merge_evidence([Evidence(self.generation), *parts])
