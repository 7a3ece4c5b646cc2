"""One account's tokens as one router holds them."""

import math

from aspengate.allowances._document import AllowanceDocument
from aspengate.allowances._sizing import AllowanceSizing, Demand, Holding
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import OutageForecast

_HALF_LIFE_MS = 10_000.0
_SIZE_WEIGHT = 0.2
_LEAST_AGE_MS = 5_000.0
NO_OUTAGE = OutageForecast()


class Purse:
    """Counts what a session may use of one account, what it reserved, and what it used.

    ``granted`` is what the store is known to allow; it is lowered before a lower allowance is
    written, and raised only after a higher one was confirmed. ``ceiling`` is what the session's
    witness has accepted, None where there is no witness: both bound what is committed. ``lent``
    went to other routers and ``borrowed`` came from them, both without the store: what one lends
    it can never use itself, so that the sum over all routers stays what the store granted. Once
    ``frozen``, what is reserved may still be settled, but nothing more is given or taken.
    ``spent`` is what this session's own requests used in its whole life.
    """

    def __init__(self, sizing: AllowanceSizing) -> None:
        self.sizing = sizing
        self.used = 0
        self.spent = 0
        self.reserved = 0
        self.granted = 0
        self.ceiling: int | None = None
        self.lent = 0
        self.borrowed = 0
        self.frozen = False
        self._rate = 0.0
        self._rate_ms = 0.0
        self._first_ms: float | None = None
        self._request = 0.0

    @property
    def free(self) -> int:
        """What a new request could take at once."""
        return 0 if self.frozen else self.bound - self.committed

    @property
    def held(self) -> int:
        """What is granted beyond what is committed, whether the ceiling reaches there or not."""
        return 0 if self.frozen else self.granted - self.committed

    @property
    def bound(self) -> int:
        """The most that may be committed."""
        return self.granted if self.ceiling is None else min(self.granted, self.ceiling)

    @property
    def committed(self) -> int:
        """What the store must allow for what is used, reserved and lent."""
        return self.used + self.reserved + self.lent - self.borrowed

    @property
    def settled(self) -> int:
        """What the store must count for good once nothing is reserved any more."""
        return self.used + self.lent - self.borrowed

    def reserve(self, amount: int, now_ms: float) -> bool:
        """Set ``amount`` aside for a request that may begin; return whether it was there."""
        _check_amount(amount)
        if amount > self.free:
            return False
        self.reserved += amount
        self._note_demand(amount, now_ms)
        return True

    def settle(self, reserved: int, used: int) -> None:
        """Replace what an ended request had set aside by what it used."""
        self.reserved -= reserved
        self.used += used
        self.spent += used

    def lend(self, amount: int, now_ms: float | None = None) -> int:
        """Give up to ``amount`` of what is free to another router; return how much.

        With ``now_ms`` it counts as demand.
        """
        given = max(0, min(amount, self.free))
        self.lent += given
        if given and now_ms is not None:
            self._note_demand(given, now_ms)
        return given

    def lend_reserved(self, amount: int) -> None:
        """Give what was set aside to another router."""
        _check_amount(amount)
        self.reserved -= amount
        self.lent += amount

    def borrow(self, amount: int) -> bool:
        """Take in what another router gave; return whether it counts."""
        _check_amount(amount)
        if self.frozen:
            return False
        self.borrowed += amount
        return True

    def count_as_closed(self) -> None:
        """Begin anew after the store has counted the session as closed at ``bound`` or more.

        What the session may still use of that stays at hand, without any grant.
        """
        self.used -= self.bound
        self.granted = 0
        self.ceiling = None

    def demand(self, waiting: int, now_ms: float) -> Demand:
        """Return what this router's requests need, with ``waiting`` tokens waited for."""
        self._age(now_ms)
        return Demand(
            committed=self.committed,
            waiting=waiting,
            per_second=self._per_second(now_ms),
            request=int(self._request) or waiting,
        )

    def target(
        self,
        document: AllowanceDocument,
        session: str,
        limit: int,
        routers: int,
        demand: Demand,
        *,
        idle: bool,
        is_primary: bool = False,
        outage: OutageForecast = NO_OUTAGE,
    ) -> int:
        """Return the allowance to ask for, never less than what is committed.

        What is waited for is asked for whole or not at all. While the account is ``idle``,
        nothing is kept beyond what requests need. The primary keeps the reserve for all, which
        follows the ``outage`` that is expected.
        """
        most = document.most_for(session, limit)
        needed = demand.committed + demand.waiting
        if needed > most:
            return demand.committed
        if idle:
            return needed
        holding = Holding(
            limit=limit,
            unheld=most - needed,
            routers=routers,
            part=1.0 if is_primary else document.part_of(session),
            lost_sessions=document.lost_sessions,
            outage_ms=outage.length_ms,
            readiness=outage.readiness,
        )
        reserve = self.sizing.reserve(demand, holding)
        if not is_primary:
            reserve = min(reserve, self.sizing.at_hand(demand))
        return needed + reserve

    def _per_second(self, now_ms: float) -> float:
        """Return the rate of demand; what is seen of a young purse is scaled up."""
        if self._first_ms is None:
            return 0.0
        age_ms = max(_LEAST_AGE_MS, now_ms - self._first_ms)
        seen = 1.0 - 0.5 ** (age_ms / _HALF_LIFE_MS)
        return float(self._rate * math.log(2) * 1_000 / _HALF_LIFE_MS / seen)

    def _note_demand(self, amount: int, now_ms: float) -> None:
        if self._first_ms is None:
            self._first_ms = now_ms
        self._age(now_ms)
        self._rate += amount
        if not self._request:
            self._request = float(amount)
        self._request += _SIZE_WEIGHT * (amount - self._request)

    def _age(self, now_ms: float) -> None:
        elapsed = max(0.0, now_ms - self._rate_ms)
        self._rate *= 0.5 ** (elapsed / _HALF_LIFE_MS)
        self._rate_ms = max(self._rate_ms, now_ms)


def _check_amount(amount: int) -> None:
    """Raise INTERNAL for a negative amount, which would move tokens the other way."""
    if amount < 0:
        raise AspengateError(ErrorKind.INTERNAL, f"a negative amount of tokens: {amount}")
