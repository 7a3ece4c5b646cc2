"""The two groups of replicas that a rollout compares."""

import enum


class Cohort(enum.Enum):
    """The replicas of the target version, or those of the versions in force at the beginning."""

    TARGET = "target"
    BASELINE = "baseline"
