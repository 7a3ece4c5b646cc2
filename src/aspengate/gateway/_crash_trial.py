"""The permission to send a request that is suspected of crashing replicas."""

from aspengate.crashes import CrashSubject


class CrashTrial:
    """Permission to send a request with suspect subjects once, to one replica.

    ``recorded`` is whether the trial is recorded in the store, and ``sent`` whether the request
    was sent to a replica. ``cleared`` are the fingerprints of the subjects that a complete answer
    has cleared, and ``ended_run`` is the replica's run if that terminated, otherwise empty.
    """

    def __init__(self, subjects: tuple[CrashSubject, ...], *, recorded: bool) -> None:
        self.subjects = subjects
        self.recorded = recorded
        self.sent = False
        self.cleared: set[str] = set()
        self.ended_run = ""

    @property
    def has_segments(self) -> bool:
        """Whether a prompt segment is on trial."""
        return any(subject.is_segment for subject in self.subjects)

    @property
    def remaining(self) -> list[str]:
        """The fingerprints of the subjects that no complete answer has cleared."""
        fingerprints = [subject.fingerprint for subject in self.subjects]
        return [each for each in fingerprints if each not in self.cleared]
