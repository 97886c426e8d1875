"""A statistical model of a fleet, which generates the sample windows that canary analysis reads. Simulated.

Nodes differ in traffic (some get several times the mean) and in the fraction that they serve. Both drift, in
part for all nodes of a zone together, so requests of one node are not independent. Engines fail and bursts of
traffic come independently of the rollout. No process runs.
"""

from typing import NamedTuple

import numpy as np

from myrtlehub.rollout.samples import (
    ALL_TRAFFIC,
    BoolArray,
    FloatArray,
    IntArray,
    Metric,
    MetricKey,
    NodeRatios,
    NodeRole,
    SampleWindow,
)

TRAFFIC_TYPES = ("ask", "post", "note")
TRAFFIC_SHARES = np.array([0.6, 0.3, 0.1])
AFFECTED_TYPE = 1  # index of the traffic type that `Regression.one_type` affects
MEAN_SERVED = 0.93  # fraction of the offered utility
MIN_SERVED = 0.02
MAX_SERVED = 0.998
ENGINES_PER_ZONE = 30

MEAN_RATE = 15.0  # sequences per second of one node
RATE_SPREAD = 0.6  # standard deviation between nodes, of the logarithm
MAX_RATE = 60.0
LEVEL_SPREAD = 0.01  # standard deviation between nodes, of the fraction served
LATENCY_SPREAD = 0.05  # standard deviation between nodes, of the logarithm of the time to first token
DRIFT_MEMORY = 0.7  # fraction of a node's drift that remains after a step
SERVED_DRIFT = 0.01
LATENCY_DRIFT = 0.03
ZONE_DRIFT_MEMORY = 0.8
ZONE_DRIFT = 0.01
DISTURBANCE_ON_LATENCY = 4.0  # factor from lost utility to the logarithm of the time to first token
ZONE_DRIFT_ON_LATENCY = 2.0
LOG_FIRST_TOKEN = -1.5  # mean logarithm of the time to first token in seconds
FIRST_TOKEN_SPREAD = 0.8
REJECTED_SHARE = 0.6  # of the sequences that are not served
STAGE_SHARES = (0.02, 0.1, 0.4, 1.0)  # fractions of the fleet


class Regression(NamedTuple):
    """The effect of a change on the nodes that have it."""

    served: float = 0.0  # fraction of the utility that is lost
    slower: float = 0.0  # fraction by which the time to first token grows
    one_type: bool = False  # only one traffic type loses utility
    others_from: float | None = (
        None  # fraction of the fleet that must have the change; then all nodes are affected
    )


class Disturbance(NamedTuple):
    """A loss that the change does not cause, for some steps in one zone or in all."""

    first_step: int
    steps: int
    zone: int | None  # None: all zones
    served: float  # fraction of the utility that is lost
    engines: float  # fraction of the zone's engines that fail


class _Traffic(NamedTuple):
    """Utility of one step, by node."""

    served: FloatArray
    offered: FloatArray


class FleetModel:
    """The model; `advance(roles)` returns the sample window of one step."""

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
        self.lost = 0.0  # utility lost to the change
        self.offered = 0.0  # utility of the requests that clients sent

    def advance(self, roles: IntArray, measuring: bool = False) -> SampleWindow:
        """Simulate one step, in which UNAVAILABLE nodes have no traffic."""
        self._drift()
        engines = {f"zone-{zone}": ENGINES_PER_ZONE for zone in range(self._zone_count)}
        disturbed = self._disturb(engines)
        affected = self._affected(roles)
        share = MEAN_SERVED + self._level + self._served_drift + self._zone_drift[self._zone_of] - disturbed
        share = np.clip(share, MIN_SERVED, MAX_SERVED)
        is_up = roles != NodeRole.UNAVAILABLE
        figures: dict[MetricKey, NodeRatios] = {}
        total = self._serve(share, affected, is_up, figures)
        self.offered += total.offered.sum()
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

    def _disturb(self, engines: dict[str, int]) -> FloatArray:
        """Subtract failed engines from `engines`; return the fraction of utility lost, by node."""
        lost = np.zeros(self._nodes)
        for disturbance in self._disturbances:
            if not 0 <= self.step - disturbance.first_step < disturbance.steps:
                continue
            is_hit: BoolArray = np.ones(self._nodes, bool)
            if disturbance.zone is not None:
                is_hit = self._zone_of == disturbance.zone
            lost += disturbance.served * is_hit
            for zone in range(self._zone_count):
                if disturbance.zone in (None, zone):
                    engines[f"zone-{zone}"] -= round(ENGINES_PER_ZONE * disturbance.engines)
        return lost

    def _affected(self, roles: IntArray) -> FloatArray:
        """Return 1 for each node that the regression affects, else 0."""
        changed: FloatArray = (roles == NodeRole.CHANGED).astype(float)
        if self._regression.others_from is None:
            return changed
        is_reached = self._regression.others_from <= changed.mean()
        return np.ones(self._nodes) if is_reached else np.zeros(self._nodes)

    def _log_latency(self, disturbed: FloatArray, affected: FloatArray) -> FloatArray:
        latency: FloatArray = self._latency + self._latency_drift + DISTURBANCE_ON_LATENCY * disturbed
        latency = latency + affected * np.log1p(self._regression.slower)
        latency -= ZONE_DRIFT_ON_LATENCY * self._zone_drift[self._zone_of]
        return latency

    def _serve(
        self,
        share: FloatArray,
        affected: FloatArray,
        is_up: BoolArray,
        figures: dict[MetricKey, NodeRatios],
    ) -> _Traffic:
        """Add the figures of each traffic type; return their sum."""
        total = _Traffic(np.zeros(self._nodes), np.zeros(self._nodes))
        for index, name in enumerate(TRAFFIC_TYPES):
            expected = self._rate * self._window_seconds * TRAFFIC_SHARES[index]
            offered = self._random.poisson(expected) * is_up
            is_affected = not self._regression.one_type or index == AFFECTED_TYPE
            lost_share = self._regression.served * is_affected
            without_change = self._random.binomial(offered, share)
            lost = self._random.binomial(without_change, np.clip(affected * lost_share, 0.0, 1.0))
            self.lost += lost.sum()
            served = (without_change - lost).astype(float)
            figures[MetricKey(Metric.SERVED, name)] = NodeRatios(served, offered.astype(float))
            total = _Traffic(total.served + served, total.offered + offered)
        return total

    def _rejected(self, total: _Traffic) -> NodeRatios:
        not_served = np.maximum(0, (total.offered - total.served).astype(int))
        return NodeRatios(self._random.binomial(not_served, REJECTED_SHARE) * 1.0, total.offered)

    def _first_token(self, total: _Traffic, latency: FloatArray, is_up: BoolArray) -> NodeRatios:
        started = np.maximum(total.served, 1.0)
        noise = self._random.normal(0.0, FIRST_TOKEN_SPREAD, self._nodes) * np.sqrt(started)
        sums = started * (latency + LOG_FIRST_TOKEN) + noise
        return NodeRatios(sums * is_up, started * is_up)


def stages(nodes: int) -> list[int]:
    """Return the number of changed nodes after each stage."""
    return sorted({max(1, round(nodes * share)) for share in STAGE_SHARES})


def roles_of(nodes: int, changed: int, unavailable: int = 0) -> IntArray:
    """Return the role of each node: the first ones are changed, the next ones unavailable."""
    roles = np.full(nodes, NodeRole.UNCHANGED)
    roles[:changed] = NodeRole.CHANGED
    roles[changed : changed + unavailable] = NodeRole.UNAVAILABLE
    return roles
