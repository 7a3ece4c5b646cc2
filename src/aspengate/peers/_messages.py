"""What routers tell each other by datagrams."""

import msgspec

from aspengate.peers._members import Member


class PeerNews(msgspec.Struct, frozen=True, tag="news"):
    """What one router tells others, which is also its sign of life.

    ``revisions`` maps a prefix of the store to the newest change known below it;
    ``reaches_store`` tells whether the store answers this router, and ``listed`` how many
    routers the store's list had when this one read it last.
    """

    member: Member
    revisions: dict[str, int] = {}
    reaches_store: bool = False
    listed: int = 0


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


Datagram = PeerNews | CeilingNotice | CeilingReply
