"""The specification of configuration: versions in the store and in one process.

``offered`` is a version on its way from an old relay or a late answer.
"""

from collections.abc import Mapping

import z3

from aspengate.verification._model import Expression, Model, State, Transition, Update

HIGHER_ONLY = "only a higher version is applied"
ONE_WRITE = "a version is taken by compare-and-swap"
RULES = (HIGHER_ONLY, ONE_WRITE)
_DEPTH = 8


def versions_model(removed: str = "") -> Model:
    """Return the specification without the rule named ``removed``."""
    names = ("accepted", "edits", "in_force", "highest_in_force", "offered", "first", "second")
    return Model(
        name="versions",
        variables=dict.fromkeys(names, int),
        initial=lambda state: z3.And(*(state[name] == 0 for name in names)),
        transitions=(
            _operator_reads("first"),
            _operator_reads("second"),
            _operator_writes("first", removed),
            _operator_writes("second", removed),
            _relay_sends(),
            _process_applies(removed),
        ),
        properties={
            "never reverts": lambda state: state["in_force"] == state["highest_in_force"],
            "no edit is lost": lambda state: state["accepted"] == state["edits"],
            "only accepted versions": lambda state: state["in_force"] <= state["accepted"],
        },
        invariant=_invariant,
        rules=RULES,
        depth=_DEPTH,
    )


def _invariant(state: State) -> Expression:
    return z3.And(
        state["in_force"] == state["highest_in_force"],
        state["accepted"] == state["edits"],
        state["in_force"] <= state["accepted"],
        state["offered"] <= state["accepted"],
        state["offered"] >= 0,
        state["in_force"] >= 0,
    )


def _operator_reads(operator: str) -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        return z3.BoolVal(True), {operator: state["accepted"]}

    return Transition(f"the {operator} operator reads", (), step)


def _operator_writes(operator: str, removed: str) -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        fresh = z3.BoolVal(True) if removed == ONE_WRITE else state[operator] == state["accepted"]
        return fresh, {"accepted": state[operator] + 1, "edits": state["edits"] + 1}

    return Transition(f"the {operator} operator's edit is accepted", (), step)


def _relay_sends() -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        version = chosen["version"]
        return z3.And(version >= 0, version <= state["accepted"]), {"offered": version}

    return Transition("a relay offers a version, maybe an old one", ("version",), step)


def _process_applies(removed: str) -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        higher = state["offered"] > state["in_force"]
        guard = z3.BoolVal(True) if removed == HIGHER_ONLY else higher
        highest = z3.If(higher, state["offered"], state["highest_in_force"])
        return guard, {"in_force": state["offered"], "highest_in_force": highest}

    return Transition("the process applies what is offered", (), step)
