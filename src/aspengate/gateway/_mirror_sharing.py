"""Has routers hear from each other what changes in the store."""

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
from aspengate.telemetry import Counters, lasting_thread, log_change

# How long a router waits for its own watch, or for its leader, before it asks a peer for what
# that one told of, in ms.
_GRACE_MS = 600.0
_CUT_GRACE_MS = 150.0
# Changes are sent to the failure domain in messages of up to this many bytes, since a datagram
# holds no more than 64 KB; a single larger item is fetched. A replica's item has about 250 bytes.
_MOST_PUSHED_BYTES = 16_384
# Of more changes the routers of the domain are only told, and fetch them each for itself: a burst
# of datagrams to all of them would fill links of 10 Mbit/s and get lost.
_MOST_PUSHED_MESSAGES = 4
# So many other peers are asked where the one that told of a change does not answer.
_OTHER_SOURCES = 2


class MirrorSharing:
    """Keeps mirrors of the store current beside, or instead of, their own watches.

    A router that leads its failure domain sends what its watches told to the others there. One
    that hears of a newer change than it knows, or whose store does not answer, fetches the whole
    state from a peer by ``client``. ``send`` sends changes to addresses, ``tell`` only that there
    are some; ``addresses`` returns the peers that may be asked.
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
        tell: Callable[[Iterable[str]], None],
        addresses: Callable[[], list[str]],
    ) -> None:
        self.mirrors = mirrors
        self._members = members
        self._leadership = leadership
        self._counters = counters
        self._client = client
        self._send = send
        self._tell = tell
        self._addresses = addresses
        self._behind: dict[str, tuple[str, int]] = {}
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._thread = lasting_thread(self._catch_up, "peers-fetch", counters)

    @property
    def reaches_store(self) -> bool:
        """Whether the store answers what is asked of it for the mirrors."""
        return all(each.connected for each in self.mirrors.values())

    @property
    def revisions(self) -> dict[str, int]:
        """The newest change that is known below each prefix."""
        return {prefix: each.state.changed_revision for prefix, each in self.mirrors.items()}

    def start(self) -> None:
        """Begin to catch up, and to tell of changes."""
        for prefix, mirror in self.mirrors.items():
            mirror.on_watch_changes = partial(self._push, prefix)
        self._thread.start()

    def close(self) -> None:
        """Stop."""
        self._closing.set()
        self._wake.set()

    def wake(self) -> None:
        """Look whether a mirror is behind, since the store does not answer this router."""
        self._wake.set()

    def request_fetch(self, prefix: str, revision: int, address: str) -> None:
        """Fetch a state from a peer that knows a change at ``revision``, unless it comes first."""
        mirror = self.mirrors.get(prefix)
        if mirror is not None and revision > mirror.state.revision:
            self._behind[prefix] = (address, revision)
            self._wake.set()

    def handle_changes(self, changes: MirrorChanges, address: str) -> None:
        """Take over what a leader tells, or fetch where something before it is not known."""
        mirror = self.mirrors.get(changes.prefix)
        if mirror is None:
            return
        told = changes.changes()
        if mirror.apply_changes(changes.base_revision, told):
            self._counters.count("mirror.pushed")
        else:
            self.request_fetch(changes.prefix, told.revision, address)

    def _push(self, prefix: str, after: int, changes: Changes) -> None:
        """Tell the routers of this one's domain what has changed."""
        if not self._members.leads:
            return
        receivers = [member.address for member in self._members.in_domain()]
        if not receivers:
            return
        messages = list(
            itertools.islice(_messages(prefix, after, changes), _MOST_PUSHED_MESSAGES + 1)
        )
        is_of_one_era = era_of(after) == era_of(changes.revision)
        if not is_of_one_era or None in messages or len(messages) > _MOST_PUSHED_MESSAGES:
            self._tell(receivers)
            return
        for message in messages:
            self._send(message, *receivers)

    def _catch_up(self) -> None:
        while not self._closing.is_set():
            self._wake.wait()
            self._wake.clear()
            if self._closing.wait(self._grace_ms() / 1_000):
                return
            for prefix, mirror in self.mirrors.items():
                self._fetch(prefix, mirror)

    def _grace_ms(self) -> float:
        """Return how long to wait for what the store or the leader may be about to tell."""
        if not all(mirror.state.revision for mirror in self.mirrors.values()):
            return 0.0
        leader = self._leadership.leader
        if self._leadership.mode is MirrorMode.TOLD and leader is not None:
            told = {address for address, _ in list(self._behind.values())}
            return 0.0 if leader.address in told else _CUT_GRACE_MS
        if not self.reaches_store:
            return _CUT_GRACE_MS
        return _GRACE_MS

    def _fetch(self, prefix: str, mirror: StoreMirror) -> None:
        told, revision = self._behind.pop(prefix, ("", 0))
        if told and revision <= mirror.state.revision:
            return
        if not told and mirror.connected:
            return
        for address in self._sources(told):
            since = mirror.state.revision
            try:
                found = self._client.fetch_mirror(address, prefix, since)
            except AspengateError:
                self._counters.count("peers.fetch_failed")
                continue
            if _take_over(mirror, since, found):
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

    def _sources(self, told: str) -> list[str]:
        """Return the peers to ask: the leader here, the one that knows something new, some others.

        Bytes between failure domains have a price. The others are drawn at random, so that
        routers which start together don't all ask the same ones.
        """
        leader = self._leadership.leader if self._leadership.mode is MirrorMode.TOLD else None
        first = [leader.address] if leader is not None else []
        first += [told] if told and told not in first else []
        others = [each for each in self._addresses() if each not in first]
        return first + random.sample(others, min(_OTHER_SOURCES, len(others)))


def _take_over(mirror: StoreMirror, since: int, found: Snapshot | Changes) -> bool:
    """Take over what a peer told beyond a revision; return whether it was new."""
    if isinstance(found, Snapshot):
        return mirror.apply_snapshot(found)
    is_new = found.revision > mirror.state.revision
    return mirror.apply_changes(since, found) and is_new


def _messages(prefix: str, after: int, changes: Changes) -> Iterator[MirrorChanges | None]:
    """Return the messages that tell of changes, each complete for who knows the ones before.

    None stands for an item that no message holds. Without the split each router of the domain
    fetched the whole list of replicas for a change of more than one message: 750 KB for 3,000.
    """
    era, known = era_of(changes.revision), number_of(after)
    batch: list[ChangedItem] = []
    size = 0
    for item in changed_items(changes):
        item_bytes = len(item.key) + len(item.value or b"")
        if item_bytes > _MOST_PUSHED_BYTES:
            yield None
            return
        if batch and size + item_bytes > _MOST_PUSHED_BYTES and batch[-1].revision < item.revision:
            yield MirrorChanges(prefix, known, batch[-1].revision, batch, era)
            known, batch, size = batch[-1].revision, [], 0
        batch.append(item)
        size += item_bytes
    yield MirrorChanges(prefix, known, number_of(changes.revision), batch, era)
