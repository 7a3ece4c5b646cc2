"""The ceilings that a router holds as a witness of other routers' sessions."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field

_MAX_SESSIONS = 4_096


@dataclass
class _Entry:
    """Holds one session's ceilings, in tokens by account; final once ``closed``."""

    ceilings: dict[str, int] = field(default_factory=dict)
    closed: bool = False
    last_accepted_ms: float = 0.0


class CeilingRegistry:
    """Holds the ceilings of sessions, which each session raises itself until it is closed.

    A session does not use more tokens than its witness has accepted. After ``close`` has returned a
    session's ceilings, no higher ones are accepted, so that they limit what the session ever
    uses, whether it still runs or not. Entries are never removed: once there are ``capacity``
    sessions, no further session is accepted. Thread-safe.
    """

    def __init__(self, capacity: int = _MAX_SESSIONS) -> None:
        self.capacity = capacity
        self._entries: dict[str, _Entry] = {}
        self._lock = threading.Lock()

    def accept(self, session: str, ceilings: Mapping[str, int], now_ms: float) -> bool:
        """Raise ceilings of a session; return False if it is closed or the registry is full."""
        with self._lock:
            entry = self._entries.get(session)
            if entry is None and len(self._entries) < self.capacity:
                entry = self._entries[session] = _Entry()
            if entry is None or entry.closed:
                return False
            entry.last_accepted_ms = now_ms
            for account, ceiling in ceilings.items():
                entry.ceilings[account] = max(ceiling, entry.ceilings.get(account, ceiling))
            return True

    def close(self, session: str) -> dict[str, int] | None:
        """Make a session's ceilings final; return them, or None if the session is unknown."""
        with self._lock:
            entry = self._entries.get(session)
            if entry is None:
                return None
            entry.closed = True
            return dict(entry.ceilings)

    def open_since(self, since_ms: float) -> dict[str, dict[str, int]]:
        """Return the ceilings by account of each open session with an update since ``since_ms``."""
        with self._lock:
            return {
                session: dict(entry.ceilings)
                for session, entry in self._entries.items()
                if not entry.closed and entry.last_accepted_ms >= since_ms
            }

    def is_closed(self, session: str) -> bool:
        """Return whether a session was closed in this registry."""
        with self._lock:
            entry = self._entries.get(session)
            return entry is not None and entry.closed

    def unresponsive(self, before_ms: float) -> dict[str, tuple[str, ...]]:
        """Return the accounts of each open session without an update since ``before_ms``."""
        with self._lock:
            return {
                session: tuple(entry.ceilings)
                for session, entry in self._entries.items()
                if not entry.closed and entry.last_accepted_ms < before_ms
            }
