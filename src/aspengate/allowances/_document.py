"""The stored document of one account's prepaid tokens, and the changes that it allows.

A *session* is one run of one router. Its *allowance* is the maximum number of tokens that it may
use in its lifetime. Invariant: whenever an allowance is raised, the tokens used by closed sessions
plus the allowances of all other sessions stay within the account's limit. The document is a single
value in the store that is changed by compare-and-swap, so that a pause, a network partition or a
lost response cannot break the invariant.

A session that never returns keeps its whole allowance, unless the document names a *witness* for
it: another router that accepted the maximum number of tokens that the session may use, its
*ceiling*, before they were used. See ``CeilingRegistry``.
"""

from typing import TypeVar

import msgspec

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import DECODE_ERRORS, era_of, make_revision, number_of

_MAX_SESSIONS = 200

_Value = TypeVar("_Value")


class AllowanceDocument(msgspec.Struct, frozen=True):
    """Holds the tokens used by closed sessions and the allowance of every other session.

    ``witnesses`` maps a session to the session of the router that witnesses it.

    ``limit`` is the account's limit as of ``limit_as_of``, the newest revision of the
    configuration that any writer had read. A router with an older configuration has to use this
    limit instead of its own. ``limit_revision`` is that revision's number, as read by builds
    without support for histories of the store, and ``limit_era`` its history.

    ``ended`` maps each router to the last of its sessions that settled itself, so that a
    settlement repeated after a lost response has no effect. ``spent`` is the number of tokens that
    those sessions' own requests used, without loans; it serves only as a consistency check.

    ``era`` is the history of the store in which the document was written. ``restored_from`` is the
    revision of the newest document of an earlier history that it was restored from, and
    ``restored_closed`` the value of ``closed`` in that document.
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
        """The revision of the configuration that ``limit`` was read from."""
        return make_revision(self.limit_era, self.limit_revision)

    def limit_for(self, limit: int, revision: int) -> int:
        """Return the effective limit for a writer that read ``limit`` at ``revision``."""
        return self.limit if revision < self.limit_as_of else limit

    def with_limit(self, limit: int, revision: int) -> "AllowanceDocument":
        """Return the document with ``limit``, if that differs and ``revision`` is not older."""
        if revision < self.limit_as_of or limit == self.limit:
            return self
        return msgspec.structs.replace(
            self, limit=limit, limit_revision=number_of(revision), limit_era=era_of(revision)
        )

    @property
    def committed(self) -> int:
        """The tokens that were used or may still be used."""
        return self.closed + sum(self.sessions.values())

    def allowance(self, session: str) -> int:
        """Return the number of tokens that ``session`` may use in its lifetime."""
        return self.sessions.get(session, 0)

    def witness(self, session: str) -> str:
        """Return the session that witnesses ``session``, or an empty string if none does."""
        return self.witnesses.get(session, "")

    @property
    def is_undercounted(self) -> bool:
        """Whether fewer tokens are committed than sessions spent, which indicates a bug."""
        return self.committed < self.spent

    def has_ended(self, session: str) -> bool:
        """Return whether ``session`` has already settled itself."""
        return self.ended.get(router_of(session)) == session

    @property
    def lost_sessions(self) -> int:
        """The number of sessions that ended unsettled and whose router has started a newer one."""
        return len(self.sessions) - len({router_of(session) for session in self.sessions})

    def share_of(self, session: str) -> float:
        """Return the share, 0 to 1, of the allowances that belongs to the router of ``session``."""
        router = router_of(session)
        own = sum(value for name, value in self.sessions.items() if router_of(name) == router)
        total = sum(self.sessions.values())
        return min(1.0, max(0.0, own / total)) if total > 0 else 0.0

    def max_allowance(self, session: str, limit: int) -> int:
        """Return the maximum allowance of ``session`` that fits into ``limit``."""
        return limit - (self.committed - self.allowance(session))


def session_name(router: str, incarnation: str) -> str:
    """Return the name of the session that is a router's run with the id ``incarnation``."""
    return f"{router}.{incarnation}"


def router_of(session: str) -> str:
    """Return the name of the router that a session belongs to."""
    return session.rpartition(".")[0]


def set_allowance(
    document: AllowanceDocument, session: str, allowance: int, limit: int, witness: str = ""
) -> AllowanceDocument:
    """Return the document with a session's allowance raised or lowered.

    Raises CONFLICT if a raised allowance does not fit into ``limit``. Lowering is always allowed,
    also after an operator has reduced the limit below the committed tokens.
    """
    before = document.allowance(session)
    if allowance > before and allowance > document.max_allowance(session, limit):
        raise AspengateError(ErrorKind.CONFLICT, "allowance above the account's limit")
    sessions = {**document.sessions, session: allowance}
    witnesses = _without(document.witnesses, {session})
    if witness:
        witnesses[session] = witness
    return _close_oldest(msgspec.structs.replace(document, sessions=sessions, witnesses=witnesses))


def close_session(document: AllowanceDocument, session: str, used: int) -> AllowanceDocument:
    """Return the document with a session closed that used ``used`` tokens in total."""
    return msgspec.structs.replace(
        document,
        closed=document.closed + used,
        sessions=_without(document.sessions, {session}),
        witnesses=_without(document.witnesses, {session}),
    )


def end_session(
    document: AllowanceDocument, session: str, used: int, spent: int = 0
) -> AllowanceDocument:
    """Return the document with a session settled by its own router; idempotent.

    ``used`` is the number of tokens to count for the session. It is negative if the session
    borrowed more than it used and lent, since the lenders' sessions count the borrowed tokens. Only
    ``ended`` records that a settlement is done: the other fields cannot tell. ``spent`` is the
    number of tokens that the session's own requests used.
    """
    if document.has_ended(session):
        return document
    settled = close_session(document, session, used)
    ended = {**document.ended, router_of(session): session}
    return msgspec.structs.replace(settled, ended=ended, spent=document.spent + spent)


def encode_document(document: AllowanceDocument) -> bytes:
    """Return the document in its stored form."""
    return msgspec.json.encode(document)


def decode_document(value: bytes) -> AllowanceDocument:
    """Return the document in a stored value; raises INTERNAL if the value is not valid."""
    try:
        return msgspec.json.decode(value, type=AllowanceDocument)
    except DECODE_ERRORS as error:
        raise AspengateError(ErrorKind.INTERNAL, str(error), where="allowances") from error


def _close_oldest(document: AllowanceDocument) -> AllowanceDocument:
    """Return the document with at most ``_MAX_SESSIONS`` sessions.

    The oldest surplus sessions are counted as closed with their whole allowance. If such a session
    is still running, it finds itself removed and may use up the rest of its allowance.
    """
    surplus = len(document.sessions) - _MAX_SESSIONS
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
