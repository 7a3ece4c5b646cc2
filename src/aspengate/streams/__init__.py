"""The software version that each stream began at, which is the only one that may continue it.

This package makes decisions only: it has no I/O and no threads.
"""

from aspengate.streams._changed_replicas import ChangedReplica, ChangedReplicas
from aspengate.streams._origin import StreamKey, StreamOrigin, VersionPin
from aspengate.streams._origins import RecordedOrigin, StreamOrigins
from aspengate.streams._version_history import ListedVersions, VersionChanges, VersionHistory

__all__ = [
    "ChangedReplica",
    "ChangedReplicas",
    "ListedVersions",
    "RecordedOrigin",
    "StreamKey",
    "StreamOrigin",
    "StreamOrigins",
    "VersionChanges",
    "VersionHistory",
    "VersionPin",
]
