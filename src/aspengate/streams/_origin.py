"""Where a stream began, and the version that it may continue at."""

from dataclasses import dataclass

from aspengate.identities import bounded_identity


@dataclass(frozen=True)
class StreamKey:
    """Identifies a stream by its caller's account and the request that brought its first event.

    A long id is kept as its digest.
    """

    account: str
    request_id: str

    def __post_init__(self) -> None:
        object.__setattr__(self, "request_id", bounded_identity(self.request_id))


@dataclass(frozen=True)
class StreamOrigin:
    """The replica that sent a stream's first event, by id, with its service and version.

    ``version`` is None if it is uncertain, because the replica's record was changing.
    """

    service: str
    version: str | None
    replica: str


@dataclass(frozen=True)
class VersionPin:
    """Restricts a stream to the version that began it; None if that is uncertain."""

    version: str | None

    def admits(self, version: str) -> bool:
        """Return whether the stream may continue at a replica of ``version``."""
        return self.version is not None and version == self.version
