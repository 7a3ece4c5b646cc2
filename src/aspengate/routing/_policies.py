"""Policies that choose among candidates, in a registry by name."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from aspengate.routing._candidates import Candidate

_PREFIX_HIT_WORTH = 0.3
_DISTANCE_COST = (0.0, 0.1, 2.0)


@dataclass
class ChoiceContext:
    """What a policy keeps between choices: a seeded generator and a turn counter."""

    generator: random.Random = field(default_factory=random.Random)
    turn: int = 0


class Policy(Protocol):
    """Chooses one of the candidates, which are never empty."""

    def __call__(self, candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
        """Return the chosen candidate."""


_POLICIES: dict[str, Policy] = {}


def register_policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy under a name that settings and experiments use."""

    def register(policy: Policy) -> Policy:
        _POLICIES[name] = policy
        return policy

    return register


def open_policy(name: str) -> Policy:
    """Return the policy registered under ``name``; raises KeyError."""
    return _POLICIES[name]


def policy_names() -> tuple[str, ...]:
    """Return the names of all policies."""
    return tuple(_POLICIES)


@register_policy("random")
def choose_random(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose any candidate with equal chance; a baseline."""
    return context.generator.choice(candidates)


@register_policy("round_robin")
def choose_round_robin(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose the candidates in turn; a baseline."""
    context.turn += 1
    return candidates[context.turn % len(candidates)]


@register_policy("least_in_flight")
def choose_least_in_flight(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose the candidate with the fewest of this router's own requests; a baseline."""
    least = min(candidate.state.in_flight for candidate in candidates)
    return context.generator.choice(
        [candidate for candidate in candidates if candidate.state.in_flight == least]
    )


@register_policy("two_choices")
def choose_two(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose the less loaded of two random candidates; a baseline."""
    pair = [context.generator.choice(candidates) for _ in range(2)]
    return min(pair, key=lambda candidate: candidate.state.in_flight)


@register_policy("weighted_score")
def choose_by_score(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose the lowest score of expected wait, distance and prefix hits.

    Ties, and near ties that a stale report can't tell apart, are broken at random so that many
    routers do not all choose the same upstream.
    """
    scored = [(score(candidate), candidate) for candidate in candidates]
    best = min(value for value, _ in scored)
    near = [candidate for value, candidate in scored if value <= best + _NEAR_TIE]
    return context.generator.choice(near)


_NEAR_TIE = 0.1


def score(candidate: Candidate) -> float:
    """Return how costly a candidate is, in requests ahead; lower is better."""
    distance = _DISTANCE_COST[min(candidate.distance, len(_DISTANCE_COST) - 1)]
    return candidate.expected_wait + distance - _PREFIX_HIT_WORTH * candidate.prefix_hits
