"""Detection of disturbances: changes in the fleet that affect unchanged nodes as well.

A change in the number of serving engines or a burst of traffic is not attributed to the rollout. A revision
that also harms unchanged nodes looks like a burst at first, so the stage is put on hold. If the served
fraction stays low for longer than any burst lasts, this is attributed to the change.
"""

from collections.abc import Sequence

import numpy as np

from myrtlehub.rollout.samples import BoolArray, Metric, MetricKey, NodeRole, SampleWindow
from myrtlehub.rollout.statistics import MAX_INFLATION, MIN_WINDOWS

ENGINE_CHANGE = 0.1  # fraction of a zone's serving engines whose change within QUIET_WINDOWS is a disturbance
# A window is disturbed if the unchanged nodes' served fraction in it is below the baseline by more than this.
# The fall also has to exceed SUDDEN_FALL_DEVIATIONS standard deviations of the baseline, because the windows
# of a noisy fleet vary that much.
SUDDEN_FALL = 0.05
SUDDEN_FALL_DEVIATIONS = 4.0
# The same thresholds for the mean of half an observation or more, which varies less than a single window; the
# second is in standard errors of its difference from the baseline.
SLOW_FALL = 0.02
SLOW_FALL_DEVIATIONS = SUDDEN_FALL_DEVIATIONS / 2.0
# A fall is attributed to the change once it has lasted for this many observation lengths: bursts end sooner.
OBSERVATIONS_TO_ATTRIBUTE = 2.0
QUIET_WINDOWS = 3  # consecutive windows without a sign of a disturbance after which it counts as over
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
        self.observed_from = 0  # window from which the current stage is observed
        self._engines: list[dict[str, int]] = []  # serving engines by zone, in the last windows
        self._stage_engines: dict[str, int] = {}  # serving engines by zone at the start of the current stage
        self._served: list[float] = []  # served fraction of the unchanged nodes, by window
        self._stage_from = 0  # window in which the first node of the current stage was changed
        # First window of the present fall of the served fraction while engines are unchanged; None: no fall.
        self._fallen_from: int | None = None

    def add(self, window: SampleWindow) -> BoolArray:
        """Add a window and return whether each zone is disturbed in it."""
        self.windows += 1
        self._engines = [*self._engines[-QUIET_WINDOWS:], window.serving_engines]
        if window.is_baseline:
            self._stage_engines = window.serving_engines
        self._served.append(_served_fraction(window))
        if window.is_baseline and not np.isnan(self._served[-1]):
            self.baseline_served.append(self._served[-1])
        disturbed = self._disturbed(window.is_baseline)
        self.disturbed_zones.append(disturbed)
        return disturbed

    def restart_observation(self) -> None:
        """Observe the current stage from the next window on."""
        self.observed_from = self.windows

    def start_stage(self) -> None:
        """Record that nodes of the next stage are changed from the next window on."""
        self._stage_from = self.windows
        self._fallen_from = None
        if self._engines:
            self._stage_engines = self._engines[-1]

    @property
    def is_active(self) -> bool:
        """Whether there was a disturbance in one of the last QUIET_WINDOWS windows."""
        return any(zones.any() for zones in self.disturbed_zones[-QUIET_WINDOWS:])

    def attribution_to_change(self) -> str | None:
        """Return why a fall of the served fraction is attributed to the change; None if it is not.

        All of these have to hold: the fall began within the current stage, it has lasted longer than
        any burst, the mean of the last half observation is still below the baseline, and about as many
        engines serve as at the start of the stage.
        """
        if self._fallen_from is None or self._fallen_from < self._stage_from:
            return None
        duration = self.windows - self._fallen_from
        if duration < OBSERVATIONS_TO_ATTRIBUTE * self.observation_windows:
            return None
        if self._engines_differ_from_stage_start() or not self._is_still_fallen():
            return None
        return (
            f"{self.reason}; it began {self._fallen_from - self._stage_from} blocks after this stage was "
            f"begun, has lasted for {duration}, and as many engines serve as then: "
            "the change hurts the others"
        )

    def _engines_differ_from_stage_start(self) -> bool:
        engines = self._engines[-1]
        return any(
            _has_changed(engines.get(zone, 0), self._stage_engines.get(zone, 0)) for zone in self.zone_names
        )

    def _is_still_fallen(self) -> bool:
        newest = self._served[-max(1, self.observation_windows // 2) :]
        baseline = float(np.mean(self.baseline_served))
        return not np.isnan(newest).any() and baseline - float(np.mean(newest)) > SLOW_FALL

    def _disturbed(self, is_baseline: bool) -> BoolArray:
        """Return whether each zone is disturbed in the newest window, and update the reason."""
        disturbed = np.zeros(len(self.zone_names), bool)
        for index, zone in enumerate(self.zone_names):
            counts = [engines.get(zone, 0) for engines in self._engines]
            if counts and _has_changed(max(counts), min(counts)):
                disturbed[index] = True
                self.reason = f"serving engines of zone {zone} went from {counts[0]} to {counts[-1]}"
        fall = None if is_baseline else self._fall()
        if disturbed.any() or fall is None:
            self._fallen_from = None
        elif self._fallen_from is None:
            self._fallen_from = self.windows - 1
        if fall is not None:
            disturbed[:] = True
            self.reason = fall
        return disturbed

    def _fall(self) -> str | None:
        """Describe by how much the unchanged nodes serve less than in the baseline; None if they do not.

        A change that harms unchanged nodes as much as changed ones shows no difference between the groups, so
        only this check finds it
        (test_a_change_that_harms_unchanged_nodes_is_stopped_once_it_has_outlasted_a_burst).
        """
        baseline = np.array(self.baseline_served)
        newest = self._served[-1]
        if len(baseline) < MIN_WINDOWS or np.isnan(newest):
            return None
        mean = float(baseline.mean())
        deviation = float(baseline.std(ddof=1))
        if mean - newest > max(SUDDEN_FALL, SUDDEN_FALL_DEVIATIONS * deviation):
            return f"the fleet serves {newest:.3f} of the utility asked, {mean:.3f} before the change"
        observed_from = max(self.observed_from, self.windows - self.observation_windows)
        observed = np.array(self._served[observed_from:])
        if len(observed) < self.observation_windows // 2 or np.isnan(observed).any():
            return None
        standard_error = (
            deviation * (MAX_INFLATION / max(1, len(observed)) + MAX_INFLATION / len(baseline)) ** 0.5
        )
        if mean - float(observed.mean()) > max(SLOW_FALL, SLOW_FALL_DEVIATIONS * standard_error):
            return (
                f"the fleet serves {observed.mean():.3f} of the utility asked since this stage is watched, "
                f"{mean:.3f} before the change"
            )
        return None


def _has_changed(count: int, other_count: int) -> bool:
    """Return whether two counts of a zone's serving engines differ by enough to be a disturbance."""
    return abs(count - other_count) > ENGINE_CHANGE * max(count, other_count)


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
