"""Tracks the attempts and the stream position of one request."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aspengate.errors import ErrorKind
from aspengate.gateway._exchange import Outcome
from aspengate.retries import RetryDecision
from aspengate.streams import VersionPin

if TYPE_CHECKING:
    from aspengate.gateway._attempt import Attempt
    from aspengate.gateway._crash_trial import CrashTrial


@dataclass
class Progress:
    """Tracks the attempts of a request and the position of its stream.

    ``sent_attempts`` is how many of ``all_attempts`` were sent to a replica, without misdirected
    ones; ``unsent_attempts`` is how many were not sent. ``retry_decisions`` holds the decisions on
    its retries, and ``crash_trial`` the permission to send it although replicas crashed while they
    ran it, last checked at ``crash_checked_ms``. ``started_ms`` is when the request was complete
    and its handling started, ``admitted_ms`` when the filters admitted it, all in monotonic time.
    ``last_event_id`` is the id of the last event that the caller received, ``events`` the number of
    events received, and ``longest_gap_ms`` the longest pause between two of them. ``is_complete``
    is set once a stream has been relayed to its end. ``settled_tokens`` is the number of tokens
    charged to the account. ``allowed_regions`` are the regions that the last attempt was restricted
    to, None if to none. ``abandoned`` is the attempt that was abandoned for a retry which has no
    response yet.
    ``pin`` is the version that the stream is restricted to, None before its first event.
    """

    started_ms: float = 0.0
    admitted_ms: float = 0.0
    sent_attempts: int = 0
    unsent_attempts: int = 0
    excluded: set[str] = field(default_factory=set)
    all_attempts: "list[Attempt]" = field(default_factory=list)
    retry_decisions: list[RetryDecision] = field(default_factory=list)
    crash_trial: "CrashTrial | None" = None
    crash_checked_ms: float = 0.0
    status: int = 0
    last_event_id: str = ""
    events: int = 0
    first_event_ms: float = 0.0
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    is_complete: bool = False
    settled_tokens: int = 0
    allowed_regions: frozenset[str] | None = None
    abandoned: "Attempt | None" = None
    pin: VersionPin | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a replica received the request and did not refuse it."""
        return any(attempt.sent and not attempt.is_refused for attempt in self.all_attempts)

    def keep_abandoned(self, attempt: "Attempt") -> None:
        """Keep an attempt that is abandoned for a retry; an earlier one ends."""
        self.end_abandoned()
        attempt.record_abandoned()
        self.abandoned = attempt

    def accept_response(self, attempt: "Attempt") -> None:
        """End the abandoned attempt if another one has a response to relay."""
        if self.abandoned is not attempt:
            self.end_abandoned()

    def end_abandoned(self) -> None:
        """End the abandoned attempt, if any, which makes its replica cancel the request."""
        if self.abandoned is not None:
            self.abandoned.end("abandoned", failed=True, version_failed=True)
            self.abandoned = None

    def forget_attempts(self) -> None:
        """Drop the attempts, which refer to this object, once the request has ended."""
        self.all_attempts.clear()

    def record_event(self, event_id: str, now_ms: float) -> None:
        """Count an event that was sent to the caller; ``event_id`` may be empty."""
        if self.events:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_event_ms)
        else:
            self.first_event_ms = now_ms
        self.last_event_ms = now_ms
        self.events += 1
        if event_id:
            self.last_event_id = event_id

    def outcome(self, error: ErrorKind | None, event_tokens: int) -> Outcome:
        """Return the outcome of the request; each event counts as ``event_tokens`` tokens."""
        output = (
            self.events * event_tokens if self.is_complete and self.sent_attempts == 1 else None
        )
        return Outcome(error, self.sent_attempts, self.may_have_run, output)
