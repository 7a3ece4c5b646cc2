"""Settings of an agent."""

from dataclasses import dataclass

from aspengate.settings import address, names, number, setting, whole_number

_MAX_MS = 86_400_000


@dataclass(frozen=True)
class AgentSettings:
    """What an agent is told at its start."""

    name: str = setting("instance", str, "name of this process", accepts="a name")
    listen: str = setting(
        "instance", address, "where other processes reach this one", accepts="IP:port"
    )
    region: str = setting("instance", str, "region it stands in", accepts="a name")
    failure_domain: str = setting("instance", str, "failure domain in it", accepts="a name")
    store: str = setting("platform", address, "the key-value service", accepts="IP:port")
    secrets: tuple[str, ...] = setting(
        "fleet",
        names,
        "shared secrets; the first seals, all are accepted",
        accepts="values separated by commas",
    )
    service: str = setting("upstream", str, "what the upstream serves", accepts="a name")
    upstream_address: str = setting("upstream", address, "the upstream", accepts="IP:port")
    protocol: str = setting(
        "upstream", str, "its adapter", accepts="completion or plain", default="completion"
    )
    max_concurrency: int = setting(
        "upstream",
        whole_number(1, 4096),
        "requests that run at once",
        accepts="1 to 4096",
        unit="requests",
        default=256,
    )
    kept_answer_bytes: int = setting(
        "limits",
        whole_number(0, 2**33),
        "memory for answers kept for retries",
        accepts="0 to 8589934592",
        unit="bytes",
        default=64 * 1024 * 1024,
    )
    linger_ms: float = setting(
        "limits",
        number(0, 100),
        "how long a batch of tokens waits for more",
        accepts="0 to 100",
        unit="ms",
        default=0.0,
    )
    heartbeat_ms: float = setting(
        "timing",
        number(50, _MAX_MS),
        "time between signs of life to routers",
        accepts="50 to 86400000",
        unit="ms",
        default=1_000.0,
    )
    statsd: str = setting(
        "telemetry", address, "statsd server for counters", accepts="IP:port", default=""
    )
