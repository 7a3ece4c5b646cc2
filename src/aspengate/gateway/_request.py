"""The parsed form of a caller's request."""

from dataclasses import dataclass

from aspengate.identities import bounded_identity


@dataclass(frozen=True)
class TokenBounds:
    """The number of tokens in a request's prompt, and the maximum of its output."""

    prompt: int
    max_output: int

    @property
    def max_total(self) -> int:
        """The maximum number of tokens that the request can use."""
        return self.prompt + self.max_output


@dataclass(frozen=True)
class PromptSegment:
    """A segment of a prompt that other prompts may share, with its length in tokens.

    A long identity is kept as its digest.
    """

    identity: str
    tokens: int

    def __post_init__(self) -> None:
        object.__setattr__(self, "identity", bounded_identity(self.identity))


@dataclass(frozen=True)
class CallerRequest:
    """A complete request of a caller.

    ``received_ms`` and ``deadline_ms`` are in the clock's monotonic time; the deadline is the one
    that the caller set. ``headers`` are the ones to forward unchanged to the replica, and ``key``
    is the caller's API key. ``resumes`` is the id of the request that brought the first event of
    the stream to resume, empty if the caller names none.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    received_ms: float
    deadline_ms: float | None = None
    tokens: TokenBounds | None = None
    prompt_segments: tuple[PromptSegment, ...] = ()
    model: str = ""
    last_event_id: str = ""
    resumes: str = ""
    length_hint: float | None = None
