"""The stored record of a request that is suspected of crashing replicas."""

from collections.abc import Collection

import msgspec

from aspengate.crashes._policy import CrashPolicy, Verdict
from aspengate.store import decode_value

RECORD_PREFIX = "aspengate/crashes/"
# Limits the size of a record; each entry is a replica's id and start time.
_MAX_CRASHED_RUNS = 8
_MAX_BYTES = 4_096


class CrashRecord(msgspec.Struct, frozen=True):
    """Holds the state of a suspect request, stored under ``RECORD_PREFIX`` and its fingerprint.

    ``ends`` are the runs of replicas that the request may have crashed. ``tries`` counts its
    trials, and ``ended`` those that crashed their replica. ``trying`` is the session of the router
    that is running a trial, and empty if there is none. No trial starts before ``next_try_ms``, in
    wall-clock milliseconds.
    """

    ends: tuple[str, ...] = ()
    tries: int = 0
    ended: int = 0
    trying: str = ""
    next_try_ms: int = 0

    def begin_trial(
        self, session: str, crashed_runs: Collection[str], now_ms: int, policy: CrashPolicy
    ) -> "CrashRecord":
        """Return the record with one more trial, which ``session`` starts now."""
        until_ms = now_ms + int(policy.trial_timeout_ms)
        return CrashRecord(
            _merge_runs(self.ends, crashed_runs), self.tries + 1, self.ended, session, until_ms
        )

    def cancel_trial(self, now_ms: int, policy: CrashPolicy) -> "CrashRecord":
        """Return the record after a trial whose request was not sent."""
        until_ms = now_ms + int(policy.short_pause_ms)
        return CrashRecord(self.ends, max(0, self.tries - 1), self.ended, "", until_ms)

    def end_trial(
        self, crashed_runs: Collection[str], now_ms: int, policy: CrashPolicy, *, has_ended: bool
    ) -> "CrashRecord":
        """Return the record after a trial that crashed its replica or was inconclusive."""
        ended = self.ended + has_ended
        pause_ms = policy.pause_after(self.tries, ended, has_ended=has_ended)
        return CrashRecord(
            _merge_runs(self.ends, crashed_runs), self.tries, ended, "", now_ms + int(pause_ms)
        )


def _merge_runs(one: Collection[str], other: Collection[str]) -> tuple[str, ...]:
    return tuple(sorted({*one, *other}))[:_MAX_CRASHED_RUNS]


def decide_verdict(
    crashed_runs: Collection[str], record: CrashRecord | None, now_ms: int, policy: CrashPolicy
) -> Verdict:
    """Return whether and how a request may be sent.

    ``crashed_runs`` are the runs of replicas that it may have crashed, as this router has observed
    or received from others; ``record`` is its stored record, if any; ``now_ms`` is wall-clock time.
    """
    if record is None:
        return Verdict.SEND if len(crashed_runs) < policy.suspect_crashes else Verdict.TRY
    if record.ended >= policy.max_crashed_trials:
        return Verdict.REFUSE
    pause_ms = record.next_try_ms - now_ms
    if pause_ms <= 0:
        return Verdict.TRY
    return Verdict.WAIT if record.trying or pause_ms <= policy.short_pause_ms else Verdict.REFUSE


def encode_record(record: CrashRecord) -> bytes:
    """Return a record in its stored form."""
    return msgspec.json.encode(record)


def decode_record(value: bytes, key: str) -> CrashRecord:
    """Return the decoded record; raises BAD_REQUEST if ``value`` is not a valid record."""
    return decode_value(value, CrashRecord, key, _MAX_BYTES)
