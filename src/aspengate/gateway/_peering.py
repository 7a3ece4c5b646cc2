"""Membership, leadership and message exchange between the routers of the fleet."""

import random
import threading
import uuid
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from aspengate.allowances import session_name
from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.gateway._heartbeat_receivers import HeartbeatReceivers
from aspengate.gateway._listener_log import ListenerLog
from aspengate.gateway._mirror_sharing import MirrorSharing
from aspengate.gateway._store_probe import StoreProbe
from aspengate.peers import (
    MEMBER_PREFIX,
    CeilingNotice,
    CeilingReply,
    CrashNotice,
    Datagram,
    DatagramPort,
    DomainLeadership,
    Grant,
    GrantNotice,
    LimitNotice,
    LoanReply,
    LoanRequest,
    Member,
    MemberList,
    MirrorChanges,
    NoticeExchange,
    PeerApplication,
    PeerClient,
    PeerNews,
    PeerServices,
    PermitReply,
    PermitRequest,
    PermitUse,
    PlacementExchange,
    Placements,
    Repayment,
    RepaymentReply,
    RolloutNotice,
    RolloutReport,
    StreamNotice,
    StreamQuery,
    StreamReply,
    merge_crashes,
    merge_halted_rollouts,
    merge_limits,
    peer_addresses,
)
from aspengate.replicas import ReplicaRegistry
from aspengate.rollouts import DOCUMENT_PREFIX
from aspengate.serving import ListenerLimits, WsgiServer
from aspengate.store import (
    KeyValueStore,
    MirrorMode,
    OutageHistory,
    StoreMirror,
    era_of,
    number_of,
)
from aspengate.streams import StreamKey
from aspengate.telemetry import Counters, log_change, supervised_thread
from aspengate.topology import Distance, Topology

# Average interval between the calls of different routers that register again, in ms.
_REREGISTRATION_INTERVAL_MS = 10.0
# Interval of a router's heartbeats, in ms; a leader counts as lost after three missed ones.
_HEARTBEAT_MS = 300.0
_FETCH_TIMEOUT_MS = 500.0
_SERVER_THREADS = 2
_SMALL_BODY = 4 * 1024
_LIST_INTERVAL_MS = 30_000.0
_LIST_INTERVAL_ALONE_MS = 3_000.0
# Number of replica ids that fit into a heartbeat datagram.
_MAX_REPLACED = 200
# The store counts as reached by a leader for this time after its last heartbeat, in ms.
_LEADER_TIMEOUT_MS = 3_000.0
# Items of the store count as current for this time after they were confirmed, in ms.
_CONFIRMED_MS = 1_500.0
# Maximum number of routers to ask for one stream.
_MAX_STREAM_ROUTERS = 8

# Minimum interval between notices on rate limits, in ms: a replica may announce a different limit
# in each response.
_LIMIT_NOTICE_INTERVAL_MS = 200.0


Reply = CeilingReply | LoanReply | RepaymentReply


class Peering:
    """Connects this router to the other routers.

    ``mirrors`` are the mirrors of the store that peers share, by prefix. If the store does not
    respond, a router fetches them from a peer; if it is notified of a newer revision than its own,
    it fetches them from the peer that announced it. ``services`` handles the requests and notices
    of peers. ``restored_era`` returns the store era that holds all of this router's data.

    ``on_reply`` is called with replies of other routers, and ``on_permit`` with their replies on
    permits and the sender's address, as is ``on_stream`` with their replies on streams.
    ``on_count`` is called with the number of routers that may be alive, at each heartbeat and as
    soon as a new router is discovered.

    One router leads each failure domain (``DomainLeadership``): it follows the store and forwards
    each change to the other routers there, which make no calls for it.

    The list of routers in the store is read at the start, and afterwards rarely and only by
    leaders, because routers that start later announce themselves.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        topology: Topology,
        capacity: int,
        build: str,
        seeds: tuple[str, ...],
        mirrors: Mapping[str, StoreMirror],
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        services: PeerServices,
        registry: ReplicaRegistry,
        on_count: Callable[[int], None],
        limits: ListenerLimits,
    ) -> None:
        self.mirrors = mirrors
        self.services = services
        self.registry = registry
        self.on_reply: Callable[[Reply], None] = lambda _: None
        self.restored_era: Callable[[], int] = lambda: 0
        self.on_permit: Callable[[PermitReply, str], None] = lambda _reply, _address: None
        self.on_stream: Callable[[StreamReply, str], None] = lambda _reply, _address: None
        self.server = WsgiServer(
            PeerApplication(mirrors, services),
            address,
            _SERVER_THREADS,
            _SMALL_BODY,
            limits=limits,
            observer=ListenerLog("peer", counters),
        )
        self.session = session_name(name, uuid.uuid4().hex[:8])
        self.members = MemberList(
            Member(
                name, self.server.address, self.session, topology.failure_domain, capacity, build
            ),
            clock,
            topology,
        )
        self.leadership = DomainLeadership(self.members, clock, mirrors)
        self._receivers = HeartbeatReceivers(self.members, clock)
        self.outages = OutageHistory(clock)
        self._store = store
        self._on_count = on_count
        self._listed_ms = float("-inf")
        self._reregister_due_ms = float("inf")
        self._clock = clock
        self._counters = counters
        self.seeds = seeds
        self._client = PeerClient(_FETCH_TIMEOUT_MS, self._count_fetch)
        self._datagrams = DatagramPort(
            self.server.address, counters, self._on_datagram, self._counted_distance
        )
        self.placements = PlacementExchange(
            self.members,
            self.leadership,
            counters,
            self._datagrams.send,
            services.handle_placed_request,
            self._region_of_replica,
        )
        exchange_args = (clock, counters, self._datagrams.send, self._addresses)
        self.crashes = NoticeExchange("crash-notices", merge_crashes, *exchange_args)
        self.limits = NoticeExchange(
            "limit-notices", merge_limits, *exchange_args, _LIMIT_NOTICE_INTERVAL_MS
        )
        # Started with rollouts only.
        self.rollout_notices = NoticeExchange(
            "rollout-notices", merge_halted_rollouts, *exchange_args
        )
        self.sharing = MirrorSharing(
            mirrors,
            self.members,
            self.leadership,
            counters,
            self._client,
            send=self._datagrams.send,
            announce=self._send_news,
            addresses=self._addresses,
        )
        self._handler_of = self._handlers()
        self._probe = StoreProbe(
            store, clock, counters, lambda: self.members.leads and self.reaches_store
        )
        self._beat = threading.Event()
        self._closing = threading.Event()
        self._list_tried = threading.Event()
        self._thread = supervised_thread(self._run_heartbeats, "peers-send", counters)
        self._list_thread = supervised_thread(self._run_registration, "peers-list", counters)

    @property
    def reaches_store(self) -> bool:
        """Whether the mirrors' watches are connected to the store."""
        return self.sharing.reaches_store

    def start(self) -> None:
        """Start to send and to receive."""
        self.server.start()
        self._datagrams.start()
        self.placements.start()
        self.crashes.start()
        self.limits.start()
        if DOCUMENT_PREFIX in self.mirrors:
            self.rollout_notices.start()
        for mirror in self.mirrors.values():
            mirror.on_status_change = self._beat.set
        self.sharing.start()
        self._probe.start()
        self._thread.start()
        self._list_thread.start()

    def close(self) -> None:
        """Stop, give up leadership, and remove this router's entry from the store."""
        self._closing.set()
        self._probe.close()
        self.sharing.close()
        self._beat.set()
        self.members.leads = False
        self._send_heartbeat()
        self.placements.close()
        self.crashes.close()
        self.limits.close()
        self.rollout_notices.close()
        self.members.withdraw(self._store)
        self._datagrams.close()
        self.server.close()

    def send(self, datagram: Datagram, address: str) -> None:
        """Send a message to another router; delivery is not guaranteed."""
        self._datagrams.send(datagram, address)

    def announce_now(self) -> None:
        """Send a heartbeat immediately."""
        self._beat.set()

    def send_grant(self, grant: Grant) -> None:
        """Send a grant of the store to the routers that keep a copy of it for this account."""
        keepers = [member.address for member in self.members.backup_peers(grant.account)]
        self._datagrams.send(GrantNotice([grant]), *keepers)

    def rollout_decider(self, service: str) -> Member:
        """Return the router that decides on a service's rollout, possibly this one."""
        return self.members.decider(
            f"rollout/{service}", DOCUMENT_PREFIX, own_reaches=self.reaches_store
        )

    def may_decide_next(self, service: str) -> bool:
        """Return whether this router is among those that may become the decider on a service."""
        return self.members.may_decide_next(f"rollout/{service}", DOCUMENT_PREFIX)

    def record_ended(self, member: Member) -> None:
        """Record that the process of a router's session has ended, and replace it as a leader."""
        self.members.record_ended(member)
        self._beat.set()

    def rollout_sessions(self) -> set[str]:
        """Return the sessions of the other living routers that take part in rollouts."""
        return {member.session for member in self.members.following(DOCUMENT_PREFIX)}

    def confirmed_ms(self, within_ms: float, prefix: str = DOCUMENT_PREFIX) -> float:
        """Return until when this router is known to have all items of a prefix, in monotonic ms.

        Leaders that receive the items and reach the store state the revisions that they have, and
        this router fetches what it lacks. Minus infinity if that is over ``within_ms`` ago.
        """
        leading = [
            status.received_ms
            for status in self.members.recent_statuses(within_ms)
            if status.leads and status.reaches_store and prefix in status.prefixes
        ]
        if self.leadership.mode is MirrorMode.FOLLOWING and self.reaches_store:
            leading.append(self._store.last_answer_ms)
        newest_ms = max(leading, default=float("-inf"))
        is_recent = self._clock.monotonic_ms() - newest_ms <= within_ms
        return newest_ms if is_recent else float("-inf")

    def has_current(self, prefix: str) -> bool:
        """Return whether no other router has newer items of a prefix of the store than this one.

        Either the items were confirmed lately, or all routers are in contact with this one.
        """
        if self.confirmed_ms(_CONFIRMED_MS, prefix) > float("-inf"):
            return True
        members = self.members
        return members.count_known and len(members.alive()) >= members.count - 1

    def stream_holders(self, key: StreamKey) -> list[str]:
        """Return the addresses of the routers that remember a stream of another router."""
        subject = f"stream/{key.account}/{key.request_id}"
        return [member.address for member in self.members.backup_peers(subject)]

    def stream_routers(self, key: StreamKey) -> list[str]:
        """Return the addresses of routers to ask for a stream, the holders first."""
        others = [member.address for member in self.members.alive()]
        return list(dict.fromkeys(self.stream_holders(key) + others))[:_MAX_STREAM_ROUTERS]

    def send_rollout_report(self, report: RolloutReport, address: str) -> None:
        """Send a report on a rollout to the router that decides."""
        self._datagrams.send(report, address)

    def announce_halted_rollouts(self, notice: RolloutNotice) -> None:
        """Send a notice of halted rollouts to all other routers, several times."""
        self.rollout_notices.announce(notice)

    def close_witnessed(self, witness: str, session: str) -> Mapping[str, int] | None:
        """Ask the router of session ``witness`` to stop witnessing ``session``.

        Returns the ceilings by account, or None if they are unknown or the router does not respond.
        """
        member = self.members.find_session(witness)
        if member is None:
            return None
        if member is self.members.own:
            return self.services.close_witnessed(session)
        try:
            return self._client.close_witnessed(member.address, session)
        except AspengateError as error:
            log_change("witness.not_asked", witness=witness, session=session, error=str(error))
            return None

    def handle_store_restored(self) -> None:
        """Schedule registration and a read of the list, because the store may have lost entries."""
        delay_ms = random.uniform(0.0, self.members.count * _REREGISTRATION_INTERVAL_MS)
        self._reregister_due_ms = self._clock.monotonic_ms() + delay_ms

    def mirror_mode(self) -> MirrorMode:
        """Return the source of this router's store changes."""
        return self.leadership.mode

    def _run_heartbeats(self) -> None:
        while True:
            if self._list_tried.is_set():
                self._update_leadership()
            self._send_heartbeat()
            self.outages.record(answered=self._fleet_reaches_store())
            if not self.reaches_store:
                self.sharing.wake()
            self._on_count(self.members.count)
            self._beat.wait(_HEARTBEAT_MS / 1_000)
            self._beat.clear()
            if self._closing.is_set():
                return

    def _run_registration(self) -> None:
        """Keep this router registered, on its own thread because a store call may take seconds."""
        while not self._closing.is_set():
            if self._should_list():
                self._refresh_listing()
            if not self._list_tried.is_set():
                self._list_tried.set()
                self._beat.set()
            self._closing.wait(_HEARTBEAT_MS / 1_000)

    def _should_list(self) -> bool:
        if self._clock.monotonic_ms() >= self._reregister_due_ms:
            self._reregister_due_ms = float("inf")
            self._listed_ms = float("-inf")
            self.members.registered = False
        if not self.members.listed or not self.members.registered:
            return True
        return self.members.leads and self.reaches_store

    def _fleet_reaches_store(self) -> bool:
        """Return whether the store responds to this router or to any leader."""
        if all(mirror.last_watch_succeeded for mirror in self.mirrors.values()):
            return True
        return any(
            status.leads and status.reaches_store
            for status in self.members.recent_statuses(_LEADER_TIMEOUT_MS)
        )

    def _update_leadership(self) -> None:
        """Update this router's leadership state, and notify the mirrors of a change."""
        before = self.leadership.mode
        proven = all(mirror.last_watch_succeeded for mirror in self.mirrors.values())
        self.leadership.update(connected=proven)
        if self.leadership.mode is not before:
            for mirror in self.mirrors.values():
                mirror.recheck_mode()

    def _send_heartbeat(self) -> None:
        restored = self.restored_era()
        state = (self.members.leads, self.reaches_store, self.members.own_count, restored)
        is_restored = restored >= self._store.era.current
        self._send_news(self._receivers.select(self._addresses(), state, is_restored=is_restored))

    def _send_news(self, receivers: Iterable[str]) -> None:
        self._datagrams.send(self._news(), *receivers)

    def _news(self) -> PeerNews:
        newest = self.sharing.revisions
        return PeerNews(
            self.members.own,
            {prefix: number_of(revision) for prefix, revision in newest.items()},
            self.reaches_store,
            self.members.own_count,
            self.members.leads,
            self.registry.replaced()[:_MAX_REPLACED],
            self.restored_era(),
            [era_of(revision) for revision in newest.values()],
        )

    def _refresh_listing(self) -> None:
        """Register in the store's list of routers, and read the list if that is due."""
        now = self._clock.monotonic_ms()
        alone = self.members.count == 1
        due_ms = _LIST_INTERVAL_ALONE_MS if alone else _LIST_INTERVAL_MS
        if not self.members.registered:
            self._call_store(lambda: self.members.register(self._store))
        if now - self._listed_ms >= due_ms and self._call_store(self._read_list):
            self._listed_ms = now

    def _read_list(self) -> None:
        self.members.update(self._store.list_items(MEMBER_PREFIX))

    def _call_store(self, call: Callable[[], None]) -> bool:
        """Make a store call; log a failure and return whether the call succeeded."""
        try:
            call()
        except AspengateError as error:
            self._counters.count("members.not_listed")
            log_change("member.not_listed", error=str(error))
            return False
        return True

    def _handlers(self) -> dict[type, Callable[[Any, str], None]]:
        """Return the handler of each message type, called with the message and its sender."""
        services = self.services
        return {
            PeerNews: lambda news, _: self._on_news(news),
            Placements: lambda placements, _: self.placements.handle_placements(placements),
            MirrorChanges: self.sharing.handle_changes,
            CrashNotice: lambda notice, _: services.handle_crash_notice(notice),
            LimitNotice: services.handle_limit_notice,
            PermitRequest: self._handle_permit_request,
            PermitReply: lambda reply, address: self.on_permit(reply, address),
            RolloutReport: lambda report, _: services.handle_rollout_report(report),
            RolloutNotice: services.handle_rollout_notice,
            PermitUse: lambda use, _: services.handle_permit_use(use),
            StreamNotice: lambda notice, _: services.handle_stream_notice(notice),
            StreamQuery: self._handle_stream_query,
            StreamReply: lambda reply, address: self.on_stream(reply, address),
            CeilingNotice: self._handle_ceilings,
            GrantNotice: lambda notice, _: services.handle_grants(notice),
            LoanRequest: self._handle_loan_request,
            Repayment: self._handle_repayment,
        }

    def _on_datagram(self, datagram: Datagram, address: str) -> None:
        handle = self._handler_of.get(type(datagram))
        if handle is not None:
            handle(datagram, address)
        elif isinstance(datagram, Reply):
            self.on_reply(datagram)

    def _handle_loan_request(self, request: LoanRequest, address: str) -> None:
        self.services.handle_loan_request(
            request, lambda reply: self._datagrams.send(reply, address)
        )

    def _handle_ceilings(self, notice: CeilingNotice, address: str) -> None:
        accepted = notice.witness == self.session and self.services.accept_ceilings(notice)
        reply = CeilingReply(notice.number, notice.session, self.session, accepted)
        self._datagrams.send(reply, address)

    def _handle_repayment(self, payment: Repayment, address: str) -> None:
        if payment.lender == self.session and self.services.handle_repayment(payment):
            self._datagrams.send(RepaymentReply(payment.number, payment.session), address)

    def _handle_permit_request(self, request: PermitRequest, address: str) -> None:
        reply, newer = self.services.handle_permit_request(request)
        if newer is not None:
            self._datagrams.send(newer, address)
        self._datagrams.send(reply, address)

    def _handle_stream_query(self, query: StreamQuery, address: str) -> None:
        self._datagrams.send(self.services.handle_stream_query(query), address)

    def _counted_distance(self, address: str) -> Distance | None:
        """Return the distance by which messages to an address are counted, None for none.

        With one region, they are not counted by distance. An address that is not known yet, like a
        seed's, counts as another region, so that no traffic between regions is missed.
        """
        if not self.members.topology.has_other_regions:
            return None
        return self.members.distance(address) or Distance.OTHER_REGION

    def _count_fetch(self, address: str, kind: str, size: int) -> None:
        """Count the response of another router to a call."""
        distance = self._counted_distance(address)
        if distance is not None:
            self._counters.count(f"peers.calls_to.{distance.value}.{kind}")
            self._counters.count(f"peers.received_bytes_from.{distance.value}.{kind}", size)

    def _region_of_replica(self, incarnation: str) -> str:
        view = self.registry.view_of_incarnation(incarnation)
        if view is None:
            return ""
        return self.members.topology.region_of(view.replica.failure_domain)

    def _on_news(self, news: PeerNews) -> None:
        was_away = not self.members.is_router_alive(news.member.name)
        is_new = self.members.record_status(
            news.member,
            reaches_store=news.reaches_store,
            leads=news.leads,
            listed=news.listed,
            prefixes=news.newest_revisions,
            restored=news.restored,
        )
        if is_new:
            self._on_count(self.members.count)
            if self.members.leads:
                self._datagrams.send(self._news(), news.member.address)
        if was_away or is_new:
            # The router missed the notices that were sent before it started or while it was
            # unreachable.
            for notice in (
                self.services.known_crashes(),
                self.services.known_limits(),
                self.services.known_halted_rollouts(),
            ):
                if notice is not None:
                    self._datagrams.send(notice, news.member.address)
        is_near = news.member.failure_domain == self.members.own.failure_domain
        is_other = self.leadership.leader != news.member
        if is_near and news.leads and (is_other or not news.reaches_store):
            self._update_leadership()
        era = max(news.eras, default=0)
        if era:
            self._store.era.record(era)
        for prefix, revision in news.newest_revisions.items():
            self.sharing.request_fetch(prefix, revision, news.member.address)
        for incarnation in news.replaced:
            self.registry.record_replaced(incarnation, news.member.name)

    def _addresses(self) -> list[str]:
        """Return the addresses of the other routers, or those of the seeds if none is known."""
        own = self.members.own.address
        port = int(own.rpartition(":")[2])
        known = self.members.addresses() or peer_addresses(self.seeds, port)
        return [address for address in known if address != own]
