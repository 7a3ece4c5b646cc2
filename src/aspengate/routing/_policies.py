"""Provides the policies that choose among candidates, registered by name."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from aspengate.routing._candidates import Candidate

_PREFIX_HIT_WEIGHT = 0.3
_DISTANCE_COST = (0.0, 0.1, 2.0)


@dataclass
class ChoiceContext:
    """Holds a policy's state between choices: a generator, possibly seeded, and a turn counter."""

    generator: random.Random = field(default_factory=random.Random)
    turn: int = 0


class Policy(Protocol):
    """Chooses one of the given candidates, of which there is at least one."""

    def __call__(self, candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
        """Return the chosen candidate."""


_POLICIES: dict[str, Policy] = {}


def register_policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under a name for settings and experiments."""

    def register(policy: Policy) -> Policy:
        _POLICIES[name] = policy
        return policy

    return register


def open_policy(name: str) -> Policy:
    """Return the policy registered under ``name``; raises KeyError if there is none."""
    return _POLICIES[name]


def policy_names() -> tuple[str, ...]:
    """Return the names of all registered policies, in the order of registration."""
    return tuple(_POLICIES)


@register_policy("random")
def choose_random(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose a candidate uniformly at random; a baseline."""
    return context.generator.choice(candidates)


@register_policy("round_robin")
def choose_round_robin(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose the candidates in turn; a baseline."""
    context.turn += 1
    return candidates[context.turn % len(candidates)]


@register_policy("least_in_flight")
def choose_least_in_flight(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose a candidate with the fewest in-flight requests of this router; a baseline."""
    fewest = min(candidate.state.in_flight for candidate in candidates)
    return context.generator.choice(
        [candidate for candidate in candidates if candidate.state.in_flight == fewest]
    )


@register_policy("two_choices")
def choose_power_of_two(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose the one of two random candidates with fewer in-flight requests; a baseline."""
    pair = [context.generator.choice(candidates) for _ in range(2)]
    return min(pair, key=lambda candidate: candidate.state.in_flight)


@register_policy("weighted_score")
def choose_by_score(candidates: Sequence[Candidate], context: ChoiceContext) -> Candidate:
    """Choose a candidate with the lowest score of expected wait, distance and prefix hits.

    Scores within 0.1 of the lowest count as ties, since outdated load reports cannot distinguish
    them. Ties are broken at random so that many routers do not all choose the same upstream.
    """
    scored = [(score(candidate), candidate) for candidate in candidates]
    best = min(value for value, _ in scored)
    tied = [candidate for value, candidate in scored if value <= best + _TIE_MARGIN]
    return context.generator.choice(tied)


_TIE_MARGIN = 0.1


def score(candidate: Candidate) -> float:
    """Return the cost of a candidate, in queued requests; lower is better."""
    distance = _DISTANCE_COST[min(candidate.distance, len(_DISTANCE_COST) - 1)]
    return candidate.expected_wait + distance - _PREFIX_HIT_WEIGHT * candidate.prefix_hits
