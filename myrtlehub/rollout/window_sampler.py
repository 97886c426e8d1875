"""Computes sample windows from the nodes' counters at the start and the end of each window."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from myrtlehub.rollout.samples import (
    ALL_TRAFFIC,
    Metric,
    MetricKey,
    NodeCounters,
    NodeRatios,
    NodeRole,
    SampleWindow,
    TrafficCounters,
    WindowMetrics,
)
from myrtlehub.rollout.states import COMPARED_STATES, NodeState

TAIL_QUANTILE = 0.95  # of the times to first token in the baseline; longer times are in the slow tail
BYTES_PER_MEGABYTE = 1e6
SECONDS_PER_MINUTE = 60.0


class _MetricSums(NamedTuple):
    """One metric of one node and traffic type over a window, as two sums."""

    metric: Metric
    numerator: float
    denominator: float


class WindowSampler:
    """Computes each sample window from the counters at its start and its end."""

    def __init__(self, node_count: int) -> None:
        """Start without samples.

        Args:
            node_count: number of nodes in the fleet.
        """
        self.node_count = node_count
        # Microseconds; longer times to first token are in the slow tail. 0.0 means "not measured yet", as in
        # journals.
        self.slow_first_token_us = 0.0
        self._last_counters: list[NodeCounters | None] = [None] * node_count
        self._last_states: list[NodeState | None] = [None] * node_count
        self._baseline_first_tokens: dict[int, int] = {}

    def window(
        self,
        counters: Sequence[NodeCounters | None],
        states: Sequence[NodeState],
        seconds: float,
        is_baseline: bool,
    ) -> SampleWindow:
        """Return the sample window between the previous call and this one.

        A node is available in the window if its process and its state were the same at the start and the end.

        Args:
            counters: the counters of each node at the last poll; None for a node that did not answer.
            states: the state of each node now.
            seconds: time since the previous call.
            is_baseline: whether no node is changed yet.
        """
        roles = np.full(self.node_count, NodeRole.UNAVAILABLE)
        metrics: WindowMetrics = {}
        for node, (current, previous) in enumerate(zip(counters, self._last_counters, strict=True)):
            if current is None or previous is None or current.incarnation != previous.incarnation:
                continue
            if states[node] != self._last_states[node]:
                continue
            roles[node] = _role_of(states[node])
            if roles[node] != NodeRole.UNAVAILABLE:
                self._add_node_metrics(metrics, node, current, previous, is_baseline)
                memory = (current.memory_bytes - previous.memory_bytes) / BYTES_PER_MEGABYTE
                growth = _MetricSums(Metric.MEMORY, memory, seconds / SECONDS_PER_MINUTE)
                self._add_sums(metrics, node, ALL_TRAFFIC, growth)
        self._last_counters = list(counters)
        self._last_states = list(states)
        if is_baseline:
            self.slow_first_token_us = self._baseline_quantile()
        return SampleWindow(roles, metrics, _median_engines(counters), is_baseline)

    def _add_node_metrics(
        self,
        metrics: WindowMetrics,
        node: int,
        current: NodeCounters,
        previous: NodeCounters,
        is_baseline: bool,
    ) -> None:
        for traffic, counters in current.traffic.items():
            previous_counters = previous.traffic.get(traffic, TrafficCounters())
            traffic_sums = self._traffic_sums(counters, previous_counters, is_baseline)
            for key_traffic in (traffic, ALL_TRAFFIC):
                for sums in traffic_sums:
                    self._add_sums(metrics, node, key_traffic, sums)

    def _traffic_sums(
        self, current: TrafficCounters, previous: TrafficCounters, is_baseline: bool
    ) -> list[_MetricSums]:
        requests = current.requests - previous.requests
        started = current.answers_started - previous.answers_started
        offered_utility = current.offered_utility - previous.offered_utility
        first_token_log_sum = current.first_token_log_sum - previous.first_token_log_sum
        return [
            _MetricSums(Metric.SERVED, current.earned_utility - previous.earned_utility, offered_utility),
            _MetricSums(Metric.REJECTED, current.rejected - previous.rejected, requests),
            _MetricSums(Metric.ABORTED, current.aborted - previous.aborted, requests),
            _MetricSums(Metric.ATTEMPTS, current.attempts - previous.attempts, requests),
            _MetricSums(Metric.FIRST_TOKEN, first_token_log_sum, started),
            _MetricSums(Metric.TAIL, self._slow_first_tokens(current, previous, is_baseline), started),
        ]

    def _add_sums(self, metrics: WindowMetrics, node: int, traffic: str, sums: _MetricSums) -> None:
        key = MetricKey(sums.metric, traffic)
        if key not in metrics:
            metrics[key] = NodeRatios(np.zeros(self.node_count), np.zeros(self.node_count))
        metrics[key].numerator[node] += sums.numerator
        metrics[key].denominator[node] += sums.denominator

    def _slow_first_tokens(
        self, current: TrafficCounters, previous: TrafficCounters, is_baseline: bool
    ) -> float:
        """Count the first tokens in the slow tail; in a baseline window, also add all to the baseline."""
        counts = dict(current.first_token_histogram)
        for microseconds, count in previous.first_token_histogram:
            counts[microseconds] = counts.get(microseconds, 0) - count
        if is_baseline:
            baseline = self._baseline_first_tokens
            for microseconds, count in counts.items():
                baseline[microseconds] = baseline.get(microseconds, 0) + count
        if not self.slow_first_token_us:
            return 0.0
        return float(
            sum(count for microseconds, count in counts.items() if microseconds > self.slow_first_token_us)
        )

    def _baseline_quantile(self) -> float:
        total = sum(self._baseline_first_tokens.values())
        cumulative_count = 0
        for microseconds in sorted(self._baseline_first_tokens):
            cumulative_count += self._baseline_first_tokens[microseconds]
            if cumulative_count >= TAIL_QUANTILE * total:
                return float(microseconds)
        return 0.0


def _role_of(state: NodeState) -> NodeRole:
    if state is NodeState.WAITING:
        return NodeRole.UNCHANGED
    return NodeRole.CHANGED if state in COMPARED_STATES else NodeRole.UNAVAILABLE


def _median_engines(counters: Sequence[NodeCounters | None]) -> dict[str, int]:
    counts_by_zone: dict[str, list[int]] = {}
    for node in counters:
        for zone, count in (node.serving_engines if node else {}).items():
            counts_by_zone.setdefault(zone, []).append(count)
    return {zone: sorted(counts)[len(counts) // 2] for zone, counts in counts_by_zone.items()}
