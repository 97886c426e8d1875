"""Canary analysis: whether changed nodes of a fleet do worse than unchanged ones over the same period.

A verdict may be requested after every sample window. Zones in which a window is disturbed are excluded from
it. `statistics` defines the comparison of the two groups.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, TypedDict

import numpy as np

from myrtlehub.rollout.disturbance import SERVED_KEY, DisturbanceDetector
from myrtlehub.rollout.metric_tally import MetricTally, TallySnapshot
from myrtlehub.rollout.samples import MetricKey, NodeRole, SampleWindow
from myrtlehub.rollout.statistics import MIN_WINDOWS, BoundParameters, Comparison, Guard, compare_metric
from myrtlehub.rollout.verdict_text import (
    describe_disturbance,
    describe_loss,
    describe_pass,
    describe_progress,
    describe_worse,
)

DEFAULT_FALSE_ALARM_RATE = 0.01


class Outcome(StrEnum):
    """The result of the analysis for the current stage."""

    PASS = "pass"
    WORSE = "worse"
    DISTURBANCE = "trouble"  # the stage is put on hold
    UNDECIDED = "unsure"


class Verdict(NamedTuple):
    """The outcome, its reason, and the comparisons that it is based on."""

    outcome: Outcome
    reason: str
    comparisons: tuple[Comparison, ...] = ()


class AnalysisSnapshot(TypedDict):
    """The accumulated data of an analysis, stored in the journal as a JSON object with these field names."""

    usual: list[float]  # served fraction by window, before the change
    asked: list[float]  # utility offered to the fleet by window, before the change
    got: float  # utility offered to changed nodes
    tallies: dict[str, TallySnapshot]  # by metric and traffic type


class CanaryAnalysis:
    """Accumulates sample windows and returns the verdict on the current stage."""

    def __init__(
        self,
        guards: Sequence[Guard],
        zones: Sequence[str],
        observation_windows: int,
        false_alarm_rate: float = DEFAULT_FALSE_ALARM_RATE,
        max_lost_utility: float = float("inf"),
    ) -> None:
        """Start without windows.

        Args:
            guards: the metrics that must not get worse.
            zones: the zone of each node.
            observation_windows: number of windows for which a stage is observed.
            false_alarm_rate: permitted probability that a stage is stopped although the new version is no
                worse, over all guards and evaluations together.
            max_lost_utility: utility that the rollout may lose, in units of the utility offered to the fleet
                in one window.
        """
        zone_names = sorted(set(zones))
        node_zones = np.array([zone_names.index(zone) for zone in zones])
        self.guards = tuple(guards)
        self.observation_windows = observation_windows
        self.max_lost_utility = max_lost_utility
        self.tallies = {
            MetricKey(guard.metric, guard.traffic): MetricTally(node_zones, len(zone_names))
            for guard in self.guards
        }
        self.disturbance = DisturbanceDetector(zone_names, observation_windows)
        self._bound_parameters = BoundParameters(false_alarm_rate, len(self.guards), observation_windows)
        self._baseline_offered: list[float] = []  # utility offered to the fleet by window, before the change
        self._offered_to_changed = 0.0  # utility offered to changed nodes

    def add(self, window: SampleWindow) -> None:
        """Add a sample window."""
        disturbed = self.disturbance.add(window)
        if SERVED_KEY in window.metrics:
            offered = window.metrics[SERVED_KEY].denominator
            if window.is_baseline:
                self._baseline_offered.append(float(offered.sum()))
            self._offered_to_changed += float(offered[window.roles == NodeRole.CHANGED].sum())
        if disturbed.all():
            return
        for key, tally in self.tallies.items():
            if key in window.metrics:
                tally.add(window.metrics[key], window, disturbed)

    def restart_observation(self) -> None:
        """Observe the current stage from the next window on."""
        self.disturbance.restart_observation()

    def start_stage(self) -> None:
        """Record that nodes of the next stage are changed from the next window on."""
        self.disturbance.start_stage()

    @property
    def is_disturbed(self) -> bool:
        """Whether there is a disturbance, or the last one ended only a few windows ago."""
        return self.disturbance.is_active

    def compare(self, guard: Guard) -> Comparison | None:
        """Compare changed with unchanged nodes by a guard's metric; None if windows or nodes are too few."""
        tally = self.tallies[MetricKey(guard.metric, guard.traffic)]
        return compare_metric(guard, tally, self._bound_parameters)

    def verdict(self) -> Verdict:
        """Return the verdict on the current stage."""
        compared = [self.compare(guard) for guard in self.guards]
        comparisons = tuple(comparison for comparison in compared if comparison is not None)
        return (
            self._harm_verdict(comparisons)
            or self._disturbance_verdict(comparisons)
            or self._undecided_verdict(comparisons)
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
        if lost > self.max_lost_utility:
            return Verdict(Outcome.WORSE, describe_loss(lost, self.max_lost_utility), comparisons)
        return None

    def _disturbance_verdict(self, comparisons: tuple[Comparison, ...]) -> Verdict | None:
        if not self.is_disturbed:
            return None
        attribution = self.disturbance.attribution_to_change()
        if attribution is not None:
            return Verdict(Outcome.WORSE, attribution, comparisons)
        return Verdict(Outcome.DISTURBANCE, describe_disturbance(self.disturbance.reason), comparisons)

    def _undecided_verdict(self, comparisons: tuple[Comparison, ...]) -> Verdict | None:
        windows = self.disturbance.windows - self.disturbance.observation_start
        if windows >= self.observation_windows:
            return None
        is_harmless = comparisons and all(comparison.high < comparison.margin for comparison in comparisons)
        if is_harmless and windows >= max(MIN_WINDOWS, self.observation_windows // 2):
            return None
        return Verdict(Outcome.UNDECIDED, describe_progress(windows, self.observation_windows), comparisons)

    def _lost_utility(self, comparisons: tuple[Comparison, ...]) -> float:
        """Return the utility lost to the rollout, in units of the fleet's offered utility per window.

        The result is 0 if the lower bound of the harm is not above 0.
        """
        for comparison in comparisons:
            if MetricKey(comparison.guard.metric, comparison.guard.traffic) == SERVED_KEY:
                if comparison.low <= 0.0 or not self._baseline_offered:
                    return 0.0
                baseline = sum(self._baseline_offered) / len(self._baseline_offered)
                return comparison.harm * self._offered_to_changed / baseline
        return 0.0

    def snapshot(self) -> AnalysisSnapshot:
        """Return the accumulated data as plain numbers, for `restore` in another process."""
        return {
            "usual": self.disturbance.baseline_served,
            "asked": self._baseline_offered,
            "got": self._offered_to_changed,
            "tallies": {" ".join(key): tally.snapshot() for key, tally in self.tallies.items()},
        }

    def restore(self, snapshot: AnalysisSnapshot) -> None:
        """Continue from a snapshot. The observation of the current stage has to start again.

        Raises:
            KeyError: a part is missing, because another version wrote the snapshot.
            SnapshotMismatchError: the snapshot is of another fleet.
        """
        for key, tally in self.tallies.items():
            tally.restore(snapshot["tallies"][" ".join(key)])
        self.disturbance.baseline_served = list(snapshot["usual"])
        self._baseline_offered = list(snapshot["asked"])
        self._offered_to_changed = float(snapshot["got"])


def _pass_verdict(comparisons: tuple[Comparison, ...]) -> Verdict:
    inconclusive = [comparison for comparison in comparisons if comparison.high >= comparison.margin]
    return Verdict(Outcome.PASS, describe_pass(inconclusive), comparisons)
