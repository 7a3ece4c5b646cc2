"""Asks other routers for the version that began a stream."""

import itertools
import random
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from aspengate.peers import Datagram, StreamQuery, StreamReply
from aspengate.streams import StreamKey

# Time limit for the replies, in ms: a few round trips between regions.
_REPLY_TIMEOUT_MS = 120.0
# Routers that have not replied after this fraction of it are asked once more, as datagrams may be
# lost.
_REPEAT_FRACTION = 1 / 3
_MAX_FIRST_NUMBER = 2**32


@dataclass
class _PendingQuery:
    """A query that waits for replies; ``replies`` are by the address of the replying router.

    With ``needs_all`` it also waits for the others once a router that knows the stream has replied.
    """

    unanswered: set[str]
    needs_all: bool
    replies: dict[str, StreamReply] = field(default_factory=dict)
    answered: threading.Event = field(default_factory=threading.Event)


class StreamQueries:
    """Sends queries on streams and collects the replies; ``send`` may lose messages."""

    def __init__(
        self,
        send: Callable[[Datagram, str], None],
        reply_timeout_ms: float = _REPLY_TIMEOUT_MS,
    ) -> None:
        self.reply_timeout_ms = reply_timeout_ms
        self._send = send
        # A late reply to an earlier session of this router must not count as one to this session.
        self._numbers = itertools.count(random.randrange(_MAX_FIRST_NUMBER))
        self._pending: dict[int, _PendingQuery] = {}
        self._lock = threading.Lock()

    def handle_reply(self, reply: StreamReply, address: str) -> None:
        """Handle another router's reply."""
        with self._lock:
            pending = self._pending.get(reply.number)
            if pending is None or address not in pending.unanswered:
                return
            pending.unanswered.discard(address)
            pending.replies[address] = reply
            is_enough = reply.origin is not None and not pending.needs_all
            if is_enough or not pending.unanswered:
                pending.answered.set()

    def ask(
        self,
        key: StreamKey,
        service: str,
        within_ms: float,
        addresses: Sequence[str],
        *,
        needs_all: bool,
    ) -> list[StreamReply]:
        """Return the replies of routers: all, or those up to the first one that knows the stream.

        ``needs_all`` waits for all. Routers that do not reply in time are left out. Blocks until
        then; replies take some ms.
        """
        if not addresses:
            return []
        number = next(self._numbers)
        query = StreamQuery(number, key.account, key.request_id, service, within_ms)
        pending = _PendingQuery(set(addresses), needs_all)
        with self._lock:
            self._pending[number] = pending
        try:
            self._wait(pending, query)
        finally:
            with self._lock:
                del self._pending[number]
        return list(pending.replies.values())

    def _wait(self, pending: _PendingQuery, query: StreamQuery) -> None:
        repeat_ms = self.reply_timeout_ms * _REPEAT_FRACTION
        for wait_ms in (repeat_ms, self.reply_timeout_ms - repeat_ms):
            with self._lock:
                unanswered = sorted(pending.unanswered)
            for address in unanswered:
                self._send(query, address)
            if pending.answered.wait(wait_ms / 1_000):
                return
