"""Lends tokens to other routers and accepts their repayments."""

import threading
from collections import OrderedDict
from collections.abc import Callable

from aspengate.errors import ErrorKind
from aspengate.gateway.prepaid._account import Account, Ticket
from aspengate.gateway.prepaid._supply import Supply
from aspengate.peers import PENDING, LoanReply, LoanRequest, Repayment
from aspengate.telemetry import Counters, log_change

_MAX_REPLIES = 4_096
_MAX_BORROWERS = 65_536

Answer = Callable[[LoanReply], None]


class Lender:
    """Serves other routers' loan requests, each of them once even if it arrives repeatedly."""

    def __init__(self, supply: Supply, counters: Counters) -> None:
        self._supply = supply
        self._counters = counters
        self._replies: OrderedDict[tuple[str, int], LoanReply | None] = OrderedDict()
        self._repaid: dict[str, int] = {}
        self._lock = threading.Lock()

    def handle_request(self, account: Account, request: LoanRequest, answer: Answer) -> None:
        """Lend immediately if enough tokens are free, otherwise as soon as the request is decided.

        A router that is not the primary does not obtain tokens on behalf of a borrower that only
        fills its reserve: two routers that each consider the other the primary would send requests
        back and forth without end.
        """
        if self._is_repeated(request, answer):
            return
        now = self._supply.clock.monotonic_ms()
        with account.changed:
            account.last_used_ms = now
            self._serve(account, request, answer, now)
            if request.needed or self._supply.loans.is_primary(account.name):
                self._supply.prefetch(account, now)

    def handle_repayment(self, account: Account, payment: Repayment) -> bool:
        """Accept repaid tokens; return False if they cannot be accepted any more."""
        with self._lock:
            known = len(self._repaid) < _MAX_BORROWERS or payment.session in self._repaid
            if not known:
                return False
            if payment.number <= self._repaid.get(payment.session, 0):
                return True
            self._repaid[payment.session] = payment.number
        now = self._supply.clock.monotonic_ms()
        with account.changed:
            if not account.balance.borrow(payment.amount):
                return False
            account.grant_waiting(now)
            if account.waiting:
                self._supply.request_tokens(account, now)
        self._counters.count("allowances.repaid")
        return True

    def _is_repeated(self, request: LoanRequest, answer: Answer) -> bool:
        """Return whether a request is a repetition, and if so repeat its reply.

        A request with ``repeats`` that never arrived before is refused, then and when it arrives
        later.
        """
        identity = (request.session, request.number)
        with self._lock:
            if identity not in self._replies:
                self._replies[identity] = _refuse_unserved(request) if request.repeats else None
                while len(self._replies) > _MAX_REPLIES:
                    self._replies.popitem(last=False)
                if not request.repeats:
                    return False
            reply = self._replies[identity]
        answer(reply or LoanReply(request.number, request.session, request.account, 0, PENDING))
        return True

    def _serve(self, account: Account, request: LoanRequest, answer: Answer, now: float) -> None:
        if request.needed < 0 or request.extra < 0:
            self._counters.count("allowances.impossible_requests")
            self._reply(request, answer, refused=ErrorKind.BAD_REQUEST)
            return
        scarce = self._supply.is_scarce(account, now)
        extra = 0 if scarce else self._supply.extra_to_lend(account, request.extra)
        balance = account.balance
        if not account.waiting and balance.free >= request.needed:
            given = balance.lend(min(balance.free, request.needed + extra), now)
            self._reply(request, answer, given=given, scarce=scarce)
            return
        if not request.needed:
            self._reply(request, answer, scarce=scarce)
            return
        if now < account.exhausted_until_ms and request.needed >= account.exhausted_amount:
            self._reply(request, answer, refused=ErrorKind.BUDGET_EXHAUSTED, scarce=True)
            return
        can_draw = not request.held_only and not self._supply.writer.store_seems_down(now)
        if not can_draw and balance.held < request.needed:
            self._reply(request, answer, refused=ErrorKind.BUDGET_UNAVAILABLE, scarce=True)
            return

        def decided(ticket: Ticket) -> None:
            self._answer_decided(account, request, ticket, answer)

        account.waiting.append(Ticket(request.needed, on_decided=decided))
        self._supply.draw(account, now)

    def _answer_decided(
        self, account: Account, request: LoanRequest, ticket: Ticket, answer: Answer
    ) -> None:
        """Answer a request that had to wait; requires the account's lock."""
        if ticket.granted:
            account.balance.lend_reserved(ticket.amount)
            self._reply(request, answer, given=ticket.amount)
        else:
            self._reply(request, answer, refused=ticket.refused, scarce=True)

    def _reply(
        self,
        request: LoanRequest,
        answer: Answer,
        *,
        given: int = 0,
        refused: ErrorKind | None = None,
        scarce: bool = False,
    ) -> None:
        code = refused.value if refused else ""
        reply = LoanReply(request.number, request.session, request.account, given, code, scarce)
        with self._lock:
            self._replies[request.session, request.number] = reply
        self._counters.count("allowances.lent" if given else "allowances.not_lent")
        log_change(
            "allowance.lent",
            account=request.account,
            borrower=request.session,
            needed=request.needed,
            given=given,
            refused=code,
            scarce=scarce,
        )
        answer(reply)


def _refuse_unserved(request: LoanRequest) -> LoanReply:
    """Return the refusal of a request that arrives after the query for its outcome."""
    code = ErrorKind.BUDGET_UNAVAILABLE.value
    return LoanReply(request.number, request.session, request.account, 0, code)
