"""The router as a process or a set of threads: its services, its loops and its messages."""

import random
import threading
import uuid
from collections.abc import Callable
from typing import Any

from aspengate.adapters import InstanceList, Store
from aspengate.budgets import BlockLedger, SizingPolicy
from aspengate.claims import KeyTimes
from aspengate.clock import Clock
from aspengate.limits import Limiter, RetryBudget
from aspengate.router._claims import ClaimService
from aspengate.router._http import HttpApplication
from aspengate.router._members import Members
from aspengate.router._money import RouterMoney
from aspengate.router._operators import OperatorAnswer, OperatorPages, ProcessStatus
from aspengate.router._pipeline import Pipeline
from aspengate.router._recovery import RecoveryService
from aspengate.router._settings import RouterSettings
from aspengate.router._stewards import StewardService
from aspengate.router._streams import StreamTable
from aspengate.router._table import TableEditor, TableFollower
from aspengate.router.filters import FilterParts
from aspengate.routing import ChoiceContext, PrefixMemory, UpstreamRegistry, open_policy
from aspengate.serving import WsgiEnvironment, WsgiServer
from aspengate.telemetry import Counters, log_change
from aspengate.transport import (
    BlockClosed,
    BlocksSettled,
    BlockTrimmed,
    Chunks,
    ClaimRequest,
    Done,
    DrawRequest,
    Fence,
    Heartbeat,
    Message,
    Peer,
    Recall,
    Refused,
    ReleaseClaim,
    Sealer,
    Started,
)

_TICK_MS = 500.0
_DRAIN_POLL_MS = 20.0
_HAND_OVER_MS = 30_000.0
_HAND_OVER_POLL_MS = 200.0


class Router:
    """An entry instance's process.

    Make it, ``start`` it, and ``leave`` for a planned stop; ``close`` cuts what is running.
    """

    def __init__(
        self,
        settings: RouterSettings,
        store: Store,
        listed: InstanceList,
        clock: Clock,
        counters: Counters,
        peer: Peer | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.counters = counters
        self.leaving = False
        self.fenced = False
        self.peer = peer or Peer(settings.peer_listen, Sealer(settings.secrets), counters)
        self.session = f"{settings.name}.{uuid.uuid4().hex[:8]}@{self.peer.address}"
        self.streams = StreamTable(self.session, counters)
        self.table = TableFollower(store, clock, counters, self._on_budgets_changed)
        self.editor = TableEditor(store, clock, settings.budget_shards)
        self.limiter = Limiter(clock)
        self.registry = UpstreamRegistry(
            clock,
            settings.region,
            settings.failure_domain,
            name=settings.name,
            subset=settings.subset,
            silent_after_ms=settings.silent_after_ms,
        )
        self.stewards = self._make_stewards(store)
        self.money = self._make_money()
        self.claims = self._make_claims(store)
        self.members = self._make_members(listed)
        self.recovery = self._make_recovery(store)
        self.pipeline = Pipeline(self._parts(), RetryBudget())
        self._pages = OperatorPages(self.editor)
        application = HttpApplication(
            handle=self.pipeline.handle,
            administer=self._administer,
            table=lambda: self.table.view,
            accepting=lambda: not self.leaving,
            clock=clock,
            counters=counters,
            deadline_ms=settings.deadline_ms,
        )
        self.server = WsgiServer(
            application, settings.listen, settings.threads, settings.max_body_bytes
        )
        self._closing = threading.Event()
        self._loops = [
            self._loop("members", settings.poll_ms, self._poll_members),
            self._loop("heartbeats", settings.heartbeat_ms, self.members.send_heartbeats),
            self._loop("money", _TICK_MS, self._tick_money),
            self._loop("settle", settings.settle_ms, self.stewards.settle),
            self._loop("claims", settings.poll_ms, self.claims.tick),
            self._loop("recovery", settings.poll_ms, self._tick_recovery),
        ]

    @property
    def address(self) -> str:
        """Where callers reach this router."""
        return self.server.address

    def start(self) -> None:
        """Begin to serve callers."""
        self.peer.start(self.handle)
        self.table.start()
        self._poll_members()
        self.members.send_heartbeats()
        for loop in self._loops:
            loop.start()
        self.server.start()
        log_change("router.started", session=self.session, address=self.address)

    def leave(self, timeout_ms: float) -> bool:
        """Take no new requests, finish those in progress, give the money back, and stop.

        Requests get ``timeout_ms``, the money half a minute: what is not given back by then,
        because the store is away, another router recovers. Return whether all of it was done.
        """
        self.leaving = True
        self.members.leaving = True
        self.claims.leaving = True
        log_change("router.leaving", session=self.session)
        self.members.send_heartbeats()
        done = self._wait(self._is_drained, self.clock.monotonic_ms() + timeout_ms)
        hand_over_until = self.clock.monotonic_ms() + _HAND_OVER_MS
        done = self._wait(self._hand_over, hand_over_until, _HAND_OVER_POLL_MS) and done
        self.close()
        return done

    def close(self) -> None:
        """Stop at once."""
        self.leaving = True
        self._closing.set()
        self.table.close()
        self.server.close()
        self.recovery.close()
        self.peer.close()

    def handle(self, message: Message) -> None:
        """Take one message from another process; called on the receiving thread."""
        handler = _HANDLERS.get(type(message))
        if handler is None:
            self.counters.count(f"router.unexpected.{type(message).__name__}")
            return
        handler(self, message)

    def status(self) -> tuple[ProcessStatus, ...]:
        """Return the table version in force in each router that was heard of."""
        versions = {**self.members.versions(), self.settings.name: self.table.view.version}
        return tuple(
            ProcessStatus(
                name=instance.name,
                role=instance.role,
                address=instance.address,
                state=instance.state.value,
                table_version=versions.get(instance.name, -1),
            )
            for instance in self.members.instances
        )

    def _is_drained(self) -> bool:
        return not self.streams.open_count and self.server.is_idle

    def _hand_over(self) -> bool:
        if not self.money.leave():
            self.stewards.settle()
            return False
        return self.stewards.leave()

    def _wait(
        self, done: Callable[[], bool], deadline: float, poll_ms: float = _DRAIN_POLL_MS
    ) -> bool:
        while not done():
            if self.clock.monotonic_ms() >= deadline:
                return False
            self.clock.sleep_ms(poll_ms)
        return True

    def _administer(self, environ: WsgiEnvironment) -> OperatorAnswer:
        return self._pages.answer(environ, self.table.view, self.status())

    def _poll_members(self) -> None:
        self.members.poll()
        regional = self.members.routers(regional=True)
        self.money.routers = regional
        self.claims.routers = self.members.routers(regional=False)
        self.limiter.router_count = self.members.sharing_region()

    def _tick_money(self) -> None:
        self.money.tick()

    def _tick_recovery(self) -> None:
        self.recovery.tick(self.table.view)

    def _on_budgets_changed(self, budgets: frozenset[str]) -> None:
        self.peer.background.submit(self.stewards.budgets_changed, budgets)

    def _on_tenure_closed(self) -> None:
        self.fenced = True
        self.leaving = True

    def _loop(self, name: str, every_ms: float, step: Callable[[], None]) -> threading.Thread:
        def run() -> None:
            while not self._closing.wait(every_ms / 1_000):
                try:
                    step()
                except Exception as error:
                    self.counters.count(f"router.loop_failed.{name}")
                    log_change("router.loop_failed", loop=name, error=repr(error))

        return threading.Thread(target=run, daemon=True, name=f"router-{name}")

    def _on_heartbeat(self, message: Heartbeat) -> None:
        self.members.heard(message)
        if message.table_version > self.table.view.version:
            self.peer.background.submit(self.table.refresh)

    def _on_draw(self, message: DrawRequest) -> None:
        self.peer.background.submit(self._answer_draw, message)

    def _answer_draw(self, message: DrawRequest) -> None:
        self.peer.send(message.reply_to, self.stewards.draw(message))

    def _on_claim(self, message: ClaimRequest) -> None:
        self.peer.background.submit(self._answer_claim, message)

    def _answer_claim(self, message: ClaimRequest) -> None:
        self.peer.send(message.reply_to, self.claims.decide(message))

    def _on_fence(self, message: Fence) -> None:
        ack = self.money.fence(message, self.peer.address)
        self.peer.background.submit(self.peer.send, message.reply_to, ack)
        if message.session == self.session:
            self._on_tenure_closed()

    def _on_recall(self, message: Recall) -> None:
        self.peer.background.submit(self.money.recall, message)
        self.peer.background.submit(self.stewards.recall, message)

    def _make_stewards(self, store: Store) -> StewardService:
        return StewardService(
            session=self.session,
            region=self.settings.region,
            address=self.peer.address,
            store=store,
            clock=self.clock,
            counters=self.counters,
            send=self.peer.send,
            policy=SizingPolicy(
                grant_horizon_ms=self.settings.grant_horizon_ms,
                block_horizon_ms=self.settings.block_horizon_ms,
            ),
            honour_ms=self.settings.honour_ms,
            shard_count=self.settings.budget_shards,
            on_closed=self._on_tenure_closed,
        )

    def _make_money(self) -> RouterMoney:
        return RouterMoney(
            name=self.settings.name,
            region=self.settings.region,
            ledger=BlockLedger(
                self.session,
                self.peer.address,
                rotate_ms=self.settings.rotate_ms,
                idle_ms=self.settings.idle_ms,
            ),
            clock=self.clock,
            counters=self.counters,
            peer=self.peer,
            local_draw=self.stewards.draw,
            shard_count=self.settings.budget_shards,
            block_horizon_ms=self.settings.block_horizon_ms,
        )

    def _make_claims(self, store: Store) -> ClaimService:
        return ClaimService(
            name=self.settings.name,
            session=self.session,
            store=store,
            clock=self.clock,
            counters=self.counters,
            peer=self.peer,
            shard_count=self.settings.claim_shards,
            lease_ms=self.settings.claim_lease_ms,
            times=KeyTimes(clock_error_ms=self.settings.clock_error_ms),
        )

    def _make_members(self, listed: InstanceList) -> Members:
        return Members(
            name=self.settings.name,
            session=self.session,
            region=self.settings.region,
            listed=listed,
            registry=self.registry,
            peer=self.peer,
            clock=self.clock,
            counters=self.counters,
            heartbeat_ms=self.settings.heartbeat_ms,
            table=lambda: self.table.view,
        )

    def _make_recovery(self, store: Store) -> RecoveryService:
        return RecoveryService(
            session=self.session,
            region=self.settings.region,
            store=store,
            clock=self.clock,
            counters=self.counters,
            peer=self.peer,
            members=self.members,
            stewards=self.stewards,
            money=self.money,
            claims=self.claims,
            list_lag_ms=self.settings.list_lag_ms,
            longest_run_ms=self.settings.deadline_ms,
            honour_ms=self.settings.honour_ms,
            clock_error_ms=self.settings.clock_error_ms,
        )

    def _parts(self) -> FilterParts:
        return FilterParts(
            session=self.session,
            clock=self.clock,
            counters=self.counters,
            peer=self.peer,
            limiter=self.limiter,
            registry=self.registry,
            policy=open_policy(self.settings.policy),
            choice=ChoiceContext(random.Random()),
            prefixes=PrefixMemory(),
            claims=self.claims,
            money=self.money,
            streams=self.streams,
        )


def _accept_frame(router: Router, message: Started | Chunks | Done | Refused) -> None:
    """Hand a frame to its stream; it is a sign of life of its agent too."""
    number = message.chunks[0].stream if isinstance(message, Chunks) else message.stream
    agent = router.streams.agent_of(message.router_session, number)
    if agent is not None and isinstance(message, Done | Refused):
        router.registry.record_report(agent, message.load)
    elif agent is not None:
        router.registry.record_activity(agent)
    router.streams.accept(message)


_HANDLERS: dict[type[Message], Callable[[Router, Any], None]] = {
    Started: _accept_frame,
    Chunks: _accept_frame,
    Done: _accept_frame,
    Refused: _accept_frame,
    Heartbeat: Router._on_heartbeat,
    DrawRequest: Router._on_draw,
    ClaimRequest: Router._on_claim,
    ReleaseClaim: lambda router, message: router.claims.released(message),
    Fence: Router._on_fence,
    Recall: Router._on_recall,
    BlockClosed: lambda router, message: router.stewards.close_block(message),
    BlockTrimmed: lambda router, message: router.stewards.trim_block(message),
    BlocksSettled: lambda router, message: router.money.settled(message),
}
