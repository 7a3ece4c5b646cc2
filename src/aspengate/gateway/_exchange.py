"""The state of one request on its way through the gateway's filters."""

from dataclasses import dataclass
from functools import cached_property
from typing import Protocol

from aspengate.configuration import ClientAccount, FleetConfiguration, Route, Service
from aspengate.connections import Waiter
from aspengate.crashes import request_fingerprint
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._request import CallerRequest


@dataclass(frozen=True)
class Exchange:
    """A request with what the filters found out so far.

    ``deadline_ms`` is the earlier one of the caller's deadline and the route's timeout, in the
    clock's monotonic time.
    """

    request: CallerRequest
    configuration: FleetConfiguration
    waiter: Waiter
    route: Route | None = None
    service: Service | None = None
    account: ClientAccount | None = None

    @property
    def known_route(self) -> Route:
        """The route; the route filter comes first."""
        if self.route is None:
            raise AspengateError(ErrorKind.INTERNAL, "the route filter comes first")
        return self.route

    @property
    def known_service(self) -> Service:
        """The service; the route filter comes first."""
        if self.service is None:
            raise AspengateError(ErrorKind.INTERNAL, "the route filter comes first")
        return self.service

    @cached_property
    def fingerprint(self) -> str:
        """The id that this request shares with those that are the same, come again."""
        account = self.account.name if self.account else ""
        return request_fingerprint(account, self.request.target, self.request.body)


@dataclass(frozen=True)
class Outcome:
    """How a request ended, for the filters that passed it.

    ``attempts`` is to how many replicas it was sent, ``may_have_run`` whether one of them may
    have run it. ``output_tokens`` is the exact number, where the answer was whole.
    """

    error: ErrorKind | None = None
    attempts: int = 0
    may_have_run: bool = False
    output_tokens: int | None = None


class Filter(Protocol):
    """One step of admission."""

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with what this step found; raises AspengateError to refuse."""

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Undo or settle what ``apply`` did, once the request has ended."""
