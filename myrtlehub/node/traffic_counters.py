"""Counters by traffic type since the start of a node, which canary analysis compares between nodes."""

import math
from collections import Counter
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from myrtlehub.config.traffic import TrafficTypeConfig
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.state.answer import AnswerState

MICROSECONDS_PER_SECOND = 1e6
MAX_LATENCY_MICROSECONDS = 600_000_000  # longer latencies are recorded as this
HISTOGRAM_SIGNIFICANT_DIGITS = 2  # an error of 1 per cent, finer than any threshold of canary analysis
MIN_LATENCY_SECONDS = 1e-6  # shorter latencies are recorded as this, because 0 has no logarithm


class TrafficTypeCounters:
    """Counters of one traffic type."""

    __slots__ = (
        "answers",
        "attempts",
        "earned_utility",
        "first_token_histogram",
        "first_token_log_sum",
        "offered_utility",
        "requests",
    )

    def __init__(self) -> None:
        self.requests = 0
        self.attempts = 0
        self.offered_utility = 0.0  # sum over all requests whose client did not disconnect
        self.earned_utility = 0.0  # sum over complete answers, reduced for those after the latency SLO
        self.answers: Counter[str] = Counter()
        self.first_token_histogram = HdrHistogram(
            1, MAX_LATENCY_MICROSECONDS, HISTOGRAM_SIGNIFICANT_DIGITS
        )  # microseconds
        self.first_token_log_sum = 0.0  # sum of the natural logarithms of the seconds to the first token

    def record_first_token(self, latency: float) -> None:
        """Record the latency of a first token, in seconds."""
        latency = max(MIN_LATENCY_SECONDS, latency)
        microseconds = max(1, int(latency * MICROSECONDS_PER_SECOND))
        self.first_token_histogram.record_value(min(MAX_LATENCY_MICROSECONDS, microseconds))
        self.first_token_log_sum += math.log(latency)


class TrafficCounters:
    """The counters of a process, kept across changes of its settings."""

    def __init__(self) -> None:
        self.by_type: dict[str, TrafficTypeCounters] = {}
        self.generated_count = 0  # complete answers of all traffic types

    def observe(self, executor: ActionExecutor, traffic_types: Sequence[TrafficTypeConfig]) -> None:
        """Count the answers of an executor; `traffic_types` are those of its settings, by index."""
        executor.add_observer(_AnswerObserver(self, traffic_types))

    def of_type(self, name: str) -> TrafficTypeCounters:
        """Return the counters of a traffic type; creates them if there are none."""
        counters = self.by_type.get(name)
        if counters is None:
            counters = self.by_type[name] = TrafficTypeCounters()
        return counters

    def record_rejected(self, traffic_type: TrafficTypeConfig) -> None:
        """Count a request that was rejected before it reached the executor."""
        counters = self.of_type(traffic_type.name)
        counters.requests += 1
        counters.offered_utility += traffic_type.utility
        counters.answers[AnswerState.REJECTED.value] += 1

    def record_answered(self, traffic_type: TrafficTypeConfig, sequence: InFlightSequence) -> None:
        """Count a sequence that got its final answer or whose client disconnected."""
        answer = sequence.answer.state
        counters = self.of_type(traffic_type.name)
        counters.requests += 1
        counters.answers[answer] += 1
        counters.attempts += len(sequence.attempts)
        if answer == AnswerState.CLIENT_LEFT:
            return  # a client that disconnected waits for no answer, so it offers no utility
        counters.offered_utility += traffic_type.utility
        latency = sequence.first_token_latency
        if latency is not None:
            counters.record_first_token(latency)
        if answer == AnswerState.GENERATED:
            self.generated_count += 1
            prompt_slo = traffic_type.slo_per_1000_tokens * sequence.arrival.prompt_tokens / 1000.0
            is_in_time = latency is None or latency <= traffic_type.latency_slo + prompt_slo
            counters.earned_utility += traffic_type.utility * (1.0 if is_in_time else traffic_type.late_share)


class _AnswerObserver(ExecutorObserver):
    """Counts the answers of one executor."""

    def __init__(self, counters: TrafficCounters, traffic_types: Sequence[TrafficTypeConfig]) -> None:
        self._counters = counters
        self._traffic_types = traffic_types

    def answered(self, sequence: InFlightSequence) -> None:
        """Count an answer."""
        self._counters.record_answered(self._traffic_types[sequence.arrival.traffic], sequence)
