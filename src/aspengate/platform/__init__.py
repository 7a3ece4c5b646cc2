"""How the users' platform speaks: its names, formats and calls. Nothing here decides."""

from aspengate.platform._client import PlatformStore
from aspengate.platform._deployment import PlatformDeployment
from aspengate.platform._headers import PlatformHeaderCodec
from aspengate.platform._records import read_configuration, read_replica

__all__ = [
    "PlatformDeployment",
    "PlatformHeaderCodec",
    "PlatformStore",
    "read_configuration",
    "read_replica",
]
