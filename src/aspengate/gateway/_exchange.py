"""The state of a request in the filter chain, and the interface of the filters."""

from dataclasses import dataclass
from functools import cached_property
from typing import Protocol

from aspengate.configuration import ClientAccount, FleetConfiguration, Route, Service
from aspengate.connections import Waiter
from aspengate.crashes import CrashSubject, crash_subjects, request_fingerprint
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._request import CallerRequest, PromptSegment
from aspengate.streams import VersionPin


@dataclass(frozen=True)
class Exchange:
    """A request with the route, service and account that the filters have resolved so far.

    The deadline of ``waiter`` is the earlier of the caller's deadline and the route's timeout, in
    the clock's monotonic time. ``pin`` is set for requests that take a stream up.
    """

    request: CallerRequest
    configuration: FleetConfiguration
    waiter: Waiter
    route: Route | None = None
    service: Service | None = None
    account: ClientAccount | None = None
    pin: VersionPin | None = None

    @property
    def known_route(self) -> Route:
        """The route; raises INTERNAL before the route filter has run."""
        if self.route is None:
            raise AspengateError(ErrorKind.INTERNAL, "the route filter comes first")
        return self.route

    @property
    def known_service(self) -> Service:
        """The service; raises INTERNAL before the route filter has run."""
        if self.service is None:
            raise AspengateError(ErrorKind.INTERNAL, "the route filter comes first")
        return self.service

    @cached_property
    def fingerprint(self) -> str:
        """The request fingerprint: equal for requests of one account with equal target and body."""
        account = self.account.name if self.account else ""
        return request_fingerprint(account, self.request.target, self.request.body)

    @cached_property
    def crash_subjects(self) -> tuple[CrashSubject, ...]:
        """What the request may be suspected of crashing replicas by."""
        segments = (segment.identity for segment in self.shared_segments)
        return crash_subjects(self.fingerprint, segments)

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """The prompt's segments that other requests may share: all but the last."""
        return self.request.prompt_segments[:-1]


@dataclass(frozen=True)
class Outcome:
    """How a request ended, as reported to the filters that admitted it.

    ``attempts`` is the number of times it was sent to a replica; ``may_have_run`` states whether
    one of them may have run it. ``output_tokens`` is the exact number of generated tokens, None
    unless the response was complete.
    """

    error: ErrorKind | None = None
    attempts: int = 0
    may_have_run: bool = False
    output_tokens: int | None = None


class Filter(Protocol):
    """One step of admission, applied before a request is dispatched."""

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with this step's results; raises AspengateError to refuse it."""

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Undo or settle the effects of ``apply`` after the request has ended."""
