"""Asks other routers for permits to send to replicas that name limits."""

import itertools
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from aspengate.clock import Clock
from aspengate.fleet_permits import Permit
from aspengate.peers import Datagram, LimitWord, PermitReply, PermitRequest, PermitUse
from aspengate.replica_limits import PermitHolders
from aspengate.replicas import ReplicaView
from aspengate.telemetry import Counters

# The longest wait for an answer, in ms: some round trips between regions.
_ANSWER_MS = 100.0
# So many replicas fit into a question beside the rest.
_MOST_WORDS = 100


@dataclass
class _Question:
    """A question that waits for its answer."""

    asked_ms: float
    answered: threading.Event = field(default_factory=threading.Event)
    reply: PermitReply | None = None


@dataclass(frozen=True)
class GrantedPermit:
    """A replica, and the permit of another router to send one request to it."""

    view: ReplicaView
    permit: Permit


class PermitClient:
    """Gets permits from the routers that hold them.

    ``address_of`` returns where a router is reached by its name, empty where that is not known;
    ``send`` sends a message there, which may get lost. ``session`` is this router's run.
    """

    def __init__(
        self,
        session: Callable[[], str],
        holders: PermitHolders,
        clock: Clock,
        counters: Counters,
        *,
        address_of: Callable[[str], str],
        send: Callable[[Datagram, str], None],
    ) -> None:
        self.holders = holders
        self._session = session
        self._clock = clock
        self._counters = counters
        self._address_of = address_of
        self._send = send
        self._numbers = itertools.count(1)
        self._questions: dict[int, _Question] = {}
        self._lock = threading.Lock()

    def handle_reply(self, reply: PermitReply, address: str) -> None:
        """Take another router's answer; a permit that nobody waits for goes back."""
        with self._lock:
            question = self._questions.get(reply.number)
            if question is not None:
                question.reply = reply
                question.answered.set()
        if question is None and reply.replica:
            self._counters.count("permits.too_late")
            self._send(PermitUse(reply.number, self._session(), sent=False), address)

    def request_permit(
        self, router: str, wanted: Sequence[ReplicaView], most_wait_ms: float
    ) -> GrantedPermit | None:
        """Ask a router for a permit for one of the limited replicas ``wanted``; None for none.

        It is ready within ``most_wait_ms``. The answer takes some ms, or a timeout where the router
        does not answer.
        """
        address = self._address_of(router)
        if not address:
            self.holders.note_silent(router)
            return None
        number = next(self._numbers)
        question = _Question(self._clock.monotonic_ms())
        with self._lock:
            self._questions[number] = question
        views = {view.incarnation: view for view in wanted[:_MOST_WORDS]}
        words = [limit_word_of(view) for view in views.values()]
        self._counters.count("permits.asked")
        self._send(PermitRequest(number, self._session(), words, int(most_wait_ms)), address)
        question.answered.wait(_ANSWER_MS / 1_000)
        with self._lock:
            del self._questions[number]
        reply = question.reply
        if reply is None:
            self._counters.count("permits.unanswered")
            self.holders.note_silent(router)
            return None
        ready = {
            views[each.replica].identity: float(each.ready_ms)
            for each in reply.ready
            if each.replica in views
        }
        self.holders.note_answer(router, ready)
        return self._granted(reply, views, question, address)

    def _granted(
        self,
        reply: PermitReply,
        views: dict[str, ReplicaView],
        question: _Question,
        address: str,
    ) -> GrantedPermit | None:
        view = views.get(reply.replica)
        if view is None:
            return None
        self._counters.count("permits.granted_here")

        def settle(sent: bool) -> None:
            self._send(PermitUse(reply.number, self._session(), sent=sent), address)

        # The other router counts the permit from some ms after it was asked, so that it lapses
        # there a little later than here.
        until_ms = question.asked_ms + reply.wait_ms + reply.valid_ms
        ready_ms = self._clock.monotonic_ms() + reply.wait_ms
        return GrantedPermit(view, Permit(settle, ready_ms=ready_ms, until_ms=until_ms))


def limit_word_of(view: ReplicaView) -> LimitWord:
    """Return what this router knows of a replica's limit."""
    limit = view.reported.limit
    return LimitWord(view.incarnation, limit.number, limit.per_second)
