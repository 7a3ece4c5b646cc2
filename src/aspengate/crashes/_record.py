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
    that is running a trial, and empty if there is none. Times are wall-clock milliseconds.

    While a trial runs, ``next_try_ms`` is when it expires. Otherwise it is the end of the pause,
    before which only a request that tells apart the segments of the last crash gets a trial.
    ``together`` are the fingerprints of the other segments that the request of the running trial,
    or else of the last one that crashed its replica, had and that were not known to be harmless, so
    that its outcome does not tell which of them crashed the replica.

    ``prior_next_try_ms`` and ``prior_together`` hold these two as they were before the running
    trial. Unless it crashes its replica, it has shown nothing, and they are in force again: a trial
    that was not sent used to end a pause of ten minutes after a second. Then no request gets a
    trial before ``wait_until_ms``, within the pause either. Earlier builds neither write nor keep
    the three fields; without them, no pause precedes the running trial.
    """

    ends: tuple[str, ...] = ()
    tries: int = 0
    ended: int = 0
    trying: str = ""
    next_try_ms: int = 0
    segment: str = ""
    together: tuple[str, ...] = ()
    prior_next_try_ms: int = 0
    prior_together: tuple[str, ...] = ()
    wait_until_ms: int = 0

    def begin_trial(
        self,
        subject: CrashSubject,
        together: Collection[str],
        session: str,
        crashed_runs: Collection[str],
        now_ms: int,
        policy: CrashPolicy,
    ) -> "CrashRecord":
        """Return the record with one more trial, which ``session`` starts now.

        A trial that is still recorded as running has no outcome, or this one could not start.
        """
        before = self.end_lost_trial(policy) if self.trying else self
        return replace(
            before,
            ends=_merge_runs(self.ends, crashed_runs),
            tries=self.tries + 1,
            trying=session,
            next_try_ms=now_ms + int(policy.trial_timeout_ms),
            segment=subject.segment[:_MAX_SEGMENT_CHARS],
            together=tuple(sorted(together)),
            prior_next_try_ms=before.next_try_ms,
            prior_together=before.together,
            wait_until_ms=0,
        )

    def cancel_trial(self, now_ms: int, policy: CrashPolicy) -> "CrashRecord":
        """Return the record after a trial whose request was not sent."""
        record = self.resume_pause(now_ms + int(policy.short_pause_ms))
        return replace(record, tries=max(0, self.tries - 1))

    def end_trial(
        self, crashed_runs: Collection[str], now_ms: int, policy: CrashPolicy, *, has_ended: bool
    ) -> "CrashRecord":
        """Return the record after a trial that crashed its replica or was inconclusive."""
        ended = self.ended + has_ended
        until_ms = now_ms + int(policy.pause_after(self.tries, ended, has_ended=has_ended))
        record = replace(self, ends=_merge_runs(self.ends, crashed_runs), ended=ended)
        if not has_ended:
            return record.resume_pause(until_ms)
        return replace(
            record,
            trying="",
            next_try_ms=until_ms,
            prior_next_try_ms=0,
            prior_together=(),
        )

    def end_lost_trial(self, policy: CrashPolicy) -> "CrashRecord":
        """Return the record after a trial whose router reports no outcome: it is inconclusive."""
        begun_ms = self.next_try_ms - int(policy.trial_timeout_ms)
        pause_ms = policy.pause_after(self.tries, self.ended, has_ended=False)
        return self.resume_pause(begun_ms + int(pause_ms))

    def resume_pause(self, until_ms: int) -> "CrashRecord":
        """Return the record after a trial that crashed no replica, with a pause until a time.

        The pause before the trial continues if it ends later.
        """
        return replace(
            self,
            trying="",
            next_try_ms=max(self.prior_next_try_ms, until_ms),
            together=self.prior_together,
            prior_next_try_ms=0,
            prior_together=(),
            wait_until_ms=until_ms,
        )


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
    if not _may_try_within_pause(subject, request, record, policy):
        return Verdict.REFUSE
    return Verdict.WAIT if now_ms < record.wait_until_ms else Verdict.TRY


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
