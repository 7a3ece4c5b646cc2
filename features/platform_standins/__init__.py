"""Test doubles of the users' platform, which speak its protocols and inject its faults."""

from platform_standins.client import Answer, Caller
from platform_standins.faults import VersionFault
from platform_standins.fleet import Fleet
from platform_standins.load import SteadyLoad
from platform_standins.operator import Operator
from platform_standins.repeats import repeated, worst_window
from platform_standins.replica import ReplicaStandIn
from platform_standins.store import StoreStandIn

__all__ = [
    "Answer",
    "Caller",
    "Fleet",
    "Operator",
    "ReplicaStandIn",
    "SteadyLoad",
    "StoreStandIn",
    "VersionFault",
    "repeated",
    "worst_window",
]
