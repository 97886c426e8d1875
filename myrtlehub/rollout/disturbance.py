"""Disturbances: what hits unchanged nodes too, and whether the change may be its cause.

Engines that come or go and bursts are not put down to the change. A change that hurts the other nodes looks
like a burst, so the stage is held at first; time tells them apart.
"""

from collections.abc import Sequence

import numpy as np

from myrtlehub.rollout.samples import MetricKey, NodeRole, SampleWindow
from myrtlehub.rollout.statistics import MAX_INFLATION, MIN_WINDOWS

ENGINES_LOST = 0.1  # share of a zone's serving engines that, gone or come within QUIET_WINDOWS, disturbs it
FALL = (
    0.05  # by which the unchanged nodes' served share falls in a disturbance; also FALL_SIGMAS of its scatter
)
FALL_SIGMAS = 4.0
SLOW_FALL = 0.02  # the same over half a watch or more, and SLOW_FALL_SIGMAS
SLOW_FALL_SIGMAS = FALL_SIGMAS / 2.0
BLAME_WATCHES = 2.0  # watches for which a fall of the whole fleet has to last: bursts pass sooner
QUIET_WINDOWS = 3  # windows without any sign, until a disturbance counts as over
SERVED = MetricKey("served")
NO_WINDOW = -1


class DisturbanceDetector:
    """Follows engines and the served share of the unchanged nodes, window by window."""

    def __init__(self, zone_names: Sequence[str], watch: int) -> None:
        self.zone_names = zone_names
        self.watch = watch  # windows for which a stage is observed
        self.windows = 0  # so far
        self.baseline_served: list[float] = []  # share of the utility asked, by window before the change
        self.disturbed_zones: list[np.ndarray] = []  # by window: which zones were disturbed
        self.reason = ""  # of the last disturbance
        self.observed_from = 0  # window from which the stage in work is observed
        self._engines: list[dict[str, int]] = []  # that serve, by zone, in the last windows
        self._stage_engines: dict[str, int] = {}  # the same when the stage in work was begun
        self._served: list[float] = []  # by window, of the unchanged nodes
        self._stage_from = 0  # window in which the first node of the stage in work was changed
        self._fallen_from = NO_WINDOW  # from which the fleet serves less, and no engine came or went

    def add(self, window: SampleWindow) -> np.ndarray:
        """Add a window and return by zone whether it is disturbed."""
        self.windows += 1
        self._engines = [*self._engines[-QUIET_WINDOWS:], window.engines]
        if window.is_baseline:
            self._stage_engines = window.engines
        self._served.append(_served_share(window))
        if window.is_baseline and not np.isnan(self._served[-1]):
            self.baseline_served.append(self._served[-1])
        disturbed = self._disturbed(window.is_baseline)
        self.disturbed_zones.append(disturbed)
        return disturbed

    def restart_observation(self) -> None:
        """Observe the stage from here on, or again after a disturbance."""
        self.observed_from = self.windows

    def start_stage(self) -> None:
        """Note that nodes of another stage are changed from here on."""
        self._stage_from = self.windows
        self._fallen_from = NO_WINDOW
        if self._engines:
            self._stage_engines = self._engines[-1]

    @property
    def is_active(self) -> bool:
        """Whether something that no change did is going on, or was until a moment ago."""
        return any(zones.any() for zones in self.disturbed_zones[-QUIET_WINDOWS:])

    def blame(self) -> str:
        """Return why a fall of the whole fleet is put down to the change; empty where it is not.

        It began with this stage, lasts for longer than a burst does, the newest half of a watch is no better,
        and as many engines serve as when the stage was begun.
        """
        lasts = self.windows - self._fallen_from
        if self._fallen_from < self._stage_from or lasts < BLAME_WATCHES * self.watch:
            return ""
        if any(
            _differ(self._engines[-1].get(zone, 0), self._stage_engines.get(zone, 0))
            for zone in self.zone_names
        ):
            return ""
        newest = self._served[-max(1, self.watch // 2) :]
        baseline = float(np.mean(self.baseline_served))
        if np.isnan(newest).any() or baseline - float(np.mean(newest)) <= SLOW_FALL:
            return ""
        return (
            f"{self.reason}; it began {self._fallen_from - self._stage_from} blocks after this stage was "
            f"begun, has lasted for {lasts}, and as many engines serve as then: the change hurts the others"
        )

    def _disturbed(self, is_baseline: bool) -> np.ndarray:
        """Return by zone whether engines came or went, or the unchanged nodes fell, in the newest window."""
        disturbed = np.zeros(len(self.zone_names), bool)
        for index, zone in enumerate(self.zone_names):
            counts = [engines.get(zone, 0) for engines in self._engines]
            if counts and _differ(max(counts), min(counts)):
                disturbed[index] = True
                self.reason = f"serving engines of zone {zone} went from {counts[0]} to {counts[-1]}"
        fall = "" if is_baseline else self._fall()
        if disturbed.any() or not fall:
            self._fallen_from = NO_WINDOW
        elif self._fallen_from == NO_WINDOW:
            self._fallen_from = self.windows - 1
        if fall:
            disturbed[:] = True
            self.reason = fall
        return disturbed

    def _fall(self) -> str:
        """Return how the whole fleet serves less than before the change; empty where it does not.

        Guards against a change that hurts the others: beside them it looks no worse.
        """
        baseline = np.array(self.baseline_served)
        newest = self._served[-1]
        if len(baseline) < MIN_WINDOWS or np.isnan(newest):
            return ""
        mean = float(baseline.mean())
        sigma = float(baseline.std(ddof=1))
        if mean - newest > max(FALL, FALL_SIGMAS * sigma):
            return f"the fleet serves {newest:.3f} of the utility asked, {mean:.3f} before the change"
        watched = np.array(self._served[max(self.observed_from, self.windows - self.watch) :])
        if len(watched) < self.watch // 2 or np.isnan(watched).any():
            return ""
        wide = sigma * (MAX_INFLATION / max(1, len(watched)) + MAX_INFLATION / len(baseline)) ** 0.5
        if mean - float(watched.mean()) > max(SLOW_FALL, SLOW_FALL_SIGMAS * wide):
            return (
                f"the fleet serves {watched.mean():.3f} of the utility asked since this stage is watched, "
                f"{mean:.3f} before the change"
            )
        return ""


def _differ(count: int, other_count: int) -> bool:
    """Whether so many engines of a zone have gone or come that it is a disturbance."""
    return abs(count - other_count) > ENGINES_LOST * max(count, other_count)


def _served_share(window: SampleWindow) -> float:
    """Return the share of the utility asked that is served: by unchanged nodes, by all where none is left."""
    if SERVED not in window.metrics:
        return float("nan")
    served, asked = window.metrics[SERVED]
    unchanged = window.roles == NodeRole.UNCHANGED
    nodes = unchanged if unchanged.any() else window.roles == NodeRole.CHANGED
    total = float(asked[nodes].sum())
    return float(served[nodes].sum()) / total if total > 0 else float("nan")
