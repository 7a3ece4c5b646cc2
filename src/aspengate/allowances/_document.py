"""The value of one account's prepaid tokens in the store, and the only changes that it allows.

A *session* is one run of one router. Its *allowance* is the most tokens that it may use in its
in its lifetime. The one rule is that what closed sessions used and what all others may use stays
within the account's limit whenever an allowance is raised. It holds in one value that is changed
by compare-and-swap, so that neither a pause, a cut nor a lost answer can break it.

A session that is never heard of again keeps what it was allowed, unless the document names a
*witness* for it: another router that was told the most that the session may use, its *ceiling*,
before it was used. See ``CeilingRegistry``.
"""

from typing import TypeVar

import msgspec

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import DECODE_ERRORS, era_of, make_revision, number_of

_MOST_SESSIONS = 200

_Value = TypeVar("_Value")


class AllowanceDocument(msgspec.Struct, frozen=True):
    """What closed sessions used, and the allowance of each other session, in tokens.

    ``witnesses`` maps a session to the session of the router that witnesses it. ``limit`` is the
    account's limit as of the configuration's revision ``limit_as_of``, the newest that a writer
    knew: a router whose configuration is older keeps to it. ``limit_revision`` is that revision's
    number, which builds before the histories of a store read, ``limit_era`` its history.

    ``ended`` maps each router to the last of its sessions that settled itself: settling it again
    after a lost answer changes nothing. ``spent`` is what those sessions' own requests used,
    without any loan; it is only there to check the rest of the document against.

    ``era`` is the history of the store in which it was written. ``restored_from`` is the revision
    of the newest document of an earlier history that it was made from, and ``restored_closed`` is
    what that counted as closed.
    """

    limit: int = 0
    limit_revision: int = 0
    closed: int = 0
    sessions: dict[str, int] = {}
    witnesses: dict[str, str] = {}
    ended: dict[str, str] = {}
    spent: int = 0
    era: int = 0
    restored_from: int = 0
    restored_closed: int = 0
    limit_era: int = 0

    @property
    def limit_as_of(self) -> int:
        """The revision of the configuration that the limit was read from."""
        return make_revision(self.limit_era, self.limit_revision)

    def limit_for(self, limit: int, revision: int) -> int:
        """Return the limit in force for a writer that read ``limit`` as of ``revision``."""
        return self.limit if revision < self.limit_as_of else limit

    def with_limit(self, limit: int, revision: int) -> "AllowanceDocument":
        """Return the document with a limit that is newer and another one than it has."""
        if revision < self.limit_as_of or limit == self.limit:
            return self
        return msgspec.structs.replace(
            self, limit=limit, limit_revision=number_of(revision), limit_era=era_of(revision)
        )

    @property
    def committed(self) -> int:
        """What is used, or may still be."""
        return self.closed + sum(self.sessions.values())

    def allowance(self, session: str) -> int:
        """Return what ``session`` may use in its lifetime."""
        return self.sessions.get(session, 0)

    def witness(self, session: str) -> str:
        """Return the session that witnesses ``session``; empty where none does."""
        return self.witnesses.get(session, "")

    @property
    def is_undercounted(self) -> bool:
        """Return whether less is committed than sessions say that they spent: a fault of ours."""
        return self.committed < self.spent

    def has_ended(self, session: str) -> bool:
        """Return whether ``session`` has settled itself."""
        return self.ended.get(router_of(session)) == session

    @property
    def lost_sessions(self) -> int:
        """How many sessions ended without settling, as far as their router runs again."""
        return len(self.sessions) - len({router_of(session) for session in self.sessions})

    def share_of(self, session: str) -> float:
        """Return the part, 0 to 1, of the router of ``session`` in what all sessions may use."""
        router = router_of(session)
        own = sum(value for name, value in self.sessions.items() if router_of(name) == router)
        everyone = sum(self.sessions.values())
        return min(1.0, max(0.0, own / everyone)) if everyone > 0 else 0.0

    def max_allowance(self, session: str, limit: int) -> int:
        """Return the highest allowance that ``session`` can have within ``limit``."""
        return limit - (self.committed - self.allowance(session))


def session_name(router: str, incarnation: str) -> str:
    """Return the name of one run, ``incarnation``, of a router."""
    return f"{router}.{incarnation}"


def router_of(session: str) -> str:
    """Return the router that a session is a run of."""
    return session.rpartition(".")[0]


def set_allowance(
    document: AllowanceDocument, session: str, allowance: int, limit: int, witness: str = ""
) -> AllowanceDocument:
    """Return the document with a session's allowance raised or lowered.

    Raises CONFLICT where a raise does not fit into ``limit``. A lower one always fits, also
    after an operator has cut the limit below what is committed.
    """
    before = document.allowance(session)
    if allowance > before and allowance > document.max_allowance(session, limit):
        raise AspengateError(ErrorKind.CONFLICT, "allowance above the account's limit")
    sessions = {**document.sessions, session: allowance}
    witnesses = _without(document.witnesses, {session})
    if witness:
        witnesses[session] = witness
    return _fold(msgspec.structs.replace(document, sessions=sessions, witnesses=witnesses))


def close_session(document: AllowanceDocument, session: str, used: int) -> AllowanceDocument:
    """Return the document with a session's tokens settled as ``used``; it uses none any more."""
    return msgspec.structs.replace(
        document,
        closed=document.closed + used,
        sessions=_without(document.sessions, {session}),
        witnesses=_without(document.witnesses, {session}),
    )


def end_session(
    document: AllowanceDocument, session: str, used: int, spent: int = 0
) -> AllowanceDocument:
    """Return the document with a session settled by its own router, once.

    ``spent`` is what its own requests used. ``used``, which counts, is negative where the session
    was lent more than it used and lent, which its lenders' sessions count. Nothing in the document
    but ``ended`` tells that such a settlement is done.
    """
    if document.has_ended(session):
        return document
    settled = close_session(document, session, used)
    ended = {**document.ended, router_of(session): session}
    return msgspec.structs.replace(settled, ended=ended, spent=document.spent + spent)


def encode_document(document: AllowanceDocument) -> bytes:
    """Return the bytes that stand in the store."""
    return msgspec.json.encode(document)


def decode_document(value: bytes) -> AllowanceDocument:
    """Return the document in a store value; raises INTERNAL for other bytes."""
    try:
        return msgspec.json.decode(value, type=AllowanceDocument)
    except DECODE_ERRORS as error:
        raise AspengateError(ErrorKind.INTERNAL, str(error), where="allowances") from error


def _fold(document: AllowanceDocument) -> AllowanceDocument:
    """Count the oldest sessions as closed where there are many, with all they were allowed.

    One that still lives finds its session gone, and goes on under the rest of its allowance.
    """
    surplus = len(document.sessions) - _MOST_SESSIONS
    if surplus <= 0:
        return document
    oldest = set(list(document.sessions)[:surplus])
    return msgspec.structs.replace(
        document,
        closed=document.closed + sum(document.sessions[name] for name in oldest),
        sessions=_without(document.sessions, oldest),
        witnesses=_without(document.witnesses, oldest),
    )


def _without(entries: dict[str, _Value], names: set[str]) -> dict[str, _Value]:
    return {name: value for name, value in entries.items() if name not in names}
