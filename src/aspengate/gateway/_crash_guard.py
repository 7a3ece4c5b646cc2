"""Keeps a request from ending replica after replica, wherever its caller comes back with it."""

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

# How long an address is asked, in ms, whether its replica has ended: a port that nobody listens at
# refuses within a round trip, which is some ms; only a machine that is cut off takes longer.
_PROBE_MS = 100.0
# What a router that has just been heard is told of the past: a datagram of some 6 KB.
_MOST_RETOLD = 100
_MOST_TRIED_HERE = 1_000


class CrashTrial:
    """One request's permission to be sent though replicas ended under it: to one replica.

    ``recorded`` tells whether the store knows of it, ``sent`` whether it reached a replica, and
    ``ended_run`` which run of that has ended, empty for none.
    """

    def __init__(self, content: str, *, recorded: bool) -> None:
        self.content = content
        self.recorded = recorded
        self.sent = False
        self.ended_run = ""


class CrashGuard:
    """Decides for each attempt whether its request may be sent, and learns from the attempts.

    ``tell`` sends a notice to all other routers; ``on_ended`` is called with the name of each run
    of a replica that has ended; ``reaches_store`` tells whether the store answers this one, and
    ``has_ended`` whether the process at an address has ended. While the store does not answer,
    ``is_first`` says which router may try a request, and ``rewrites_lost`` whether this one writes
    a record again that the store has lost. ``docs/design/crashes.md`` shows why
    the bound holds over all routers.
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
        has_ended: Callable[[str], bool] = lambda each: refuses_connections(each, _PROBE_MS),
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
        self._tried_here: set[str] = set()
        self._lock = threading.Lock()

    def start(self, session: str) -> None:
        """Begin to keep records, in the name of this run of the router."""
        self.records.session = session
        self.records.start()

    def close(self) -> None:
        """Stop."""
        self.records.close()

    def load_records(self, state: MirrorState) -> None:
        """Take over the records that the store holds."""
        self.records.load(state)

    def admit(self, content: str, held: CrashTrial | None) -> CrashTrial | None:
        """Return the try with which a request may be sent, None where it needs none.

        ``held`` is what it got for an earlier attempt. Raises SUSPECTED or QUARANTINED.
        """
        if self.check(content, held) is Verdict.TRY and held is None:
            return self._begin_try(content)
        return held if held is not None and not held.sent else None

    def check(self, content: str, held: CrashTrial | None) -> Verdict:
        """Return whether a request may be sent as it is or has to be tried; raises as ``admit``."""
        if held is not None and not held.sent:
            return Verdict.SEND
        ends = self.suspects.crashed_runs(content)
        verdict = decide_verdict(ends, self.records.get(content), self._clock.now_ms(), self.policy)
        if verdict is Verdict.SEND or (verdict is Verdict.TRY and held is None):
            return verdict
        raise self._refusal(content, verdict)

    def end_trial(self, made: CrashTrial, *, answered: bool) -> None:
        """Tell how a request with a try has ended; an answer in whole is noted apart."""
        if answered or not made.recorded:
            return
        if made.ended_run:
            self.records.request_crashed_trial(made.content, made.ended_run)
        else:
            self.records.request_change(
                made.content, RecordChange.END_TRY if made.sent else RecordChange.TAKE_BACK_TRY
            )

    def current_run(self, replica: str) -> str:
        """Return the name of a replica's present run, for what is noted of it later."""
        return self.suspects.current_run(replica)

    def record_lost(self, content: str, run: str, address: str, held: CrashTrial | None) -> None:
        """Note that a replica lost a request, and look whether it has ended."""
        self.suspects.record_lost(content, run)
        has_ended = self._has_ended(address)
        if has_ended:
            self._counters.count("gateway.replica_ended")
            log_change("replica.ended", replica=run, content=content)
            self._note_ended(run)
            if held is not None:
                held.ended_run = run
        self._broadcast(CrashNotice([LostRun(content, run)], [run] if has_ended else []))

    def record_connection_refused(self, run: str) -> None:
        """Note that nobody listens at a replica's address any more."""
        if self.suspects.has_lost_requests(run) and self._note_ended(run):
            for content in self.suspects.lost_fingerprints(run):
                log_change("replica.ended", replica=run, content=content)
            self._broadcast(CrashNotice(ended=[run]))

    def record_answered(self, content: str) -> None:
        """Note that a request was answered in whole: it ends no replica."""
        if self.records.get(content) is not None:
            self.records.request_change(content, RecordChange.REMOVE)
        if not self.suspects.is_suspect(content):
            return
        if self.suspects.crashed_runs(content):
            log_change("crash.cleared", content=content)
            self._broadcast(CrashNotice(cleared=[content]))
        self.suspects.clear(content)

    def handle_notice(self, notice: CrashNotice) -> None:
        """Take what another router tells."""
        for each in notice.lost:
            self.suspects.record_lost(each.content, each.run)
        for run in notice.ended:
            self._note_ended(run)
        for content in notice.cleared:
            self.suspects.clear(content)

    def recent_crashes(self) -> CrashNotice | None:
        """Return what a router that has just been heard is to know; None where that is nothing."""
        lost, ended = self.suspects.recent_crashes(_MOST_RETOLD)
        if not lost:
            return None
        return CrashNotice([LostRun(content, run) for content, run in lost], ended)

    def _note_ended(self, run: str) -> bool:
        """Note that a run of a replica has ended; return whether that was not known."""
        is_new = self.suspects.record_ended(run)
        if is_new:
            self._on_ended(run)
        return is_new

    def _begin_try(self, content: str) -> CrashTrial:
        try:
            may_try = self.records.begin_trial(content)
            recorded = True
        except AspengateError as error:
            log_change("crash.try_not_recorded", content=content, error=str(error))
            may_try = self._may_try_here(content)
            recorded = False
        if not may_try:
            raise self._refusal(content, Verdict.WAIT)
        log_change(
            "crash.tried",
            content=content,
            ends=sorted(self.suspects.crashed_runs(content)),
            recorded=recorded,
        )
        self._counters.count("crashes.tried")
        return CrashTrial(content, recorded=recorded)

    def _may_try_here(self, content: str) -> bool:
        """Return whether a request is tried without a record: once, while the store is away.

        A request that many ask for, and that was beside two ends by chance, would else be refused
        for as long as the store is away.
        """
        if self._reaches_store() or not self._is_first(content):
            return False
        with self._lock:
            if content in self._tried_here or len(self._tried_here) >= _MOST_TRIED_HERE:
                return False
            self._tried_here.add(content)
            return True

    def _refusal(self, content: str, verdict: Verdict) -> AspengateError:
        record = self.records.get(content)
        known = self.suspects.crashed_runs(content).union(record.ends if record else ())
        if verdict is Verdict.REFUSE:
            self._counters.count("crashes.refused")
            told = f"{len(known)} replicas ended under it: {', '.join(sorted(known))}"
            return AspengateError(ErrorKind.QUARANTINED, told, where=content)
        self._counters.count("crashes.waiting")
        told = f"it is tried alone, since {len(known)} replicas ended under it"
        return AspengateError(ErrorKind.SUSPECTED, told, where=content)

    def _on_record_gone(self, content: str) -> None:
        """Forget what spoke against a request whose record was removed."""
        log_change("crash.forgotten", content=content)
        self.suspects.clear(content)
        with self._lock:
            self._tried_here.discard(content)
