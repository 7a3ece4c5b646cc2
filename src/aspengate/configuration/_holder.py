"""Holds the configuration in force; a version once applied is never replaced by a lower one."""

import threading
from collections.abc import Callable
from dataclasses import replace

from aspengate.clock import Clock
from aspengate.configuration._model import FleetConfiguration
from aspengate.errors import AspengateError, ErrorKind
from aspengate.telemetry import log_change


class ConfigurationHolder:
    """The one place that requests take their configuration from."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: FleetConfiguration | None = None
        self._lock = threading.Lock()
        self._listeners: list[Callable[[FleetConfiguration], None]] = []

    @property
    def is_configured(self) -> bool:
        """Whether any version is in force."""
        return self._current is not None

    @property
    def version(self) -> int:
        """The version in force; -1 where none is."""
        return self._current.version if self._current is not None else -1

    @property
    def current(self) -> FleetConfiguration:
        """The configuration in force; raises NOT_CONFIGURED before the first one is known."""
        if self._current is None:
            raise AspengateError(ErrorKind.NOT_CONFIGURED, "no configuration is known yet")
        return self._current

    def on_change(self, listener: Callable[[FleetConfiguration], None]) -> None:
        """Call ``listener`` with each configuration that comes into force."""
        self._listeners.append(listener)

    def apply_if_newer(self, configuration: FleetConfiguration) -> bool:
        """Put a configuration into force if its version is higher; return whether it was.

        The one in force, written once more, is as of its new revision from then on.
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
