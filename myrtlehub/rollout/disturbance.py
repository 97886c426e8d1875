"""Detection of disturbances: changes in the fleet that affect unchanged nodes as well.

A change in the number of serving engines or a burst of traffic is not attributed to the rollout. A revision
that also harms unchanged nodes is at first indistinguishable from a burst, so the stage is put on hold. A
drop of the served fraction that lasts longer than any burst is attributed to the change.
"""

from collections.abc import Sequence

import numpy as np

from myrtlehub.rollout.samples import BoolArray, Metric, MetricKey, NodeRole, SampleWindow
from myrtlehub.rollout.statistics import MAX_VARIANCE_INFLATION, MIN_WINDOWS

# A zone is disturbed if the number of its serving engines changes by more than this fraction within
# QUIET_WINDOWS windows.
ENGINE_CHANGE_THRESHOLD = 0.1
# A window is disturbed if the unchanged nodes' served fraction in it is below the baseline by more than this.
# The drop also has to exceed SUDDEN_DROP_DEVIATIONS standard deviations of the baseline, because the windows
# of a noisy fleet vary that much.
SUDDEN_DROP = 0.05
SUDDEN_DROP_DEVIATIONS = 4.0
# The same thresholds for the mean of half an observation or more, which varies less than a single window. The
# second one is in standard errors of the difference between that mean and the baseline.
SUSTAINED_DROP = 0.02
SUSTAINED_DROP_STANDARD_ERRORS = SUDDEN_DROP_DEVIATIONS / 2.0
# A drop is attributed to the change once it has lasted for this many observation lengths: bursts end sooner.
OBSERVATIONS_BEFORE_ATTRIBUTION = 2.0
QUIET_WINDOWS = 3  # a disturbance is over after this many consecutive windows without a sign of it
SERVED_KEY = MetricKey(Metric.SERVED)


class DisturbanceDetector:
    """Tracks serving engines and the served fraction of the unchanged nodes, window by window."""

    def __init__(self, zone_names: Sequence[str], observation_windows: int) -> None:
        """Start without windows.

        Args:
            zone_names: the zones of the fleet, in the order of the arrays that `add` returns.
            observation_windows: number of windows for which a stage is observed.
        """
        self.zone_names = zone_names
        self.observation_windows = observation_windows
        self.windows = 0  # added so far
        self.baseline_served: list[float] = []  # served fraction by window, before the change
        self.disturbed_zones: list[BoolArray] = []  # by window, then by zone
        self.reason = ""  # describes the last disturbance
        self.observation_start = 0  # index of the first window in which the current stage is observed
        self._recent_engines: list[dict[str, int]] = []  # serving engines by zone, in the last windows
        self._stage_engines: dict[str, int] = {}  # serving engines by zone at the start of the current stage
        self._served_fractions: list[float] = []  # served fraction of the unchanged nodes, by window
        self._stage_start = 0  # index of the window in which the first node of the current stage was changed
        # Index of the first window of a drop of the served fraction while the number of engines is stable;
        # None if there is no drop.
        self._drop_start: int | None = None

    def add(self, window: SampleWindow) -> BoolArray:
        """Add a window and return whether each zone is disturbed in it."""
        self.windows += 1
        self._recent_engines = [*self._recent_engines[-QUIET_WINDOWS:], window.serving_engines]
        if window.is_baseline:
            self._stage_engines = window.serving_engines
        self._served_fractions.append(_served_fraction(window))
        if window.is_baseline and not np.isnan(self._served_fractions[-1]):
            self.baseline_served.append(self._served_fractions[-1])
        disturbed = self._detect(window.is_baseline)
        self.disturbed_zones.append(disturbed)
        return disturbed

    def restart_observation(self) -> None:
        """Observe the current stage from the next window on."""
        self.observation_start = self.windows

    def start_stage(self) -> None:
        """Record that nodes of the next stage are changed from the next window on."""
        self._stage_start = self.windows
        self._drop_start = None
        if self._recent_engines:
            self._stage_engines = self._recent_engines[-1]

    @property
    def is_active(self) -> bool:
        """Whether there was a disturbance in one of the last QUIET_WINDOWS windows."""
        return any(zones.any() for zones in self.disturbed_zones[-QUIET_WINDOWS:])

    def attribution_to_change(self) -> str | None:
        """Return why a drop of the served fraction is attributed to the change; None if it is not.

        It is attributed to the change if all of these hold: the drop began within the current stage, it has
        lasted longer than any burst, the mean of the last half observation is still below the baseline, and
        about as many engines serve as at the start of the stage.
        """
        if self._drop_start is None or self._drop_start < self._stage_start:
            return None
        duration = self.windows - self._drop_start
        if duration < OBSERVATIONS_BEFORE_ATTRIBUTION * self.observation_windows:
            return None
        if self._engines_differ_from_stage_start() or not self._is_drop_ongoing():
            return None
        return (
            f"{self.reason}; it began {self._drop_start - self._stage_start} blocks after this stage was "
            f"begun, has lasted for {duration}, and as many engines serve as then: "
            "the change hurts the others"
        )

    def _engines_differ_from_stage_start(self) -> bool:
        engines = self._recent_engines[-1]
        return any(
            _differ(engines.get(zone, 0), self._stage_engines.get(zone, 0)) for zone in self.zone_names
        )

    def _is_drop_ongoing(self) -> bool:
        newest = self._served_fractions[-max(1, self.observation_windows // 2) :]
        baseline = float(np.mean(self.baseline_served))
        return not np.isnan(newest).any() and baseline - float(np.mean(newest)) > SUSTAINED_DROP

    def _detect(self, is_baseline: bool) -> BoolArray:
        """Return whether each zone is disturbed in the newest window, and update the reason and the drop."""
        disturbed = np.zeros(len(self.zone_names), bool)
        for index, zone in enumerate(self.zone_names):
            counts = [engines.get(zone, 0) for engines in self._recent_engines]
            if counts and _differ(max(counts), min(counts)):
                disturbed[index] = True
                self.reason = f"serving engines of zone {zone} went from {counts[0]} to {counts[-1]}"
        drop = None if is_baseline else self._describe_drop()
        if disturbed.any() or drop is None:
            self._drop_start = None
        elif self._drop_start is None:
            self._drop_start = self.windows - 1
        if drop is not None:
            disturbed[:] = True
            self.reason = drop
        return disturbed

    def _describe_drop(self) -> str | None:
        """Describe the drop of the unchanged nodes' served fraction below the baseline, if there is one.

        A change that harms unchanged nodes as much as changed ones causes no difference between the groups,
        so only this check detects it
        (test_a_change_that_harms_unchanged_nodes_is_stopped_once_it_has_outlasted_a_burst).
        """
        baseline = np.array(self.baseline_served)
        newest = self._served_fractions[-1]
        if len(baseline) < MIN_WINDOWS or np.isnan(newest):
            return None
        mean = float(baseline.mean())
        deviation = float(baseline.std(ddof=1))
        if mean - newest > max(SUDDEN_DROP, SUDDEN_DROP_DEVIATIONS * deviation):
            return f"the fleet serves {newest:.3f} of the utility asked, {mean:.3f} before the change"
        start = max(self.observation_start, self.windows - self.observation_windows)
        observed = np.array(self._served_fractions[start:])
        if len(observed) < self.observation_windows // 2 or np.isnan(observed).any():
            return None
        standard_error = (
            deviation
            * (MAX_VARIANCE_INFLATION / max(1, len(observed)) + MAX_VARIANCE_INFLATION / len(baseline)) ** 0.5
        )
        if mean - float(observed.mean()) > max(
            SUSTAINED_DROP, SUSTAINED_DROP_STANDARD_ERRORS * standard_error
        ):
            return (
                f"the fleet serves {observed.mean():.3f} of the utility asked since this stage is watched, "
                f"{mean:.3f} before the change"
            )
        return None


def _differ(count: int, other_count: int) -> bool:
    """Return whether two counts of a zone's serving engines differ enough to indicate a disturbance."""
    return abs(count - other_count) > ENGINE_CHANGE_THRESHOLD * max(count, other_count)


def _served_fraction(window: SampleWindow) -> float:
    """Return the served fraction of the unchanged nodes, or of the changed ones if there are no others.

    The result is NaN if no utility was offered.
    """
    if SERVED_KEY not in window.metrics:
        return float("nan")
    served, offered = window.metrics[SERVED_KEY]
    unchanged = window.roles == NodeRole.UNCHANGED
    nodes = unchanged if unchanged.any() else window.roles == NodeRole.CHANGED
    total = float(offered[nodes].sum())
    return float(served[nodes].sum()) / total if total > 0 else float("nan")
