"""What an account's document is to hold after the store has come back from an older copy.

The writes of the last seconds are gone then, while the sessions that they allowed tokens to may
have used them. Whoever knows more than the store writes it again, and nothing is granted anew
before. Documents of one history follow each other, so the newest one that a router has read stands
for all before it. Two that went different ways are joined so that nothing is counted less than in
either of them; too much may be counted, which the witnesses of dead sessions mend.
"""

from collections.abc import Mapping

import msgspec

from aspengate.allowances._document import AllowanceDocument
from aspengate.store import era_of, make_revision, number_of


def adopt_document(document: AllowanceDocument, revision: int, era: int) -> AllowanceDocument:
    """Return a document that was read at ``revision`` as one of the history ``era``.

    One that was written in an earlier history is the copy's: what others know of that history is
    compared with it later.
    """
    if document.era >= era:
        return document
    return msgspec.structs.replace(
        document,
        era=era,
        restored_from=make_revision(max(0, era - 1), number_of(revision)),
        restored_closed=document.closed,
    )


def restore_document(
    stored: AllowanceDocument,
    stored_revision: int,
    known: AllowanceDocument,
    known_revision: int,
    era: int,
) -> AllowanceDocument:
    """Return what the store is to hold in the history ``era`` where ``known`` is of an earlier one.

    ``stored`` is what it holds. Each comes with its revision.
    """
    is_copy = stored.era < era
    adopted = adopt_document(stored, stored_revision, era)
    is_comparable = era_of(known_revision) == era_of(adopted.restored_from)
    if is_comparable and known_revision <= adopted.restored_from:
        return adopted
    if is_copy and is_comparable:
        return msgspec.structs.replace(
            known, era=era, restored_from=known_revision, restored_closed=known.closed
        )
    return _joined(adopted, known, known_revision)


def restore_sessions(
    document: AllowanceDocument, used: Mapping[str, int], witness: str = ""
) -> AllowanceDocument:
    """Return the document with each session allowed at least what it may have used.

    ``used`` is that by session. ``witness`` is named as theirs where it is given.
    """
    missing = {
        session: amount
        for session, amount in used.items()
        if amount > document.allowance(session) and not document.has_ended(session)
    }
    if not missing:
        return document
    named = dict.fromkeys(missing, witness) if witness else {}
    return msgspec.structs.replace(
        document,
        sessions={**document.sessions, **missing},
        witnesses={**named, **document.witnesses},
    )


def _joined(
    stored: AllowanceDocument, known: AllowanceDocument, known_revision: int
) -> AllowanceDocument:
    """Return a document that counts no less than either of two."""
    sessions = dict(stored.sessions)
    for session, allowance in known.sessions.items():
        if not stored.has_ended(session):
            sessions[session] = max(allowance, sessions.get(session, 0))
    sessions = {name: value for name, value in sessions.items() if not known.has_ended(name)}
    witnesses = {**known.witnesses, **stored.witnesses}
    joined = msgspec.structs.replace(
        stored,
        sessions=sessions,
        witnesses={name: each for name, each in witnesses.items() if name in sessions},
        closed=stored.closed + max(0, known.closed - stored.restored_closed),
        ended={**known.ended, **stored.ended},
        restored_from=max(known_revision, stored.restored_from),
        restored_closed=max(stored.restored_closed, known.closed),
    )
    return joined.with_limit(known.limit, known.limit_as_of)
