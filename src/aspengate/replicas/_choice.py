"""Chooses a replica for a request: where its prompt is held, bounded by how busy that one is."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from aspengate.replicas._parts import PartMemory
from aspengate.replicas._view import ReplicaView

# A prompt token takes an engine about this long to read; the users' sheet gives 50.7 a
# millisecond. Only the proportion to the other terms matters.
_READ_MS_A_TOKEN = 1 / 50.0
_FIRST_TOKEN_MS = 25.0
_RUNNING_MS = 4.0
_OTHER_DOMAIN_MS = 2.0
_RANK_PART = 1.0
_MEMORY_MS = 30_000.0
_FAILURE_MS = 2_000.0
_PLAIN_FAILURE_MS = 500.0
_AVOIDED_MS = 10_000.0


@dataclass(frozen=True)
class PromptShape:
    """A request's prompt: shared parts as (identity, tokens), and the tokens that are its own."""

    shared: tuple[tuple[str, int], ...] = ()
    own_tokens: int = 0

    @property
    def anchor(self) -> str:
        """The deepest shared part, which decides where requests that share it meet."""
        return self.shared[-1][0] if self.shared else ""

    @property
    def tokens(self) -> int:
        """The tokens of the whole prompt."""
        return self.own_tokens + sum(tokens for _, tokens in self.shared)


@dataclass(frozen=True)
class Candidate:
    """A replica with the expected cost of a request there.

    ``cost_ms`` is what replicas are compared by; ``first_ms`` is when the first token is
    expected, and ``read_ms`` how much of that the request's own prompt takes.
    """

    view: ReplicaView
    cost_ms: float
    first_ms: float = 0.0
    read_ms: float = 0.0


class ReplicaChooser:
    """Scores replicas; all routers rank them alike for a part, without a message."""

    def __init__(self, parts: PartMemory, failure_domain: str) -> None:
        self.parts = parts
        self.failure_domain = failure_domain

    def choose(
        self, views: Sequence[ReplicaView], prompt: PromptShape, tie: float, now_ms: float
    ) -> Candidate:
        """Return the cheapest of ``views``, which are never empty; ``tie`` in [0, 1) rotates."""
        start = int(tie * len(views))
        rotated = (*views[start:], *views[:start])
        if not prompt.tokens:
            candidates = [self._plain(view, now_ms) for view in rotated]
        else:
            ranks = _ranks(views, prompt.anchor)
            held = {part: self._fresh_holders(part, now_ms) for part, _ in prompt.shared}
            candidates = [
                self._engine(view, prompt, held, ranks.get(view.identity, 0), now_ms)
                for view in rotated
            ]
        return min(candidates, key=lambda each: each.cost_ms)

    def _plain(self, view: ReplicaView, now_ms: float) -> Candidate:
        waiting = view.in_flight / max(1, view.replica.slots)
        first_ms = view.answer_ms * (1 + waiting)
        cost = first_ms + self._distance_ms(view)
        return Candidate(view, cost + _trouble_ms(view, now_ms, _PLAIN_FAILURE_MS), first_ms)

    def _engine(
        self,
        view: ReplicaView,
        prompt: PromptShape,
        held: dict[str, frozenset[str]],
        rank: int,
        now_ms: float,
    ) -> Candidate:
        unread = 0
        still_held = True
        for part, tokens in prompt.shared:
            still_held = still_held and view.identity in held[part]
            if not still_held:
                unread += tokens
        shared_ms = read_ms(prompt.tokens - prompt.own_tokens)
        own_ms = read_ms(prompt.own_tokens)
        rank_ms = _RANK_PART * shared_ms * min(rank, 2)
        backlog_ms = view.backlog_ms
        cost = read_ms(unread) + rank_ms + backlog_ms * view.pace + self._distance_ms(view)
        cost += _RUNNING_MS * view.in_flight
        cost += _trouble_ms(view, now_ms, _FAILURE_MS)
        prompt_ms = read_ms(unread) + own_ms
        return Candidate(view, cost, _FIRST_TOKEN_MS + backlog_ms + prompt_ms, prompt_ms)

    def _distance_ms(self, view: ReplicaView) -> float:
        is_near = view.replica.failure_domain == self.failure_domain
        return 0.0 if is_near else _OTHER_DOMAIN_MS

    def _fresh_holders(self, part: str, now_ms: float) -> frozenset[str]:
        holders = self.parts.holders(part)
        return frozenset(name for name, at in holders.items() if now_ms - at <= _MEMORY_MS)


def read_ms(tokens: int) -> float:
    """Return about how long an engine takes to read ``tokens`` of a prompt."""
    return tokens * _READ_MS_A_TOKEN


def _trouble_ms(view: ReplicaView, now_ms: float, failure_ms: float) -> float:
    """Return what a replica's recent failures and silence add to its cost."""
    avoided = now_ms < view.avoid_until_ms or view.is_silent(now_ms)
    return view.failure_rate(now_ms) * failure_ms + (_AVOIDED_MS if avoided else 0.0)


def _ranks(views: Sequence[ReplicaView], anchor: str) -> dict[str, int]:
    """Return each replica's place for a part, the same at every router (rendezvous hashing)."""
    if not anchor:
        return {}

    def weight(view: ReplicaView) -> int:
        return xxhash.xxh64_intdigest(f"{anchor}/{view.identity}".encode())

    ordered = sorted(views, key=weight, reverse=True)
    return {view.identity: place for place, view in enumerate(ordered)}
