"""The configuration's data classes: routes, services, client accounts and limits."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from aspengate.errors import AspengateError, ErrorKind


class RouteKind(enum.Enum):
    """How the requests of a route may be retried and answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class WeightedService:
    """A service that receives a share of a route's requests, in proportion to ``weight``."""

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """The services for the requests of a host and path prefix, and how these are handled.

    ``objective_ms`` is the target latency of a response, or of a stream's first event;
    ``max_gap_ms`` is the target for the longest pause between two events. ``priority`` 0 is the
    most urgent. ``max_attempts`` bounds the replicas that one request may be sent to. Its requests
    may run only in ``allowed_regions``, in all regions if it is empty.
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
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_retryable(self) -> bool:
        """Whether a request of this route may be run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    @property
    def is_resumable(self) -> bool:
        """Whether a broken stream of this route may be continued by another run."""
        return self.kind is RouteKind.STREAMING and self.resumable


@dataclass(frozen=True)
class Engine:
    """The capacity of a model engine: concurrent requests, and tokens in its KV cache.

    ``event_tokens`` is the number of tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1


@dataclass(frozen=True)
class Service:
    """A group of interchangeable replicas; ``engine`` is set if they are model engines.

    A replica is cold for ``cold_start_ms`` after its start and should receive at most
    ``cold_per_second`` requests per second during that time; 0 means that there is no bound.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_start_ms: float = 0.0
    cold_per_second: float = 0.0
    engine: Engine | None = None


@dataclass(frozen=True)
class ClientAccount:
    """A paying customer: API keys, priority (0 is the most urgent), and prepaid tokens.

    ``prepaid_tokens`` is None if the account's use is not capped. Its requests may run only in
    ``allowed_regions``, in all regions if it is empty.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 0
    prepaid_tokens: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CallerLimits:
    """Limits on callers: request sizes in bytes, header and idle timeouts in milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True)
class FleetConfiguration:
    """One version of the whole configuration, indexed for the look-ups of a request.

    ``revision`` is the revision of the store item that it was read from.
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
