"""One version of the configuration: routes, services, client accounts and limits."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from aspengate.errors import AspengateError, ErrorKind


class RouteKind(enum.Enum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class WeightedService:
    """A service that takes part of a route's requests, in proportion to ``weight``."""

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """Where the requests of one host and path prefix go, and how they are treated.

    ``objective_ms`` is the time within which an answer, or a stream's first event, is in time;
    ``longest_gap_ms`` the longest pause between events that still is. ``priority`` 0 is the most
    urgent. ``max_attempts`` is the largest number of replicas that one request may be sent to.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: float
    objective_ms: float
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    max_gap_ms: float = 0.0

    @property
    def is_retryable(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.resumable
        )


@dataclass(frozen=True)
class Engine:
    """What a model engine holds: requests at once, and tokens in its memory.

    ``event_tokens`` is how many tokens one event of a stream holds.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1


@dataclass(frozen=True)
class Service:
    """A group of replicas; ``engine`` is there where they are model engines.

    A replica is cold for ``cold_start_ms`` after it has begun, and bears ``cold_per_second``
    requests a second then; 0 where the operator sets no bound.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_start_ms: float = 0.0
    cold_per_second: float = 0.0
    engine: Engine | None = None


@dataclass(frozen=True)
class ClientAccount:
    """Who pays: its keys, its priority (0 first), and its prepaid tokens, if they are capped."""

    name: str
    keys: tuple[str, ...]
    priority: int = 0
    prepaid_tokens: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take or rest, in milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True)
class FleetConfiguration:
    """One version of the whole configuration, with the look-ups that a request needs.

    ``revision`` is the store's revision of the item that it was read from.
    """

    version: int
    revision: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    accounts: tuple[ClientAccount, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    routes_by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False)
    accounts_by_key: dict[str, ClientAccount] = field(init=False, repr=False)
    accounts_by_name: dict[str, ClientAccount] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "routes_by_host", _by_host(self.routes))
        by_key = {key: account for account in self.accounts for key in account.keys}
        object.__setattr__(self, "accounts_by_key", by_key)
        by_name = {account.name: account for account in self.accounts}
        object.__setattr__(self, "accounts_by_name", by_name)

    def route_of(self, host: str, path: str) -> Route:
        """Return the host's route with the longest prefix of ``path``; raises NOT_FOUND."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        raise AspengateError(ErrorKind.NOT_FOUND, "no route", where=f"{host}{path}")

    def account_of(self, key: str) -> ClientAccount:
        """Return the account that holds ``key``; raises UNAUTHENTICATED."""
        account = self.accounts_by_key.get(key)
        if account is None:
            raise AspengateError(ErrorKind.UNAUTHENTICATED, "unknown key")
        return account


def _by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return each host's routes, the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: len(route.path_prefix), reverse=True))
        for host, group in grouped.items()
    }
