"""What has happened to one request so far."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aspengate.errors import ErrorKind
from aspengate.gateway._exchange import Outcome
from aspengate.retries import RetryDecision

if TYPE_CHECKING:
    from aspengate.gateway._attempt import Attempt
    from aspengate.gateway._crash_guard import CrashTrial


@dataclass
class Progress:
    """Counts attempts, and remembers how far a stream has come.

    ``made`` are all attempts; ``attempts`` of them were sent to a replica, ``unreached`` were
    not; ``repeats`` are the decisions on repeating it; ``crash_try`` is its permission to be sent
    though replicas ended under it. ``begun_ms`` is when the request was whole
    and its handling began, ``admitted_ms`` when the filters had admitted it, both in monotonic
    time. ``last_event_id`` is that of the last event that the caller got; ``events`` is how many
    it got, and ``longest_gap_ms`` the longest pause between two of them. ``settled_tokens`` is
    what its account was charged.
    """

    begun_ms: float = 0.0
    admitted_ms: float = 0.0
    attempts: int = 0
    unreached: int = 0
    may_have_run: bool = False
    excluded: set[str] = field(default_factory=set)
    made: "list[Attempt]" = field(default_factory=list)
    repeats: list[RetryDecision] = field(default_factory=list)
    crash_try: "CrashTrial | None" = None
    status: int = 0
    last_event_id: str = ""
    events: int = 0
    first_event_ms: float = 0.0
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    whole: bool = False
    settled_tokens: int = 0

    def note_event(self, identity: str, now_ms: float) -> None:
        """Count an event that the caller got."""
        if self.events:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_event_ms)
        else:
            self.first_event_ms = now_ms
        self.last_event_ms = now_ms
        self.events += 1
        if identity:
            self.last_event_id = identity

    def outcome(self, error: ErrorKind | None, event_tokens: int) -> Outcome:
        """Return how the request ended; each event holds at most ``event_tokens``."""
        output = self.events * event_tokens if self.whole and self.attempts == 1 else None
        return Outcome(error, self.attempts, self.may_have_run, output)
