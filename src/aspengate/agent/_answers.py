"""Holds responses in progress and finished ones, so that a retry joins one and is not run again."""

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.transport import Chunk, Done, Header, Message, SeenClaim, Started

_DEFAULT_KEPT_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class Subscriber:
    """A router's stream that receives a response."""

    reply_to: str
    router_session: str
    stream: int


Emit = Callable[[Subscriber, Message | Chunk], None]


@dataclass
class KeptAnswer:
    """Holds one response: its status, headers, body so far and subscribers. Thread-safe.

    Each subscriber receives the response from its first byte, in order and without repetition.
    ``key`` is the key of the request's claim, or empty if the request has no claim; the body of
    a response without a key is not retained.
    """

    key: str
    request_id: str
    emit: Emit
    claim_owner: str = ""
    claim_shard: int = 0
    status: int = 0
    headers: tuple[Header, ...] = ()
    pieces: list[bytes] = field(default_factory=list)
    length: int = 0
    done: Done | None = None
    cancelled: bool = False
    subscribers: list[Subscriber] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Add a subscriber, and send it the response so far."""
        with self.lock:
            self.subscribers.append(subscriber)
            if not self.status and self.done is None:
                return
            if self.status:
                self.emit(subscriber, self._started(subscriber))
            if self.pieces:
                self.emit(subscriber, Chunk(subscriber.stream, 0, b"".join(self.pieces)))
            if self.done is not None:
                self.emit(subscriber, self._done(subscriber, self.done))

    def unsubscribe(self, router_session: str, stream: int) -> None:
        """Stop sending to a stream; cancel a response without a key after its last subscriber."""
        with self.lock:
            self.subscribers = [
                each
                for each in self.subscribers
                if (each.router_session, each.stream) != (router_session, stream)
            ]
            if not self.subscribers and not self.key:
                self.cancelled = True

    def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Set the upstream's status and headers, and send them to the subscribers."""
        with self.lock:
            self.status = status
            self.headers = headers
            for subscriber in self.subscribers:
                self.emit(subscriber, self._started(subscriber))

    def append(self, data: bytes) -> None:
        """Send ``data`` to the subscribers; a response without a key retains only its length."""
        with self.lock:
            position = self.length
            self.length += len(data)
            if self.key:
                self.pieces.append(data)
            for subscriber in self.subscribers:
                self.emit(subscriber, Chunk(subscriber.stream, position, data))

    def finish(self, done: Done) -> None:
        """Record the end of the response, and send it to the subscribers."""
        with self.lock:
            self.done = done
            for subscriber in self.subscribers:
                self.emit(subscriber, self._done(subscriber, done))

    def _started(self, subscriber: Subscriber) -> Started:
        return Started(subscriber.stream, subscriber.router_session, self.status, self.headers)

    def _done(self, subscriber: Subscriber, done: Done) -> Done:
        return Done(
            stream=subscriber.stream,
            router_session=subscriber.router_session,
            length=done.length,
            usage=done.usage,
            load=done.load,
            error=done.error,
        )


class AnswerStore:
    """Holds responses in progress by stream, and responses with a key for later retries.

    Finished responses with a key are retained up to ``kept_bytes`` in total; beyond that, the
    oldest are dropped first. The key of a dropped response stays recorded as started, so that
    its request is not run again.
    """

    def __init__(self, kept_bytes: int = _DEFAULT_KEPT_BYTES) -> None:
        self.kept_bytes = kept_bytes
        self._streams: dict[tuple[str, int], KeptAnswer] = {}
        self._keyed: OrderedDict[str, KeptAnswer] = OrderedDict()
        self._dropped: dict[str, KeptAnswer] = {}
        self._lock = threading.Lock()

    @property
    def running(self) -> int:
        """Number of responses in progress."""
        return len({id(answer) for answer in self._streams.values()})

    def receiving_routers(self) -> frozenset[str]:
        """Return the addresses of the routers that receive responses in progress."""
        with self._lock:
            running = list(self._streams.values())
        return frozenset(each.reply_to for answer in running for each in answer.subscribers)

    def open(self, subscriber: Subscriber, answer: KeptAnswer) -> bool:
        """Add a response; return ``False`` if its stream is in use or its key was started."""
        stream = (subscriber.router_session, subscriber.stream)
        with self._lock:
            if stream in self._streams:
                return False
            if answer.key and (answer.key in self._keyed or answer.key in self._dropped):
                return False
            self._streams[stream] = answer
            if answer.key:
                self._keyed[answer.key] = answer
            return True

    def close(self, subscriber: Subscriber) -> None:
        """Release the stream of a finished response; the response is retained if it has a key."""
        with self._lock:
            self._streams.pop((subscriber.router_session, subscriber.stream), None)
            finished = [answer for answer in self._keyed.values() if answer.done is not None]
            excess = sum(answer.length for answer in finished) - self.kept_bytes
            for answer in finished:
                if excess <= 0:
                    break
                excess -= answer.length
                del self._keyed[answer.key]
                answer.pieces = []
                self._dropped[answer.key] = answer

    def discard(self, subscriber: Subscriber, answer: KeptAnswer) -> None:
        """Remove a response whose run did not start, so that its key can be started again."""
        with self._lock:
            self._streams.pop((subscriber.router_session, subscriber.stream), None)
            self._keyed.pop(answer.key, None)

    def by_key(self, key: str) -> KeptAnswer | None:
        """Return the finished or running response of a key, if it is retained."""
        return self._keyed.get(key)

    def by_stream(self, router_session: str, stream: int) -> KeptAnswer | None:
        """Return the running response of a stream, if any."""
        return self._streams.get((router_session, stream))

    def claims_of(self, owner: str, agent: str) -> tuple[SeenClaim, ...]:
        """Return the claims under an owner's session whose requests this agent has started."""
        with self._lock:
            known = (*self._keyed.values(), *self._dropped.values())
            return tuple(
                SeenClaim(answer.key, answer.claim_shard, answer.request_id, agent)
                for answer in known
                if answer.claim_owner == owner
            )
