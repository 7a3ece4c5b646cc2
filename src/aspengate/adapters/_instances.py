"""Client of the platform's list of live and leaving instances."""

import enum
import http.client
from typing import Protocol

import msgspec

from aspengate.connections import StrictHTTPConnection
from aspengate.errors import AspengateError, ErrorKind

_CALL_TIMEOUT_S = 3.0


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One process of the fleet, as listed by the platform.

    ``role`` is ``router`` or ``agent``; ``service`` is the service of an agent's upstream;
    ``upstream`` is the upstream's name in the operators' table.
    """

    name: str
    role: str
    address: str
    region: str
    failure_domain: str
    service: str = ""
    upstream: str = ""
    state: InstanceState = InstanceState.LIVE


class InstanceList(Protocol):
    """Interface to the list of instances; the list lags behind the actual state."""

    def instances(self) -> tuple[Instance, ...]:
        """Return all listed instances; raises AspengateError of kind STORE_UNAVAILABLE."""


class HttpInstanceList:
    """Reads the list as JSON from ``http://address/instances``."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._decoder = msgspec.json.Decoder(tuple[Instance, ...])

    def instances(self) -> tuple[Instance, ...]:
        """Return all listed instances."""
        connection = StrictHTTPConnection(self.address, timeout=_CALL_TIMEOUT_S)
        try:
            connection.request("GET", "/instances")
            response = connection.getresponse()
            return self._decoder.decode(response.read())
        except (OSError, http.client.HTTPException, msgspec.MsgspecError) as error:
            raise AspengateError(
                ErrorKind.STORE_UNAVAILABLE, repr(error), where=f"instance list {self.address}"
            ) from error
        finally:
            connection.close()
