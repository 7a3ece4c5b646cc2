"""What a specification consists of: variables, transitions, an invariant and properties."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

# z3 ships no types; its expressions are Any here.
Expression = Any
State = Mapping[str, Expression]
Update = dict[str, Expression]


@dataclass(frozen=True)
class Transition:
    """One step of the protocol.

    ``parameters`` are chosen freely by the checker. ``step`` returns the guard and the changed
    variables; all others keep their value.
    """

    name: str
    parameters: tuple[str, ...]
    step: Callable[[State, Mapping[str, Expression]], tuple[Expression, Update]]


@dataclass(frozen=True)
class Model:
    """A specification.

    ``variables`` maps names to ``int`` or ``bool``. ``invariant`` is ``None`` where no
    inductive one is given; the properties are then checked up to ``depth`` steps only.
    ``rules`` are the protective rules that can be taken away one at a time.
    """

    name: str
    variables: Mapping[str, type]
    initial: Callable[[State], Expression]
    transitions: tuple[Transition, ...]
    properties: Mapping[str, Callable[[State], Expression]]
    invariant: Callable[[State], Expression] | None
    rules: tuple[str, ...]
    depth: int
