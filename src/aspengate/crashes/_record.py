"""What the store keeps of a request under which replicas have ended."""

from collections.abc import Collection

import msgspec

from aspengate.crashes._policy import CrashPolicy, Verdict
from aspengate.errors import AspengateError, ErrorKind

RECORD_PREFIX = "aspengate/crashes/"
# An end is a replica's id and start, and a record holds some of them.
_MOST_ENDS = 8
_MOST_BYTES = 4_096


class CrashRecord(msgspec.Struct, frozen=True):
    """A suspect request, under the key ``RECORD_PREFIX`` and its content's id.

    ``ends`` are the runs of replicas that ended under it. ``tries`` of it were made alone, the
    last one by the session ``trying``, empty once that is over. Nobody tries it before
    ``next_try_ms``, in wall-clock milliseconds.
    """

    ends: tuple[str, ...]
    tries: int = 0
    trying: str = ""
    next_try_ms: int = 0

    def begin_try(
        self, session: str, ends: Collection[str], now_ms: int, policy: CrashPolicy
    ) -> "CrashRecord":
        """Return the record with one more try, which begins now."""
        return CrashRecord(
            _merged(self.ends, ends), self.tries + 1, session, now_ms + int(policy.try_ms)
        )

    def end_try(self, *, sent: bool) -> "CrashRecord":
        """Return the record after a try that showed nothing; one not sent was none."""
        return CrashRecord(self.ends, self.tries - (not sent), "", 0)

    def refuse(self, ends: Collection[str], now_ms: int, policy: CrashPolicy) -> "CrashRecord":
        """Return the record after more replicas have ended than the request may end."""
        merged = _merged(self.ends, ends)
        if len(merged) == len(self.ends) and not self.trying:
            return self
        wait_ms = policy.wait_ms * policy.wait_growth ** max(0, self.tries - 1)
        return CrashRecord(merged, self.tries, "", now_ms + int(wait_ms))


def _merged(one: Collection[str], other: Collection[str]) -> tuple[str, ...]:
    return tuple(sorted({*one, *other}))[:_MOST_ENDS]


def judge(
    ends: Collection[str], record: CrashRecord | None, now_ms: int, policy: CrashPolicy
) -> Verdict:
    """Return what may be done with a request that ``ends`` and its record speak of.

    ``ends`` are what this router has seen and heard; ``now_ms`` is wall-clock time.
    """
    recorded = record.ends if record else ()
    known = {*ends, *recorded}
    if len(known) < policy.suspect_ends:
        return Verdict.SEND
    # Ends that are not in the record yet are newer than its permission to try.
    if len(known) >= policy.refused_ends > len(recorded):
        return Verdict.REFUSE
    if record is None:
        return Verdict.TRY
    if record.tries >= policy.most_tries and not record.trying:
        return Verdict.REFUSE
    if now_ms < record.next_try_ms:
        return Verdict.WAIT if record.trying else Verdict.REFUSE
    return Verdict.TRY if record.tries < policy.most_tries else Verdict.REFUSE


def encode_record(record: CrashRecord) -> bytes:
    """Return a record as the store keeps it."""
    return msgspec.json.encode(record)


def decode_record(value: bytes, key: str) -> CrashRecord:
    """Return the record that a value holds; raises BAD_REQUEST for other bytes."""
    if len(value) > _MOST_BYTES:
        raise AspengateError(ErrorKind.BAD_REQUEST, f"has {len(value)} bytes", where=key)
    try:
        return msgspec.json.decode(value, type=CrashRecord)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where=key) from error
