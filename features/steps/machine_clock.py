"""The clock of a machine that may be suspended."""


class MachineClock:
    """The clock of a machine that may be suspended, in the time of ``clock``."""

    def __init__(self, clock):
        self.clock = clock
        self.until_ms = clock.monotonic_ms()
        self._began_ms = self.until_ms
        self._total_ms = 0.0

    def now_ms(self):
        return self.clock.now_ms()

    def monotonic_ms(self):
        return self.clock.monotonic_ms()

    def suspended_ms(self):
        return self._total_ms + min(self.monotonic_ms(), self.until_ms) - self._began_ms

    def advance(self, duration_ms):
        self.clock.advance(duration_ms)

    @property
    def is_suspended(self):
        return self.monotonic_ms() < self.until_ms

    def suspend(self, duration_ms):
        """Suspend the machine from now on; a suspension that has begun is never shortened."""
        now_ms = self.monotonic_ms()
        self._total_ms = self.suspended_ms()
        self.until_ms = max(now_ms + duration_ms, self.until_ms)
        self._began_ms = now_ms
