"""Waits for the signals that stop or reload a process."""

import signal

from aspengate.clock import Clock, SystemClock

_STOP = frozenset({signal.SIGTERM, signal.SIGINT})


class SignalWaiter:
    """Receives SIGTERM and SIGINT, and SIGHUP if ``reloads``, on the thread that calls ``wait``.

    Create it before any thread is started: it blocks these signals, and threads inherit that. One
    that arrives before the first wait stays pending.

    A handler would run between any two instructions of the main thread. One that set an event
    which the main thread was just waiting for met the event's lock taken, and the process ignored
    SIGTERM from then on. ``stop`` is set once SIGTERM or SIGINT was received.
    """

    def __init__(self, *, reloads: bool = False, clock: Clock | None = None) -> None:
        self.stop = False
        self._clock = clock or SystemClock()
        self._awaited = _STOP | {signal.SIGHUP} if reloads else _STOP
        signal.pthread_sigmask(signal.SIG_BLOCK, self._awaited)

    def wait(self, seconds: float) -> bool:
        """Wait up to ``seconds`` for a signal; return whether SIGHUP was received.

        Signals that are pending together are all taken, so that one to stop is never left behind
        one to reload.
        """
        hung_up = False
        until_ms = self._clock.monotonic_ms() + seconds * 1_000
        while not self.stop:
            timeout_ms = 0.0 if hung_up else max(0.0, until_ms - self._clock.monotonic_ms())
            received = signal.sigtimedwait(self._awaited, timeout_ms / 1_000)
            if received is None:
                break
            self.stop = received.si_signo in _STOP
            hung_up = hung_up or not self.stop
        return hung_up
