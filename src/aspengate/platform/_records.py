"""The records that the operator and the replicas write to the store, as the product's types."""

from typing import TypeVar

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
from aspengate.errors import AspengateError, ErrorKind
from aspengate.replicas import Evacuation, Replica, ReplicaState
from aspengate.store import StoreItem

# All that the operator writes lies below one prefix, so that one watch tells of all of it, and a
# router that knows a configuration also knows the evacuations of that moment.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = f"{OPERATOR_PREFIX}config"
_EVACUATION_PREFIX = f"{OPERATOR_PREFIX}evacuate/"
REPLICA_PREFIX = "servers/"


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
    api_keys: list[str] = []
    priority: int = 0
    prepaid: int | None = None


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


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str = ""
    slots: int = 0
    state: str = "ready"
    cold_remaining_ms: float = 0.0


_KINDS = {kind.value: kind for kind in RouteKind}
_Record = TypeVar("_Record", bound=msgspec.Struct)


def read_configuration(item: StoreItem) -> FleetConfiguration:
    """Return the configuration that the operator wrote; raises BAD_REQUEST for other bytes."""
    record = _decode(item, _Configuration)
    return FleetConfiguration(
        version=record.config_version,
        revision=item.revision,
        routes=tuple(_route(each) for each in record.routes),
        services={each.name: _service(each) for each in record.services},
        accounts=tuple(
            ClientAccount(each.name, tuple(each.api_keys), each.priority, each.prepaid)
            for each in record.tenants
        ),
        limits=CallerLimits(**msgspec.structs.asdict(record.limits)),
    )


def read_replica(item: StoreItem) -> Replica:
    """Return the replica that wrote an item; raises BAD_REQUEST for other bytes."""
    record = _decode(item, _Server)
    return Replica(
        identity=item.key.removeprefix(REPLICA_PREFIX),
        service=record.service,
        address=record.address,
        failure_domain=record.zone,
        slots=record.slots,
        state=ReplicaState.READY if record.state == "ready" else ReplicaState.DRAINING,
        cold_ms=record.cold_remaining_ms,
    )


def read_evacuation(item: StoreItem) -> Evacuation | None:
    """Return the evacuation that the operator asks for by an item, None where it is another one.

    The item's being there is the whole request; what its value holds does not matter.
    """
    if not item.key.startswith(_EVACUATION_PREFIX):
        return None
    return Evacuation(item.key.removeprefix(_EVACUATION_PREFIX), item.revision)


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
        longest_gap_ms=record.gap_aim_ms,
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


def _decode(item: StoreItem, kind: type[_Record]) -> _Record:
    try:
        return msgspec.json.decode(item.value, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where=item.key) from error
