"""Finds the version that began a stream, in this router's memory and that of others."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from aspengate.clock import Clock
from aspengate.configuration import Route
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._exchange import Exchange
from aspengate.gateway.streams._queries import StreamQueries
from aspengate.peers import (
    BegunStream,
    Datagram,
    StreamNotice,
    StreamQuery,
    StreamReply,
    VersionChange,
)
from aspengate.replicas import Replica
from aspengate.streams import (
    ChangedReplica,
    ChangedReplicas,
    RecordedOrigin,
    StreamKey,
    StreamOrigin,
    StreamOrigins,
    VersionHistory,
    VersionPin,
)
from aspengate.telemetry import Counters, log_change

# A caller may take a stream up as long as this multiple of the route's timeout after its first
# event: attempts are limited by the timeout, and a caller makes a few within its deadline.
_TIMEOUT_FACTOR = 2.0
_MIN_WINDOW_MS = 10_000.0
# The same for routes without a timeout, whose attempts are limited by the default deadline.
_WINDOW_WITHOUT_TIMEOUT_MS = 1_200_000.0
# A replica that has restarted at another version may serve for this time, in ms, before its new
# record arrives here.
_RECORD_LAG_MS = 5_000.0
# Number of streams that fit into one notice.
_MAX_STREAMS_PER_NOTICE = 400


@dataclass(frozen=True)
class StreamPeers:
    """What the directory needs of the other routers.

    ``holders`` returns the addresses of the routers that remember a stream besides the one that
    serves it, and ``all_asked`` those of the routers to ask if the holders may not know it.
    ``has_current_list`` is whether no other router can have a newer list of replicas than this one.
    """

    holders: Callable[[StreamKey], list[str]]
    all_asked: Callable[[StreamKey], list[str]]
    send: Callable[[Datagram, str], None]
    has_current_list: Callable[[], bool]


class StreamDirectory:
    """Records the origin of each resumable stream, and restricts its continuation to that version.

    The router that serves a stream remembers its origin. While its service has several versions, or
    may have, two other routers remember it as well, before the caller gets the first event. A
    router that takes a stream up then asks others, even if it knows the stream: one of them may
    know that its version is uncertain. If nobody knows it, the stream continues only if one version
    alone was listed for as long as the stream can be old.
    """

    def __init__(self, clock: Clock, counters: Counters, peers: StreamPeers) -> None:
        self.clock = clock
        self.counters = counters
        self.peers = peers
        self.origins = StreamOrigins(clock)
        self.versions = VersionHistory(clock)
        self.changed_replicas = ChangedReplicas(clock)
        self.queries = StreamQueries(peers.send)

    def handle_replicas(self, replicas: Iterable[Replica]) -> None:
        """Apply a list of replicas; tell other routers of streams that have several versions now.

        Call it before requests are sent to the replicas.
        """
        changes = self.versions.update(replicas)
        self.changed_replicas.record(changes.replicas)
        since_ms = self.clock.monotonic_ms() - _RECORD_LAG_MS
        for replica in changes.replicas:
            self.origins.mark_uncertain(replica.identity, replica.version, since_ms)
        for service in sorted(changes.services):
            self._announce(service)

    def handle_ended_replica(self, incarnation: str) -> None:
        """Note that the process of a replica's incarnation has ended."""
        self.versions.record_ended(incarnation)

    def admits(self, pin: VersionPin, replica: Replica) -> bool:
        """Return whether a stream may continue at a replica."""
        return pin.admits(replica.version) and self.versions.is_certain(replica)

    def record_first_event(self, exchange: Exchange, replica: Replica) -> VersionPin:
        """Record where a stream begins, or continues; return the version that it is restricted to.

        Call it before the first event is passed on, with the replica as its record described it
        when the request was sent.
        """
        if not exchange.known_route.is_resumable:
            return VersionPin(replica.version)
        service = exchange.known_service.name
        origin = StreamOrigin(service, replica.version, replica.identity)
        key, window_ms = _key_of(exchange), _window_ms(exchange.known_route)
        self.origins.record(key, origin, window_ms)
        # Checked after the stream is recorded: a change of the version from now on marks it.
        if not self.versions.is_certain(replica):
            origin = replace(origin, version=None)
            self.origins.record(key, origin, window_ms)
        if not self._is_single(origin.service, window_ms):
            notice = StreamNotice([_begun_stream(key, origin, window_ms)])
            for address in self.peers.holders(key):
                self.peers.send(notice, address)
        return VersionPin(origin.version)

    def recheck(self, exchange: Exchange, pin: VersionPin | None) -> VersionPin | None:
        """Return the pin of a stream, whose version may have become uncertain since it was set."""
        known = self.origins.find(_key_of(exchange)) if pin is not None else None
        return pin if known is None else VersionPin(known.version)

    def resume(self, exchange: Exchange) -> Exchange:
        """Return a request with the version and the service that began the stream it takes up.

        Other requests are returned unchanged. Raises STREAM_UNKNOWN if the version is not known.
        """
        request = exchange.request
        is_resuming = bool(request.last_event_id or request.resumes)
        if not (is_resuming and exchange.known_route.is_resumable):
            return exchange
        origin = self._find(exchange)
        if origin is None or origin.version is None:
            self.counters.count("streams.unknown")
            reason = f"no router knows the version that began {request.resumes or 'the stream'}"
            where = exchange.known_service.name
            raise AspengateError(ErrorKind.STREAM_UNKNOWN, reason, where=where)
        self.counters.count("streams.resumed")
        return replace(_at_service(exchange, origin.service), pin=VersionPin(origin.version))

    def handle_notice(self, notice: StreamNotice) -> None:
        """Remember streams that other routers serve."""
        for each in notice.streams:
            key = StreamKey(each.account, each.request_id)
            self.origins.record(key, _origin_of(each), each.keep_ms)

    def handle_query(self, query: StreamQuery) -> StreamReply:
        """Return what this router knows of a stream, and of the versions of its service."""
        key = StreamKey(query.account, query.request_id)
        recorded = self.origins.find_recorded(key)
        begun = None
        if recorded is not None:
            age_ms = self.clock.monotonic_ms() - recorded.recorded_ms
            begun = _begun_stream(key, recorded.origin, 0.0, age_ms)
        listed = self.versions.listed_versions(query.service, query.within_ms)
        is_complete = listed.is_complete and self.peers.has_current_list()
        changed = [
            VersionChange(each.replica, each.version, round(each.age_ms))
            for each in self.changed_replicas.of_service(query.service, query.within_ms)
        ]
        return StreamReply(query.number, begun, sorted(listed.versions), is_complete, changed)

    def gauges(self) -> dict[str, float]:
        """Return the number of streams that this router remembers."""
        return {"streams_remembered": len(self.origins)}

    def _announce(self, service: str) -> None:
        """Tell the holders of this router's streams of a service where the streams began."""
        now = self.clock.monotonic_ms()
        by_holder: dict[str, list[BegunStream]] = {}
        streams = self.origins.of_service(service)
        for key, each in streams.items():
            begun = _begun_stream(key, each.origin, each.until_ms - now)
            for address in self.peers.holders(key):
                by_holder.setdefault(address, []).append(begun)
        for address, begun_streams in by_holder.items():
            for first in range(0, len(begun_streams), _MAX_STREAMS_PER_NOTICE):
                part = begun_streams[first : first + _MAX_STREAMS_PER_NOTICE]
                self.peers.send(StreamNotice(part), address)
        log_change("streams.version_added", service=service, streams=len(streams))

    def _is_single(self, service: str, window_ms: float) -> bool:
        """Return whether a service certainly had one version within a time up to now."""
        listed = self.versions.listed_versions(service, window_ms)
        return listed.is_single and self.peers.has_current_list()

    def _find(self, exchange: Exchange) -> StreamOrigin | None:
        """Return the origin of the stream that a request takes up, None if it is not known."""
        key, service = _key_of(exchange), exchange.known_service.name
        known = self.origins.find_recorded(key)
        window_ms = _window_ms(exchange.known_route)
        listed = self.versions.listed_versions(service, window_ms)
        is_certain = listed.is_complete and self.peers.has_current_list()
        is_single = is_certain and listed.is_single
        if known is not None and is_single:
            return known.origin
        asked = self.peers.holders(key) if is_single else self.peers.all_asked(key)
        # While several versions are listed, another router may know of one that is uncertain.
        replies = self.queries.ask(key, service, window_ms, asked, needs_all=not is_single)
        begun = [self._recorded_of(each.origin) for each in replies if each.origin is not None]
        if known is not None:
            begun.insert(0, known)
        if begun:
            changed = self.changed_replicas.of_service(service, window_ms)
            changed += [_change_of(each) for reply in replies for each in reply.changed]
            return self._agreed_origin(begun, changed)
        versions = listed.versions.union(*(reply.versions for reply in replies))
        if len(versions) > 1 or not (is_certain or any(reply.is_complete for reply in replies)):
            return None
        return next((StreamOrigin(service, version, "") for version in versions), None)

    def _recorded_of(self, begun: BegunStream) -> RecordedOrigin:
        """Return the origin of a stream that another router has reported."""
        now = self.clock.monotonic_ms()
        return RecordedOrigin(_origin_of(begun), now - begun.age_ms, now)

    def _agreed_origin(
        self, begun: Sequence[RecordedOrigin], changed: Iterable[ChangedReplica]
    ) -> StreamOrigin:
        """Return the origin of a stream that routers know, without a version if it is uncertain.

        It is uncertain if they disagree, or if the replica has changed its version since, or so
        shortly before that the router which began the stream may not have had the new record.
        """
        origin = begun[0].origin
        now = self.clock.monotonic_ms()
        age_ms = now - max(each.recorded_ms for each in begun)
        has_changed = any(
            each.replica == origin.replica
            and each.version != origin.version
            and age_ms <= each.age_ms + _RECORD_LAG_MS
            for each in changed
        )
        is_agreed = len({each.origin.version for each in begun}) == 1
        return origin if is_agreed and not has_changed else replace(origin, version=None)


def _key_of(exchange: Exchange) -> StreamKey:
    """Return the key of the stream that a request begins or takes up."""
    account = exchange.account.name if exchange.account else ""
    request = exchange.request
    return StreamKey(account, request.resumes or request.request_id)


def _window_ms(route: Route) -> float:
    """Return how long after its first event a stream of a route may be taken up again, in ms."""
    if not route.timeout_ms:
        return _WINDOW_WITHOUT_TIMEOUT_MS
    return max(_MIN_WINDOW_MS, _TIMEOUT_FACTOR * route.timeout_ms)


def _at_service(exchange: Exchange, name: str) -> Exchange:
    """Return a request at the service that began its stream, if the route still leads there."""
    service = exchange.configuration.services.get(name)
    is_routed = any(each.service == name for each in exchange.known_route.services)
    return replace(exchange, service=service) if service is not None and is_routed else exchange


def _origin_of(begun: BegunStream) -> StreamOrigin:
    return StreamOrigin(begun.service, begun.version, begun.replica)


def _change_of(change: VersionChange) -> ChangedReplica:
    return ChangedReplica(change.replica, change.version, change.age_ms)


def _begun_stream(
    key: StreamKey, origin: StreamOrigin, keep_ms: float, age_ms: float = 0.0
) -> BegunStream:
    return BegunStream(
        key.account,
        key.request_id,
        origin.service,
        origin.version,
        origin.replica,
        round(keep_ms),
        round(age_ms),
    )
