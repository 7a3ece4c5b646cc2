"""Settings of an agent."""

from dataclasses import dataclass

from aspengate.settings import address, names, number, setting, whole_number

_MAX_MS = 86_400_000


@dataclass(frozen=True)
class AgentSettings:
    """Settings that an agent reads at its start."""

    name: str = setting("instance", str, "name of this process", accepts="a name")
    listen: str = setting(
        "instance", address, "address at which other processes reach this one", accepts="IP:port"
    )
    region: str = setting("instance", str, "region of this process", accepts="a name")
    failure_domain: str = setting(
        "instance", str, "failure domain within the region", accepts="a name"
    )
    store: str = setting("platform", address, "the key-value service", accepts="IP:port")
    secrets: tuple[str, ...] = setting(
        "fleet",
        names,
        "shared secrets; the first seals, all are accepted",
        accepts="values separated by commas",
    )
    service: str = setting("upstream", str, "service of the upstream", accepts="a name")
    upstream_address: str = setting(
        "upstream", address, "address of the upstream", accepts="IP:port"
    )
    protocol: str = setting(
        "upstream",
        str,
        "protocol of the upstream",
        accepts="completion or plain",
        default="completion",
    )
    max_concurrency: int = setting(
        "upstream",
        whole_number(1, 4096),
        "maximum number of concurrent requests",
        accepts="1 to 4096",
        unit="requests",
        default=256,
    )
    kept_answer_bytes: int = setting(
        "limits",
        whole_number(0, 2**33),
        "memory for responses retained for retries",
        accepts="0 to 8589934592",
        unit="bytes",
        default=64 * 1024 * 1024,
    )
    linger_ms: float = setting(
        "limits",
        number(0, 100),
        "additional wait for more tokens before a batch is sent",
        accepts="0 to 100",
        unit="ms",
        default=0.0,
    )
    heartbeat_ms: float = setting(
        "timing",
        number(50, _MAX_MS),
        "interval between heartbeats to routers",
        accepts="50 to 86400000",
        unit="ms",
        default=1_000.0,
    )
    statsd: str = setting(
        "telemetry", address, "statsd server for counters", accepts="IP:port", default=""
    )
