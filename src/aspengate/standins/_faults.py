"""Faults that can be injected into a stand-in."""

import threading
from dataclasses import dataclass, field


@dataclass
class Faults:
    """The injected faults of one stand-in.

    ``down`` makes each call fail, ``delay_ms`` delays each call. ``lose_answers`` is the number
    of further writes that take effect although their responses are lost.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def consume_lost_answer(self) -> bool:
        """Return whether to lose the response to this write, and count it if so."""
        with self._lock:
            if self.lose_answers <= 0:
                return False
            self.lose_answers -= 1
            return True
