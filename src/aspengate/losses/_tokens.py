"""Computes the distribution of each account's tokens over time from the routers' log lines.

With each change of its allowance, a router logs how many tokens its session has spent, has reserved
and holds idle, and the limit and unallocated tokens of the account's document. Tokens of the limit
in none of these states count as lost: with a session that terminated, with a loan in transit, or
because a request was charged more than it used.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from aspengate.explanation import LogLine

_ALLOWANCE_LINES = frozenset({"allowance.granted", "allowance.exhausted"})
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
    """Holds the last logged state of a session; ``ended`` once its router runs another one."""

    spent: int = 0
    reserved: int = 0
    idle: int = 0
    ended: bool = False


@dataclass
class _Account:
    """Tracks the state of an account while its log lines are read in order of time."""

    limit: int = 0
    unallocated: int = 0
    charged_to_failed: int = 0
    charged: int = 0
    sessions: dict[str, _Session] = field(default_factory=dict)

    def statement(self, name: str, time_s: float) -> TokenStatement:
        """Return the account's token statement at ``time_s``.

        The sum that requests were charged may be ahead of what the sessions last logged as spent.
        The difference then counts as spent instead of reserved.
        """
        active = [each for each in self.sessions.values() if not each.ended]
        logged = sum(each.spent for each in self.sessions.values())
        spent = max(logged, self.charged)
        reserved = max(0, sum(each.reserved for each in active) - (spent - logged))
        idle = sum(each.idle for each in active)
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
    """Return each account's statement every ``step_s`` seconds and at the time of the last line."""
    ordered = sorted(lines, key=lambda line: line.time_s)
    accounts: dict[str, _Account] = {}
    found: list[TokenStatement] = []
    next_s = ordered[0].time_s + step_s if ordered else 0.0
    for line in ordered:
        while line.time_s >= next_s:
            found += [each.statement(name, next_s) for name, each in sorted(accounts.items())]
            next_s += step_s
        _read_line(line, accounts)
    if ordered:
        last_s = ordered[-1].time_s
        found += [each.statement(name, last_s) for name, each in sorted(accounts.items())]
    return found


def _read_line(line: LogLine, accounts: dict[str, _Account]) -> None:
    name = str(line.fields.get("account") or "")
    if not name:
        return
    if line.change == _END and line.fields.get("tokens"):
        _read_end(line, accounts.setdefault(name, _Account()))
    if line.change in _ALLOWANCE_LINES and "spent" in line.fields:
        _read_allowance(line, accounts.setdefault(name, _Account()))


def _read_end(line: LogLine, account: _Account) -> None:
    settled = int(line.fields.get("settled") or 0)
    account.charged += settled
    if line.fields.get("outcome") != "answered":
        account.charged_to_failed += settled


def _read_allowance(line: LogLine, account: _Account) -> None:
    fields = line.fields
    name = str(fields["session"])
    router = name.rpartition(".")[0]
    for other, session in account.sessions.items():
        if other != name and other.rpartition(".")[0] == router:
            session.ended = True
    current = account.sessions.setdefault(name, _Session())
    current.spent = int(fields["spent"])
    current.reserved = int(fields["reserved"])
    current.idle = int(fields["idle"])
    account.limit = int(fields["limit"])
    account.unallocated = int(fields["unheld"])
