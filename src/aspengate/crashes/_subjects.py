"""What a request is suspected by: its whole content, and each shared segment of its prompt."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

_DIGEST_BYTES = 16
_SEGMENT_PREFIX = "segment-"
# One transaction of the store records the trials of all subjects of a request. It takes 32 entries,
# a condition and a change for each subject.
MAX_SUBJECTS = 16


@dataclass(frozen=True)
class CrashSubject:
    """A property of requests that may crash replicas, identified by its fingerprint.

    ``segment`` is the id of a prompt segment, which may be empty, and empty for the content of a
    whole request.
    """

    fingerprint: str
    segment: str = ""

    @property
    def is_segment(self) -> bool:
        """Whether the subject is a prompt segment and not the content of a whole request."""
        return is_segment_fingerprint(self.fingerprint)

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that identify the subject."""
        return {
            "content": self.fingerprint,
            **({"segment": self.segment} if self.is_segment else {}),
        }


@dataclass(frozen=True)
class RequestSubjects:
    """The fingerprints of all subjects of a request, as far as a router knows them.

    ``unanswered`` are its segments of which the router knows no recent complete answer, and
    ``crashed`` the ones among them that were on crashed replicas.
    """

    present: frozenset[str]
    unanswered: frozenset[str] = frozenset()
    crashed: frozenset[str] = frozenset()

    def beside(self, subject: CrashSubject) -> frozenset[str]:
        """Return the other segments that may have crashed a replica instead of a segment."""
        return self.unanswered - {subject.fingerprint} if subject.is_segment else frozenset()


def crash_subjects(request: str, segments: Iterable[str]) -> tuple[CrashSubject, ...]:
    """Return the subjects of a request with a fingerprint, and with prompt segments by their ids.

    Segments beyond the limit are not tracked: such a request is only stopped as a whole.
    """
    found = [CrashSubject(_segment_fingerprint(each), each) for each in dict.fromkeys(segments)]
    return (*found[: MAX_SUBJECTS - 1], CrashSubject(request))


def is_segment_fingerprint(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a prompt segment."""
    return fingerprint.startswith(_SEGMENT_PREFIX)


def _segment_fingerprint(segment: str) -> str:
    """Return the fingerprint of a segment, which limits its length and characters."""
    digest = hashlib.blake2b(segment.encode(), digest_size=_DIGEST_BYTES)
    return _SEGMENT_PREFIX + digest.hexdigest()
