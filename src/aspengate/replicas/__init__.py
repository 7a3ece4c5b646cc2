"""The replicas that are known, how they do, and which of them a request may go to."""

from aspengate.replicas._choice import (
    CHOICE_POLICY,
    Candidate,
    ChoicePolicy,
    PromptShape,
    ReplicaChooser,
)
from aspengate.replicas._evacuation import Evacuation
from aspengate.replicas._limit import LimitStatement
from aspengate.replicas._parts import PartMemory
from aspengate.replicas._pauses import PauseModel
from aspengate.replicas._reading import ReadingModel
from aspengate.replicas._registry import ReplicaRegistry
from aspengate.replicas._replica import Replica, ReplicaState
from aspengate.replicas._standing import Standing
from aspengate.replicas._statement import ReplicaNotice, SelfStatement
from aspengate.replicas._view import ReplicaView, Work

__all__ = [
    "CHOICE_POLICY",
    "Candidate",
    "ChoicePolicy",
    "Evacuation",
    "LimitStatement",
    "PartMemory",
    "PauseModel",
    "PromptShape",
    "ReadingModel",
    "Replica",
    "ReplicaChooser",
    "ReplicaNotice",
    "ReplicaRegistry",
    "ReplicaState",
    "ReplicaView",
    "SelfStatement",
    "Standing",
    "Work",
]
