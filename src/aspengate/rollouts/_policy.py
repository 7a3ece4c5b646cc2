"""Limits on what a version that turns out to be bad may receive."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RolloutPolicy:
    """Limits of a rollout, as the platform states them.

    A bad version receives at most ``exposure_share`` of the service's requests between the order
    and its deadline, plus ``exposure_slack`` requests, and none later than ``rollback_ms`` after
    its 50th bad response. Rollouts are enabled if ``exposure_share`` is above 0.
    """

    exposure_share: float = 0.0
    exposure_slack: float = 50.0
    rollback_ms: float = 5_000.0

    @property
    def is_enabled(self) -> bool:
        """Whether orders are carried out and new versions count as unannounced at first."""
        return self.exposure_share > 0
