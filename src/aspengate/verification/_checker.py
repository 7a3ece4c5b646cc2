"""Proves invariants by induction and searches for counterexamples up to a bound."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import z3

from aspengate.verification._model import Expression, Model, State, Transition

_SORTS = {int: z3.Int, bool: z3.Bool}


@dataclass(frozen=True)
class TraceStep:
    """One step of a counterexample: the transition, its parameters, the state after it."""

    transition: str
    parameters: dict[str, int]
    state: dict[str, int | bool]


@dataclass(frozen=True)
class Finding:
    """What the checker says of one property of one model.

    ``rule_removed`` is empty for the whole protocol. ``proof`` is ``inductive``, ``bounded`` or
    ``counterexample``; ``depth`` is the bound, or the length of the counterexample.
    """

    model: str
    property_name: str
    rule_removed: str
    proof: str
    depth: int
    trace: tuple[TraceStep, ...] = field(default=())

    @property
    def as_expected(self) -> bool:
        """Whether the whole protocol holds, or a weakened one breaks."""
        return (self.proof == "counterexample") == bool(self.rule_removed)


def findings_text(findings: list[Finding], *, traces: bool) -> str:
    """Return the findings as readable text."""
    lines = []
    for each in findings:
        subject = f"without {each.rule_removed!r}" if each.rule_removed else "whole protocol"
        bound = f", {each.depth} steps" if each.depth else ""
        lines.append(f"{each.model}: {subject}: {each.property_name}: {each.proof}{bound}")
        if traces:
            lines += [f"    {step.transition} {step.parameters}" for step in each.trace]
    return "\n".join(lines) + "\n"


def check_model(make: Callable[[str], Model]) -> Iterator[Finding]:
    """Check the whole protocol, then with each protective rule taken away.

    ``make`` returns the model without the rule that it is given.
    """
    whole = make("")
    inductive = whole.invariant is not None and prove_inductive(whole)
    for name in whole.properties:
        if inductive:
            yield Finding(whole.name, name, "", "inductive", 0)
            continue
        trace = find_counterexample(whole, (name,))
        proof = "counterexample" if trace else "bounded"
        yield Finding(whole.name, name, "", proof, len(trace) or whole.depth, trace)
    for rule in whole.rules:
        weakened = make(rule)
        trace = find_counterexample(weakened, tuple(weakened.properties))
        broken = _broken_property(weakened, trace)
        proof = "counterexample" if trace else "bounded"
        yield Finding(whole.name, broken, rule, proof, len(trace) or whole.depth, trace)


def prove_inductive(model: Model) -> bool:
    """Return whether the invariant holds at first, is kept by every step, and implies all."""
    if model.invariant is None:
        return False
    now, after = _state(model, "0"), _state(model, "1")
    if not _valid(z3.Implies(model.initial(now), model.invariant(now))):
        return False
    for holds in model.properties.values():
        if not _valid(z3.Implies(model.invariant(now), holds(now))):
            return False
    return all(
        _valid(
            z3.Implies(
                z3.And(model.invariant(now), _taken(model, each, now, after, "p")),
                model.invariant(after),
            )
        )
        for each in model.transitions
    )


def find_counterexample(model: Model, names: tuple[str, ...]) -> tuple[TraceStep, ...]:
    """Return a trace of at most ``model.depth`` steps that breaks a named property, if any."""
    solver = z3.Solver()
    states = [_state(model, str(depth)) for depth in range(model.depth + 1)]
    solver.add(model.initial(states[0]))
    for depth in range(1, len(states)):
        solver.add(_some_step(model, states[depth - 1], states[depth], depth))
    solver.add(z3.Not(z3.And(*(model.properties[name](states[-1]) for name in names))))
    if solver.check() != z3.sat:
        return ()
    return _trace(model, solver.model(), states)


def _state(model: Model, suffix: str) -> State:
    return {name: _SORTS[sort](f"{name}@{suffix}") for name, sort in model.variables.items()}


def _parameters(transition: Transition, suffix: str) -> dict[str, Expression]:
    return {name: z3.Int(f"{transition.name}.{name}@{suffix}") for name in transition.parameters}


def _taken(
    model: Model, transition: Transition, now: State, after: State, suffix: str
) -> Expression:
    guard, update = transition.step(now, _parameters(transition, suffix))
    changes = [after[name] == update.get(name, now[name]) for name in model.variables]
    return z3.And(guard, *changes)


def _some_step(model: Model, now: State, after: State, depth: int) -> Expression:
    choice = z3.Int(f"choice@{depth}")
    options = [
        z3.And(choice == number, _taken(model, each, now, after, str(depth)))
        for number, each in enumerate(model.transitions)
    ]
    nothing = z3.And(choice == -1, *(after[name] == now[name] for name in model.variables))
    return z3.Or(nothing, *options)


def _valid(claim: Expression) -> bool:
    solver = z3.Solver()
    solver.add(z3.Not(claim))
    return bool(solver.check() == z3.unsat)


def _trace(model: Model, found: Any, states: list[State]) -> tuple[TraceStep, ...]:
    steps = []
    for depth in range(1, len(states)):
        number = found.eval(z3.Int(f"choice@{depth}"), model_completion=True).as_long()
        if number < 0:
            continue
        transition = model.transitions[number]
        parameters = {
            name: found.eval(value, model_completion=True).as_long()
            for name, value in _parameters(transition, str(depth)).items()
        }
        state = {name: _value(found, value) for name, value in states[depth].items()}
        steps.append(TraceStep(transition.name, parameters, state))
    return tuple(steps)


def _value(found: Any, expression: Expression) -> int | bool:
    value = found.eval(expression, model_completion=True)
    return bool(z3.is_true(value)) if z3.is_bool(value) else int(value.as_long())


def _broken_property(model: Model, trace: tuple[TraceStep, ...]) -> str:
    if not trace:
        return ", ".join(model.properties)
    state = {
        name: z3.BoolVal(value) if isinstance(value, bool) else z3.IntVal(value)
        for name, value in trace[-1].state.items()
    }
    return ", ".join(name for name, holds in model.properties.items() if not _valid(holds(state)))
