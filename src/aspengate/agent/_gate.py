"""Decides whether an agent may start the run of a dispatch."""

from dataclasses import dataclass, field

from aspengate.errors import ErrorKind
from aspengate.transport import ClaimTicket, Dispatch


@dataclass(frozen=True)
class Refusal:
    """The reason for which a dispatch is refused."""

    kind: ErrorKind
    reason: str


@dataclass
class DispatchGate:
    """Decides whether a dispatch may start; a refused dispatch is never started later.

    ``clock_margin_ms`` is the largest clock difference between two instances that the fleet
    allows for. ``max_concurrency`` of 0 means no limit. Fences are never removed: there are few
    of them, and an agent runs for days at most.
    """

    clock_margin_ms: int = 0
    max_concurrency: int = 0
    leaving: bool = False
    ready: bool = True
    fenced: set[str] = field(default_factory=set)

    def fence(self, session: str) -> None:
        """Refuse all dispatches and claims under ``session`` from now on."""
        self.fenced.add(session)

    def check(self, dispatch: Dispatch, now_ms: int, running: int) -> Refusal | None:
        """Return the refusal, or ``None`` if the dispatch may start now.

        ``running`` is the number of requests in progress.
        """
        if self.leaving or not self.ready:
            return Refusal(ErrorKind.LEAVING, "the agent takes no new work")
        if now_ms > dispatch.deadline_ms:
            return Refusal(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed")
        if now_ms > dispatch.honour_until_ms:
            return Refusal(ErrorKind.FENCED, "the block's time has passed")
        for session in (dispatch.holder, dispatch.router_session):
            if session in self.fenced:
                return Refusal(ErrorKind.FENCED, f"session {session} is fenced")
        if self.max_concurrency and running >= self.max_concurrency:
            return Refusal(ErrorKind.OVERLOADED, "the upstream is full")
        return self._check_claim(dispatch.claim, now_ms)

    def _check_claim(self, claim: ClaimTicket | None, now_ms: int) -> Refusal | None:
        if claim is None:
            return None
        if claim.owner in self.fenced:
            return Refusal(ErrorKind.FENCED, f"claims owner {claim.owner} is fenced")
        if now_ms > claim.valid_until_ms:
            return Refusal(ErrorKind.FENCED, "the claim's time has passed")
        return None
