"""The balance of one account's prepaid tokens on one router."""

import math

from aspengate.allowances._document import AllowanceDocument
from aspengate.allowances._sizing import AllocationState, AllowanceSizing, Demand
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import OutageForecast

_RATE_HALF_LIFE_MS = 10_000.0
_REQUEST_SIZE_WEIGHT = 0.2
_MIN_AGE_MS = 5_000.0
NO_OUTAGE = OutageForecast()


class TokenBalance:
    """Tracks the tokens of one account that a session was granted, has reserved and has used.

    Not thread-safe: callers hold the account's lock.

    ``granted`` is the allowance that the store is known to contain: it is lowered before a lower
    allowance is written, and raised only after a higher one is confirmed. ``ceiling`` is the value
    that the session's witness has accepted, or None without a witness. Both limit ``committed``.

    ``lent`` tokens went to other routers and ``borrowed`` tokens came from them, both without the
    store. A router can never use the tokens that it lent, so that the sum over all routers stays
    equal to the tokens granted by the store. Once ``frozen``, existing reservations may be settled,
    but nothing is lent, borrowed or reserved any more. ``spent`` is the number of tokens that this
    session's own requests used in its lifetime.
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
        self._rate_updated_ms = 0.0
        self._first_demand_ms: float | None = None
        self._request_size = 0.0

    @property
    def free(self) -> int:
        """The tokens that a new request can reserve immediately."""
        return 0 if self.frozen else self.bound - self.committed

    @property
    def held(self) -> int:
        """The granted tokens that are not committed, regardless of the ceiling."""
        return 0 if self.frozen else self.granted - self.committed

    @property
    def bound(self) -> int:
        """The maximum of ``committed``: the grant, or the ceiling if that is lower."""
        return self.granted if self.ceiling is None else min(self.granted, self.ceiling)

    @property
    def committed(self) -> int:
        """The allowance that the used, reserved and lent tokens require in the store."""
        return self.used + self.reserved + self.lent - self.borrowed

    @property
    def settled(self) -> int:
        """The tokens to count as closed in the store once no reservation is left."""
        return self.used + self.lent - self.borrowed

    def reserve(self, amount: int, now_ms: float) -> bool:
        """Reserve ``amount`` tokens for a request; return False if they are not free."""
        _check_amount(amount)
        if amount > self.free:
            return False
        self.reserved += amount
        self._record_demand(amount, now_ms)
        return True

    def settle(self, reserved: int, used: int) -> None:
        """Replace the reservation of a finished request by the tokens that it used."""
        self.reserved -= reserved
        self.used += used
        self.spent += used

    def lend(self, amount: int, now_ms: float | None = None) -> int:
        """Lend up to ``amount`` free tokens to another router; return the number lent.

        If ``now_ms`` is given, the loan counts as demand at that time.
        """
        given = max(0, min(amount, self.free))
        self.lent += given
        if given and now_ms is not None:
            self._record_demand(given, now_ms)
        return given

    def lend_reserved(self, amount: int) -> None:
        """Lend ``amount`` reserved tokens to another router."""
        _check_amount(amount)
        self.reserved -= amount
        self.lent += amount

    def borrow(self, amount: int) -> bool:
        """Add ``amount`` tokens lent by another router; return False if frozen."""
        _check_amount(amount)
        if self.frozen:
            return False
        self.borrowed += amount
        return True

    def rebase_after_close(self) -> None:
        """Start over after the store counted the session as closed with at least ``bound`` tokens.

        The tokens of that count which are not yet used stay free, without any grant.
        """
        self.used -= self.bound
        self.granted = 0
        self.ceiling = None

    def demand(self, waiting: int, now_ms: float) -> Demand:
        """Return the demand of this router, whose waiting requests need ``waiting`` tokens."""
        self._decay_rate(now_ms)
        return Demand(
            committed=self.committed,
            waiting=waiting,
            per_second=self._per_second(now_ms),
            request_size=int(self._request_size) or waiting,
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
        """Return the allowance to request from the store, at least the committed tokens.

        The tokens of waiting requests are included entirely or not at all. While the account is
        ``idle``, there is no reserve. Otherwise the primary keeps the reserve for all routers,
        sized for the expected ``outage``.
        """
        max_allowance = document.max_allowance(session, limit)
        needed = demand.committed + demand.waiting
        if needed > max_allowance:
            return demand.committed
        if idle:
            return needed
        state = AllocationState(
            limit=limit,
            unallocated=max_allowance - needed,
            routers=routers,
            share=1.0 if is_primary else document.share_of(session),
            lost_sessions=document.lost_sessions,
            outage_ms=outage.length_ms,
            readiness=outage.readiness,
        )
        reserve = self.sizing.reserve(demand, state)
        if not is_primary:
            reserve = min(reserve, self.sizing.borrower_reserve(demand))
        return needed + reserve

    def _per_second(self, now_ms: float) -> float:
        """Return the demand in tokens per second, extrapolated while the balance is new."""
        if self._first_demand_ms is None:
            return 0.0
        age_ms = max(_MIN_AGE_MS, now_ms - self._first_demand_ms)
        observed = 1.0 - 0.5 ** (age_ms / _RATE_HALF_LIFE_MS)
        return float(self._rate * math.log(2) * 1_000 / _RATE_HALF_LIFE_MS / observed)

    def _record_demand(self, amount: int, now_ms: float) -> None:
        if self._first_demand_ms is None:
            self._first_demand_ms = now_ms
        self._decay_rate(now_ms)
        self._rate += amount
        if not self._request_size:
            self._request_size = float(amount)
        self._request_size += _REQUEST_SIZE_WEIGHT * (amount - self._request_size)

    def _decay_rate(self, now_ms: float) -> None:
        elapsed = max(0.0, now_ms - self._rate_updated_ms)
        self._rate *= 0.5 ** (elapsed / _RATE_HALF_LIFE_MS)
        self._rate_updated_ms = max(self._rate_updated_ms, now_ms)


def _check_amount(amount: int) -> None:
    """Raise INTERNAL if an amount is negative, which would reverse the direction of a transfer."""
    if amount < 0:
        raise AspengateError(ErrorKind.INTERNAL, f"a negative amount of tokens: {amount}")
