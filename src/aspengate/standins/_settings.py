"""Settings of the stand-ins, and how each is made from them."""

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
    """What a stand-in is told at its start."""

    listen: str = setting("stand-in", address, "where it is reached", accepts="IP:port")
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


_MAKERS: dict[str, Callable[[StandInSettings], WsgiApplication]] = {
    "store": lambda settings: StoreApplication(MemoryStore()),
    "instances": lambda settings: InstanceApplication(StandInInstanceList(settings.lag_ms)),
    "engine": lambda settings: EngineApplication(settings.token_ms, settings.prefill_ms),
    "service": lambda settings: ServiceApplication(settings.work_ms),
}


def make_stand_in(kind: str, settings: StandInSettings) -> WsgiApplication:
    """Return the application of a stand-in; raises BAD_REQUEST for an unknown kind."""
    maker = _MAKERS.get(kind)
    if maker is None:
        known = ", ".join(_MAKERS)
        raise AspengateError(ErrorKind.BAD_REQUEST, f"no stand-in {kind!r}; known: {known}")
    return maker(settings)
