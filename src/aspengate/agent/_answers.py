"""Answers in progress and kept, so that a retry joins one instead of running again."""

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.transport import Chunk, Done, Header, Message, SeenClaim, Started

_DEFAULT_KEPT_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class Subscriber:
    """A router's stream that an answer goes to."""

    reply_to: str
    router_session: str
    stream: int


Emit = Callable[[Subscriber, Message | Chunk], None]


@dataclass
class KeptAnswer:
    """One answer: its status, headers and all bytes so far, and who listens to it.

    Each subscriber gets the answer from its first byte, in order and once.
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
        """Send what there is to a subscriber, and all that follows."""
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
        """Stop sending to a stream; an unkeyed answer that nobody hears is cancelled."""
        with self.lock:
            self.subscribers = [
                each
                for each in self.subscribers
                if (each.router_session, each.stream) != (router_session, stream)
            ]
            if not self.subscribers and not self.key:
                self.cancelled = True

    def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Take the upstream's status and headers."""
        with self.lock:
            self.status = status
            self.headers = headers
            for subscriber in self.subscribers:
                self.emit(subscriber, self._started(subscriber))

    def append(self, data: bytes) -> None:
        """Take more of the body; an unkeyed answer keeps only its length."""
        with self.lock:
            position = self.length
            self.length += len(data)
            if self.key:
                self.pieces.append(data)
            for subscriber in self.subscribers:
                self.emit(subscriber, Chunk(subscriber.stream, position, data))

    def finish(self, done: Done) -> None:
        """Take the end of the answer."""
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
    """Answers in progress by stream, and keyed answers for later retries.

    Finished keyed answers are kept up to ``kept_bytes`` in all, the oldest dropped first; that
    a key was started is remembered even then.
    """

    def __init__(self, kept_bytes: int = _DEFAULT_KEPT_BYTES) -> None:
        self.kept_bytes = kept_bytes
        self._streams: dict[tuple[str, int], KeptAnswer] = {}
        self._keyed: OrderedDict[str, KeptAnswer] = OrderedDict()
        self._dropped: dict[str, KeptAnswer] = {}
        self._lock = threading.Lock()

    @property
    def running(self) -> int:
        """How many answers are in progress."""
        return len({id(answer) for answer in self._streams.values()})

    def listeners(self) -> frozenset[str]:
        """Return the addresses of the routers that wait for running answers."""
        with self._lock:
            running = list(self._streams.values())
        return frozenset(each.reply_to for answer in running for each in answer.subscribers)

    def open(self, subscriber: Subscriber, answer: KeptAnswer) -> bool:
        """Note a new answer; return whether neither its stream nor its key was known."""
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
        """Note that the answer of a stream is finished; keep it where it has a key."""
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
        """Forget an answer whose run did not start, so that its key is free again."""
        with self._lock:
            self._streams.pop((subscriber.router_session, subscriber.stream), None)
            self._keyed.pop(answer.key, None)

    def by_key(self, key: str) -> KeptAnswer | None:
        """Return the kept or running answer of a key."""
        return self._keyed.get(key)

    def by_stream(self, router_session: str, stream: int) -> KeptAnswer | None:
        """Return the running answer of a stream."""
        return self._streams.get((router_session, stream))

    def claims_of(self, owner: str, agent: str) -> tuple[SeenClaim, ...]:
        """Return the claims of an owner's session that were started here."""
        with self._lock:
            known = (*self._keyed.values(), *self._dropped.values())
            return tuple(
                SeenClaim(answer.key, answer.claim_shard, answer.request_id, agent)
                for answer in known
                if answer.claim_owner == owner
            )
