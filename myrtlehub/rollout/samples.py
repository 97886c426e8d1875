"""What a poll of the nodes comes to: the event of each node, and the sample windows that are compared."""

from collections.abc import Mapping, Sequence
from enum import IntEnum
from types import MappingProxyType
from typing import NamedTuple

import numpy as np

from myrtlehub.rollout.states import COMPARED_STATES, NodeEvent, NodeState

ALL_TRAFFIC = ""  # in place of a traffic type: all of them together
TAIL_QUANTILE = 0.95  # first tokens later than this share of those before the change are the slow tail
BYTES_PER_MEGABYTE = 1e6
SECONDS_PER_MINUTE = 60.0

WindowMetrics = dict["MetricKey", "NodeRatios"]


class Revision(NamedTuple):
    """What a node runs: digests of its program and of its settings; empty: not known."""

    program: str
    settings: str


class NodeStatus(NamedTuple):
    """What a node says of itself."""

    revision: Revision
    incarnation: str
    pid: int = 0
    is_draining: bool = False
    is_ready: bool = True  # it has an endpoint list and has generated a sequence
    generation: int = 0
    controller: str = ""


class TrafficCounters(NamedTuple):
    """A node's sums since its start, of one traffic type."""

    asked: float = 0.0
    utility: float = 0.0
    served: float = 0.0
    rejected: float = 0.0
    aborted: float = 0.0
    attempts: float = 0.0
    begun: float = 0.0
    first_log: float = 0.0  # sum of the logarithms of times to the first token
    first: tuple[tuple[int, int], ...] = ()  # times to the first token: microseconds, how many


class NodeCounters(NamedTuple):
    """All that a node has counted, at one poll."""

    incarnation: str
    traffic: dict[str, TrafficCounters]
    memory: float = 0.0  # bytes
    engines: Mapping[str, int] = MappingProxyType({})  # that serve, by zone


class NodeRole(IntEnum):
    """What a node counts as in a sample window."""

    UNAVAILABLE = 0
    UNCHANGED = 1
    CHANGED = 2


class MetricKey(NamedTuple):
    """A figure of one traffic type, or of all."""

    metric: str
    traffic: str = ALL_TRAFFIC


class NodeRatios(NamedTuple):
    """A figure is a sum over a sum; both arrays have a value for each node."""

    numerator: np.ndarray
    denominator: np.ndarray


class SampleWindow(NamedTuple):
    """What was seen of all nodes in one span of time; arrays have a value for each node."""

    roles: np.ndarray  # of NodeRole
    metrics: WindowMetrics
    engines: dict[str, int]  # that serve, by zone, as most nodes have it
    is_baseline: bool = False  # nothing is changed yet


def event_of_status(status: NodeStatus, old: Revision, new: Revision) -> NodeEvent:
    """Return the event that a node's status is.

    An empty part of the new revision is not known yet, and matches anything but the old one's.
    """
    if status.is_draining:
        return NodeEvent.SEEN_DRAINING
    if status.revision == old:
        return NodeEvent.OLD_READY if status.is_ready else NodeEvent.OLD_STARTED
    if _is_new(status.revision, new, old):
        return NodeEvent.NEW_READY if status.is_ready else NodeEvent.NEW_STARTED
    return NodeEvent.OTHER_REVISION


def _is_new(found: Revision, new: Revision, old: Revision) -> bool:
    return all(
        part == wanted or (not wanted and part != former)
        for part, wanted, former in zip(found, new, old, strict=True)
    )


class NodeTimeouts(NamedTuple):
    """How long a node may be in a state, in seconds."""

    drain: float
    start: float
    warm_up: float


def timer_event(state: NodeState, elapsed: float, absent: bool, timeouts: NodeTimeouts) -> NodeEvent | None:
    """Return the event that is due after so many seconds in a state, if any."""
    if state is NodeState.WARMING and not absent and elapsed >= timeouts.warm_up:
        return NodeEvent.WARMED_UP
    if state in (NodeState.DRAINING, NodeState.ROLLING_BACK):
        return NodeEvent.TIMED_OUT if elapsed >= timeouts.drain else None
    comes_back = absent and (state in (NodeState.READY, NodeState.WARMING) or state in COMPARED_STATES)
    if state in (NodeState.STARTING, NodeState.RESTARTING_OLD) or comes_back:
        return NodeEvent.TIMED_OUT if elapsed >= timeouts.start else None
    return None


class WindowSampler:
    """Makes sample windows of the counters at successive polls."""

    def __init__(self, node_count: int, tail_quantile: float = TAIL_QUANTILE) -> None:
        self.node_count = node_count
        self.tail_quantile = tail_quantile
        self.slow_first_token = 0.0  # microseconds above which a first token is one of the slow tail
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
        """Return what became between this poll and the last.

        A node counts where both polls saw the same process, in the same state.
        """
        roles = np.full(self.node_count, NodeRole.UNAVAILABLE)
        figures: WindowMetrics = {}
        for node, (now, before) in enumerate(zip(counters, self._last_counters, strict=True)):
            if now is None or before is None or now.incarnation != before.incarnation:
                continue
            if states[node] != self._last_states[node]:
                continue
            roles[node] = _role_of(states[node])
            if roles[node] != NodeRole.UNAVAILABLE:
                self._add_node(figures, node, now, before, is_baseline)
                memory = (now.memory - before.memory) / BYTES_PER_MEGABYTE
                self._add(figures, MetricKey("memory"), node, memory, seconds / SECONDS_PER_MINUTE)
        self._last_counters = list(counters)
        self._last_states = list(states)
        if is_baseline:
            self.slow_first_token = self._baseline_quantile()
        return SampleWindow(roles, figures, _median_engines(counters), is_baseline)

    def _add_node(
        self, figures: WindowMetrics, node: int, now: NodeCounters, before: NodeCounters, is_baseline: bool
    ) -> None:
        for name, sums in now.traffic.items():
            earlier = before.traffic.get(name, TrafficCounters())
            asked = sums.asked - earlier.asked
            begun = sums.begun - earlier.begun
            ratios = (
                ("served", sums.served - earlier.served, sums.utility - earlier.utility),
                ("rejected", sums.rejected - earlier.rejected, asked),
                ("aborted", sums.aborted - earlier.aborted, asked),
                ("attempts", sums.attempts - earlier.attempts, asked),
                ("first_token", sums.first_log - earlier.first_log, begun),
                ("tail", self._slow_first_tokens(sums, earlier, is_baseline), begun),
            )
            for traffic in (name, ALL_TRAFFIC):
                for figure, numerator, denominator in ratios:
                    self._add(figures, MetricKey(figure, traffic), node, numerator, denominator)

    def _add(
        self, figures: WindowMetrics, key: MetricKey, node: int, numerator: float, denominator: float
    ) -> None:
        if key not in figures:
            figures[key] = NodeRatios(np.zeros(self.node_count), np.zeros(self.node_count))
        figures[key].numerator[node] += numerator
        figures[key].denominator[node] += denominator

    def _slow_first_tokens(self, now: TrafficCounters, before: TrafficCounters, is_baseline: bool) -> float:
        """Count first tokens slower than the tail's bound, which is that of the time before the change."""
        new = dict(now.first)
        for value, count in before.first:
            new[value] = new.get(value, 0) - count
        if is_baseline:
            for value, count in new.items():
                self._baseline_first_tokens[value] = self._baseline_first_tokens.get(value, 0) + count
        if not self.slow_first_token:
            return 0.0
        return float(sum(count for value, count in new.items() if value > self.slow_first_token))

    def _baseline_quantile(self) -> float:
        total = sum(self._baseline_first_tokens.values())
        below = 0
        for value in sorted(self._baseline_first_tokens):
            below += self._baseline_first_tokens[value]
            if below >= self.tail_quantile * total:
                return float(value)
        return 0.0


def _role_of(state: NodeState) -> NodeRole:
    if state is NodeState.WAITING:
        return NodeRole.UNCHANGED
    return NodeRole.CHANGED if state in COMPARED_STATES else NodeRole.UNAVAILABLE


def _median_engines(counters: Sequence[NodeCounters | None]) -> dict[str, int]:
    seen: dict[str, list[int]] = {}
    for node in counters:
        for zone, count in (node.engines if node else {}).items():
            seen.setdefault(zone, []).append(count)
    return {zone: sorted(counts)[len(counts) // 2] for zone, counts in seen.items()}
