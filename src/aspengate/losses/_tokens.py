"""Where the tokens of each account were over time: a statement from the routers' own lines.

A router tells with each change of its allowance what its session spent, reserved and holds idle,
and what the account's document said. What of a limit is neither spent by a session, reserved,
idle nor held by nobody was lost: with sessions that died, with loans on the way, or settled above
what was used.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from aspengate.explanation import LogLine

_TOLD = frozenset({"allowance.granted", "allowance.exhausted"})
_END = "request.ended"


@dataclass(frozen=True)
class TokenStatement:
    """Holds how the tokens of one account were distributed at one time.

    ``spent``, ``reserved``, ``idle``, ``unallocated`` and ``lost`` add up to ``limit``.
    ``charged_to_failed`` is the part of ``spent`` that was charged to requests without a complete
    response, which are charged their upper bound. All amounts are in tokens.
    """

    account: str
    time_s: float
    limit: int
    spent: int
    reserved: int
    idle: int
    unallocated: int
    lost: int
    charged_to_failed: int


@dataclass
class _Session:
    """What a session last told of itself; ``ended`` once its router runs another one."""

    spent: int = 0
    reserved: int = 0
    idle: int = 0
    ended: bool = False


@dataclass
class _Account:
    """What is known of an account while its lines are read in order of time."""

    limit: int = 0
    unallocated: int = 0
    charged_to_failed: int = 0
    charged: int = 0
    sessions: dict[str, _Session] = field(default_factory=dict)

    def statement(self, name: str, time_s: float) -> TokenStatement:
        """Return the account's statement."""
        living = [each for each in self.sessions.values() if not each.ended]
        told = sum(each.spent for each in self.sessions.values())
        spent = max(told, self.charged)
        reserved = max(0, sum(each.reserved for each in living) - (spent - told))
        idle = sum(each.idle for each in living)
        lost = self.limit - spent - reserved - idle - self.unallocated
        return TokenStatement(
            name,
            time_s,
            self.limit,
            spent,
            reserved,
            idle,
            self.unallocated,
            lost,
            self.charged_to_failed,
        )


def token_statements(lines: Iterable[LogLine], step_s: float) -> list[TokenStatement]:
    """Return each account's statement every ``step_s`` seconds, and at the end of the lines."""
    ordered = sorted(lines, key=lambda line: line.time_s)
    accounts: dict[str, _Account] = {}
    found: list[TokenStatement] = []
    next_s = ordered[0].time_s + step_s if ordered else 0.0
    for line in ordered:
        while line.time_s >= next_s:
            found += [each.statement(name, next_s) for name, each in sorted(accounts.items())]
            next_s += step_s
        _read(line, accounts)
    if ordered:
        last_s = ordered[-1].time_s
        found += [each.statement(name, last_s) for name, each in sorted(accounts.items())]
    return found


def _read(line: LogLine, accounts: dict[str, _Account]) -> None:
    name = str(line.fields.get("account") or "")
    if not name:
        return
    if line.change == _END and line.fields.get("tokens"):
        _read_end(line, accounts.setdefault(name, _Account()))
    if line.change in _TOLD and "spent" in line.fields:
        _read_told(line, accounts.setdefault(name, _Account()))


def _read_end(line: LogLine, account: _Account) -> None:
    settled = int(line.fields.get("settled") or 0)
    account.charged += settled
    if line.fields.get("outcome") != "answered":
        account.charged_to_failed += settled


def _read_told(line: LogLine, account: _Account) -> None:
    fields = line.fields
    name = str(fields["session"])
    router = name.rpartition(".")[0]
    for other, session in account.sessions.items():
        if other != name and other.rpartition(".")[0] == router:
            session.ended = True
    told = account.sessions.setdefault(name, _Session())
    told.spent = int(fields["spent"])
    told.reserved = int(fields["reserved"])
    told.idle = int(fields["idle"])
    account.limit = int(fields["limit"])
    account.unallocated = int(fields["unheld"])
