"""Settings of the gateway."""

from dataclasses import dataclass

from aspengate.settings import address, names, number, setting, whole_number

_MAX_MS = 86_400_000
_MAX_S = 86_400


def _milliseconds(section: str, text: str, default: float) -> float:
    parsed: float = setting(
        section,
        number(0, _MAX_MS),
        text,
        accepts=f"0 to {_MAX_MS}",
        unit="ms",
        default=default,
    )
    return parsed


def _seconds(section: str, text: str, default: float) -> float:
    parsed: float = setting(
        section,
        number(0, _MAX_S),
        text,
        accepts=f"0 to {_MAX_S}",
        unit="s",
        default=default,
    )
    return parsed


def port_range(text: str) -> range:
    """Read ``FIRST-LAST``; raises ValueError."""
    first, _, last = text.partition("-")
    found = range(int(first), int(last) + 1)
    if not found or found.start < 0 or found.stop > 2**16:
        raise ValueError(text)
    return found


def optional_names(text: str) -> tuple[str, ...]:
    """Read values separated by commas, which may be none."""
    return names(text) if text.strip(", ") else ()


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """What a gateway is told at its start."""

    name: str = setting("instance", str, "name of this process", accepts="a name")
    listen: str = setting("instance", address, "where callers reach it", accepts="IP:port")
    ready_listen: str = setting(
        "instance", address, "where the balancer asks whether it is ready", accepts="IP:port"
    )
    failure_domain: str = setting("instance", str, "failure domain it stands in", accepts="a name")
    peer_ports: range = setting(
        "peers",
        port_range,
        "ports that routers use between themselves",
        accepts="FIRST-LAST",
        default=range(7340, 7356),
    )
    seeds: tuple[str, ...] = setting(
        "peers",
        optional_names,
        "addresses of routers that may be there at a start",
        accepts="IP:port, separated by commas",
        default=(),
    )
    store: str = setting("store", address, "the key-value store", accepts="IP:port")
    writes_per_second: float = setting(
        "store",
        number(0, 1e9),
        "writes that all routers may make together",
        accepts="0 to 1e9",
        unit="calls/s",
        default=100.0,
    )
    store_timeout_ms: float = _milliseconds("store", "longest wait for an answer", 2_000)
    memory_mb: int = setting(
        "limits",
        whole_number(1, 2**20),
        "memory that this process may use",
        accepts="1 to 1048576",
        unit="MB",
        default=256,
    )
    descriptors: int = setting(
        "limits",
        whole_number(64, 2**20),
        "descriptors that this process may use",
        accepts="64 to 1048576",
        default=1_024,
    )
    threads: int = setting(
        "limits",
        whole_number(1, 4_000),
        "requests in progress at once",
        accepts="1 to 4000",
        unit="requests",
        default=256,
    )
    stop_s: float = _seconds("bounds", "time for a planned stop, before a kill", 8)
    drain_ms: float = _milliseconds(
        "bounds", "time after which a leaving replica gets nothing", 2_000
    )
    configuration_ms: float = _milliseconds(
        "bounds", "time within which a configuration is in force", 2_000
    )
    retry_ratio: float = setting(
        "bounds",
        number(0, 10),
        "repeated attempts for each request, over the fleet",
        accepts="0 to 10",
        default=0.1,
    )
    retry_slack: float = setting(
        "bounds",
        number(0, 1e6),
        "repeated attempts beyond the ratio in one window, over the fleet",
        accepts="0 to 1e6",
        default=10.0,
    )
    retry_window_s: float = _seconds("bounds", "the window of the retry budget", 10)
    retry_start_ms: float = _milliseconds(
        "bounds",
        "time in which all have heard of a router that starts, and a dead one's requests arrived",
        3_000,
    )
    cold_overage: float = setting(
        "bounds",
        number(0, 1e3),
        "what all routers may send to a cold replica, for what its service's bear",
        accepts="0 to 1000",
        default=1.0,
    )
    cold_slack: float = setting(
        "bounds",
        number(0, 1e6),
        "requests a second that a cold replica may get beyond that",
        accepts="0 to 1e6",
        unit="requests/s",
        default=0.0,
    )
    settle_ms: float = _milliseconds(
        "bounds", "time within which an ended request's tokens are settled", 1_500
    )
    metrics_listen: str = setting(
        "metrics",
        address,
        "where scrapers read figures; nowhere where it is empty",
        accepts="IP:port",
        default="",
    )
    log_lines_per_second: int = setting(
        "log",
        whole_number(1, 1_000_000),
        "most lines a second for requests that were answered",
        accepts="1 to 1000000",
        unit="lines/s",
        default=200,
    )
