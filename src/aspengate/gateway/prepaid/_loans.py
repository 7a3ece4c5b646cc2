"""Borrows tokens from other routers: first from the account's primary, which draws for all."""

import threading
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Protocol

from msgspec.structs import replace

from aspengate.clock import Clock
from aspengate.peers import PENDING, LoanReply, LoanRequest, Member, Repayment, RepaymentReply
from aspengate.telemetry import Counters, log_change, supervised_thread

_REPEAT_INTERVAL_MS = 40.0
_REPLY_TIMEOUT_MS = 200.0
_SUSPECT_MS = 2_000.0
_MAX_OTHERS = 4
_MAX_TIMED_OUT = 256
# The interval between queries for the outcome of a request that timed out, and the period after
# which they end. A lender that served the request counts the tokens as lent, so that they are lost
# if no reply arrives. With leaders behind slow links, 4% of all tokens were lost that way
# (30 routers).
_STATUS_INTERVAL_MS = 1_000.0
_STATUS_PERIOD_MS = 10_000.0


class Loans(Protocol):
    """Interface for borrowing tokens from other routers and for paying them back."""

    def is_primary(self, account: str) -> bool:
        """Return whether this router draws the account's tokens from the store for all."""

    def borrow_from_primary(self, account: str, needed: int, extra: int) -> bool:
        """Ask the primary for exactly ``needed`` tokens or none, and for up to ``extra`` more.

        Return whether a reply or a failure will be reported.
        """

    def borrow_from_successor(self, account: str, needed: int) -> bool:
        """Ask the router that would be primary if the one asked last were down.

        Return whether there is such a router, whose reply or failure will be reported.
        """

    def borrow_from_others(self, account: str, needed: int) -> bool:
        """Ask some other routers for ``needed`` tokens; return whether there are any."""

    def borrow_from_holders(self, account: str, needed: int, sessions: Iterable[str]) -> bool:
        """Ask the live ones of ``sessions`` for held tokens; return whether there are any."""

    def repay(self, account: str, amount: int) -> bool:
        """Repay tokens to the primary.

        Return whether they were sent, in which case this router must not use them any more.
        """


class NoLoans:
    """Implements ``Loans`` for a router without peers."""

    def is_primary(self, account: str) -> bool:
        """Return True: this router draws for itself."""
        return True

    def borrow_from_primary(self, account: str, needed: int, extra: int) -> bool:
        """Return False: there is no other router."""
        return False

    def borrow_from_successor(self, account: str, needed: int) -> bool:
        """Return False: there is no other router."""
        return False

    def borrow_from_others(self, account: str, needed: int) -> bool:
        """Return False: there is no other router."""
        return False

    def borrow_from_holders(self, account: str, needed: int, sessions: Iterable[str]) -> bool:
        """Return False: there is no other router."""
        return False

    def repay(self, account: str, amount: int) -> bool:
        """Return False: there is no other router."""
        return False


class PeerList(Protocol):
    """Interface of the list of other routers, as far as loans need it."""

    def primary(
        self, account: str, suspects: frozenset[str], *, own_reaches: bool | None
    ) -> Member:
        """Return the router that draws an account's tokens, which may be this one.

        ``suspects`` are sessions to avoid. ``own_reaches`` is whether this router reaches the
        store, or None to ignore that.
        """

    def lenders(self, max_count: int) -> list[Member]:
        """Return up to ``max_count`` live routers, those that reach the store first."""

    def alive(self) -> list[Member]:
        """Return the other routers from which a message arrived recently."""


@dataclass(frozen=True)
class _OpenMessage:
    """Holds a message that waits for its reply.

    ``is_primary`` means that the message went to the primary, whose failure is reported.
    """

    message: LoanRequest | Repayment
    lender: Member
    started_ms: float
    is_primary: bool = True


class PeerLoans:
    """Borrows by datagrams, which are repeated until they are answered or given up.

    ``send`` sends a message to an address. Pass each reply received to ``handle_reply`` or
    ``handle_repayment_reply``. Callbacks: ``on_loan_reply`` receives each reply to a request, even
    a late one; ``on_failed`` the account whose primary did not answer; ``on_lenders_done`` the
    account for which all other routers that were asked have answered or timed out.
    ``reaches_store`` returns whether this router could draw tokens itself.

    At most one repayment to each router is open at a time, so that the receiver can detect a
    repeated one by its number.
    """

    def __init__(
        self,
        own: Member,
        peers: PeerList,
        clock: Clock,
        counters: Counters,
        send: Callable[[LoanRequest | Repayment, str], None],
    ) -> None:
        self.own = own
        self.on_loan_reply: Callable[[LoanReply], None] = lambda _: None
        self.on_failed: Callable[[str], None] = lambda _: None
        self.on_lenders_done: Callable[[str], None] = lambda _: None
        self.reaches_store: Callable[[], bool] = lambda: True
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._send = send
        self._number = 0
        self._open: dict[int, _OpenMessage] = {}
        self._pending: set[int] = set()
        self._timed_out: OrderedDict[int, _OpenMessage] = OrderedDict()
        self._next_status_ms: dict[int, float] = {}
        self._asked: dict[str, int] = {}
        self._last_primary: dict[str, str] = {}
        self._repaying: dict[str, int] = {}
        self._suspects: dict[str, float] = {}
        self._changed = threading.Condition()
        self._closing = False
        self._thread = supervised_thread(self._run, "loans", counters)

    def start(self) -> None:
        """Start the thread that repeats unanswered messages."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()

    def is_primary(self, account: str) -> bool:
        """Return whether this router draws the account's tokens from the store for all."""
        return self._primary(account).name == self.own.name

    def borrow_from_primary(self, account: str, needed: int, extra: int) -> bool:
        """Ask the primary, unless a request to it is already open."""
        return self._send_request(account, self._primary(account), needed, extra)

    def borrow_from_successor(self, account: str, needed: int) -> bool:
        """Ask the router that would be primary if the one asked last were down."""
        primary = self._primary(account)
        asked = self._last_primary.get(account, "")
        if primary.session == asked:
            primary = self._primary(account, without=asked)
        if primary.session == asked:
            return False
        return self._send_request(account, primary, needed, 0)

    def _send_request(self, account: str, primary: Member, needed: int, extra: int) -> bool:
        if primary.name == self.own.name:
            return False
        with self._changed:
            if account in self._asked:
                return True
            request = LoanRequest(self._next_number(), self.own.session, account, needed, extra)
            self._asked[account] = request.number
            self._last_primary[account] = primary.session
            self._track(request, primary)
        self._send(request, primary.address)
        return True

    def borrow_from_others(self, account: str, needed: int) -> bool:
        """Ask some other routers at once; surplus tokens are repaid later."""
        found = {lender.session: lender for lender in self._peers.lenders(_MAX_OTHERS)}
        usual = self._peers.primary(account, frozenset(), own_reaches=None)
        if usual.name != self.own.name:
            found[usual.session] = usual
        return self._borrow_from_all(account, needed, found.values(), held_only=False)

    def borrow_from_holders(self, account: str, needed: int, sessions: Iterable[str]) -> bool:
        """Ask the live ones of ``sessions`` for held tokens; return whether there are any."""
        listed = set(sessions)
        found = [member for member in self._peers.alive() if member.session in listed]
        return self._borrow_from_all(account, needed, found, held_only=True)

    def _borrow_from_all(
        self, account: str, needed: int, lenders: Collection[Member], *, held_only: bool
    ) -> bool:
        """Send requests to routers other than the primary; return whether there are any."""
        requests = []
        with self._changed:
            for lender in lenders:
                request = LoanRequest(
                    self._next_number(), self.own.session, account, needed, 0, held_only
                )
                self._track(request, lender, is_primary=False)
                requests.append((request, lender.address))
        for request, address in requests:
            self._send(request, address)
        return bool(requests)

    def repay(self, account: str, amount: int) -> bool:
        """Repay tokens to the primary, unless a repayment to it is already open."""
        primary = self._primary(account)
        if primary.name == self.own.name:
            return False
        with self._changed:
            if primary.session in self._repaying:
                return False
            number = self._next_number()
            self._repaying[primary.session] = number
            payment = Repayment(number, self.own.session, primary.session, account, amount)
            self._track(payment, primary)
        self._send(payment, primary.address)
        return True

    def handle_reply(self, reply: LoanReply) -> None:
        """Process the reply to a request."""
        with self._changed:
            if reply.session != self.own.session:
                return
            if reply.refused == PENDING:
                self._pending.add(reply.number)
                return
            late = self._timed_out.pop(reply.number, None)
            found = self._open.pop(reply.number, late)
            self._pending.discard(reply.number)
            if found is None:
                return
            if self._asked.get(reply.account) == reply.number:
                del self._asked[reply.account]
            others_left = self._awaits_lenders(reply.account)
        if found.is_primary or reply.given:
            self.on_loan_reply(reply)
        if not found.is_primary and not others_left:
            self.on_lenders_done(reply.account)

    def handle_repayment_reply(self, reply: RepaymentReply) -> None:
        """Process the reply to a repayment."""
        with self._changed:
            if reply.session == self.own.session:
                self._end_repayment(reply.number)

    def _awaits_lenders(self, account: str) -> bool:
        """Return whether requests to non-primary routers are open; requires the lock."""
        return any(
            not each.is_primary and each.message.account == account for each in self._open.values()
        )

    def _primary(self, account: str, *, without: str = "") -> Member:
        now = self._clock.monotonic_ms()
        with self._changed:
            suspects = frozenset(
                session for session, until in self._suspects.items() if until > now
            )
            suspects |= {without}
        return self._peers.primary(account, suspects, own_reaches=self.reaches_store())

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _track(
        self, message: LoanRequest | Repayment, lender: Member, *, is_primary: bool = True
    ) -> None:
        self._open[message.number] = _OpenMessage(
            message, lender, self._clock.monotonic_ms(), is_primary
        )
        self._changed.notify_all()

    def _end_repayment(self, number: int) -> None:
        found = self._open.pop(number, None)
        if found is not None:
            self._repaying.pop(found.lender.session, None)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._open and not self._next_status_ms and not self._closing:
                    self._changed.wait()
                if self._closing:
                    return
                self._changed.wait(_REPEAT_INTERVAL_MS / 1_000)
                now = self._clock.monotonic_ms()
                timed_out, repeated = self._split_overdue(now)
                queries = self._status_queries(now)
            for each in repeated:
                self._send(each.message, each.lender.address)
            for query, address in queries:
                self._send(query, address)
            for each in timed_out:
                self._report_timeout(each)

    def _split_overdue(self, now: float) -> tuple[list[_OpenMessage], list[_OpenMessage]]:
        """Return the messages that timed out and those to repeat; requires the lock."""
        timed_out = [
            each for each in self._open.values() if now - each.started_ms > _REPLY_TIMEOUT_MS
        ]
        for each in timed_out:
            del self._open[each.message.number]
            if isinstance(each.message, Repayment):
                self._repaying.pop(each.lender.session, None)
            else:
                self._abandon_request(each)
            if each.message.number in self._pending:
                self._pending.discard(each.message.number)
            else:
                self._suspects[each.lender.session] = now + _SUSPECT_MS
        due = [each for each in self._open.values() if now - each.started_ms >= _REPEAT_INTERVAL_MS]
        return timed_out, due

    def _status_queries(self, now: float) -> list[tuple[LoanRequest, str]]:
        """Return the due queries for the outcome of timed-out requests; requires the lock."""
        queries = []
        for number, next_ms in list(self._next_status_ms.items()):
            each = self._timed_out.get(number)
            if each is None or now - each.started_ms > _STATUS_PERIOD_MS:
                del self._next_status_ms[number]
            elif now >= next_ms and isinstance(each.message, LoanRequest):
                self._next_status_ms[number] = now + _STATUS_INTERVAL_MS
                queries.append((replace(each.message, repeats=True), each.lender.address))
        return queries

    def _abandon_request(self, each: _OpenMessage) -> None:
        """Allow another request for the account; a late reply is still accepted."""
        if self._asked.get(each.message.account) == each.message.number:
            del self._asked[each.message.account]
        self._timed_out[each.message.number] = each
        self._next_status_ms[each.message.number] = each.started_ms + _STATUS_INTERVAL_MS
        while len(self._timed_out) > _MAX_TIMED_OUT:
            self._timed_out.popitem(last=False)

    def _report_timeout(self, each: _OpenMessage) -> None:
        self._counters.count("loans.unanswered")
        log_change(
            "loan.unanswered",
            account=each.message.account,
            lender=each.lender.session,
            repayment=isinstance(each.message, Repayment),
        )
        if not isinstance(each.message, LoanRequest):
            return
        account = each.message.account
        if each.is_primary:
            self.on_failed(account)
            return
        with self._changed:
            others_left = self._awaits_lenders(account)
        if not others_left:
            self.on_lenders_done(account)
