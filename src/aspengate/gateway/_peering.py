"""Keeps in touch with the other routers, and learns from them what the store did not tell."""

import random
import threading
import uuid
from collections.abc import Callable, Mapping

from aspengate.allowances import session_name
from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.peers import (
    MEMBER_PREFIX,
    CeilingNotice,
    CeilingReply,
    Datagram,
    DatagramPort,
    LoanReply,
    LoanRequest,
    Member,
    MemberList,
    PeerApplication,
    PeerClient,
    PeerNews,
    PeerServices,
    Repayment,
    RepaymentReply,
    peer_addresses,
)
from aspengate.serving import WsgiServer
from aspengate.store import KeyValueStore, StoreMirror
from aspengate.telemetry import Counters, log_change

_NEWS_MS = 500.0
_LIST_MS = 30_000.0
_LIST_ALONE_MS = 3_000.0
# How long a router waits for its own watch before it asks a peer for what that told of.
_GRACE_MS = 600.0
_CUT_GRACE_MS = 150.0
_FETCH_TIMEOUT_MS = 500.0
_SERVER_THREADS = 2
_SMALL_BODY = 4 * 1024
_NEWS_RECEIVERS = 16

Reply = CeilingReply | LoanReply | RepaymentReply


class Peering:
    """One router among its peers.

    ``mirrors`` are the parts of the store that peers help each other with, by prefix. A router
    whose store does not answer asks a peer for them; one that hears of a newer change than it
    knows asks the peer that spoke of it. ``services`` is what it does for its peers;
    ``on_reply`` is called with what other routers answer, ``on_count`` with the number of
    routers that may be alive.

    The list in the store is read at the start and seldom after it: whoever starts later tells
    all that are listed.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        seeds: tuple[str, ...],
        mirrors: Mapping[str, StoreMirror],
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        services: PeerServices,
        on_count: Callable[[int], None],
    ) -> None:
        self.mirrors = mirrors
        self.services = services
        self.on_reply: Callable[[Reply], None] = lambda _: None
        self.server = WsgiServer(
            PeerApplication(mirrors, services), address, _SERVER_THREADS, _SMALL_BODY
        )
        self.session = session_name(name, uuid.uuid4().hex[:8])
        self.members = MemberList(Member(name, self.server.address, self.session), clock)
        self._store = store
        self._on_count = on_count
        self._listed_ms = float("-inf")
        self._clock = clock
        self._counters = counters
        self.seeds = seeds
        self._client = PeerClient(_FETCH_TIMEOUT_MS)
        self._datagrams = DatagramPort(self.server.address, counters, self._on_datagram)
        self._behind: dict[str, str] = {}
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._threads = (
            threading.Thread(target=self._send, daemon=True, name="peers-send"),
            threading.Thread(target=self._catch_up, daemon=True, name="peers-fetch"),
        )

    @property
    def reaches_store(self) -> bool:
        """Whether the store answers what is asked of it for the mirrors."""
        return all(each.connected for each in self.mirrors.values())

    def start(self) -> None:
        """Begin to send and to listen."""
        self.server.start()
        self._datagrams.start()
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop, and withdraw from the store."""
        self._closing.set()
        self._wake.set()
        self.members.withdraw(self._store)
        self._datagrams.close()
        self.server.close()

    def send(self, datagram: Datagram, address: str) -> None:
        """Send a message to another router; it may get lost."""
        self._datagrams.send(datagram, address)

    def close_witnessed(self, witness: str, session: str) -> Mapping[str, int] | None:
        """Have the router that runs ``witness`` close a session; None where it can't tell."""
        member = self.members.runs(witness)
        if member is None:
            return None
        if member is self.members.own:
            return self.services.close_witnessed(session)
        try:
            return self._client.close_witnessed(member.address, session)
        except AspengateError as error:
            log_change("witness.not_asked", witness=witness, session=session, error=str(error))
            return None

    def _send(self) -> None:
        while True:
            connected = self.reaches_store
            self._tell(reaches_store=connected)
            if connected or not self.members.listed:
                self._keep_listed()
            if not connected:
                self._wake.set()
            self._on_count(self.members.count)
            if self._closing.wait(_NEWS_MS / 1_000):
                return

    def _tell(self, *, reaches_store: bool) -> None:
        revisions = {prefix: each.state.changed for prefix, each in self.mirrors.items()}
        known = self._addresses()
        receivers = random.sample(known, min(_NEWS_RECEIVERS, len(known)))
        news = PeerNews(self.members.own, revisions, reaches_store, self.members.listed)
        self._datagrams.send(news, *receivers)

    def _keep_listed(self) -> None:
        """Be in the store's list of routers, and know it."""
        now = self._clock.monotonic_ms()
        alone = self.members.count == 1
        due_ms = _LIST_ALONE_MS if alone else _LIST_MS
        try:
            if not self.members.registered:
                self.members.register(self._store)
            if now - self._listed_ms >= due_ms:
                self.members.update(self._store.list_items(MEMBER_PREFIX))
                self._listed_ms = now
        except AspengateError as error:
            self._counters.count("members.not_listed")
            log_change("member.not_listed", error=str(error))

    def _on_datagram(self, datagram: Datagram, address: str) -> None:
        match datagram:
            case PeerNews():
                self._on_news(datagram)
            case CeilingNotice():
                self._witness(datagram, address)
            case LoanRequest():
                self.services.take_loan_request(
                    datagram, lambda reply: self._datagrams.send(reply, address)
                )
            case Repayment():
                self._take_repayment(datagram, address)
            case _:
                self.on_reply(datagram)

    def _witness(self, notice: CeilingNotice, address: str) -> None:
        accepted = notice.witness == self.session and self.services.accept_ceilings(notice)
        reply = CeilingReply(notice.number, notice.session, self.session, accepted)
        self._datagrams.send(reply, address)

    def _take_repayment(self, payment: Repayment, address: str) -> None:
        if payment.lender == self.session and self.services.take_repayment(payment):
            self._datagrams.send(RepaymentReply(payment.number, payment.session), address)

    def _on_news(self, news: PeerNews) -> None:
        self.members.heard(news.member, reaches_store=news.reaches_store, listed=news.listed)
        for prefix, revision in news.revisions.items():
            mirror = self.mirrors.get(prefix)
            if mirror is not None and revision > mirror.state.changed:
                self._behind[prefix] = news.member.address
                self._wake.set()

    def _catch_up(self) -> None:
        while not self._closing.is_set():
            self._wake.wait()
            self._wake.clear()
            grace_ms = _GRACE_MS if self.reaches_store else _CUT_GRACE_MS
            if self._closing.wait(grace_ms / 1_000):
                return
            for prefix, mirror in self.mirrors.items():
                self._fetch(prefix, mirror)

    def _fetch(self, prefix: str, mirror: StoreMirror) -> None:
        told = self._behind.pop(prefix, "")
        if not told and mirror.connected:
            return
        for address in self._sources(told):
            try:
                snapshot = self._client.mirror(address, prefix)
            except AspengateError:
                self._counters.count("peers.fetch_failed")
                continue
            if mirror.offer(snapshot):
                self._counters.count("peers.fetched")
                log_change(
                    "mirror.from_peer", prefix=prefix, peer=address, revision=snapshot.revision
                )
            return

    def _sources(self, told: str) -> list[str]:
        """Return the peers to ask, the one that knows something new first."""
        others = [each for each in self._addresses() if each != told]
        return ([told] if told else []) + others[:2]

    def _addresses(self) -> list[str]:
        """Return the addresses of the other routers, of the seeds where none is known."""
        own = self.members.own.address
        port = int(own.rpartition(":")[2])
        known = self.members.addresses() or peer_addresses(self.seeds, port)
        return [address for address in known if address != own]
