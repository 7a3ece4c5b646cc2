"""The replicas that are known, how they do, and which of them a request may go to."""

from aspengate.replicas._registry import ReplicaRegistry, ReplicaView
from aspengate.replicas._replica import Replica, ReplicaState

__all__ = ["Replica", "ReplicaRegistry", "ReplicaState", "ReplicaView"]
