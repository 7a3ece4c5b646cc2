"""The datagrams that routers send each other.

A revision of the store is sent as its change number, which older builds read, with the era
that it belongs to in a separate field.
"""

import enum

import msgspec

from aspengate.peers._members import Member
from aspengate.rollouts import Evidence
from aspengate.store import (
    Changes,
    Removal,
    StoreItem,
    make_revision,
    number_of,
)


class PeerNews(msgspec.Struct, frozen=True, tag="news"):
    """The status message that a router sends periodically, and by which others see it as alive.

    ``revisions`` maps each prefix of the store to the number of the newest known change below it,
    and ``eras`` holds the eras of these numbers in the same order. Builds that predate eras send
    none. ``reaches_store`` is whether the store answers this router, ``leads`` whether it leads
    its failure domain, and ``listed`` the number of routers that it is aware of, 0 if it has not
    read the store's list. ``replaced`` are incarnations of listed replicas at whose addresses
    other replicas respond. ``restored`` is the era of the store, of those in ``eras``, that
    contains all account documents known to this router.
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
        """The revision of the newest change below each prefix that comes with an era."""
        named = zip(self.revisions.items(), self.eras, strict=False)
        return {prefix: make_revision(era, number) for (prefix, number), era in named}


class ChangedItem(msgspec.Struct, frozen=True, array_like=True):
    """A written item of the store, or a removed one if ``value`` is None.

    ``revision`` is its change number in the era that the message names.
    """

    key: str
    revision: int
    value: bytes | None = None


class MirrorChanges(msgspec.Struct, frozen=True, tag="changes"):
    """The changes below a prefix of the store, for routers that do not watch it themselves.

    A receiver that is up to date at the revision ``after`` is up to date at ``revision`` once it
    has applied the changes. Both are change numbers in ``era``; builds that predate eras do not
    send it.
    """

    prefix: str
    after: int
    revision: int
    items: list[ChangedItem]
    era: int = 0

    @property
    def base_revision(self) -> int:
        """The revision that a receiver must have reached before it applies the changes."""
        return make_revision(self.era, self.after)

    def changes(self) -> Changes:
        """Return the changes, with revisions in the message's era."""
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
    """Return changes of one era in the form of a message, ordered by revision."""
    items = [
        *(ChangedItem(each.key, number_of(each.revision), each.value) for each in changes.written),
        *(ChangedItem(each.key, number_of(each.revision)) for each in changes.removed),
    ]
    return sorted(items, key=lambda each: each.revision)


class PlacementScope(enum.Enum):
    """The route of placements: router to leader, leader to other leaders, leader to its domain."""

    ROUTER = "router"
    LEADER = "leader"
    DOMAIN = "domain"


class PlacedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that was just sent to the incarnation ``replica`` of a replica.

    ``tokens`` is the number of prompt tokens that the replica probably has to process, and
    ``expected_ms`` the expected time to the first token. ``parts`` are the shared prompt segments,
    which the replica then holds.
    """

    replica: str
    tokens: int
    expected_ms: int
    parts: list[str] = []


class Placements(msgspec.Struct, frozen=True, tag="placements"):
    """Requests that routers sent to replicas, by router name."""

    scope: PlacementScope
    requests: dict[str, list[PlacedRequest]]


class LostRun(msgspec.Struct, frozen=True, array_like=True):
    """The request with the fingerprint ``content`` was lost by the run ``run`` of a replica."""

    content: str
    run: str


class CrashNotice(msgspec.Struct, frozen=True, tag="crashes"):
    """What a router observed of requests that crash replicas.

    ``lost`` are requests that runs of replicas lost, ``ended`` the runs that have terminated, and
    ``cleared`` the fingerprints of requests that were answered completely.
    """

    lost: list[LostRun] = []
    ended: list[str] = []
    cleared: list[str] = []


class LimitWord(msgspec.Struct, frozen=True, array_like=True):
    """The limit that the incarnation ``replica`` of a replica stated; higher numbers are newer.

    It accepts ``per_second`` requests from all routers together; None means no limit.
    """

    replica: str
    number: int
    per_second: float | None = None


class LimitNotice(msgspec.Struct, frozen=True, tag="limits"):
    """The limits that replicas stated in their responses, as known to one router."""

    words: list[LimitWord] = []


class PermitRequest(msgspec.Struct, frozen=True, tag="permit"):
    """Asks for a permit to send one request to one of several rate-limited replicas.

    ``words`` are the limits of these replicas as known to the session, in order of preference.
    The permit may become valid at most ``most_wait_ms`` later.
    """

    number: int
    session: str
    words: list[LimitWord]
    most_wait_ms: int = 0


class ReadyPermit(msgspec.Struct, frozen=True, array_like=True):
    """Time in ms until the next permit for an incarnation of a replica; -1 if unknown."""

    replica: str
    ready_ms: int


class PermitReply(msgspec.Struct, frozen=True, tag="permit-reply"):
    """The reply to the permit request ``number``: a permit for ``replica``, empty if refused.

    The permit becomes valid after ``wait_ms``, and expires ``valid_ms`` later. ``ready`` lists the
    requested replicas for which no permit was free.
    """

    number: int
    session: str
    replica: str = ""
    wait_ms: int = 0
    valid_ms: int = 0
    ready: list[ReadyPermit] = []


class PermitUse(msgspec.Struct, frozen=True, tag="permit-use"):
    """Reports whether a request was sent with the permit of the permit request ``number``."""

    number: int
    session: str
    sent: bool


class RolloutReport(msgspec.Struct, frozen=True, tag="rollout-report"):
    """A session's evidence on a service's rollout since the attempt ``generation`` began.

    Reports are cumulative, and higher numbers are newer. ``halted`` is whether the session found
    the target bad by itself and sends nothing more to it.
    """

    service: str
    generation: int
    session: str
    number: int
    evidence: Evidence
    halted: bool = False


class HaltedRollout(msgspec.Struct, frozen=True, array_like=True):
    """The attempt ``generation`` on a service, whose target must get no more requests."""

    service: str
    generation: int


class RolloutNotice(msgspec.Struct, frozen=True, tag="rollouts"):
    """Rollouts whose targets must get no more requests, sent to all routers."""

    halted: list[HaltedRollout] = []


class BegunStream(msgspec.Struct, frozen=True, array_like=True):
    """A stream of an account that a replica of a service began with the request ``request_id``.

    ``version`` is the replica's version, None if it is uncertain. The stream may be taken up again
    for ``keep_ms``. It was recorded ``age_ms`` ago.
    """

    account: str
    request_id: str
    service: str
    version: str | None
    replica: str
    keep_ms: int = 0
    age_ms: int = 0


class VersionChange(msgspec.Struct, frozen=True, array_like=True):
    """A replica whose record has had another version under the same id since ``age_ms`` ago."""

    replica: str
    version: str
    age_ms: int


class StreamNotice(msgspec.Struct, frozen=True, tag="streams"):
    """Streams that a router serves, sent to the routers that remember them as well."""

    streams: list[BegunStream]


class StreamQuery(msgspec.Struct, frozen=True, tag="stream-query"):
    """Asks which version began a stream, and which ones its service had within ``within_ms``."""

    number: int
    account: str
    request_id: str
    service: str
    within_ms: float


class StreamReply(msgspec.Struct, frozen=True, tag="stream-reply"):
    """The reply to the stream query ``number``; ``origin`` is None if the stream is not known.

    ``is_complete`` is whether ``versions`` are certainly all that the service had, and ``changed``
    are the replicas of the service that have changed theirs.
    """

    number: int
    origin: BegunStream | None = None
    versions: list[str] = []
    is_complete: bool = False
    changed: list[VersionChange] = []


class CeilingNotice(msgspec.Struct, frozen=True, tag="ceilings"):
    """Reports the maximum use of a session, in tokens by account, to its witness.

    ``witness`` is the addressed session; a later session of the same router does not accept it.
    """

    number: int
    session: str
    witness: str
    ceilings: dict[str, int]


class CeilingReply(msgspec.Struct, frozen=True, tag="ceilings-reply"):
    """A witness's reply to the ceiling notice ``number``: whether it was accepted."""

    number: int
    session: str
    witness: str
    accepted: bool


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """A grant of the store to a session: ``allowance`` tokens of an account as of ``revision``.

    ``witness`` is the session that witnesses the session's use, empty if there is none.
    """

    account: str
    session: str
    allowance: int
    revision: int
    witness: str = ""


class GrantNotice(msgspec.Struct, frozen=True, tag="grants"):
    """New grants of the store, sent to routers that keep copies in case the store loses them."""

    grants: list[Grant]


class LoanRequest(msgspec.Struct, frozen=True, tag="loan"):
    """Asks for exactly ``needed`` tokens of an account or none, and up to ``extra`` more.

    With ``held_only``, the lender may only lend tokens that it holds unused, and draws none from
    the store. With ``repeats``, it only asks for the outcome of this request, which may have been
    served before.
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
    """The reply to the loan request ``number``: ``given`` tokens, which the lender gives up.

    If none are given, ``refused`` is the code of the reason, or ``PENDING`` while it is undecided.
    ``scarce`` asks the borrower to keep no tokens that it does not need.
    """

    number: int
    session: str
    account: str
    given: int
    refused: str = ""
    scarce: bool = False


class Repayment(msgspec.Struct, frozen=True, tag="repayment"):
    """Transfers tokens from a session, which gives them up, to the session ``lender``.

    Numbers increase from one session to one lender, so that a repeated message counts once.
    """

    number: int
    session: str
    lender: str
    account: str
    amount: int


class RepaymentReply(msgspec.Struct, frozen=True, tag="repayment-reply"):
    """Confirms that the repayment ``number`` has been credited."""

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
    | RolloutReport
    | RolloutNotice
    | StreamNotice
    | StreamQuery
    | StreamReply
    | CeilingNotice
    | CeilingReply
    | GrantNotice
    | LoanRequest
    | LoanReply
    | Repayment
    | RepaymentReply
)
