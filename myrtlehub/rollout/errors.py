"""Errors of the rollout's decisions."""


class StagePlanError(ValueError):
    """The stages of a plan do not fit the fleet; the text says why."""


class SnapshotMismatchError(ValueError):
    """A snapshot of the canary analysis was taken from another fleet."""
