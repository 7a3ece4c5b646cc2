"""Holds the configuration in force, which is never replaced by a lower version."""

import threading
from collections.abc import Callable
from dataclasses import replace

from aspengate.clock import Clock
from aspengate.configuration._model import FleetConfiguration
from aspengate.errors import AspengateError, ErrorKind
from aspengate.telemetry import log_change


class ConfigurationHolder:
    """Holds the configuration in force and notifies listeners of a new one.

    Thread-safe; listeners are called with the lock held.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: FleetConfiguration | None = None
        self._lock = threading.Lock()
        self._listeners: list[Callable[[FleetConfiguration], None]] = []

    @property
    def is_configured(self) -> bool:
        """Whether a configuration is in force."""
        return self._current is not None

    @property
    def version(self) -> int:
        """The version in force; -1 if there is none."""
        return self._current.version if self._current is not None else -1

    @property
    def current(self) -> FleetConfiguration:
        """The configuration in force; raises NOT_CONFIGURED if there is none yet."""
        if self._current is None:
            raise AspengateError(ErrorKind.NOT_CONFIGURED, "no configuration is known yet")
        return self._current

    def on_change(self, listener: Callable[[FleetConfiguration], None]) -> None:
        """Register a function that is called with each configuration that comes into force."""
        self._listeners.append(listener)

    def apply_if_newer(self, configuration: FleetConfiguration) -> bool:
        """Put a configuration into force if its version is higher; return whether it was.

        If the version is the one in force, only its store revision is raised.
        """
        with self._lock:
            current = self._current
            if current is not None and configuration.version <= current.version:
                if configuration.version == current.version:
                    revision = max(configuration.revision, current.revision)
                    self._current = replace(current, revision=revision)
                return False
            before = self.version
            self._current = configuration
            log_change(
                "configuration.applied",
                version=configuration.version,
                before=before,
                routes=len(configuration.routes),
            )
            for listener in self._listeners:
                listener(configuration)
            return True
