"""Samples of the fleet: the counters of each node, and the sample windows computed from them."""

from collections.abc import Mapping
from enum import IntEnum, StrEnum
from types import MappingProxyType
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

ALL_TRAFFIC = ""  # stands for the sum over all traffic types; stored in journals

FloatArray = npt.NDArray[np.float64]
IntArray = npt.NDArray[np.int_]
BoolArray = npt.NDArray[np.bool_]


class Metric(StrEnum):
    """A metric of the canary analysis; the values are stored in journals and used in plans."""

    SERVED = "served"  # utility earned, as a fraction of the utility offered
    REJECTED = "rejected"  # fraction of requests
    ABORTED = "aborted"  # fraction of requests
    ATTEMPTS = "attempts"  # per request
    FIRST_TOKEN = "first_token"  # mean logarithm of the time to first token
    TAIL = "tail"  # fraction of first tokens in the slow tail
    MEMORY = "memory"  # growth in megabytes per minute


class TrafficCounters(NamedTuple):
    """A node's counters of one traffic type since its start."""

    requests: float = 0.0
    offered_utility: float = 0.0
    earned_utility: float = 0.0
    rejected: float = 0.0
    aborted: float = 0.0
    attempts: float = 0.0
    answers_started: float = 0.0
    first_token_log_sum: float = 0.0  # sum of the logarithms of times to first token
    first_token_histogram: tuple[tuple[int, int], ...] = ()  # time to first token in microseconds, and count


class NodeCounters(NamedTuple):
    """All counters of a node at one poll."""

    incarnation: str
    traffic: dict[str, TrafficCounters]  # by traffic type
    memory_bytes: float = 0.0
    serving_engines: Mapping[str, int] = MappingProxyType({})  # by zone


class NodeRole(IntEnum):
    """The group to which a node belongs in a sample window."""

    UNAVAILABLE = 0
    UNCHANGED = 1
    CHANGED = 2


class MetricKey(NamedTuple):
    """A metric of one traffic type, or of all."""

    metric: Metric
    traffic: str = ALL_TRAFFIC


class NodeRatios(NamedTuple):
    """A metric as the ratio of two sums; both arrays have one value for each node."""

    numerator: FloatArray
    denominator: FloatArray


WindowMetrics = dict[MetricKey, NodeRatios]


class SampleWindow(NamedTuple):
    """The metrics of all nodes over one time span."""

    roles: IntArray  # by node, of NodeRole
    metrics: WindowMetrics
    serving_engines: dict[str, int]  # by zone: the median of the nodes' counts
    is_baseline: bool = False  # whether it was sampled before the first node was changed
