"""The stored record of a request that is suspected of crashing replicas."""

from collections.abc import Collection

import msgspec
from msgspec.structs import replace

from aspengate.crashes._policy import CrashPolicy, Verdict
from aspengate.crashes._subjects import CrashSubject, RequestSubjects
from aspengate.store import decode_value

RECORD_PREFIX = "aspengate/crashes/"
# Limit the size of a record; each run is a replica's id and start time.
_MAX_CRASHED_RUNS = 8
_MAX_SEGMENT_CHARS = 128
_MAX_BYTES = 4_096


class CrashRecord(msgspec.Struct, frozen=True):
    """Holds the state of a suspect, stored under ``RECORD_PREFIX`` and its fingerprint.

    The suspect is a request, or the prompt segment with the id ``segment``, which may be cut.
    ``ends`` are the runs of replicas that it may have crashed. ``tries`` counts its
    trials, and ``ended`` those that crashed their replica. ``trying`` is the session of the router
    that is running a trial, and empty if there is none. No trial starts before ``next_try_ms``, in
    wall-clock milliseconds. ``together`` are the fingerprints of the other segments that the last
    trial's request had and that were not known to be harmless, so that its outcome does not tell
    which of them crashed the replica.
    """

    ends: tuple[str, ...] = ()
    tries: int = 0
    ended: int = 0
    trying: str = ""
    next_try_ms: int = 0
    segment: str = ""
    together: tuple[str, ...] = ()

    def begin_trial(
        self,
        subject: CrashSubject,
        together: Collection[str],
        session: str,
        crashed_runs: Collection[str],
        now_ms: int,
        policy: CrashPolicy,
    ) -> "CrashRecord":
        """Return the record with one more trial, which ``session`` starts now."""
        return replace(
            self,
            ends=_merge_runs(self.ends, crashed_runs),
            tries=self.tries + 1,
            trying=session,
            next_try_ms=now_ms + int(policy.trial_timeout_ms),
            segment=subject.segment[:_MAX_SEGMENT_CHARS],
            together=tuple(sorted(together)),
        )

    def cancel_trial(self, now_ms: int, policy: CrashPolicy) -> "CrashRecord":
        """Return the record after a trial whose request was not sent."""
        until_ms = now_ms + int(policy.short_pause_ms)
        return replace(self, tries=max(0, self.tries - 1), trying="", next_try_ms=until_ms)

    def end_trial(
        self, crashed_runs: Collection[str], now_ms: int, policy: CrashPolicy, *, has_ended: bool
    ) -> "CrashRecord":
        """Return the record after a trial that crashed its replica or was inconclusive."""
        ended = self.ended + has_ended
        pause_ms = policy.pause_after(self.tries, ended, has_ended=has_ended)
        return replace(
            self,
            ends=_merge_runs(self.ends, crashed_runs),
            ended=ended,
            trying="",
            next_try_ms=now_ms + int(pause_ms),
        )

    def end_lost_trial(self, policy: CrashPolicy) -> "CrashRecord":
        """Return the record after a trial whose router reports no outcome: it is inconclusive."""
        begun_ms = self.next_try_ms - int(policy.trial_timeout_ms)
        pause_ms = policy.pause_after(self.tries, self.ended, has_ended=False)
        return replace(self, trying="", next_try_ms=begun_ms + int(pause_ms))


def _merge_runs(one: Collection[str], other: Collection[str]) -> tuple[str, ...]:
    return tuple(sorted({*one, *other}))[:_MAX_CRASHED_RUNS]


def decide_verdict(
    subject: CrashSubject,
    request: RequestSubjects,
    crashed_runs: Collection[str],
    record: CrashRecord | None,
    now_ms: int,
    policy: CrashPolicy,
) -> Verdict:
    """Return whether and how a request with a subject may be sent.

    ``crashed_runs`` are the runs of replicas that the subject may have crashed, as this router has
    observed or received from others; ``record`` is its stored record, if any; ``now_ms`` is
    wall-clock time.
    """
    if record is None:
        allowed = policy.suspect_segment_crashes if subject.is_segment else policy.suspect_crashes
        return Verdict.SEND if len(crashed_runs) < allowed else Verdict.TRY
    if record.trying and record.next_try_ms <= now_ms:
        record = record.end_lost_trial(policy)
    if record.ended >= policy.max_crashed_trials:
        return Verdict.REFUSE
    pause_ms = record.next_try_ms - now_ms
    if pause_ms <= 0:
        may_try = _may_try_after_pause(subject, request, record, policy)
        return Verdict.TRY if may_try else Verdict.REFUSE
    if record.trying or pause_ms <= policy.short_pause_ms:
        return Verdict.WAIT
    may_try = _may_try_within_pause(subject, request, record, policy)
    return Verdict.TRY if may_try else Verdict.REFUSE


def _may_try_after_pause(
    subject: CrashSubject, request: RequestSubjects, record: CrashRecord, policy: CrashPolicy
) -> bool:
    """Return whether a request may be the next trial, which is the last one if it crashes too.

    The last one is reserved for a request without other segments that were on crashed replicas.
    """
    is_last = record.ended >= policy.max_crashed_trials - 1
    return not (is_last and request.beside(subject) & request.crashed)


def _may_try_within_pause(
    subject: CrashSubject, request: RequestSubjects, record: CrashRecord, policy: CrashPolicy
) -> bool:
    """Return whether a request tells apart the segments that were on the last trial.

    The last one of the quick trials is reserved for a request in which the segment is the only one
    not known to be harmless.
    """
    if request.present.issuperset(record.together):
        return False
    trials = policy.quick_trials - bool(request.beside(subject))
    return record.tries < trials


def encode_record(record: CrashRecord) -> bytes:
    """Return a record in its stored form."""
    return msgspec.json.encode(record)


def decode_record(value: bytes, key: str) -> CrashRecord:
    """Return the decoded record; raises BAD_REQUEST if ``value`` is not a valid record."""
    return decode_value(value, CrashRecord, key, _MAX_BYTES)
