"""The value of one account's prepaid tokens in the store, and the only changes that it allows.

A *session* is one run of one router. Its *allowance* is the most tokens that it may use in its
whole life. The one rule is that what closed sessions used and what all others may use stays
within the account's limit whenever an allowance is raised. It holds in one value that is changed
by compare-and-swap, so that neither a pause, a cut nor a lost answer can break it: a session that
is never heard of again keeps what it was allowed, whether it used that or not.
"""

import msgspec

from aspengate.errors import AspengateError, ErrorKind

_MOST_SESSIONS = 200


class AllowanceDocument(msgspec.Struct, frozen=True):
    """What closed sessions used, and the allowance of each other session, in tokens."""

    closed: int = 0
    sessions: dict[str, int] = {}

    @property
    def committed(self) -> int:
        """What is used, or may still be."""
        return self.closed + sum(self.sessions.values())

    def allowance(self, session: str) -> int:
        """Return what ``session`` may use in its life."""
        return self.sessions.get(session, 0)

    @property
    def lost_sessions(self) -> int:
        """How many sessions ended without settling, as far as their router runs again."""
        return len(self.sessions) - len({router_of(session) for session in self.sessions})

    def part_of(self, session: str) -> float:
        """Return the part, 0 to 1, of the router of ``session`` in what all sessions may use."""
        router = router_of(session)
        own = sum(value for name, value in self.sessions.items() if router_of(name) == router)
        everyone = sum(self.sessions.values())
        return min(1.0, max(0.0, own / everyone)) if everyone > 0 else 0.0

    def most_for(self, session: str, limit: int) -> int:
        """Return the highest allowance that ``session`` can have within ``limit``."""
        return limit - (self.committed - self.allowance(session))


def session_name(router: str, life: str) -> str:
    """Return the name of one run, ``life``, of a router."""
    return f"{router}.{life}"


def router_of(session: str) -> str:
    """Return the router that a session is a run of."""
    return session.rpartition(".")[0]


def set_allowance(
    document: AllowanceDocument, session: str, allowance: int, limit: int
) -> AllowanceDocument:
    """Return the document with a session's allowance raised or lowered.

    Raises CONFLICT where a raise does not fit into ``limit``. A lower one always fits, also
    after an operator has cut the limit below what is committed.
    """
    before = document.allowance(session)
    if allowance > before and allowance > document.most_for(session, limit):
        raise AspengateError(ErrorKind.CONFLICT, "allowance above the account's limit")
    sessions = {**document.sessions, session: allowance}
    return _fold(msgspec.structs.replace(document, sessions=sessions))


def close_session(document: AllowanceDocument, session: str, used: int) -> AllowanceDocument:
    """Return the document with a session's tokens settled as ``used``; it uses none any more."""
    sessions = {name: value for name, value in document.sessions.items() if name != session}
    return AllowanceDocument(document.closed + used, sessions)


def encode_document(document: AllowanceDocument) -> bytes:
    """Return the bytes that stand in the store."""
    return msgspec.json.encode(document)


def decode_document(value: bytes) -> AllowanceDocument:
    """Return the document in a store value; raises INTERNAL for other bytes."""
    try:
        return msgspec.json.decode(value, type=AllowanceDocument)
    except msgspec.MsgspecError as error:
        raise AspengateError(ErrorKind.INTERNAL, str(error), where="allowances") from error


def _fold(document: AllowanceDocument) -> AllowanceDocument:
    """Count the oldest sessions as closed where there are many, with all they were allowed.

    One that still lives comes back with its next write, and is then counted twice, which
    refuses too early but never too late.
    """
    surplus = len(document.sessions) - _MOST_SESSIONS
    if surplus <= 0:
        return document
    oldest = list(document.sessions)[:surplus]
    closed = document.closed + sum(document.sessions[name] for name in oldest)
    kept = {name: value for name, value in document.sessions.items() if name not in oldest}
    return AllowanceDocument(closed, kept)
