"""Decodes the records that the operator and the replicas write to the store."""

from typing import Annotated, Literal, TypeVar

import msgspec

from aspengate.configuration import (
    CallerLimits,
    ClientAccount,
    Engine,
    FleetConfiguration,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from aspengate.connections import is_ipv4_endpoint
from aspengate.errors import AspengateError, ErrorKind
from aspengate.replicas import Evacuation, Replica, ReplicaState
from aspengate.rollouts import RolloutDocument, RolloutOrder
from aspengate.store import MAX_VALUE_BYTES, Put, StoreItem, decode_value

# All of the operator's records lie below one prefix, so that a single watch covers them and a
# router that has read a configuration has also read the evacuations of that moment.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = f"{OPERATOR_PREFIX}config"
_EVACUATION_PREFIX = f"{OPERATOR_PREFIX}evacuate/"
_ROLLOUT_PREFIX = f"{OPERATOR_PREFIX}rollout/"
_ROLLOUT_STATUS_PREFIX = "status/rollout/"
REPLICA_PREFIX = "servers/"
# Sanity bounds on replicas: no machine runs more requests at once, none is cold for over an hour.
_MAX_SLOTS = 100_000
_MAX_COLD_MS = 3_600_000.0
_MAX_ROLLOUT_S = 30 * 86_400.0
_MAX_NUMBER = 2**63 - 1
_MAX_CONFIGURATION_BYTES = 1024 * 1024  # The largest value that the store holds.


class _Backend(msgspec.Struct):
    service: str
    weight: int = 1


class _Route(msgspec.Struct, rename="camel"):
    path_prefix: str
    kind: str
    name: str = ""
    host: str = ""
    timeout_ms: float = 0.0
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    backends: list[_Backend] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0
    allowed_regions: frozenset[str] = frozenset()


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 1
    kv_capacity: int = 0
    stride: int = 1


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = "/health"
    max_conns: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int = 0
    prepaid: int | None = None
    allowed_regions: frozenset[str] = frozenset()


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = CallerLimits.max_header_bytes
    max_body_bytes: int = CallerLimits.max_body_bytes
    header_timeout_ms: float = CallerLimits.header_timeout_ms
    idle_timeout_ms: float = CallerLimits.idle_timeout_ms


class _Configuration(msgspec.Struct, rename="camel"):
    config_version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]


class _Server(msgspec.Struct, rename="camel"):
    """A replica's record of itself; older replicas write no ``born``."""

    service: _Text
    address: _Text
    zone: str
    config_version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_MS)]
    seq: _Number
    born: _Number = 0


class _Rollout(msgspec.Struct, rename="camel"):
    """The operator's order to move a service's traffic to a version."""

    service: _Text
    target_version: _Text
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_ROLLOUT_S)]


class _RolloutStatus(msgspec.Struct, rename="camel"):
    service: str
    target_version: str
    state: str


_KINDS = {kind.value: kind for kind in RouteKind}
_Record = TypeVar("_Record", bound=msgspec.Struct)


def read_configuration(item: StoreItem) -> FleetConfiguration:
    """Decode the operator's configuration; raises BAD_REQUEST."""
    record = _decode(item, _Configuration, _MAX_CONFIGURATION_BYTES)
    return FleetConfiguration(
        version=record.config_version,
        revision=item.revision,
        routes=tuple(_route(each) for each in record.routes),
        services={each.name: _service(each) for each in record.services},
        accounts=tuple(
            ClientAccount(
                each.name, each.api_keys, each.priority, each.prepaid, each.allowed_regions
            )
            for each in record.tenants
        ),
        limits=CallerLimits(**msgspec.structs.asdict(record.limits)),
    )


def read_replica(item: StoreItem) -> Replica:
    """Decode a replica's record; raises BAD_REQUEST."""
    record = _decode(item, _Server)
    identity = item.key.removeprefix(REPLICA_PREFIX)
    if not identity:
        raise AspengateError(ErrorKind.BAD_REQUEST, "key contains no replica id", where=item.key)
    if not is_ipv4_endpoint(record.address):
        message = f"{record.address[:50]!r} is not an IPv4 address and port"
        raise AspengateError(ErrorKind.BAD_REQUEST, message, where=item.key)
    return Replica(
        identity=identity,
        service=record.service,
        address=record.address,
        failure_domain=record.zone,
        slots=record.slots,
        state=ReplicaState.READY if record.state == "ready" else ReplicaState.DRAINING,
        cold_ms=record.cold_remaining_ms,
        born_ms=record.born,
        number=record.seq,
        version=record.config_version,
    )


def read_order(item: StoreItem) -> tuple[int, ...] | None:
    """Return a sort key that rises with each write of an item; None if its writer has none.

    Configurations are ordered by version, replica records by start time and sequence number.
    """
    try:
        if item.key == CONFIGURATION_KEY:
            return (_decode(item, _Configuration, _MAX_CONFIGURATION_BYTES).config_version,)
        if item.key.startswith(REPLICA_PREFIX):
            record = _decode(item, _Server)
            return (record.born, record.seq)
    except AspengateError:
        # The user of the item reports that it can't be decoded.
        return None
    return None


def read_evacuation(item: StoreItem) -> Evacuation | None:
    """Return the evacuation that an item requests by existing, with any value; None for others."""
    if not item.key.startswith(_EVACUATION_PREFIX):
        return None
    return Evacuation(item.key.removeprefix(_EVACUATION_PREFIX), item.revision)


def read_rollout(item: StoreItem) -> RolloutOrder | None:
    """Return the rollout that an item orders; None for other items; raises BAD_REQUEST."""
    if not item.key.startswith(_ROLLOUT_PREFIX):
        return None
    record = _decode(item, _Rollout)
    if item.key != _ROLLOUT_PREFIX + record.service:
        message = f"names another service, {record.service!r}"
        raise AspengateError(ErrorKind.BAD_REQUEST, message, where=item.key)
    duration_ms = record.duration_s * 1_000
    return RolloutOrder(record.service, record.target_version, duration_ms, item.revision)


def rollout_status(document: RolloutDocument) -> Put:
    """Return the write that reports the state of a rollout to the operator."""
    status = _RolloutStatus(document.service, document.target_version, document.state.value)
    return Put(_ROLLOUT_STATUS_PREFIX + document.service, msgspec.json.encode(status))


def _route(record: _Route) -> Route:
    services = tuple(WeightedService(each.service, each.weight) for each in record.backends)
    return Route(
        name=record.name,
        host=record.host,
        path_prefix=record.path_prefix,
        kind=_KINDS.get(record.kind, RouteKind.NON_IDEMPOTENT),
        services=services or (WeightedService(record.service, 1),),
        timeout_ms=record.timeout_ms,
        objective_ms=record.target_latency_ms,
        priority=record.priority,
        max_attempts=max(1, record.max_attempts),
        public=record.public,
        resumable=record.resumable,
        max_gap_ms=record.gap_aim_ms,
        allowed_regions=record.allowed_regions,
    )


def _service(record: _Service) -> Service:
    engine = record.engine
    return Service(
        name=record.name,
        health_path=record.health_path,
        max_connections=record.max_conns,
        cold_start_ms=record.cold_start_s * 1_000,
        cold_per_second=record.cold_per_s,
        engine=Engine(engine.slots, engine.kv_capacity, engine.stride) if engine else None,
    )


def _decode(item: StoreItem, kind: type[_Record], max_bytes: int = MAX_VALUE_BYTES) -> _Record:
    return decode_value(item.value, kind, item.key, max_bytes)
