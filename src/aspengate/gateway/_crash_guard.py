"""Stops requests from crashing one replica after another, whichever router receives them."""

import threading
from collections.abc import Callable, Collection

from aspengate.clock import Clock
from aspengate.connections import ListenerProbe, ListenerState
from aspengate.crashes import (
    AnsweredSegments,
    CrashPolicy,
    CrashRecord,
    CrashSubject,
    RequestSubjects,
    SuspectTracker,
    Verdict,
    decide_verdict,
    is_segment_fingerprint,
)
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._crash_records import CrashRecords, RecordChange
from aspengate.gateway._crash_trial import CrashTrial
from aspengate.peers import CrashNotice, LostRun
from aspengate.store import KeyValueStore, MirrorState
from aspengate.telemetry import Counters, log_change

# Time limit, in ms, of the two connections that show whether a replica has terminated. A port
# without a listener refuses within a round trip of a few ms; only an unreachable host takes longer.
_PROBE_TIMEOUT_MS = 200.0
# Crashes that are sent to a router that has just become reachable: a datagram of about 6 KB.
_MAX_RESENT_CRASHES = 100
_MAX_UNRECORDED_TRIALS = 1_000
# Limits the length of an error message.
_MAX_SEGMENT_CHARS = 64


class CrashGuard:
    """Decides for each attempt whether its request may be sent, and records the outcome.

    A request is refused for the sake of its whole content or of a shared segment of its prompt.
    ``broadcast`` sends a notice to all other routers. ``on_ended`` is called with each run of a
    replica that has terminated. ``reaches_store`` returns whether the store responds to this
    router. ``has_ended`` replaces the probe that returns whether the process at an address has
    terminated. ``is_first`` returns whether this router is the one that may run a trial of a
    subject while the store is unavailable, and ``rewrites_lost`` whether it writes a record again
    that the store has lost.
    ``is_superseded`` returns whether the router of a session has started again since.
    ``docs/design/crashes.md`` explains why the limit holds across all routers.
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        *,
        broadcast: Callable[[CrashNotice], None],
        on_ended: Callable[[str], None],
        reaches_store: Callable[[], bool],
        is_first: Callable[[str], bool],
        has_ended: Callable[[str], bool] | None = None,
        rewrites_lost: Callable[[str], bool] = lambda _: True,
        is_superseded: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self.policy = CrashPolicy()
        self.suspects = SuspectTracker(clock)
        self.answered_segments = AnsweredSegments(clock, self.policy.answered_valid_ms)
        self.records = CrashRecords(
            store,
            clock,
            counters,
            self.policy,
            self.suspects.crashed_runs,
            lambda run: self.suspects.count_ended_near(run, self.policy.mass_crash_window_ms),
            self._on_record_gone,
            rewrites_lost,
        )
        self._clock = clock
        self._counters = counters
        self._broadcast = broadcast
        self._on_ended = on_ended
        self._reaches_store = reaches_store
        self._probe = ListenerProbe(clock)
        self._has_ended = has_ended or self._refuses_connections
        self._is_first = is_first
        self._is_superseded = is_superseded
        # Fingerprints of trials that were started without a record.
        self._unrecorded_trials: set[str] = set()
        self._lock = threading.Lock()

    def start(self, session: str) -> None:
        """Start to write records under the name of this router's session."""
        self.records.session = session
        self.records.start()

    def close(self) -> None:
        """Stop writing records."""
        self.records.close()

    def load_records(self, state: MirrorState) -> None:
        """Load the records that the store holds."""
        self.records.load(state)

    def admit(
        self, subjects: tuple[CrashSubject, ...], trial: CrashTrial | None
    ) -> CrashTrial | None:
        """Return the trial in which a request may be sent, or None if it needs no trial.

        ``trial`` is that of an earlier attempt of the request, if it had one. Raises SUSPECTED
        or QUARANTINED if the request may not be sent.
        """
        suspects = self.check(subjects, trial)
        if suspects:
            return self._begin_trial(suspects, self._describe(subjects))
        return trial if trial is not None and not trial.sent else None

    def check(
        self, subjects: tuple[CrashSubject, ...], trial: CrashTrial | None
    ) -> tuple[CrashSubject, ...]:
        """Return the subjects of a request that need a trial; raises as ``admit``."""
        if trial is not None and not trial.sent:
            return ()
        request = self._describe(subjects)
        verdicts = {subject: self._verdict(subject, request) for subject in subjects}
        for refused in (Verdict.REFUSE, Verdict.WAIT):
            for subject, verdict in verdicts.items():
                if verdict is refused:
                    raise self._refusal(subject, verdict)
        suspects = tuple(each for each in subjects if verdicts[each] is Verdict.TRY)
        if suspects and trial is not None:
            raise self._refusal(suspects[0], Verdict.WAIT)
        return suspects

    def _describe(self, subjects: tuple[CrashSubject, ...]) -> RequestSubjects:
        """Return what this router knows of the subjects of a request."""
        fingerprints = frozenset(subject.fingerprint for subject in subjects)
        unanswered = frozenset(
            subject.fingerprint
            for subject in subjects
            if subject.is_segment and not self.answered_segments.is_recent(subject.fingerprint)
        )
        crashed = frozenset(each for each in unanswered if self.suspects.crashed_runs(each))
        return RequestSubjects(fingerprints, unanswered, crashed)

    def _verdict(self, subject: CrashSubject, request: RequestSubjects) -> Verdict:
        """Return the verdict on a request with a subject.

        A recent complete answer clears a segment. One trial in the whole fleet, while all other
        requests wait, would hold up each request of a route whose first segment is suspect.
        """
        if subject.is_segment and subject.fingerprint not in request.unanswered:
            return Verdict.SEND
        return decide_verdict(
            subject,
            request,
            self.suspects.crashed_runs(subject.fingerprint),
            self._current_record(subject.fingerprint),
            self._clock.now_ms(),
            self.policy,
        )

    def _current_record(self, fingerprint: str) -> CrashRecord | None:
        """Return a subject's record; a trial of a router that has started again counts as over."""
        record = self.records.get(fingerprint)
        if record is not None and record.trying and self._is_superseded(record.trying):
            return record.end_lost_trial(self.policy)
        return record

    def end_trial(self, trial: CrashTrial) -> None:
        """Record the outcome of a trial for the subjects that it has not cleared."""
        if not trial.recorded:
            return
        for fingerprint in trial.remaining:
            if trial.ended_run:
                self.records.request_crashed_trial(fingerprint, trial.ended_run)
            else:
                self.records.request_change(
                    fingerprint,
                    RecordChange.END_TRY if trial.sent else RecordChange.TAKE_BACK_TRY,
                )

    def current_run(self, replica: str) -> str:
        """Return the name of a replica's current run, under which its outcomes are recorded."""
        return self.suspects.current_run(replica)

    def has_ended(self, run: str) -> bool:
        """Return whether a run of a replica has terminated, as this or another router observed."""
        return self.suspects.has_ended(run)

    def record_lost(
        self,
        subjects: tuple[CrashSubject, ...],
        run: str,
        address: str,
        trial: CrashTrial | None,
    ) -> None:
        """Record that a replica lost a request, and check whether it has terminated."""
        fingerprints = [subject.fingerprint for subject in subjects]
        for fingerprint in fingerprints:
            self.suspects.record_lost(fingerprint, run)
        has_ended = self._has_ended(address)
        if has_ended:
            self._counters.count("gateway.replica_ended")
            self._log_ended(run, fingerprints)
            self._record_ended(run)
            if trial is not None:
                trial.ended_run = run
        lost = [LostRun(fingerprint, run) for fingerprint in fingerprints]
        self._broadcast(CrashNotice(lost, [run] if has_ended else []))

    def _refuses_connections(self, address: str) -> bool:
        """Return whether nothing listens at an address; False if it is unreachable."""
        return self._probe.probe(address, _PROBE_TIMEOUT_MS) is ListenerState.REFUSED

    def record_connection_refused(self, run: str) -> None:
        """Record that a replica's address refused a connection."""
        if self.suspects.has_lost_requests(run) and self._record_ended(run):
            self._log_ended(run, self.suspects.lost_fingerprints(run))
            self._broadcast(CrashNotice(ended=[run]))

    def record_answered(
        self, subjects: tuple[CrashSubject, ...], trial: CrashTrial | None, *, has_output: bool
    ) -> None:
        """Record that a request was answered completely, so that it is no longer suspect.

        The answer clears its segments only if a replica has generated output (``has_output``).
        """
        for subject in subjects:
            if subject.is_segment and not has_output:
                continue
            if subject.is_segment:
                self.answered_segments.record(subject.fingerprint)
            if trial is not None:
                trial.cleared.add(subject.fingerprint)
            self._clear(subject)

    def _clear(self, subject: CrashSubject) -> None:
        fingerprint = subject.fingerprint
        if self.records.get(fingerprint) is not None:
            self.records.request_change(fingerprint, RecordChange.REMOVE)
        if not self.suspects.is_suspect(fingerprint):
            return
        if self.suspects.crashed_runs(fingerprint):
            log_change("crash.cleared", **subject.log_fields())
            self._broadcast(CrashNotice(cleared=[fingerprint]))
        self.suspects.clear(fingerprint)

    def handle_notice(self, notice: CrashNotice) -> None:
        """Record the crashes and cleared requests that another router reports."""
        for each in notice.lost:
            self.suspects.record_lost(each.content, each.run)
        for run in notice.ended:
            self._record_ended(run)
        for fingerprint in notice.cleared:
            self.suspects.clear(fingerprint)
            if is_segment_fingerprint(fingerprint):
                self.answered_segments.record(fingerprint)

    def recent_crashes(self) -> CrashNotice | None:
        """Return a notice of recent crashes for a router that may have missed them, or None."""
        lost, ended = self.suspects.recent_crashes(_MAX_RESENT_CRASHES)
        if not lost:
            return None
        return CrashNotice([LostRun(fingerprint, run) for fingerprint, run in lost], ended)

    def _record_ended(self, run: str) -> bool:
        """Record that a run has terminated; return whether this is new."""
        is_new = self.suspects.record_ended(run)
        if is_new:
            self._on_ended(run)
        return is_new

    def _begin_trial(
        self, suspects: tuple[CrashSubject, ...], request: RequestSubjects
    ) -> CrashTrial:
        try:
            may_start = self.records.begin_trial(suspects, request)
            recorded = True
        except AspengateError as error:
            for subject in suspects:
                log_change("crash.try_not_recorded", **subject.log_fields(), error=str(error))
            may_start = self._may_try_unrecorded(suspects)
            recorded = False
        if not may_start:
            raise self._refusal(suspects[0], Verdict.WAIT)
        for subject in suspects:
            log_change(
                "crash.tried",
                **subject.log_fields(),
                ends=sorted(self.suspects.crashed_runs(subject.fingerprint)),
                recorded=recorded,
            )
        self._counters.count("crashes.tried")
        return CrashTrial(suspects, recorded=recorded)

    def _may_try_unrecorded(self, suspects: tuple[CrashSubject, ...]) -> bool:
        """Return whether a trial may start without a record: once, if the store is unavailable.

        Otherwise a popular request that was on two crashed replicas by chance would be refused
        until the store is available again.
        """
        fingerprints = {subject.fingerprint for subject in suspects}
        if self._reaches_store() or not self._is_first(suspects[0].fingerprint):
            return False
        with self._lock:
            if (
                fingerprints & self._unrecorded_trials
                or len(self._unrecorded_trials) >= _MAX_UNRECORDED_TRIALS
            ):
                return False
            self._unrecorded_trials |= fingerprints
            return True

    def _refusal(self, subject: CrashSubject, verdict: Verdict) -> AspengateError:
        record = self.records.get(subject.fingerprint)
        crashed_runs = self.suspects.crashed_runs(subject.fingerprint)
        runs = crashed_runs.union(record.ends if record else ())
        name = f"segment {subject.segment[:_MAX_SEGMENT_CHARS]}" if subject.is_segment else "it"
        if verdict is Verdict.REFUSE:
            self._counters.count("crashes.refused")
            message = f"{len(runs)} replicas ended under {name}: {', '.join(sorted(runs))}"
            return AspengateError(ErrorKind.QUARANTINED, message, where=subject.fingerprint)
        self._counters.count("crashes.waiting")
        message = f"it is tried alone, since {len(runs)} replicas ended under {name}"
        return AspengateError(ErrorKind.SUSPECTED, message, where=subject.fingerprint)

    def _log_ended(self, run: str, fingerprints: Collection[str]) -> None:
        """Log the end of a run for each request that it lost; their lines name the segments."""
        for fingerprint in fingerprints:
            if not is_segment_fingerprint(fingerprint):
                log_change("replica.ended", replica=run, content=fingerprint)

    def _on_record_gone(self, fingerprint: str) -> None:
        """Clear a subject whose record was removed."""
        log_change("crash.forgotten", content=fingerprint)
        self.suspects.clear(fingerprint)
        with self._lock:
            self._unrecorded_trials.discard(fingerprint)
