"""Settings of a router."""

from dataclasses import dataclass

from aspengate.settings import address, names, setting, whole_number

_MAX_MS = 86_400_000


def _milliseconds(section: str, text: str, default: int, least: int = 1) -> int:
    parsed: int = setting(
        section,
        whole_number(least, _MAX_MS),
        text,
        accepts=f"{least} to {_MAX_MS}",
        unit="ms",
        default=default,
    )
    return parsed


@dataclass(frozen=True)
class RouterSettings:
    """What a router is told at its start."""

    name: str = setting("instance", str, "name of this process", accepts="a name")
    listen: str = setting("instance", address, "where callers reach it", accepts="IP:port")
    peer_listen: str = setting(
        "instance", address, "where other processes reach it", accepts="IP:port"
    )
    region: str = setting("instance", str, "region it stands in", accepts="a name")
    failure_domain: str = setting("instance", str, "failure domain in it", accepts="a name")
    store: str = setting("platform", address, "the key-value service", accepts="IP:port")
    instances: str = setting("platform", address, "the instance list", accepts="IP:port")
    secrets: tuple[str, ...] = setting(
        "fleet",
        names,
        "shared secrets; the first seals, all are accepted",
        accepts="values separated by commas",
    )
    budget_shards: int = setting(
        "fleet",
        whole_number(1, 100_000),
        "documents that the budgets are spread over; the same everywhere, for good",
        accepts="1 to 100000",
        default=4,
    )
    claim_shards: int = setting(
        "fleet",
        whole_number(1, 10_000),
        "shares of the keys of calls that may not be repeated; the same everywhere, for good",
        accepts="1 to 10000",
        default=4,
    )
    threads: int = setting(
        "limits",
        whole_number(1, 2_000),
        "requests in progress at once",
        accepts="1 to 2000",
        unit="requests",
        default=128,
    )
    max_body_bytes: int = setting(
        "limits",
        whole_number(1, 2**30),
        "largest request body",
        accepts="1 to 1073741824",
        unit="bytes",
        default=8 * 1024 * 1024,
    )
    deadline_ms: int = _milliseconds("limits", "longest run of a request", 120_000)
    policy: str = setting(
        "routing",
        str,
        "how an upstream is chosen",
        accepts="a policy's name",
        default="weighted_score",
    )
    subset: int = setting(
        "routing",
        whole_number(1, 10_000),
        "upstreams of a service that one router uses",
        accepts="1 to 10000",
        default=24,
    )
    silent_after_ms: int = _milliseconds(
        "timing", "silence after which an agent gets no new work", 3_000
    )
    poll_ms: int = _milliseconds("timing", "time between looks at the instance list", 1_000)
    heartbeat_ms: int = _milliseconds("timing", "time between signs of life", 2_000)
    settle_ms: int = _milliseconds("budgets", "time between a shard's settlements", 5_000)
    honour_ms: int = _milliseconds(
        "budgets", "how long money in a region outlives the store", 7_200_000
    )
    grant_horizon_ms: int = _milliseconds("budgets", "demand that a grant covers", 1_800_000)
    block_horizon_ms: int = _milliseconds("budgets", "demand that a block covers", 10_000)
    rotate_ms: int = _milliseconds("budgets", "age at which a block is closed", 60_000)
    idle_ms: int = _milliseconds("budgets", "idle time after which a block goes back", 15_000)
    claim_lease_ms: int = _milliseconds(
        "claims", "how long an owner of claims outlives the store", 600_000, least=1_000
    )
    clock_error_ms: int = _milliseconds(
        "claims", "largest difference between two instances' clocks", 500
    )
    list_lag_ms: int = _milliseconds("timing", "longest lag of the instance list", 5_000)
    statsd: str = setting(
        "telemetry", address, "statsd server for counters", accepts="IP:port", default=""
    )
