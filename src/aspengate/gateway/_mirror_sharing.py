"""Exchange of store changes between routers."""

import itertools
import random
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import partial

from aspengate.errors import AspengateError
from aspengate.peers import (
    ChangedItem,
    DomainLeadership,
    MemberList,
    MirrorChanges,
    PeerClient,
    changed_items,
)
from aspengate.store import (
    Changes,
    MirrorMode,
    Snapshot,
    StoreMirror,
    era_of,
    number_of,
)
from aspengate.telemetry import Counters, log_change, supervised_thread
from aspengate.topology import Distance

# Time in ms that a router waits for its own watch or its leader to deliver a change before it
# fetches the change from the peer that announced it.
_FETCH_DELAY_MS = 600.0
_DISCONNECTED_FETCH_DELAY_MS = 150.0
# Changes are sent within the failure domain in messages of at most this size, because a datagram
# is limited to 64 KB; a single larger item is fetched. A replica's item has about 250 bytes.
_MAX_PUSHED_BYTES = 16_384
# If there are more messages, the change is only announced and each router of the domain fetches
# it: a burst of datagrams to all of them would saturate links of 10 Mbit/s and be lost.
_MAX_PUSHED_MESSAGES = 4
# Number of other peers that are tried if the one that announced a change does not respond.
_FALLBACK_SOURCES = 2


class MirrorSharing:
    """Updates mirrors of the store from peers, in addition to or instead of their own watches.

    The leader of a failure domain sends the changes from its watches to the other routers there. A
    router that is notified of a newer revision than its own, or whose store does not respond,
    fetches the state from a peer through ``client``. ``send`` sends changes to addresses;
    ``announce`` sends only the latest revisions. ``addresses`` returns the peers to fetch from.
    """

    def __init__(
        self,
        mirrors: Mapping[str, StoreMirror],
        members: MemberList,
        leadership: DomainLeadership,
        counters: Counters,
        client: PeerClient,
        *,
        send: Callable[..., None],
        announce: Callable[[Iterable[str]], None],
        addresses: Callable[[], list[str]],
    ) -> None:
        self.mirrors = mirrors
        self._members = members
        self._leadership = leadership
        self._counters = counters
        self._client = client
        self._send = send
        self._announce = announce
        self._addresses = addresses
        self._outdated: dict[str, tuple[str, int]] = {}
        self._wake_event = threading.Event()
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, "peers-fetch", counters)

    @property
    def reaches_store(self) -> bool:
        """Whether the mirrors' watches are connected to the store."""
        return all(each.connected for each in self.mirrors.values())

    @property
    def revisions(self) -> dict[str, int]:
        """The latest revision with a change below each prefix."""
        return {prefix: each.state.changed_revision for prefix, each in self.mirrors.items()}

    def start(self) -> None:
        """Start to fetch and to send changes."""
        for prefix, mirror in self.mirrors.items():
            mirror.on_watch_changes = partial(self._push, prefix)
        self._thread.start()

    def close(self) -> None:
        """Stop fetching."""
        self._closing.set()
        self._wake_event.set()

    def wake(self) -> None:
        """Check for outdated mirrors, because the store does not respond to this router."""
        self._wake_event.set()

    def request_fetch(self, prefix: str, revision: int, address: str) -> None:
        """Fetch ``revision`` from the peer at ``address`` unless it arrives within the delay."""
        mirror = self.mirrors.get(prefix)
        if mirror is not None and revision > mirror.state.revision:
            self._outdated[prefix] = (address, revision)
            self._wake_event.set()

    def handle_changes(self, changes: MirrorChanges, address: str) -> None:
        """Apply a leader's changes, or fetch the state if earlier changes are missing."""
        mirror = self.mirrors.get(changes.prefix)
        if mirror is None:
            return
        received = changes.changes()
        if mirror.apply_changes(changes.base_revision, received):
            self._counters.count("mirror.pushed")
        else:
            self.request_fetch(changes.prefix, received.revision, address)

    def _push(self, prefix: str, after: int, changes: Changes) -> None:
        """Send changes to the other routers of this failure domain."""
        if not self._members.leads:
            return
        receivers = [member.address for member in self._members.in_domain()]
        if not receivers:
            return
        messages = list(
            itertools.islice(_messages(prefix, after, changes), _MAX_PUSHED_MESSAGES + 1)
        )
        is_of_one_era = era_of(after) == era_of(changes.revision)
        if not is_of_one_era or None in messages or len(messages) > _MAX_PUSHED_MESSAGES:
            self._announce(receivers)
            return
        for message in messages:
            self._send(message, *receivers)

    def _run(self) -> None:
        while not self._closing.is_set():
            self._wake_event.wait()
            self._wake_event.clear()
            if self._closing.wait(self._fetch_delay_ms() / 1_000):
                return
            for prefix, mirror in self.mirrors.items():
                self._fetch(prefix, mirror)

    def _fetch_delay_ms(self) -> float:
        """Return how long to wait, in ms, for the store or the leader to deliver a change first."""
        if not all(mirror.state.revision for mirror in self.mirrors.values()):
            return 0.0
        leader = self._leadership.leader
        if self._leadership.mode is MirrorMode.TOLD and leader is not None:
            announcers = {address for address, _ in list(self._outdated.values())}
            return 0.0 if leader.address in announcers else _DISCONNECTED_FETCH_DELAY_MS
        if not self.reaches_store:
            return _DISCONNECTED_FETCH_DELAY_MS
        return _FETCH_DELAY_MS

    def _fetch(self, prefix: str, mirror: StoreMirror) -> None:
        announcer, revision = self._outdated.pop(prefix, ("", 0))
        if announcer and revision <= mirror.state.revision:
            return
        if not announcer and mirror.connected:
            return
        for address in self._sources(announcer):
            since = mirror.state.revision
            try:
                found = self._client.fetch_mirror(address, prefix, since)
            except AspengateError:
                self._counters.count("peers.fetch_failed")
                continue
            if _apply(mirror, since, found):
                self._counters.count("peers.fetched")
                log_change(
                    "mirror.from_peer",
                    prefix=prefix,
                    peer=address,
                    era=era_of(found.revision),
                    revision=number_of(found.revision),
                )
            if mirror.state.revision >= revision:
                return

    def _sources(self, announcer: str) -> list[str]:
        """Return the peers to fetch from: this domain's leader, the announcer, then some others.

        The leader comes first because traffic between failure domains is billed. The others are
        chosen at random, so that routers which start together do not all call the same ones, and
        from this region if there are enough.
        """
        leader = self._leadership.leader if self._leadership.mode is MirrorMode.TOLD else None
        first = [leader.address] if leader is not None else []
        first += [announcer] if announcer and announcer not in first else []
        others = [each for each in self._addresses() if each not in first]
        random.shuffle(others)
        others.sort(key=lambda each: self._members.distance(each) is Distance.OTHER_REGION)
        return first + others[:_FALLBACK_SOURCES]


def _apply(mirror: StoreMirror, since: int, found: Snapshot | Changes) -> bool:
    """Apply a peer's state after revision ``since``; return whether it was new."""
    if isinstance(found, Snapshot):
        return mirror.apply_snapshot(found)
    is_new = found.revision > mirror.state.revision
    return mirror.apply_changes(since, found) and is_new


def _messages(prefix: str, after: int, changes: Changes) -> Iterator[MirrorChanges | None]:
    """Yield messages with the changes; each one follows directly on the revision of the previous.

    Yields None if an item is too large for a message. Without the split into messages each router
    of the domain fetched the whole list of replicas if a change exceeded one message: 750 KB for
    3,000 replicas.
    """
    era, known = era_of(changes.revision), number_of(after)
    batch: list[ChangedItem] = []
    size = 0
    for item in changed_items(changes):
        item_bytes = len(item.key) + len(item.value or b"")
        if item_bytes > _MAX_PUSHED_BYTES:
            yield None
            return
        if batch and size + item_bytes > _MAX_PUSHED_BYTES and batch[-1].revision < item.revision:
            yield MirrorChanges(prefix, known, batch[-1].revision, batch, era)
            known, batch, size = batch[-1].revision, [], 0
        batch.append(item)
        size += item_bytes
    yield MirrorChanges(prefix, known, number_of(changes.revision), batch, era)
