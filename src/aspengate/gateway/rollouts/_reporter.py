"""Judges this router's own evidence and reports it to the router that decides."""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.clock import Clock
from aspengate.gateway.rollouts._traffic import RolloutTraffic
from aspengate.peers import Member, RolloutReport
from aspengate.rollouts import Evidence, EvidenceWindows
from aspengate.telemetry import Counters, log_change, supervised_thread

# Interval of reports that have changed, in ms. All routers report at this rate, so that the number
# of messages that the deciding router receives grows with the fleet.
REPORT_INTERVAL_MS = 500.0
# An unchanged report is repeated after this time, in ms, because the last one may have been lost.
_REPEAT_INTERVAL_MS = 2_000.0
# Failures of the target are reported after this time, in ms: at share 1, the last stage may last
# only 300 ms, and a version that fails under load alone shows that only there.
_FAILURE_INTERVAL_MS = 100.0


@dataclass
class _Reported:
    """What was last reported on a service, to which session and when."""

    generation: int
    windows: EvidenceWindows = field(default_factory=EvidenceWindows)
    evidence: Evidence | None = None
    halted: bool = False
    receiver: str = ""
    sent_ms: float = float("-inf")


class RolloutReporter:
    """Reports the evidence of running attempts every 500 ms while it changes.

    After a failure of the target, it reports within 100 ms.

    ``running`` returns the running generation of each service, and ``decider`` the router that
    decides on a service. ``send`` sends a message to an address. If this router decides itself,
    ``on_report`` is called instead. A router whose own evidence is bad stops sending to the target,
    without waiting for the others.
    """

    def __init__(
        self,
        traffic: RolloutTraffic,
        clock: Clock,
        counters: Counters,
        *,
        running: Callable[[], dict[str, int]],
        decider: Callable[[str], Member],
        session: Callable[[], str],
        send: Callable[[RolloutReport, str], None],
        on_report: Callable[[RolloutReport], None],
    ) -> None:
        self._traffic = traffic
        self._clock = clock
        self._counters = counters
        self._running = running
        self._decider = decider
        self._session = session
        self._send = send
        self._on_report = on_report
        self._numbers = itertools.count(1)
        self._reported: dict[str, _Reported] = {}
        self._wakeup = threading.Event()
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, "rollout-reports", counters)
        traffic.on_target_failed = self.wake

    def start(self) -> None:
        """Start to report."""
        self._thread.start()

    def close(self) -> None:
        """Stop reporting."""
        self._closing.set()
        self._wakeup.set()

    def wake(self) -> None:
        """Check whether there is an attempt to report on."""
        self._wakeup.set()

    def _run(self) -> None:
        while not self._closing.is_set():
            running = self._running()
            for service, generation in running.items():
                self._report(service, generation)
            self._reported = {key: each for key, each in self._reported.items() if key in running}
            if running:
                self._closing.wait(_FAILURE_INTERVAL_MS / 1_000)
            left_ms = REPORT_INTERVAL_MS - _FAILURE_INTERVAL_MS
            self._wakeup.wait(left_ms / 1_000 if running else None)
            self._wakeup.clear()

    def _report(self, service: str, generation: int) -> None:
        """Judge a service's evidence, and send it if that is due."""
        reported = self._reported.get(service)
        if reported is None or reported.generation != generation:
            reported = self._reported[service] = _Reported(generation)
        now = self._clock.monotonic_ms()
        evidence = self._traffic.recorder(service, generation).snapshot(now)
        has_halted = self._judge(service, reported, evidence, now)
        member = self._decider(service)
        is_due = (
            has_halted
            or evidence is not reported.evidence
            or member.session != reported.receiver
            or now - reported.sent_ms >= _REPEAT_INTERVAL_MS
        )
        if not is_due:
            return
        reported.evidence, reported.receiver, reported.sent_ms = evidence, member.session, now
        report = RolloutReport(
            service, generation, self._session(), next(self._numbers), evidence, reported.halted
        )
        if member.session == report.session:
            self._on_report(report)
        else:
            self._send(report, member.address)

    def _judge(self, service: str, reported: _Reported, evidence: Evidence, now_ms: float) -> bool:
        """Stop sending to the target if the own evidence is bad; return whether it just was."""
        verdict = reported.windows.add(evidence, self._traffic.gate.share(service, now_ms), now_ms)
        if reported.halted or not verdict.is_bad:
            return False
        reported.halted = True
        self._traffic.gate.halt(service, reported.generation)
        self._counters.count("rollouts.halted")
        log_change(
            "rollout.halted",
            service=service,
            generation=reported.generation,
            why=verdict.reason,
            route=verdict.route,
        )
        return True
