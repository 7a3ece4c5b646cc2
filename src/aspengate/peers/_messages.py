"""What routers tell each other by datagrams.

A revision of the store travels as its number, which older builds read, and beside
it the history that it belongs to.
"""

import enum

import msgspec

from aspengate.peers._members import Member
from aspengate.store import (
    Changes,
    Removal,
    StoreItem,
    make_revision,
    number_of,
)


class PeerNews(msgspec.Struct, frozen=True, tag="news"):
    """What one router tells others, which is also its sign of life.

    ``revisions`` maps a prefix of the store to the number of the newest change known below it;
    ``eras`` are the histories of these, in the same order. Builds before the histories name none.
    ``reaches_store`` tells whether the store answers this router, ``leads`` whether it follows
    the store for its failure domain, and ``listed`` how many routers this one knows, 0 where it
    has not read the store's list. ``replaced`` are starts of listed replicas at whose addresses
    others answer. ``restored`` is the history of the store, of those that it names, that holds all
    which this router knows of accounts' documents.
    """

    member: Member
    revisions: dict[str, int] = {}
    reaches_store: bool = False
    listed: int = 0
    leads: bool = False
    replaced: list[str] = []
    restored: int = 0
    eras: list[int] = []

    @property
    def newest_revisions(self) -> dict[str, int]:
        """The revision of the newest change below each prefix of which the history is named."""
        named = zip(self.revisions.items(), self.eras, strict=False)
        return {prefix: make_revision(era, number) for (prefix, number), era in named}


class ChangedItem(msgspec.Struct, frozen=True, array_like=True):
    """An item of the store as it was written; without a ``value`` it was removed.

    ``revision`` is its number in the history that the message names.
    """

    key: str
    revision: int
    value: bytes | None = None


class MirrorChanges(msgspec.Struct, frozen=True, tag="changes"):
    """What has changed below a prefix of the store, told to routers that do not watch it.

    It is complete for whoever knows all up to the revision ``after``, and leads to ``revision``:
    numbers in the history ``era``, which builds before the histories do not name.
    """

    prefix: str
    after: int
    revision: int
    items: list[ChangedItem]
    era: int = 0

    @property
    def base_revision(self) -> int:
        """The revision up to which all has to be known before."""
        return make_revision(self.era, self.after)

    def changes(self) -> Changes:
        """Return what has changed."""
        written = tuple(
            StoreItem(each.key, each.value, make_revision(self.era, each.revision))
            for each in self.items
            if each.value is not None
        )
        removed = tuple(
            Removal(each.key, make_revision(self.era, each.revision))
            for each in self.items
            if each.value is None
        )
        return Changes(written, removed, make_revision(self.era, self.revision))


def changed_items(changes: Changes) -> list[ChangedItem]:
    """Return changes of one history as a message holds them, in their order."""
    items = [
        *(ChangedItem(each.key, number_of(each.revision), each.value) for each in changes.written),
        *(ChangedItem(each.key, number_of(each.revision)) for each in changes.removed),
    ]
    return sorted(items, key=lambda each: each.revision)


class PlacementScope(enum.Enum):
    """Who tells of placements: a router its leader, a leader the others, or its domain."""

    ROUTER = "router"
    LEADER = "leader"
    DOMAIN = "domain"


class PlacedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that was sent to a start of a replica, ``replica``, just now.

    ``tokens`` of its prompt are probably to be read there, and its first token is expected after
    ``expected_ms``. ``parts`` are the shared parts of its prompt, which the replica then holds.
    """

    replica: str
    tokens: int
    expected_ms: int
    parts: list[str] = []


class Placements(msgspec.Struct, frozen=True, tag="placements"):
    """Requests that routers sent to replicas, by the name of the router."""

    scope: PlacementScope
    requests: dict[str, list[PlacedRequest]]


class LostRun(msgspec.Struct, frozen=True, array_like=True):
    """A run of a replica lost the request with the id ``content``."""

    content: str
    run: str


class CrashNotice(msgspec.Struct, frozen=True, tag="crashes"):
    """What a router knows of requests under which replicas ended.

    ``lost`` are requests that runs of replicas lost, ``ended`` the runs that have ended, and
    ``cleared`` requests that were answered in whole.
    """

    lost: list[LostRun] = []
    ended: list[str] = []
    cleared: list[str] = []


class LimitWord(msgspec.Struct, frozen=True, array_like=True):
    """What a start of a replica, ``replica``, says of its limit, under the number of that word.

    It takes ``per_second`` requests from all routers together, None for as many as come.
    """

    replica: str
    number: int
    per_second: float | None = None


class LimitNotice(msgspec.Struct, frozen=True, tag="limits"):
    """What a router knows of the limits that replicas name in their answers."""

    words: list[LimitWord] = []


class PermitRequest(msgspec.Struct, frozen=True, tag="permit"):
    """A session asks for a permit to send one request to any one of some limited replicas.

    ``words`` is what it knows of their limits, those that it prefers first. The permit may be ready
    ``most_wait_ms`` later.
    """

    number: int
    session: str
    words: list[LimitWord]
    most_wait_ms: int = 0


class ReadyPermit(msgspec.Struct, frozen=True, array_like=True):
    """In how many ms the next permit for a start of a replica is ready; -1 for not known."""

    replica: str
    ready_ms: int


class PermitReply(msgspec.Struct, frozen=True, tag="permit-reply"):
    """The answer to the permit request ``number``: a permit for ``replica``, empty for none.

    It is ready after ``wait_ms``, and lapses ``valid_ms`` later. ``ready`` tells of the replicas
    for which there is none.
    """

    number: int
    session: str
    replica: str = ""
    wait_ms: int = 0
    valid_ms: int = 0
    ready: list[ReadyPermit] = []


class PermitUse(msgspec.Struct, frozen=True, tag="permit-use"):
    """What became of the permit of the request ``number``: whether its request was sent."""

    number: int
    session: str
    sent: bool


class CeilingNotice(msgspec.Struct, frozen=True, tag="ceilings"):
    """A session tells its witness the most that it will use, in tokens by account.

    ``witness`` is the session that is meant; a later life of the same router does not stand in.
    """

    number: int
    session: str
    witness: str
    ceilings: dict[str, int]


class CeilingReply(msgspec.Struct, frozen=True, tag="ceilings-reply"):
    """A witness's answer to the notice ``number``: whether it was accepted."""

    number: int
    session: str
    witness: str
    accepted: bool


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """The store allows a session ``allowance`` tokens of an account, as of ``revision``.

    ``witness`` is the session that witnesses it, empty where none does.
    """

    account: str
    session: str
    allowance: int
    revision: int
    witness: str = ""


class GrantNotice(msgspec.Struct, frozen=True, tag="grants"):
    """What the store has just granted, told to some who remember it if the store does not."""

    grants: list[Grant]


class LoanRequest(msgspec.Struct, frozen=True, tag="loan"):
    """A session asks for ``needed`` tokens of an account or none, and up to ``extra`` more.

    With ``held_only`` it asks for what the lender holds unused, and not to draw from the store.
    With ``repeats`` it asks only what became of this request, which may have been served.
    """

    number: int
    session: str
    account: str
    needed: int
    extra: int
    held_only: bool = False
    repeats: bool = False


PENDING = "pending"


class LoanReply(msgspec.Struct, frozen=True, tag="loan-reply"):
    """How many tokens the loan request ``number`` gets; the lender never uses them itself.

    ``refused`` is the code of the reason where it gets none, or ``PENDING`` where that is not
    decided yet. ``scarce`` asks the borrower to keep no tokens that it does not need.
    """

    number: int
    session: str
    account: str
    given: int
    refused: str = ""
    scarce: bool = False


class Repayment(msgspec.Struct, frozen=True, tag="repayment"):
    """A session gives tokens to the session ``lender``, and uses them no more.

    Numbers of one session to one lender rise; a repeated one counts once.
    """

    number: int
    session: str
    lender: str
    account: str
    amount: int


class RepaymentReply(msgspec.Struct, frozen=True, tag="repayment-reply"):
    """The repayment ``number`` has arrived."""

    number: int
    session: str


Datagram = (
    PeerNews
    | MirrorChanges
    | Placements
    | CrashNotice
    | LimitNotice
    | PermitRequest
    | PermitReply
    | PermitUse
    | CeilingNotice
    | CeilingReply
    | GrantNotice
    | LoanRequest
    | LoanReply
    | Repayment
    | RepaymentReply
)
