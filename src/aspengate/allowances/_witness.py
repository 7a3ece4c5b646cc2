"""What a router remembers for others: the most that their sessions may use of each account."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field

_MOST_SESSIONS = 4_096


@dataclass
class _Entry:
    """One session's ceilings, in tokens by account; a closed one takes no more."""

    ceilings: dict[str, int] = field(default_factory=dict)
    closed: bool = False
    heard_ms: float = 0.0


class CeilingRegistry:
    """Ceilings by session, raised by the session itself and closed once, for good.

    A session uses no more than its witness has accepted. Once ``close`` has returned a session's
    ceilings, no further one is accepted, so that they bound what the session ever uses, whether
    it still runs or not. Nothing is ever forgotten: beyond ``capacity`` sessions no new one is
    accepted.
    """

    def __init__(self, capacity: int = _MOST_SESSIONS) -> None:
        self.capacity = capacity
        self._entries: dict[str, _Entry] = {}
        self._lock = threading.Lock()

    def accept(self, session: str, ceilings: Mapping[str, int], now_ms: float) -> bool:
        """Remember higher ceilings of a session; return False where it takes no more."""
        with self._lock:
            entry = self._entries.get(session)
            if entry is None and len(self._entries) < self.capacity:
                entry = self._entries[session] = _Entry()
            if entry is None or entry.closed:
                return False
            entry.heard_ms = now_ms
            for account, ceiling in ceilings.items():
                entry.ceilings[account] = max(ceiling, entry.ceilings.get(account, ceiling))
            return True

    def close(self, session: str) -> dict[str, int] | None:
        """Accept no more from a session; return its ceilings, None where it is not known."""
        with self._lock:
            entry = self._entries.get(session)
            if entry is None:
                return None
            entry.closed = True
            return dict(entry.ceilings)

    def open_since(self, since_ms: float) -> dict[str, dict[str, int]]:
        """Return the ceilings by account of each open session heard since ``since_ms``."""
        with self._lock:
            return {
                session: dict(entry.ceilings)
                for session, entry in self._entries.items()
                if not entry.closed and entry.heard_ms >= since_ms
            }

    def is_closed(self, session: str) -> bool:
        """Return whether a session was closed here."""
        with self._lock:
            entry = self._entries.get(session)
            return entry is not None and entry.closed

    def unresponsive(self, before_ms: float) -> dict[str, tuple[str, ...]]:
        """Return the accounts of each open session that was last heard before ``before_ms``."""
        with self._lock:
            return {
                session: tuple(entry.ceilings)
                for session, entry in self._entries.items()
                if not entry.closed and entry.heard_ms < before_ms
            }
