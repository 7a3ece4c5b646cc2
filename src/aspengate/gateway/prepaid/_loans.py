"""Asks other routers for tokens: an account's primary first, which draws them for all."""

import threading
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Protocol

from msgspec.structs import replace

from aspengate.clock import Clock
from aspengate.peers import PENDING, LoanReply, LoanRequest, Member, Repayment, RepaymentReply
from aspengate.telemetry import Counters, lasting_thread, log_change

_REPEAT_MS = 40.0
_LOST_MS = 200.0
_SUSPECT_MS = 2_000.0
_OTHERS = 4
_MOST_GIVEN_UP = 256
# What became of a request that was given up is asked each so often, for so long, in ms: a lender
# that served it counts its tokens as gone, and they are lost where no answer arrives. On a day with
# leaders behind slow links that was 4 in 100 of all tokens (30 routers, 1 play).
_LATE_REPEAT_MS = 1_000.0
_LATE_MS = 10_000.0


class Loans(Protocol):
    """How a router borrows tokens and pays them back."""

    def is_primary(self, account: str) -> bool:
        """Return whether this router draws the account's tokens from the store for all."""

    def borrow_from_primary(self, account: str, needed: int, extra: int) -> bool:
        """Ask the primary for ``needed`` tokens or none, and up to ``extra`` more.

        Return whether an answer or a failure will be told.
        """

    def borrow_from_successor(self, account: str, needed: int) -> bool:
        """Ask the router that would draw if the primary, which gave none, were not there.

        Return whether there is another one, whose answer or failure will be told.
        """

    def borrow_from_others(self, account: str, needed: int) -> bool:
        """Ask some other routers; return whether there are any."""

    def borrow_from_holders(self, account: str, needed: int, sessions: Iterable[str]) -> bool:
        """Ask the live ones of ``sessions`` for what they hold; return whether there are any."""

    def repay(self, account: str, amount: int) -> bool:
        """Give tokens to the primary; return whether they are on their way, and gone from here."""


class NoLoans:
    """Stands in where a router has no peers."""

    def is_primary(self, account: str) -> bool:
        """Return that this router draws for itself."""
        return True

    def borrow_from_primary(self, account: str, needed: int, extra: int) -> bool:
        """Return that there is nobody to ask."""
        return False

    def borrow_from_successor(self, account: str, needed: int) -> bool:
        """Return that there is nobody to ask."""
        return False

    def borrow_from_others(self, account: str, needed: int) -> bool:
        """Return that there is nobody to ask."""
        return False

    def borrow_from_holders(self, account: str, needed: int, sessions: Iterable[str]) -> bool:
        """Return that there is nobody to ask."""
        return False

    def repay(self, account: str, amount: int) -> bool:
        """Return that there is nobody to pay back to."""
        return False


class PeerList(Protocol):
    """The other routers, as far as loans need them."""

    def primary(
        self, account: str, suspects: frozenset[str], *, own_reaches: bool | None
    ) -> Member:
        """Return the router that draws an account's tokens, which may be this one."""

    def lenders(self, most: int) -> list[Member]:
        """Return up to ``most`` live routers, those that reach the store first."""

    def alive(self) -> list[Member]:
        """Return the other routers that were heard of lately."""


@dataclass(frozen=True)
class _Open:
    """A message that waits for its answer; ``is_primary`` tells whether a failure is told."""

    message: LoanRequest | Repayment
    lender: Member
    begun_ms: float
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
        self._open: dict[int, _Open] = {}
        self._pending: set[int] = set()
        self._given_up: OrderedDict[int, _Open] = OrderedDict()
        self._late: dict[int, float] = {}
        self._asked: dict[str, int] = {}
        self._last_asked: dict[str, str] = {}
        self._repaying: dict[str, int] = {}
        self._suspects: dict[str, float] = {}
        self._changed = threading.Condition()
        self._closing = False
        self._thread = lasting_thread(self._run, "loans", counters)

    def start(self) -> None:
        """Begin to repeat what is not answered."""
        self._thread.start()

    def close(self) -> None:
        """Stop."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()

    def is_primary(self, account: str) -> bool:
        """Return whether this router draws the account's tokens from the store for all."""
        return self._primary(account).name == self.own.name

    def borrow_from_primary(self, account: str, needed: int, extra: int) -> bool:
        """Ask the primary, unless it was asked already."""
        return self._send_request(account, self._primary(account), needed, extra)

    def borrow_from_successor(self, account: str, needed: int) -> bool:
        """Ask the router that would draw if the primary, which gave none, were not there."""
        primary = self._primary(account)
        asked = self._last_asked.get(account, "")
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
            request = LoanRequest(self._next(), self.own.session, account, needed, extra)
            self._asked[account] = request.number
            self._last_asked[account] = primary.session
            self._begin(request, primary)
        self._send(request, primary.address)
        return True

    def borrow_from_others(self, account: str, needed: int) -> bool:
        """Ask some other routers at once; what comes beyond the need is paid back later."""
        found = {lender.session: lender for lender in self._peers.lenders(_OTHERS)}
        usual = self._peers.primary(account, frozenset(), own_reaches=None)
        if usual.name != self.own.name:
            found[usual.session] = usual
        return self._ask_all(account, needed, found.values(), held_only=False)

    def borrow_from_holders(self, account: str, needed: int, sessions: Iterable[str]) -> bool:
        """Ask the live ones of ``sessions`` for what they hold; return whether there are any."""
        listed = set(sessions)
        found = [member for member in self._peers.alive() if member.session in listed]
        return self._ask_all(account, needed, found, held_only=True)

    def _ask_all(
        self, account: str, needed: int, lenders: Collection[Member], *, held_only: bool
    ) -> bool:
        """Ask routers that are not the primary; return whether there are any."""
        requests = []
        with self._changed:
            for lender in lenders:
                request = LoanRequest(self._next(), self.own.session, account, needed, 0, held_only)
                self._begin(request, lender, is_primary=False)
                requests.append((request, lender.address))
        for request, address in requests:
            self._send(request, address)
        return bool(requests)

    def repay(self, account: str, amount: int) -> bool:
        """Give tokens to the primary, unless others are on their way to it."""
        primary = self._primary(account)
        if primary.name == self.own.name:
            return False
        with self._changed:
            if primary.session in self._repaying:
                return False
            number = self._next()
            self._repaying[primary.session] = number
            payment = Repayment(number, self.own.session, primary.session, account, amount)
            self._begin(payment, primary)
        self._send(payment, primary.address)
        return True

    def handle_reply(self, reply: LoanReply) -> None:
        """Take the answer to a request."""
        with self._changed:
            if reply.session != self.own.session:
                return
            if reply.refused == PENDING:
                self._pending.add(reply.number)
                return
            late = self._given_up.pop(reply.number, None)
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
        """Take the answer to a repayment."""
        with self._changed:
            if reply.session == self.own.session:
                self._end_repayment(reply.number)

    def _awaits_lenders(self, account: str) -> bool:
        """Return whether routers other than the primary are asked; call it with the lock held."""
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

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _begin(
        self, message: LoanRequest | Repayment, lender: Member, *, is_primary: bool = True
    ) -> None:
        self._open[message.number] = _Open(message, lender, self._clock.monotonic_ms(), is_primary)
        self._changed.notify_all()

    def _end_repayment(self, number: int) -> None:
        found = self._open.pop(number, None)
        if found is not None:
            self._repaying.pop(found.lender.session, None)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._open and not self._late and not self._closing:
                    self._changed.wait()
                if self._closing:
                    return
                self._changed.wait(_REPEAT_MS / 1_000)
                now = self._clock.monotonic_ms()
                lost, repeated = self._sort_out(now)
                late = self._late_questions(now)
            for each in repeated:
                self._send(each.message, each.lender.address)
            for question, address in late:
                self._send(question, address)
            for each in lost:
                self._give_up(each)

    def _sort_out(self, now: float) -> tuple[list[_Open], list[_Open]]:
        """Return what is given up, and what is to be sent again; call it with the lock held."""
        lost = [each for each in self._open.values() if now - each.begun_ms > _LOST_MS]
        for each in lost:
            del self._open[each.message.number]
            if isinstance(each.message, Repayment):
                self._repaying.pop(each.lender.session, None)
            else:
                self._forget(each)
            if each.message.number in self._pending:
                self._pending.discard(each.message.number)
            else:
                self._suspects[each.lender.session] = now + _SUSPECT_MS
        due = [each for each in self._open.values() if now - each.begun_ms >= _REPEAT_MS]
        return lost, due

    def _late_questions(self, now: float) -> list[tuple[LoanRequest, str]]:
        """Return what is to be asked of requests that were given up; the lock is held."""
        questions = []
        for number, next_ms in list(self._late.items()):
            each = self._given_up.get(number)
            if each is None or now - each.begun_ms > _LATE_MS:
                del self._late[number]
            elif now >= next_ms and isinstance(each.message, LoanRequest):
                self._late[number] = now + _LATE_REPEAT_MS
                questions.append((replace(each.message, repeats=True), each.lender.address))
        return questions

    def _forget(self, each: _Open) -> None:
        """Allow another request; what still comes for this one is taken all the same."""
        if self._asked.get(each.message.account) == each.message.number:
            del self._asked[each.message.account]
        self._given_up[each.message.number] = each
        self._late[each.message.number] = each.begun_ms + _LATE_REPEAT_MS
        while len(self._given_up) > _MOST_GIVEN_UP:
            self._given_up.popitem(last=False)

    def _give_up(self, each: _Open) -> None:
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
