"""The specification of budgets: one budget, two steward sessions, one agent.

Per session: ``held`` is what the store granted and did not get back, ``free`` what the steward
may lend, ``lent`` what its router may still reserve, ``running`` the upper bounds of running
requests, ``finished`` the cost of finished ones that are not settled, ``billed`` what is settled
in the store, ``lost`` a grant that took effect while its answer was lost, ``seen`` what the
steward last read as unallocated. ``paid`` is what the customer paid, ``limit`` what the store says.
"""

from collections.abc import Mapping

import z3

from aspengate.verification._model import Expression, Model, State, Transition, Update

HOLDERS = (0, 1)
COMPARE_AND_SWAP = "epoch and revision at the store"
FENCE = "fence at the agent"
FENCE_LIST = "fresh agents read the fences"
DEADLINE = "deadline at the agent"
UPPER_BOUND = "upper-bound reservation"
OPERATION_ID = "operation id"
SETTLED_SET = "settled blocks are known"
NOTHING_RUNS = "recovery waits for running requests"
RULES = (
    COMPARE_AND_SWAP,
    FENCE,
    FENCE_LIST,
    DEADLINE,
    UPPER_BOUND,
    OPERATION_ID,
    SETTLED_SET,
    NOTHING_RUNS,
)
_PER_HOLDER = (
    "held",
    "free",
    "lent",
    "running",
    "finished",
    "billed",
    "lost",
    "seen",
    "resendable",
)
_FLAGS = ("open", "fenced", "lapsed", "agent_knows")
_DEPTH = 12


def money_model(removed: str = "") -> Model:
    """Return the specification without the rule named ``removed``."""
    variables: dict[str, type] = dict.fromkeys(("limit", "paid", "closed", "spent", "top_up"), int)
    for holder in HOLDERS:
        variables |= {f"{name}{holder}": int for name in _PER_HOLDER}
        variables |= {f"{name}{holder}": bool for name in _FLAGS}
    transitions = [_top_up(), _repeat_top_up(removed)]
    for holder in HOLDERS:
        transitions += _steward_steps(holder, removed) + _request_steps(holder, removed)
        transitions += _recovery_steps(holder, removed)
    return Model(
        name="money",
        variables=variables,
        initial=_initial,
        transitions=tuple(transitions),
        properties={
            "never overspent": lambda state: state["spent"] + _running(state) <= state["paid"],
            "never billed twice": lambda state: _billed(state) <= state["spent"],
        },
        invariant=_invariant,
        rules=RULES,
        depth=_DEPTH,
    )


def _initial(state: State) -> Expression:
    zeros = [
        state[name] == 0
        for name in (
            "closed",
            "spent",
            "top_up",
            *(f"{each}{holder}" for each in _PER_HOLDER for holder in HOLDERS if each != "seen"),
        )
    ]
    flags = [
        z3.And(
            state[f"open{holder}"],
            z3.Not(state[f"fenced{holder}"]),
            z3.Not(state[f"lapsed{holder}"]),
            z3.Not(state[f"agent_knows{holder}"]),
        )
        for holder in HOLDERS
    ]
    seen = [state[f"seen{holder}"] == state["limit"] for holder in HOLDERS]
    return z3.And(state["limit"] == state["paid"], state["limit"] >= 0, *zeros, *seen, *flags)


def _invariant(state: State) -> Expression:
    """Return the inductive invariant; the properties follow from its first lines."""
    clauses = [
        state["limit"] + state["top_up"] <= state["paid"],
        state["closed"] + _held(state) <= state["limit"],
        state["spent"] == _billed(state) + sum(state[f"finished{each}"] for each in HOLDERS),
        state["closed"] >= 0,
        state["top_up"] >= 0,
    ]
    for holder in HOLDERS:
        parts = ("free", "lent", "running", "finished", "billed", "lost")
        clauses += [state[f"{name}{holder}"] >= 0 for name in (*parts, "held")]
        total = sum(state[f"{name}{holder}"] for name in parts)
        gone = z3.And(
            z3.Or(state[f"agent_knows{holder}"], state[f"lapsed{holder}"]),
            *(state[f"{name}{holder}"] == 0 for name in ("held", "running", "finished", "billed")),
        )
        clauses.append(z3.If(state[f"open{holder}"], total <= state[f"held{holder}"], gone))
        clauses.append(z3.Implies(state[f"agent_knows{holder}"], state[f"fenced{holder}"]))
    return z3.And(*clauses)


def _held(state: State) -> Expression:
    return sum(state[f"held{holder}"] for holder in HOLDERS)


def _running(state: State) -> Expression:
    return sum(state[f"running{holder}"] for holder in HOLDERS)


def _billed(state: State) -> Expression:
    return state["closed"] + sum(state[f"billed{holder}"] for holder in HOLDERS)


def _unallocated(state: State) -> Expression:
    return state["limit"] - state["closed"] - _held(state)


def _top_up() -> Transition:
    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        amount = chosen["amount"]
        guard = z3.And(amount > 0, state["top_up"] == 0)
        return guard, {"paid": state["paid"] + amount, "top_up": amount}

    return Transition("customer pays", ("amount",), step)


def _repeat_top_up(removed: str) -> Transition:
    """Return the operator's write, whose repeat after a lost answer must have no effect."""

    def step(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        amount = state["top_up"]
        kept = z3.If(chosen["answer_lost"] > 0, amount, 0) if removed == OPERATION_ID else 0
        return amount > 0, {"limit": state["limit"] + amount, "top_up": kept}

    return Transition("operator raises limit", ("answer_lost",), step)


def _steward_steps(holder: int, removed: str) -> list[Transition]:
    held, free, lent = f"held{holder}", f"free{holder}", f"lent{holder}"
    lost, seen, opened = f"lost{holder}", f"seen{holder}", f"open{holder}"

    def read(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        guard = state[opened]
        return guard, {
            seen: _unallocated(state),
            free: state[free] + state[lost],
            lost: z3.IntVal(0),
        }

    def grant(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        amount, told = chosen["amount"], chosen["answered"] > 0
        fresh = state[seen] == _unallocated(state)
        guard = z3.And(state[opened], amount > 0, amount <= state[seen])
        if removed != COMPARE_AND_SWAP:
            guard = z3.And(guard, fresh)
        return guard, {
            held: state[held] + amount,
            seen: state[seen] - amount,
            free: z3.If(told, state[free] + amount, state[free]),
            lost: z3.If(told, state[lost], state[lost] + amount),
        }

    def give_back(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        amount = chosen["amount"]
        guard = z3.And(state[opened], amount > 0, amount <= state[free])
        return guard, {free: state[free] - amount, held: state[held] - amount}

    def lend(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        amount = chosen["amount"]
        guard = z3.And(amount > 0, amount <= state[free])
        return guard, {free: state[free] - amount, lent: state[lent] + amount}

    return [
        Transition(f"steward {holder} reads", (), read),
        Transition(f"steward {holder} is granted", ("amount", "answered"), grant),
        Transition(f"steward {holder} returns", ("amount",), give_back),
        Transition(f"steward {holder} lends", ("amount",), lend),
    ]


def _request_steps(holder: int, removed: str) -> list[Transition]:
    lent, running, finished = f"lent{holder}", f"running{holder}", f"finished{holder}"
    billed, opened, resendable = f"billed{holder}", f"open{holder}", f"resendable{holder}"

    def start(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        amount = chosen["amount"]
        guard = [amount > 0, amount <= state[lent]]
        if removed != FENCE:
            guard.append(z3.Not(state[f"agent_knows{holder}"]))
        if removed != DEADLINE:
            guard.append(z3.Not(state[f"lapsed{holder}"]))
        return z3.And(*guard), {lent: state[lent] - amount, running: state[running] + amount}

    def finish(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        bound, cost = chosen["bound"], chosen["cost"]
        most = 2 * bound if removed == UPPER_BOUND else bound
        guard = z3.And(bound > 0, bound <= state[running], cost >= 0, cost <= most)
        rest = z3.If(cost <= bound, bound - cost, 0)
        return guard, {
            running: state[running] - bound,
            lent: state[lent] + rest,
            finished: state[finished] + cost,
            "spent": state["spent"] + cost,
        }

    def settle(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        guard = z3.And(state[opened], state[finished] > 0)
        return guard, {
            billed: state[billed] + state[finished],
            resendable: state[finished],
            finished: z3.IntVal(0),
        }

    def resend(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        guard = z3.And(state[opened], state[resendable] > 0)
        again = state[resendable] if removed == SETTLED_SET else 0
        return guard, {billed: state[billed] + again, resendable: z3.IntVal(0)}

    return [
        Transition(f"request starts under {holder}", ("amount",), start),
        Transition(f"request ends under {holder}", ("bound", "cost"), finish),
        Transition(f"blocks of {holder} are settled", (), settle),
        Transition(f"blocks of {holder} are sent again", (), resend),
    ]


def _recovery_steps(holder: int, removed: str) -> list[Transition]:
    fenced, lapsed, knows = f"fenced{holder}", f"lapsed{holder}", f"agent_knows{holder}"
    opened, running = f"open{holder}", f"running{holder}"
    finished, billed, held = f"finished{holder}", f"billed{holder}", f"held{holder}"

    def fence(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        return z3.Not(state[fenced]), {fenced: z3.BoolVal(True)}

    def agent_hears(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        return state[fenced], {knows: z3.BoolVal(True)}

    def agent_restarts(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        known = z3.BoolVal(False) if removed == FENCE_LIST else state[fenced]
        return state[running] == 0, {knows: known}

    def lapse(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        return z3.Not(state[lapsed]), {lapsed: z3.BoolVal(True)}

    def recover(state: State, chosen: Mapping[str, Expression]) -> tuple[Expression, Update]:
        over = [state[opened], z3.Or(state[knows], state[lapsed])]
        if removed != NOTHING_RUNS:
            over.append(state[running] == 0)
        return z3.And(*over), {
            opened: z3.BoolVal(False),
            "closed": state["closed"] + state[billed] + state[finished],
            billed: z3.IntVal(0),
            finished: z3.IntVal(0),
            held: z3.IntVal(0),
        }

    return [
        Transition(f"session {holder} is fenced in the store", (), fence),
        Transition(f"the agent hears the fence of {holder}", (), agent_hears),
        Transition(f"the agent restarts, knowing {holder}", (), agent_restarts),
        Transition(f"the time of {holder} lapses", (), lapse),
        Transition(f"session {holder} is recovered", (), recover),
    ]
