"""Adapters to the users' platform: its store API, HTTP headers and record formats.

Only this package contains the platform's names. It converts and makes no decisions.
"""

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
