"""The operators' configuration of the fleet, and the holder of the version in force."""

from aspengate.configuration._holder import ConfigurationHolder
from aspengate.configuration._model import (
    CallerLimits,
    ClientAccount,
    Engine,
    FleetConfiguration,
    Route,
    RouteKind,
    Service,
    WeightedService,
)

__all__ = [
    "CallerLimits",
    "ClientAccount",
    "ConfigurationHolder",
    "Engine",
    "FleetConfiguration",
    "Route",
    "RouteKind",
    "Service",
    "WeightedService",
]
