"""Errors of the rollout logic."""


class StagePlanError(ValueError):
    """The stages of a plan do not fit the fleet; the message gives the reason."""


class SnapshotMismatchError(ValueError):
    """A snapshot of the canary analysis is of another fleet."""
