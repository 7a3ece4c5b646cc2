"""Model checking of the core protocol from a small specification, by an SMT solver."""

from aspengate.verification._checker import (
    Finding,
    TraceStep,
    check_model,
    find_counterexample,
    findings_text,
    prove_inductive,
)
from aspengate.verification._claims import claims_model
from aspengate.verification._model import Model, State, Transition
from aspengate.verification._money import money_model
from aspengate.verification._versions import versions_model

MODELS = (money_model, claims_model, versions_model)

__all__ = [
    "MODELS",
    "Finding",
    "Model",
    "State",
    "TraceStep",
    "Transition",
    "check_model",
    "claims_model",
    "find_counterexample",
    "findings_text",
    "money_model",
    "prove_inductive",
    "versions_model",
]
