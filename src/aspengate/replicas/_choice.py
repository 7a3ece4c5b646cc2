"""Chooses a replica for a request: where its prompt is held, bounded by how busy that one is."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from aspengate.replicas._parts import PartMemory
from aspengate.replicas._registry import ReplicaView

# A prompt token takes an engine about this long to read; the users' sheet gives 50.7 a
# millisecond. Only the proportion to the other terms matters.
_READ_MS_A_TOKEN = 1 / 50.0
_RUNNING_MS = 4.0
_PLAIN_RUNNING_MS = 20.0
_OTHER_DOMAIN_MS = 2.0
_RANK_PART = 0.35
_MEMORY_MS = 30_000.0


@dataclass(frozen=True)
class PromptShape:
    """A request's prompt: shared parts as (identity, tokens), and the tokens that are its own."""

    shared: tuple[tuple[str, int], ...] = ()
    own_tokens: int = 0

    @property
    def anchor(self) -> str:
        """The deepest shared part, which decides where requests that share it meet."""
        return self.shared[-1][0] if self.shared else ""


@dataclass(frozen=True)
class Candidate:
    """A replica with the expected cost of a request there, in milliseconds."""

    view: ReplicaView
    cost_ms: float
    unread_tokens: int


class ReplicaChooser:
    """Scores replicas; all routers rank them alike for a part, without a message."""

    def __init__(self, parts: PartMemory, failure_domain: str) -> None:
        self.parts = parts
        self.failure_domain = failure_domain

    def choose(
        self, views: Sequence[ReplicaView], prompt: PromptShape, tie: float, now_ms: float
    ) -> Candidate:
        """Return the cheapest of ``views``, which are never empty; ``tie`` in [0, 1) rotates."""
        ranks = _ranks(views, prompt.anchor)
        held = {part: self._fresh_holders(part, now_ms) for part, _ in prompt.shared}
        start = int(tie * len(views))
        rotated = (*views[start:], *views[:start])
        candidates = [
            self._candidate(view, prompt, held, ranks.get(view.identity, 0)) for view in rotated
        ]
        return min(candidates, key=lambda each: each.cost_ms)

    def _candidate(
        self,
        view: ReplicaView,
        prompt: PromptShape,
        held: dict[str, frozenset[str]],
        rank: int,
    ) -> Candidate:
        unread = 0
        still_held = True
        for part, tokens in prompt.shared:
            still_held = still_held and view.identity in held[part]
            if not still_held:
                unread += tokens
        shared_ms = sum(tokens for _, tokens in prompt.shared) * _READ_MS_A_TOKEN
        unread_ms = unread * _READ_MS_A_TOKEN
        rank_ms = _RANK_PART * shared_ms * min(rank, 2)
        distance_ms = (
            0.0 if view.replica.failure_domain == self.failure_domain else _OTHER_DOMAIN_MS
        )
        running_ms = _RUNNING_MS if prompt.own_tokens else _PLAIN_RUNNING_MS
        cost = unread_ms + rank_ms + distance_ms + view.backlog_ms + running_ms * view.in_flight
        return Candidate(view, cost, unread + prompt.own_tokens)

    def _fresh_holders(self, part: str, now_ms: float) -> frozenset[str]:
        holders = self.parts.holders(part)
        return frozenset(name for name, at in holders.items() if now_ms - at <= _MEMORY_MS)


def read_ms(tokens: int) -> float:
    """Return about how long an engine takes to read ``tokens`` of a prompt."""
    return tokens * _READ_MS_A_TOKEN


def _ranks(views: Sequence[ReplicaView], anchor: str) -> dict[str, int]:
    """Return each replica's place for a part, the same at every router (rendezvous hashing)."""
    if not anchor:
        return {}

    def weight(view: ReplicaView) -> int:
        return xxhash.xxh64_intdigest(f"{anchor}/{view.identity}".encode())

    ordered = sorted(views, key=weight, reverse=True)
    return {view.identity: place for place, view in enumerate(ordered)}
