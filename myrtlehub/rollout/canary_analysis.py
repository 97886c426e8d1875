"""Canary analysis: whether the changed part of a fleet does worse than the unchanged part in the same time.

It may be looked at after every sample window. Windows in which a disturbance is seen on the unchanged side
are left out; `statistics` says how the two sides are compared.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any, NamedTuple

import numpy as np

from myrtlehub.rollout.disturbance import SERVED, DisturbanceDetector
from myrtlehub.rollout.metric_tally import MetricTally
from myrtlehub.rollout.samples import MetricKey, NodeRole, SampleWindow
from myrtlehub.rollout.statistics import MIN_WINDOWS, Comparison, ErrorBudget, Guard, compare_metric
from myrtlehub.rollout.verdict_text import (
    describe_disturbance,
    describe_loss,
    describe_pass,
    describe_progress,
    describe_worse,
)

DEFAULT_ALARM = 0.01


class Outcome(StrEnum):
    """What the figures say of a stage."""

    PASS = "pass"
    WORSE = "worse"
    DISTURBANCE = "trouble"  # the stage is held
    UNDECIDED = "unsure"


class Verdict(NamedTuple):
    """What the figures say now, why, and the comparisons that it rests on."""

    outcome: Outcome
    reason: str
    comparisons: tuple[Comparison, ...] = ()


class CanaryAnalysis:
    """Collects sample windows and gives verdicts."""

    def __init__(
        self,
        guards: Sequence[Guard],
        zones: Sequence[str],
        watch: int,
        alarm: float = DEFAULT_ALARM,
        max_lost: float = float("inf"),
    ) -> None:
        """Begin with nothing seen.

        Args:
            guards: the figures that may not get worse.
            zones: each node's zone.
            watch: windows for which a stage is observed.
            alarm: share of equal versions that may be called worse, over all guards and looks of a stage.
            max_lost: utility that the whole rollout may cost, as windows of what the fleet is asked.
        """
        zone_names = sorted(set(zones))
        node_zones = np.array([zone_names.index(zone) for zone in zones])
        self.guards = tuple(guards)
        self.watch = watch
        self.max_lost = max_lost
        self.tallies = {
            MetricKey(guard.metric, guard.traffic): MetricTally(node_zones, len(zone_names))
            for guard in self.guards
        }
        self.disturbance = DisturbanceDetector(zone_names, watch)
        self._error_budget = ErrorBudget(alarm, len(self.guards), watch)
        self._baseline_asked: list[float] = []  # utility that the fleet was asked for, before the change
        self._changed_asked = 0.0  # utility that changed nodes were asked for

    def add(self, window: SampleWindow) -> None:
        """Add a sample window."""
        disturbed = self.disturbance.add(window)
        if SERVED in window.metrics:
            asked = window.metrics[SERVED].denominator
            if window.is_baseline:
                self._baseline_asked.append(float(asked.sum()))
            self._changed_asked += float(asked[window.roles == NodeRole.CHANGED].sum())
        if disturbed.all():
            return
        for key, tally in self.tallies.items():
            if key in window.metrics:
                tally.add(window.metrics[key], window, disturbed)

    def restart_observation(self) -> None:
        """Observe the stage from here on, or again after a disturbance."""
        self.disturbance.restart_observation()

    def start_stage(self) -> None:
        """Note that nodes of another stage are changed from here on."""
        self.disturbance.start_stage()

    @property
    def is_disturbed(self) -> bool:
        """Whether something that no change did is going on, or was until a moment ago."""
        return self.disturbance.is_active

    def compare(self, guard: Guard) -> Comparison | None:
        """Compare one guard over all windows in which it can be; None where there are too few."""
        return compare_metric(guard, self.tallies[guard.metric, guard.traffic], self._error_budget)

    def verdict(self) -> Verdict:
        """Return what is to be said now of the stage in work."""
        compared = [self.compare(guard) for guard in self.guards]
        comparisons = tuple(comparison for comparison in compared if comparison is not None)
        return (
            self._harm_verdict(comparisons)
            or self._disturbance_verdict(comparisons)
            or self._progress_verdict(comparisons)
            or _pass_verdict(comparisons)
        )

    def _harm_verdict(self, comparisons: tuple[Comparison, ...]) -> Verdict | None:
        worse = tuple(
            comparison
            for comparison in comparisons
            if comparison.low > 0.0 and comparison.harm >= comparison.margin
        )
        if worse:
            return Verdict(Outcome.WORSE, describe_worse(worse), worse)
        lost = self._lost_utility(comparisons)
        if lost > self.max_lost:
            return Verdict(Outcome.WORSE, describe_loss(lost, self.max_lost), comparisons)
        return None

    def _disturbance_verdict(self, comparisons: tuple[Comparison, ...]) -> Verdict | None:
        if not self.is_disturbed:
            return None
        blame = self.disturbance.blame()
        if blame:
            return Verdict(Outcome.WORSE, blame, comparisons)
        return Verdict(Outcome.DISTURBANCE, describe_disturbance(self.disturbance.reason), comparisons)

    def _progress_verdict(self, comparisons: tuple[Comparison, ...]) -> Verdict | None:
        windows = self.disturbance.windows - self.disturbance.observed_from
        if windows >= self.watch:
            return None
        harmless = comparisons and all(comparison.high < comparison.margin for comparison in comparisons)
        if harmless and windows >= max(MIN_WINDOWS, self.watch // 2):
            return None
        return Verdict(Outcome.UNDECIDED, describe_progress(windows, self.watch), comparisons)

    def _lost_utility(self, comparisons: tuple[Comparison, ...]) -> float:
        """Return the utility that the rollout surely has cost, in windows of what the fleet is asked."""
        for comparison in comparisons:
            if (comparison.guard.metric, comparison.guard.traffic) == SERVED:
                if comparison.low <= 0.0 or not self._baseline_asked:
                    return 0.0
                baseline = sum(self._baseline_asked) / len(self._baseline_asked)
                return comparison.harm * self._changed_asked / baseline
        return 0.0

    def snapshot(self) -> dict[str, Any]:
        """Return all that was learned so far as plain numbers, for `restore` in another process."""
        return {
            "usual": self.disturbance.baseline_served,
            "asked": self._baseline_asked,
            "got": self._changed_asked,
            "tallies": {" ".join(key): tally.snapshot() for key, tally in self.tallies.items()},
        }

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Go on from a snapshot: what was observed after it is observed anew.

        Raises:
            KeyError: a part is missing; another version wrote it.
            ValueError: it is of another fleet.
        """
        for key, tally in self.tallies.items():
            tally.restore(snapshot["tallies"][" ".join(key)])
        self.disturbance.baseline_served = list(snapshot["usual"])
        self._baseline_asked = list(snapshot["asked"])
        self._changed_asked = float(snapshot["got"])


def _pass_verdict(comparisons: tuple[Comparison, ...]) -> Verdict:
    doubtful = [comparison for comparison in comparisons if comparison.high >= comparison.margin]
    return Verdict(Outcome.PASS, describe_pass(doubtful), comparisons)
