"""Selects an upstream for each request."""

from aspengate.routing._candidates import Candidate, UpstreamState
from aspengate.routing._policies import (
    ChoiceContext,
    Policy,
    open_policy,
    policy_names,
    register_policy,
)
from aspengate.routing._prefixes import PrefixMemory, prefix_blocks
from aspengate.routing._registry import UpstreamRegistry

__all__ = [
    "Candidate",
    "ChoiceContext",
    "Policy",
    "PrefixMemory",
    "UpstreamRegistry",
    "UpstreamState",
    "open_policy",
    "policy_names",
    "prefix_blocks",
    "register_policy",
]
