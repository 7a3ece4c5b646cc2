"""Rollouts in the running gateway: orders, documents, decisions, evidence and their messages."""

from aspengate.gateway.rollouts._documents import document_order
from aspengate.gateway.rollouts._rollouts import RolloutFleet, Rollouts
from aspengate.gateway.rollouts._traffic import CohortAttempt, RolloutTraffic

__all__ = ["CohortAttempt", "RolloutFleet", "RolloutTraffic", "Rollouts", "document_order"]
