"""Settings of the gateway process."""

from dataclasses import dataclass

from aspengate.errors import AspengateError, ErrorKind
from aspengate.serving import ListenerLimits
from aspengate.settings import address, names, number, setting, whole_number
from aspengate.topology import Topology, parse_regions

_MAX_MS = 86_400_000
_MAX_S = 86_400
_BUFFER_FRACTION = 4


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


def _connections(place: str, default: int) -> int:
    parsed: int = setting(
        "limits",
        whole_number(1, 2**20),
        f"maximum connections to the {place}; the oldest without a request are closed",
        accepts="1 to 1048576",
        default=default,
    )
    return parsed


def port_range(text: str) -> range:
    """Parse a port range ``FIRST-LAST``; raises ValueError if it is empty or invalid."""
    first, _, last = text.partition("-")
    found = range(int(first), int(last) + 1)
    if not found or found.start < 0 or found.stop > 2**16:
        raise ValueError(text)
    return found


def optional_names(text: str) -> tuple[str, ...]:
    """Parse values separated by commas; the list may be empty."""
    return names(text) if text.strip(", ") else ()


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings that a gateway reads at its start."""

    name: str = setting("instance", str, "name of this process", accepts="a name")
    listen: str = setting("instance", address, "address for callers", accepts="IP:port")
    ready_listen: str = setting(
        "instance",
        address,
        "address of the readiness check for the load balancer",
        accepts="IP:port",
    )
    failure_domain: str = setting(
        "instance", str, "failure domain of this process", accepts="a name"
    )
    region: str = setting(
        "instance",
        str,
        "region of this process; that of its failure domain in `regions` if empty",
        accepts="a name",
        default="",
    )
    peer_ports: range = setting(
        "peers",
        port_range,
        "ports for communication between routers",
        accepts="FIRST-LAST",
        default=range(7340, 7356),
    )
    seeds: tuple[str, ...] = setting(
        "peers",
        optional_names,
        "addresses of routers to contact at a start",
        accepts="IP:port, separated by commas",
        default=(),
    )
    regions: tuple[tuple[str, str], ...] = setting(
        "peers",
        parse_regions,
        "region of each failure domain; all are in one region if empty",
        accepts="DOMAIN:REGION, separated by commas",
        default=(),
    )
    store: str = setting("store", address, "address of the key-value store", accepts="IP:port")
    writes_per_second: float = setting(
        "store",
        number(0, 1e9),
        "maximum rate of writes by all routers together",
        accepts="0 to 1e9",
        unit="calls/s",
        default=100.0,
    )
    store_timeout_ms: float = _milliseconds("store", "time limit of a store call", 2_000)
    memory_mb: int = setting(
        "limits",
        whole_number(1, 2**20),
        "maximum memory of this process",
        accepts="1 to 1048576",
        unit="MB",
        default=256,
    )
    descriptors: int = setting(
        "limits",
        whole_number(64, 2**20),
        "maximum number of descriptors of this process",
        accepts="64 to 1048576",
        default=1_024,
    )
    buffer_mb: int = setting(
        "limits",
        whole_number(0, 2**20),
        "maximum memory of requests and responses in progress; a quarter of `memory_mb` if 0",
        accepts="0 to 1048576",
        unit="MB",
        default=0,
    )
    min_body_rate: float = setting(
        "limits",
        number(1, 1e9),
        "minimum rate at which a request's body arrives; a slower one times out",
        accepts="1 to 1e9",
        unit="bytes/s",
        default=1_000.0,
    )
    chunk_line_bytes: int = setting(
        "limits",
        whole_number(16, 2**20),
        "maximum length of a line with the size of a chunk; longer ones are refused",
        accepts="16 to 1048576",
        unit="bytes",
        default=1_024,
    )
    socket_buffer_kb: int = setting(
        "limits",
        whole_number(4, 2**14),
        "size of the kernel's buffers for a caller's connection, in either direction",
        accepts="4 to 16384",
        unit="KB",
        default=32,
    )
    ready_connections: int = _connections("readiness address", 64)
    metrics_connections: int = _connections("metrics address", 16)
    peer_connections: int = _connections("address for other routers", 512)
    listener_head_bytes: int = setting(
        "limits",
        whole_number(512, 2**20),
        "maximum length of a request's head at these three addresses",
        accepts="512 to 1048576",
        unit="bytes",
        default=8_192,
    )
    threads: int = setting(
        "limits",
        whole_number(1, 4_000),
        "maximum number of concurrent requests",
        accepts="1 to 4000",
        unit="requests",
        default=256,
    )
    stop_s: float = _seconds(
        "bounds", "duration of a planned stop, before the process is killed", 8
    )
    drain_ms: float = _milliseconds(
        "bounds", "time limit after which a leaving replica receives no requests", 2_000
    )
    configuration_ms: float = _milliseconds(
        "bounds", "time limit for a new configuration to take effect", 2_000
    )
    retry_ratio: float = setting(
        "bounds",
        number(0, 10),
        "retries for each request, over the fleet",
        accepts="0 to 10",
        default=0.1,
    )
    retry_slack: float = setting(
        "bounds",
        number(0, 1e6),
        "retries beyond the ratio in one window, over the fleet",
        accepts="0 to 1e6",
        default=10.0,
    )
    retry_window_s: float = _seconds("bounds", "window of the retry budget", 10)
    retry_start_ms: float = _milliseconds(
        "bounds",
        "time until all routers know a new one, and a killed one's requests have arrived",
        3_000,
    )
    cold_overage: float = setting(
        "bounds",
        number(0, 1e3),
        "maximum load of a cold replica, relative to what its service's replicas sustain",
        accepts="0 to 1000",
        default=1.0,
    )
    cold_slack: float = setting(
        "bounds",
        number(0, 1e6),
        "additional requests a second for a cold replica",
        accepts="0 to 1e6",
        unit="requests/s",
        default=0.0,
    )
    exposure_share: float = setting(
        "bounds",
        number(0, 1),
        "maximum share of a service's requests for a bad version, of all routers; 0: no rollouts",
        accepts="0 to 1",
        default=0.0,
    )
    exposure_slack: float = setting(
        "bounds",
        number(0, 1e6),
        "requests for a bad version beyond the share, of all routers",
        accepts="0 to 1e6",
        unit="requests",
        default=50.0,
    )
    rollback_ms: float = _milliseconds(
        "bounds", "time limit after which a version known as bad receives no requests", 5_000
    )
    settle_ms: float = _milliseconds(
        "bounds", "time limit for settling the tokens of a finished request", 1_500
    )
    metrics_listen: str = setting(
        "metrics",
        address,
        "address of the metrics endpoint; disabled if empty",
        accepts="IP:port",
        default="",
    )
    log_lines_per_second: int = setting(
        "log",
        whole_number(1, 1_000_000),
        "maximum log lines a second for answered requests",
        accepts="1 to 1000000",
        unit="lines/s",
        default=200,
    )

    def __post_init__(self) -> None:
        listed = dict(self.regions).get(self.failure_domain, "")
        if self.region and listed and listed != self.region:
            message = f"{self.region!r} is not the region of {self.failure_domain!r} in [peers]"
            raise AspengateError(ErrorKind.BAD_REQUEST, message, where="[instance] region")
        if self.regions and not (self.region or listed):
            message = f"is needed: [peers] regions has no region of {self.failure_domain!r}"
            raise AspengateError(ErrorKind.BAD_REQUEST, message, where="[instance] region")

    @property
    def buffer_bytes(self) -> int:
        """The maximum memory of requests and responses in progress, in bytes."""
        return int((self.buffer_mb or self.memory_mb / _BUFFER_FRACTION) * 2**20)

    def listener_limits(self, listener: str) -> ListenerLimits:
        """Return the limits at the address ``listener``: ``ready``, ``metrics`` or ``peer``."""
        connections = {
            "ready": self.ready_connections,
            "metrics": self.metrics_connections,
            "peer": self.peer_connections,
        }
        return ListenerLimits(connections[listener], self.listener_head_bytes)

    @property
    def topology(self) -> Topology:
        """The regions of the failure domains, as seen from this process."""
        regions = dict(self.regions)
        region = self.region or regions.get(self.failure_domain, "")
        return Topology(self.failure_domain, region, regions)
