"""The steps of the pipeline, one module each, in a registry by name."""

from aspengate.router.filters._authenticate import Authenticate
from aspengate.router.filters._choose import Choose
from aspengate.router.filters._claim import Claim
from aspengate.router.filters._dispatch import Dispatcher
from aspengate.router.filters._limit import Limit
from aspengate.router.filters._registry import FilterParts, make_filters, register_filter
from aspengate.router.filters._reserve import Reserve

__all__ = [
    "Authenticate",
    "Choose",
    "Claim",
    "Dispatcher",
    "FilterParts",
    "Limit",
    "Reserve",
    "make_filters",
    "register_filter",
]
