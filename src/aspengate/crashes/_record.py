"""What the store keeps of a request under which replicas have ended."""

from collections.abc import Collection

import msgspec

from aspengate.crashes._policy import CrashPolicy, Verdict
from aspengate.store import decode_value

RECORD_PREFIX = "aspengate/crashes/"
# An end is a replica's id and start, and a record holds some of them.
_MOST_ENDS = 8
_MOST_BYTES = 4_096


class CrashRecord(msgspec.Struct, frozen=True):
    """A suspect request, under the key ``RECORD_PREFIX`` and its content's id.

    ``ends`` are the runs of replicas that ended under it. ``tries`` of it were made alone, the
    last one by the session ``trying``, empty once that is over; ``ended`` of them ended their
    replica. Nobody tries it before ``next_try_ms``, in wall-clock milliseconds.
    """

    ends: tuple[str, ...] = ()
    tries: int = 0
    ended: int = 0
    trying: str = ""
    next_try_ms: int = 0

    def begin_trial(
        self, session: str, ends: Collection[str], now_ms: int, policy: CrashPolicy
    ) -> "CrashRecord":
        """Return the record with one more try, which begins now."""
        until_ms = now_ms + int(policy.trial_timeout_ms)
        return CrashRecord(_merged(self.ends, ends), self.tries + 1, self.ended, session, until_ms)

    def cancel_trial(self, now_ms: int, policy: CrashPolicy) -> "CrashRecord":
        """Return the record after a try that was not sent."""
        until_ms = now_ms + int(policy.short_pause_ms)
        return CrashRecord(self.ends, max(0, self.tries - 1), self.ended, "", until_ms)

    def end_trial(
        self, ends: Collection[str], now_ms: int, policy: CrashPolicy, *, has_ended: bool
    ) -> "CrashRecord":
        """Return the record after a try that showed nothing, or that ended its replica."""
        ended = self.ended + has_ended
        pause_ms = policy.pause_after(self.tries, ended, has_ended=has_ended)
        return CrashRecord(_merged(self.ends, ends), self.tries, ended, "", now_ms + int(pause_ms))


def _merged(one: Collection[str], other: Collection[str]) -> tuple[str, ...]:
    return tuple(sorted({*one, *other}))[:_MOST_ENDS]


def decide_verdict(
    ends: Collection[str], record: CrashRecord | None, now_ms: int, policy: CrashPolicy
) -> Verdict:
    """Return what may be done with a request that ``ends`` and its record speak of.

    ``ends`` are what this router has seen and heard; ``now_ms`` is wall-clock time.
    """
    if record is None:
        return Verdict.SEND if len(ends) < policy.suspect_crashes else Verdict.TRY
    if record.ended >= policy.max_crashed_trials:
        return Verdict.REFUSE
    pause_ms = record.next_try_ms - now_ms
    if pause_ms <= 0:
        return Verdict.TRY
    return Verdict.WAIT if record.trying or pause_ms <= policy.short_pause_ms else Verdict.REFUSE


def encode_record(record: CrashRecord) -> bytes:
    """Return a record as the store keeps it."""
    return msgspec.json.encode(record)


def decode_record(value: bytes, key: str) -> CrashRecord:
    """Return the record that a value holds; raises BAD_REQUEST for other bytes."""
    return decode_value(value, CrashRecord, key, _MOST_BYTES)
