"""Settings of the stand-ins, and their construction from settings."""

from collections.abc import Callable
from dataclasses import dataclass

from aspengate.errors import AspengateError, ErrorKind
from aspengate.serving import WsgiApplication
from aspengate.settings import address, number, setting
from aspengate.standins._engine import EngineApplication
from aspengate.standins._instances import InstanceApplication, StandInInstanceList
from aspengate.standins._service import ServiceApplication
from aspengate.standins._store import MemoryStore, StoreApplication


@dataclass(frozen=True)
class StandInSettings:
    """Settings of one stand-in process; each kind uses only those that apply to it."""

    listen: str = setting("stand-in", address, "address for its clients", accepts="IP:port")
    token_ms: float = setting(
        "stand-in",
        number(0, 10_000),
        "time between an engine's tokens",
        accepts="0 to 10000",
        unit="ms",
        default=20.0,
    )
    prefill_ms: float = setting(
        "stand-in",
        number(0, 60_000),
        "time to an engine's first token",
        accepts="0 to 60000",
        unit="ms",
        default=50.0,
    )
    work_ms: float = setting(
        "stand-in",
        number(0, 60_000),
        "time of a plain service's call",
        accepts="0 to 60000",
        unit="ms",
        default=5.0,
    )
    lag_ms: float = setting(
        "stand-in",
        number(0, 60_000),
        "lag of the instance list",
        accepts="0 to 60000",
        unit="ms",
        default=500.0,
    )


_FACTORIES: dict[str, Callable[[StandInSettings], WsgiApplication]] = {
    "store": lambda settings: StoreApplication(MemoryStore()),
    "instances": lambda settings: InstanceApplication(StandInInstanceList(settings.lag_ms)),
    "engine": lambda settings: EngineApplication(settings.token_ms, settings.prefill_ms),
    "service": lambda settings: ServiceApplication(settings.work_ms),
}


def make_stand_in(kind: str, settings: StandInSettings) -> WsgiApplication:
    """Return the WSGI application of a stand-in; raises BAD_REQUEST for an unknown kind."""
    factory = _FACTORIES.get(kind)
    if factory is None:
        known = ", ".join(_FACTORIES)
        raise AspengateError(ErrorKind.BAD_REQUEST, f"no stand-in {kind!r}; known: {known}")
    return factory(settings)
