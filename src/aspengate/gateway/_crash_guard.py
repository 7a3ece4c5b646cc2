"""Stops a request from crashing one replica after another, whichever router receives it."""

import threading
from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.connections import refuses_connections
from aspengate.crashes import CrashPolicy, SuspectTracker, Verdict, decide_verdict
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._crash_records import CrashRecords, RecordChange
from aspengate.peers import CrashNotice, LostRun
from aspengate.store import KeyValueStore, MirrorState
from aspengate.telemetry import Counters, log_change

# Time limit of the connection attempt, in ms, that shows whether a replica has terminated. A port
# without a listener refuses within a round trip of a few ms; only an unreachable host takes longer.
_PROBE_TIMEOUT_MS = 100.0
# Crashes that are sent to a router that has just become reachable: a datagram of about 6 KB.
_MAX_RESENT_CRASHES = 100
_MAX_UNRECORDED_TRIALS = 1_000


class CrashTrial:
    """Permission to send a suspect request once, to one replica.

    ``recorded`` is whether the trial is recorded in the store, and ``sent`` whether the request
    was sent to a replica. ``ended_run`` is the replica's run if that terminated, otherwise empty.
    """

    def __init__(self, fingerprint: str, *, recorded: bool) -> None:
        self.fingerprint = fingerprint
        self.recorded = recorded
        self.sent = False
        self.ended_run = ""


class CrashGuard:
    """Decides for each attempt whether its request may be sent, and records the outcome.

    ``broadcast`` sends a notice to all other routers. ``on_ended`` is called with each run of a
    replica that has terminated. ``reaches_store`` returns whether the store responds to this
    router, and ``has_ended`` whether the process at an address has terminated. ``is_first``
    returns whether this router is the one that may run a trial of a request while the store is
    unavailable, and ``rewrites_lost`` whether it writes a record again that the store has lost.
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
        has_ended: Callable[[str], bool] = lambda each: refuses_connections(
            each, _PROBE_TIMEOUT_MS
        ),
        rewrites_lost: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.policy = CrashPolicy()
        self.suspects = SuspectTracker(clock)
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
        self._has_ended = has_ended
        self._is_first = is_first
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

    def admit(self, fingerprint: str, trial: CrashTrial | None) -> CrashTrial | None:
        """Return the trial in which a request may be sent, or None if it needs no trial.

        ``trial`` is that of an earlier attempt of the request, if it had one. Raises SUSPECTED
        or QUARANTINED if the request may not be sent.
        """
        if self.check(fingerprint, trial) is Verdict.TRY and trial is None:
            return self._begin_trial(fingerprint)
        return trial if trial is not None and not trial.sent else None

    def check(self, fingerprint: str, trial: CrashTrial | None) -> Verdict:
        """Return whether a request may be sent freely or needs a trial; raises as ``admit``."""
        if trial is not None and not trial.sent:
            return Verdict.SEND
        crashed_runs = self.suspects.crashed_runs(fingerprint)
        verdict = decide_verdict(
            crashed_runs, self.records.get(fingerprint), self._clock.now_ms(), self.policy
        )
        if verdict is Verdict.SEND or (verdict is Verdict.TRY and trial is None):
            return verdict
        raise self._refusal(fingerprint, verdict)

    def end_trial(self, trial: CrashTrial, *, answered: bool) -> None:
        """Record the outcome of a trial.

        A complete response is also recorded separately, with ``record_answered``.
        """
        if answered or not trial.recorded:
            return
        if trial.ended_run:
            self.records.request_crashed_trial(trial.fingerprint, trial.ended_run)
        else:
            self.records.request_change(
                trial.fingerprint,
                RecordChange.END_TRY if trial.sent else RecordChange.TAKE_BACK_TRY,
            )

    def current_run(self, replica: str) -> str:
        """Return the name of a replica's current run, under which its outcomes are recorded."""
        return self.suspects.current_run(replica)

    def record_lost(
        self, fingerprint: str, run: str, address: str, trial: CrashTrial | None
    ) -> None:
        """Record that a replica lost a request, and check whether it has terminated."""
        self.suspects.record_lost(fingerprint, run)
        has_ended = self._has_ended(address)
        if has_ended:
            self._counters.count("gateway.replica_ended")
            log_change("replica.ended", replica=run, content=fingerprint)
            self._record_ended(run)
            if trial is not None:
                trial.ended_run = run
        self._broadcast(CrashNotice([LostRun(fingerprint, run)], [run] if has_ended else []))

    def record_connection_refused(self, run: str) -> None:
        """Record that a replica's address refused a connection."""
        if self.suspects.has_lost_requests(run) and self._record_ended(run):
            for fingerprint in self.suspects.lost_fingerprints(run):
                log_change("replica.ended", replica=run, content=fingerprint)
            self._broadcast(CrashNotice(ended=[run]))

    def record_answered(self, fingerprint: str) -> None:
        """Record that a request was answered completely, so that it is no longer suspect."""
        if self.records.get(fingerprint) is not None:
            self.records.request_change(fingerprint, RecordChange.REMOVE)
        if not self.suspects.is_suspect(fingerprint):
            return
        if self.suspects.crashed_runs(fingerprint):
            log_change("crash.cleared", content=fingerprint)
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

    def _begin_trial(self, fingerprint: str) -> CrashTrial:
        try:
            may_start = self.records.begin_trial(fingerprint)
            recorded = True
        except AspengateError as error:
            log_change("crash.try_not_recorded", content=fingerprint, error=str(error))
            may_start = self._may_try_unrecorded(fingerprint)
            recorded = False
        if not may_start:
            raise self._refusal(fingerprint, Verdict.WAIT)
        log_change(
            "crash.tried",
            content=fingerprint,
            ends=sorted(self.suspects.crashed_runs(fingerprint)),
            recorded=recorded,
        )
        self._counters.count("crashes.tried")
        return CrashTrial(fingerprint, recorded=recorded)

    def _may_try_unrecorded(self, fingerprint: str) -> bool:
        """Return whether a trial may start without a record: once, if the store is unavailable.

        Otherwise a popular request that was on two crashed replicas by chance would be refused
        until the store is available again.
        """
        if self._reaches_store() or not self._is_first(fingerprint):
            return False
        with self._lock:
            if (
                fingerprint in self._unrecorded_trials
                or len(self._unrecorded_trials) >= _MAX_UNRECORDED_TRIALS
            ):
                return False
            self._unrecorded_trials.add(fingerprint)
            return True

    def _refusal(self, fingerprint: str, verdict: Verdict) -> AspengateError:
        record = self.records.get(fingerprint)
        crashed_runs = self.suspects.crashed_runs(fingerprint).union(record.ends if record else ())
        if verdict is Verdict.REFUSE:
            self._counters.count("crashes.refused")
            message = (
                f"{len(crashed_runs)} replicas ended under it: {', '.join(sorted(crashed_runs))}"
            )
            return AspengateError(ErrorKind.QUARANTINED, message, where=fingerprint)
        self._counters.count("crashes.waiting")
        message = f"it is tried alone, since {len(crashed_runs)} replicas ended under it"
        return AspengateError(ErrorKind.SUSPECTED, message, where=fingerprint)

    def _on_record_gone(self, fingerprint: str) -> None:
        """Clear a request whose record was removed."""
        log_change("crash.forgotten", content=fingerprint)
        self.suspects.clear(fingerprint)
        with self._lock:
            self._unrecorded_trials.discard(fingerprint)
