"""A caller's request, as the gateway decides on it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class TokenBounds:
    """The tokens of a request's prompt, and the most that may come out."""

    prompt: int
    max_output: int

    @property
    def max_total(self) -> int:
        """The most tokens that the request can use."""
        return self.prompt + self.max_output


@dataclass(frozen=True)
class PromptSegment:
    """A part of a prompt that other prompts may share, with its length in tokens."""

    identity: str
    tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """One request of a caller, whole.

    ``received_ms`` and ``deadline_ms`` are in the clock's monotonic time; the deadline is the
    caller's own. ``headers`` are those that a replica is to get unchanged.
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
    length_hint: float | None = None
