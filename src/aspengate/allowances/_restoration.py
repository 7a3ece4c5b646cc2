"""Restores an account's document after the store was restored from an older copy.

Such a copy lacks the writes of the last seconds, while the sessions that these writes granted
tokens may have used them. Every router that has newer data writes it again, and no tokens are
granted before that. Documents of one history of the store succeed each other, so that the newest
one that a router has read includes all earlier ones. Two documents that diverged are merged so that
no count is lower than in either of them. The result may count too much, which is corrected with
the ceilings that witnesses hold for dead sessions.
"""

from collections.abc import Mapping

import msgspec

from aspengate.allowances._document import AllowanceDocument
from aspengate.store import era_of, make_revision, number_of


def adopt_document(document: AllowanceDocument, revision: int, era: int) -> AllowanceDocument:
    """Return a document that was read at ``revision`` as a document of the history ``era``.

    A document of an earlier history comes from the copy. It records its revision and its closed
    tokens, with which documents that other routers remember of that history are compared later.
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
    """Return the document to write in the history ``era``, given ``known`` of an earlier history.

    ``stored`` is the document that the store contains. The revisions are those of the documents.
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
    return _merged(adopted, known, known_revision)


def restore_sessions(
    document: AllowanceDocument, used: Mapping[str, int], witness: str = ""
) -> AllowanceDocument:
    """Return the document with the allowance of each session at least the tokens it may have used.

    ``used`` maps sessions to these tokens. ``witness``, if given, becomes the witness of each
    session that is changed and has none.
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


def _merged(
    stored: AllowanceDocument, known: AllowanceDocument, known_revision: int
) -> AllowanceDocument:
    """Return a document in which no count is lower than in either of two documents."""
    sessions = dict(stored.sessions)
    for session, allowance in known.sessions.items():
        if not stored.has_ended(session):
            sessions[session] = max(allowance, sessions.get(session, 0))
    sessions = {name: value for name, value in sessions.items() if not known.has_ended(name)}
    witnesses = {**known.witnesses, **stored.witnesses}
    merged = msgspec.structs.replace(
        stored,
        sessions=sessions,
        witnesses={name: each for name, each in witnesses.items() if name in sessions},
        closed=stored.closed + max(0, known.closed - stored.restored_closed),
        ended={**known.ended, **stored.ended},
        restored_from=max(known_revision, stored.restored_from),
        restored_closed=max(stored.restored_closed, known.closed),
    )
    return merged.with_limit(known.limit, known.limit_as_of)
