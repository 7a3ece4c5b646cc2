"""The admission filters, one module each, in a registry by name."""

from aspengate.gateway.filters._authenticate import Authenticate
from aspengate.gateway.filters._find_route import FindRoute
from aspengate.gateway.filters._registry import FilterDependencies, make_filters, register_filter
from aspengate.gateway.filters._reserve import Reserve, used_tokens
from aspengate.gateway.filters._resume import ResumeStream

__all__ = [
    "Authenticate",
    "FilterDependencies",
    "FindRoute",
    "Reserve",
    "ResumeStream",
    "make_filters",
    "register_filter",
    "used_tokens",
]
