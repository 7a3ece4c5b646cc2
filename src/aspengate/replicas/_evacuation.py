"""Failure domains that the operator evacuates: their replicas get no requests."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Evacuation:
    """The operator's instruction to send nothing to a failure domain until it is withdrawn.

    ``revision`` is the store's revision of the instruction.
    """

    failure_domain: str
    revision: int
