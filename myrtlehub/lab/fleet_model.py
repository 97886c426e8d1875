"""A fleet of nodes as figures alone, one sample window at a step: what canary analysis reads. Simulated.

Nodes differ in traffic (some get several times the mean) and in level, and drift by themselves; zones drift
together; requests of one node are not independent. Engines fail and bursts come whatever is being rolled out.
No process runs.
"""

from typing import NamedTuple

import numpy as np

from myrtlehub.rollout.samples import ALL_TRAFFIC, Metric, MetricKey, NodeRatios, NodeRole, SampleWindow

TRAFFIC_TYPES = ("ask", "post", "note")
TRAFFIC_SHARES = np.array([0.6, 0.3, 0.1])
AFFECTED_TYPE = 1  # index of the type that `Regression.one_type` affects
SERVED = 0.93  # share of the utility asked for, on the average
LEAST_SERVED = 0.02
MOST_SERVED = 0.998
ENGINES_PER_ZONE = 30
ALL_ZONES = -1

MEAN_RATE = 15.0  # sequences a second, of a node
RATE_SPREAD = 0.6  # of the logarithm
MAX_RATE = 60.0
LEVEL_SPREAD = 0.01  # between nodes, of the share served
LATENCY_SPREAD = 0.05  # between nodes, of the logarithm of the first token
DRIFT_MEMORY = 0.7  # share of a node's drift that remains after a step
SERVED_DRIFT = 0.01
LATENCY_DRIFT = 0.03
ZONE_DRIFT_MEMORY = 0.8
ZONE_DRIFT = 0.01
DISTURBANCE_ON_LATENCY = 4.0  # by which lost utility of a disturbance makes first tokens later
ZONE_DRIFT_ON_LATENCY = 2.0
LOG_FIRST_TOKEN = -1.5  # mean of the logarithm of the first token's seconds
FIRST_TOKEN_SPREAD = 0.8
REJECTED_SHARE = 0.6  # of what is not served
STAGE_SHARES = (0.02, 0.1, 0.4, 1.0)


class Regression(NamedTuple):
    """What a change does to the nodes that have it."""

    served: float = 0.0  # share of the utility lost
    slower: float = 0.0  # share by which first tokens come later
    one_type: bool = False  # to one traffic type alone
    others_from: float = 1.1  # share of the fleet from which on it affects all nodes instead


class Disturbance(NamedTuple):
    """What happens beside the change: from a step on, for so many, in one zone or in all (ALL_ZONES)."""

    step: int
    steps: int
    zone: int
    served: float  # share of the utility lost
    engines: float  # share of the engines there that fail


class _Traffic(NamedTuple):
    """Utility of one step, by node."""

    served: np.ndarray
    asked: np.ndarray


class FleetModel:
    """A fleet; `advance(roles)` returns the sample window of one step."""

    def __init__(
        self,
        nodes: int,
        zones: int,
        seed: int,
        window_seconds: float = 5.0,
        regression: Regression | None = None,
        disturbances: tuple[Disturbance, ...] = (),
    ) -> None:
        self._random = np.random.default_rng(seed)
        self._nodes = nodes
        self._zone_count = zones
        self._window_seconds = window_seconds
        self._regression = regression or Regression()
        self._disturbances = disturbances
        self._zone_of = np.arange(nodes) % zones
        self.zones = [f"zone-{zone}" for zone in self._zone_of]
        self._rate = np.minimum(MAX_RATE, MEAN_RATE * self._random.lognormal(0.0, RATE_SPREAD, nodes))
        self._level = self._random.normal(0.0, LEVEL_SPREAD, nodes)
        self._latency = self._random.normal(0.0, LATENCY_SPREAD, nodes)
        self._served_drift = np.zeros(nodes)
        self._latency_drift = np.zeros(nodes)
        self._zone_drift = np.zeros(zones)
        self.step = 0
        self.lost = 0.0  # utility that the change took
        self.asked = 0.0  # utility that was asked for

    def advance(self, roles: np.ndarray, measuring: bool = False) -> SampleWindow:
        """Simulate one step; UNAVAILABLE nodes ask for nothing."""
        self._drift()
        engines = {f"zone-{zone}": ENGINES_PER_ZONE for zone in range(self._zone_count)}
        disturbed = self._disturb(engines)
        affected = self._affected(roles)
        share = SERVED + self._level + self._served_drift + self._zone_drift[self._zone_of] - disturbed
        share = np.clip(share, LEAST_SERVED, MOST_SERVED)
        is_up = roles != NodeRole.UNAVAILABLE
        figures: dict[MetricKey, NodeRatios] = {}
        total = self._serve(share, affected, is_up, figures)
        self.asked += total.asked.sum()
        figures[MetricKey(Metric.SERVED, ALL_TRAFFIC)] = NodeRatios(*total)
        figures[MetricKey(Metric.REJECTED, ALL_TRAFFIC)] = self._rejected(total)
        latency = self._log_latency(disturbed, affected)
        figures[MetricKey(Metric.FIRST_TOKEN, ALL_TRAFFIC)] = self._first_token(total, latency, is_up)
        self.step += 1
        return SampleWindow(roles.copy(), figures, engines, measuring)

    def _drift(self) -> None:
        served_noise = self._random.normal(0.0, SERVED_DRIFT, self._nodes)
        self._served_drift = DRIFT_MEMORY * self._served_drift + served_noise
        latency_noise = self._random.normal(0.0, LATENCY_DRIFT, self._nodes)
        self._latency_drift = DRIFT_MEMORY * self._latency_drift + latency_noise
        zone_noise = self._random.normal(0.0, ZONE_DRIFT, self._zone_count)
        self._zone_drift = ZONE_DRIFT_MEMORY * self._zone_drift + zone_noise

    def _disturb(self, engines: dict[str, int]) -> np.ndarray:
        """Take failed engines off the zones; return the share of utility lost, by node."""
        lost = np.zeros(self._nodes)
        for disturbance in self._disturbances:
            if not disturbance.step <= self.step < disturbance.step + disturbance.steps:
                continue
            is_everywhere = disturbance.zone == ALL_ZONES
            there = np.ones(self._nodes, bool) if is_everywhere else self._zone_of == disturbance.zone
            lost += disturbance.served * there
            for zone in range(self._zone_count):
                if disturbance.zone in (ALL_ZONES, zone):
                    engines[f"zone-{zone}"] -= round(ENGINES_PER_ZONE * disturbance.engines)
        return lost

    def _affected(self, roles: np.ndarray) -> np.ndarray:
        """Return 1 for each node on which the change shows its regression, else 0."""
        changed = (roles == NodeRole.CHANGED).astype(float)
        if self._regression.others_from <= changed.mean():
            return np.ones(self._nodes)
        if self._regression.others_from < 1.0:
            return np.zeros(self._nodes)
        return changed

    def _log_latency(self, disturbed: np.ndarray, affected: np.ndarray) -> np.ndarray:
        latency = self._latency + self._latency_drift + DISTURBANCE_ON_LATENCY * disturbed
        latency = latency + affected * np.log1p(self._regression.slower)
        return latency - ZONE_DRIFT_ON_LATENCY * self._zone_drift[self._zone_of]

    def _serve(
        self,
        share: np.ndarray,
        affected: np.ndarray,
        is_up: np.ndarray,
        figures: dict[MetricKey, NodeRatios],
    ) -> _Traffic:
        """Add the figures of each traffic type; return their sum."""
        total = _Traffic(np.zeros(self._nodes), np.zeros(self._nodes))
        for index, name in enumerate(TRAFFIC_TYPES):
            expected = self._rate * self._window_seconds * TRAFFIC_SHARES[index]
            asked = self._random.poisson(expected) * is_up
            is_affected = not self._regression.one_type or index == AFFECTED_TYPE
            lost_share = self._regression.served * is_affected
            without_change = self._random.binomial(asked, share)
            lost = self._random.binomial(without_change, np.clip(affected * lost_share, 0.0, 1.0))
            self.lost += lost.sum()
            served = (without_change - lost).astype(float)
            figures[MetricKey(Metric.SERVED, name)] = NodeRatios(served, asked.astype(float))
            total = _Traffic(total.served + served, total.asked + asked)
        return total

    def _rejected(self, total: _Traffic) -> NodeRatios:
        not_served = np.maximum(0, (total.asked - total.served).astype(int))
        return NodeRatios(self._random.binomial(not_served, REJECTED_SHARE) * 1.0, total.asked)

    def _first_token(self, total: _Traffic, latency: np.ndarray, is_up: np.ndarray) -> NodeRatios:
        started = np.maximum(total.served, 1.0)
        noise = self._random.normal(0.0, FIRST_TOKEN_SPREAD, self._nodes) * np.sqrt(started)
        sums = started * (latency + LOG_FIRST_TOKEN) + noise
        return NodeRatios(sums * is_up, started * is_up)


def stages(nodes: int) -> list[int]:
    """Return how many nodes have the change after each stage."""
    return sorted({max(1, round(nodes * share)) for share in STAGE_SHARES})


def roles_of(nodes: int, changed: int, unavailable: int = 0) -> np.ndarray:
    """Return roles: the first so many changed, the next so many unavailable."""
    roles = np.full(nodes, NodeRole.UNCHANGED)
    roles[:changed] = NodeRole.CHANGED
    roles[changed : changed + unavailable] = NodeRole.UNAVAILABLE
    return roles
