"""The agent: its message handlers, threads and sockets, run as a process or inside one."""

import math
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from aspengate.adapters import Store, open_upstream
from aspengate.agent._answers import AnswerStore, KeptAnswer, Subscriber
from aspengate.agent._gate import DispatchGate
from aspengate.agent._outbox import Outbox
from aspengate.agent._records import RecordStore
from aspengate.agent._run import run_dispatch
from aspengate.agent._settings import AgentSettings
from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.membership import fences_document
from aspengate.telemetry import Counters, log_change
from aspengate.transport import (
    BlocksSettled,
    Cancel,
    Chunk,
    Dispatch,
    Done,
    Fence,
    FenceAck,
    Heartbeat,
    Join,
    LoadReport,
    Message,
    Peer,
    Refused,
    RunningRequest,
    Sealer,
)

_ROUTER_EXPIRY_MS = 30_000.0
_STORE_RETRY_MS = 500.0
_DRAIN_POLL_MS = 20.0


class Agent:
    """Runs beside one upstream and is the only process that sends it requests.

    Call ``start`` to accept requests, and ``leave`` for a planned stop; ``close`` stops without
    waiting for running requests.
    """

    def __init__(
        self,
        settings: AgentSettings,
        store: Store,
        clock: Clock,
        counters: Counters,
        peer: Peer | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.counters = counters
        self.gate = DispatchGate(max_concurrency=settings.max_concurrency, ready=False)
        self.answers = AnswerStore(settings.kept_answer_bytes)
        self.records = RecordStore()
        self.upstream = open_upstream(settings.protocol, settings.upstream_address)
        self.peer = peer or Peer(settings.listen, Sealer(settings.secrets), counters)
        self.outbox = Outbox(self.peer.send, clock, settings.linger_ms)
        self._store = store
        self._pool = ThreadPoolExecutor(settings.max_concurrency, thread_name_prefix="run")
        self._routers: dict[str, float] = {}
        self._closing = threading.Event()
        self._loops = [
            threading.Thread(target=self._heartbeat_loop, daemon=True, name="heartbeat"),
            threading.Thread(target=self._load_fences, daemon=True, name="fences"),
        ]

    @property
    def address(self) -> str:
        """Address at which other processes reach this agent."""
        return self.peer.address

    def start(self) -> None:
        """Start the threads; dispatches are refused until the fences are read from the store."""
        self.outbox.start()
        self.peer.start(self.handle)
        for loop in self._loops:
            loop.start()
        log_change("agent.started", name=self.settings.name, address=self.address)

    def leave(self, timeout_ms: float) -> bool:
        """Refuse new requests, notify the routers, wait for running requests, and close.

        Return whether all requests finished within ``timeout_ms``.
        """
        self.gate.leaving = True
        log_change("agent.leaving", name=self.settings.name)
        self._send_heartbeats()
        deadline = self.clock.monotonic_ms() + timeout_ms
        while self.answers.running and self.clock.monotonic_ms() < deadline:
            self.clock.sleep_ms(_DRAIN_POLL_MS)
        finished = not self.answers.running
        self.close()
        return finished

    def close(self) -> None:
        """Stop without waiting for running requests; requests in the queue are cancelled."""
        self._closing.set()
        self.outbox.close()
        self.peer.close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def load(self) -> LoadReport:
        """Return the current load, as reported to the routers."""
        return LoadReport(
            running=self.answers.running,
            reported_ms=self.clock.now_ms(),
            leaving=self.gate.leaving or not self.gate.ready,
        )

    def handle(self, message: Message) -> None:
        """Handle a message; called on the receiving thread, so it must not block."""
        _HANDLERS.get(type(message), _count_unexpected)(self, message)

    def _handle_dispatch(self, dispatch: Dispatch) -> None:
        subscriber = Subscriber(dispatch.reply_to, dispatch.router_session, dispatch.stream)
        self._routers[dispatch.reply_to] = self.clock.monotonic_ms()
        refusal = self.gate.check(dispatch, self.clock.now_ms(), self.answers.running)
        if refusal is not None:
            self._refuse(subscriber, refusal.kind, refusal.reason)
            return
        claim = dispatch.claim
        answer = KeptAnswer(
            key=claim.key if claim else "",
            request_id=dispatch.request_id,
            emit=self._emit,
            claim_owner=claim.owner if claim else "",
            claim_shard=claim.shard if claim else 0,
            subscribers=[subscriber],
        )
        if not self.answers.open(subscriber, answer):
            self.counters.count("agent.duplicate_dispatch")
            return
        self.records.start(
            RunningRequest(
                dispatch.block_id,
                dispatch.sequence,
                dispatch.holder,
                dispatch.router_session,
                dispatch.upper_bound,
            )
        )
        self.counters.count("agent.started")
        self._pool.submit(self._run, dispatch, subscriber, answer)

    def _run(self, dispatch: Dispatch, subscriber: Subscriber, answer: KeptAnswer) -> None:
        done = run_dispatch(dispatch, answer, self.upstream, self.clock)
        self.records.finish(done.usage)
        if done.error == ErrorKind.NO_UPSTREAM.value:
            self.answers.discard(subscriber, answer)
            self._refuse(subscriber, ErrorKind.NO_UPSTREAM, "the upstream can't be reached")
            return
        self.answers.close(subscriber)
        answer.finish(
            Done(done.stream, done.router_session, done.length, done.usage, self.load(), done.error)
        )
        self.counters.count("agent.failed" if done.error else "agent.finished")

    def _refuse(self, subscriber: Subscriber, kind: ErrorKind, reason: str) -> None:
        self.counters.count(f"agent.refused.{kind.value}")
        refused = Refused(
            subscriber.stream, subscriber.router_session, kind.value, reason, self.load()
        )
        self._emit(subscriber, refused)

    def _emit(self, subscriber: Subscriber, item: Message | Chunk) -> None:
        self.outbox.put(subscriber.reply_to, subscriber.router_session, item)

    def _handle_cancel(self, cancel: Cancel) -> None:
        answer = self.answers.by_stream(cancel.router_session, cancel.stream)
        if answer is not None:
            answer.unsubscribe(cancel.router_session, cancel.stream)
            self.counters.count("agent.cancelled")

    def _handle_join(self, join: Join) -> None:
        subscriber = Subscriber(join.reply_to, join.router_session, join.stream)
        answer = self.answers.by_key(join.key)
        if answer is None:
            self._refuse(subscriber, ErrorKind.OUTCOME_UNKNOWN, "the answer is not kept any more")
            return
        self.counters.count("agent.joined")
        answer.subscribe(subscriber)

    def _handle_fence(self, fence: Fence) -> None:
        self.gate.fence(fence.session)
        records, running = self.records.of_session(fence.session)
        ack = FenceAck(
            call=fence.call,
            sender=self.address,
            session=fence.session,
            records=records,
            running=running,
            claims=self.answers.claims_of(fence.session, self.address),
        )
        self.peer.background.submit(self.peer.send, fence.reply_to, ack)

    def _handle_settled(self, settled: BlocksSettled) -> None:
        self.records.forget(settled.block_ids)

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._routers[heartbeat.reply_to] = self.clock.monotonic_ms()

    def _heartbeat_loop(self) -> None:
        while not self._closing.wait(self.settings.heartbeat_ms / 1_000):
            self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        now = self.clock.monotonic_ms()
        self._routers = {
            router: seen
            for router, seen in self._routers.copy().items()
            if now - seen < _ROUTER_EXPIRY_MS
        }
        self.outbox.retain({*self._routers, *self.answers.receiving_routers()})
        message = Heartbeat(
            sender=self.settings.name,
            reply_to=self.address,
            session="",
            load=self.load(),
            table_version=0,
        )
        idle_cutoff_ms = now - self.settings.heartbeat_ms
        for router in {*self._routers, *self.answers.receiving_routers()}:
            if self.gate.leaving or self.outbox.sent_ms.get(router, -math.inf) <= idle_cutoff_ms:
                self.peer.send(router, message)

    def _load_fences(self) -> None:
        document = fences_document(self._store)
        while not self._closing.is_set():
            try:
                fenced = document.read().value.fenced
            except AspengateError:
                self.counters.count("agent.store_unavailable")
                self._closing.wait(_STORE_RETRY_MS / 1_000)
                continue
            for each in fenced:
                self.gate.fence(each.session)
            self.gate.ready = True
            return


def _count_unexpected(agent: Agent, message: Message) -> None:
    agent.counters.count(f"agent.unexpected.{type(message).__name__}")


_HANDLERS: dict[type[Message], Callable[[Agent, Any], None]] = {
    Dispatch: Agent._handle_dispatch,
    Cancel: Agent._handle_cancel,
    Join: Agent._handle_join,
    Fence: Agent._handle_fence,
    BlocksSettled: Agent._handle_settled,
    Heartbeat: Agent._handle_heartbeat,
}
