"""The specification of claims: one key, an owner, its successor, and an agent.

Clocks differ by at most the clock error. The first owner may be paused between deciding and
sending: a ticket that it gave stays in flight as long as it likes.

Two things that the code does are left out here, since safety does not need them, and the checker
found nothing with them removed: the owner stops granting before its lease ends (the agents refuse
such tickets anyway), and agents hand the claims that they started to the successor (the rule of
births refuses those keys anyway; the handover lets a retry find its answer).
"""

from collections.abc import Mapping

import z3

from aspengate.claims import KeyTimes
from aspengate.verification._model import Expression, Model, State, Transition, Update

BIRTH = "birth-time rule"
FENCE = "fence at the agent"
DEADLINE = "ticket's time at the agent"
FUTURE = "births from the future are refused"
RULES = (BIRTH, FENCE, DEADLINE, FUTURE)
_TIMES = KeyTimes()
_ERROR = _TIMES.clock_error_ms
_HALF_ERROR = _ERROR // 2
_DEPTH = 12


def claims_model(removed: str = "") -> Model:
    """Return the specification without the rule named ``removed``."""
    return Model(
        name="claims",
        variables={
            "now": int,
            "first_clock": int,
            "second_clock": int,
            "agent_clock": int,
            "birth": int,
            "lease_end": int,
            "tenure_start": int,
            "runs": int,
            "second_owns": bool,
            "fenced": bool,
            "first_ticket": bool,
            "first_granted": bool,
            "second_ticket": bool,
            "second_granted": bool,
        },
        initial=_initial,
        transitions=(
            _time_passes(),
            _first_grants(removed),
            _ticket_arrives("first", removed),
            _fence(),
            _fence_is_forgotten(),
            _takeover(),
            _second_grants(removed),
            _ticket_arrives("second", removed),
        ),
        properties={"runs at most once": lambda state: state["runs"] <= 1},
        invariant=_invariant,
        rules=RULES,
        depth=_DEPTH,
    )


def _clocks_agree(state: State) -> Expression:
    return z3.And(
        *(
            z3.And(state[name] >= -_HALF_ERROR, state[name] <= _HALF_ERROR)
            for name in ("first_clock", "second_clock", "agent_clock")
        )
    )


def _invariant(state: State) -> Expression:
    """Return the inductive invariant: what ran and what may still run never add up to two."""
    first_ran = z3.And(state["first_granted"], z3.Not(state["first_ticket"]))
    second_ran = z3.And(state["second_granted"], z3.Not(state["second_ticket"]))
    first_now = state["now"] + state["first_clock"]
    known_births = state["tenure_start"] + _TIMES.future_tolerance_ms + _ERROR
    lapsed = state["now"] > state["lease_end"] + _HALF_ERROR
    return z3.And(
        _clocks_agree(state),
        state["runs"] == z3.If(first_ran, 1, 0) + z3.If(second_ran, 1, 0),
        z3.Implies(state["first_ticket"], state["first_granted"]),
        z3.Implies(state["second_ticket"], state["second_granted"]),
        z3.Implies(
            state["first_granted"], state["birth"] <= first_now + _TIMES.future_tolerance_ms
        ),
        z3.Implies(z3.And(state["second_owns"], first_ran), state["birth"] <= known_births),
        z3.Implies(state["second_owns"], z3.Or(state["fenced"], lapsed)),
        z3.Implies(
            state["second_granted"],
            z3.And(
                state["second_owns"],
                state["birth"] > state["tenure_start"] + _TIMES.guard_ms,
            ),
        ),
    )


def _initial(state: State) -> Expression:
    off = [
        z3.Not(state[name])
        for name in (
            "second_owns",
            "fenced",
            "first_ticket",
            "first_granted",
            "second_ticket",
            "second_granted",
        )
    ]
    return z3.And(
        state["now"] >= 0,
        state["lease_end"] >= state["now"],
        state["tenure_start"] == 0,
        state["runs"] == 0,
        _clocks_agree(state),
        *off,
    )


def _time_passes() -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        return chosen["duration"] > 0, {"now": state["now"] + chosen["duration"]}

    return Transition("time passes", ("duration",), step)


def _birth_is_plausible(state: State, now: Expression, removed: str) -> Expression:
    if removed == FUTURE:
        return z3.BoolVal(True)
    return state["birth"] <= now + _TIMES.future_tolerance_ms


def _first_grants(removed: str) -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        now = state["now"] + state["first_clock"]
        guard = z3.And(z3.Not(state["first_granted"]), _birth_is_plausible(state, now, removed))
        return guard, {
            "first_granted": z3.BoolVal(True),
            "first_ticket": z3.BoolVal(True),
        }

    return Transition("the first owner grants", (), step)


def _ticket_arrives(owner: str, removed: str) -> Transition:
    """Return the step in which the agent starts a ticket's call, once for each ticket."""
    ticket = f"{owner}_ticket"

    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        guard = [state[ticket]]
        if owner == "first":
            if removed != FENCE:
                guard.append(z3.Not(state["fenced"]))
            if removed != DEADLINE:
                guard.append(state["now"] + state["agent_clock"] <= state["lease_end"])
        return z3.And(*guard), {ticket: z3.BoolVal(False), "runs": state["runs"] + 1}

    return Transition(f"the agent starts the {owner} owner's ticket", (), step)


def _fence() -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        return z3.Not(state["fenced"]), {"fenced": z3.BoolVal(True)}

    return Transition("the agent fences the first owner", (), step)


def _fence_is_forgotten() -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        lapsed = state["now"] > state["lease_end"] + 2 * _ERROR
        return z3.And(state["fenced"], lapsed), {"fenced": z3.BoolVal(False)}

    return Transition("a fresh agent, the fence has lapsed", (), step)


def _takeover() -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        now = state["now"] + state["second_clock"]
        over = now > state["lease_end"] + _ERROR
        guard = z3.And(z3.Not(state["second_owns"]), z3.Or(over, state["fenced"]))
        return guard, {"second_owns": z3.BoolVal(True), "tenure_start": now}

    return Transition("the second owner takes over", (), step)


def _second_grants(removed: str) -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        now = state["now"] + state["second_clock"]
        guard = [
            state["second_owns"],
            z3.Not(state["second_granted"]),
            _birth_is_plausible(state, now, removed),
        ]
        if removed != BIRTH:
            guard.append(state["birth"] > state["tenure_start"] + _TIMES.guard_ms)
        return z3.And(*guard), {
            "second_granted": z3.BoolVal(True),
            "second_ticket": z3.BoolVal(True),
        }

    return Transition("the second owner grants", (), step)
