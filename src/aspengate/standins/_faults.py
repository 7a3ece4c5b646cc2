"""Faults that a stand-in can be told to show."""

import threading
from dataclasses import dataclass, field


@dataclass
class Faults:
    """The present faults of one stand-in.

    ``delay_ms`` slows each call; ``lose_answers`` is how many coming writes take effect while
    their answers are lost.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def take_lost_answer(self) -> bool:
        """Return whether the answer of this write is to be lost."""
        with self._lock:
            if self.lose_answers <= 0:
                return False
            self.lose_answers -= 1
            return True
