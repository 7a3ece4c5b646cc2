"""What has happened to one request so far."""

from dataclasses import dataclass, field

from aspengate.errors import ErrorKind
from aspengate.gateway._exchange import Outcome


@dataclass
class Progress:
    """Counts attempts, and remembers how far a stream has come.

    ``attempts`` were sent to a replica, ``unreached`` were not. ``last_event_id`` is that of the
    last event that the caller got; ``events`` is how many it got.
    """

    attempts: int = 0
    unreached: int = 0
    may_have_run: bool = False
    excluded: set[str] = field(default_factory=set)
    last_event_id: str = ""
    events: int = 0
    whole: bool = False

    def outcome(self, error: ErrorKind | None, event_tokens: int) -> Outcome:
        """Return how the request ended; each event holds at most ``event_tokens``."""
        output = self.events * event_tokens if self.whole and self.attempts == 1 else None
        return Outcome(error, self.attempts, self.may_have_run, output)
