"""Failure domains that the operator evacuates: their replicas are to get nothing."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Evacuation:
    """The operator's request to send nothing to a failure domain, until it is withdrawn.

    ``revision`` is the store's revision of that request.
    """

    failure_domain: str
    revision: int
