"""Counters of a node by traffic type since its start, which canary analysis compares between nodes."""

import math
from collections import Counter
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from myrtlehub.config.traffic import TrafficTypeConfig
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.state.answer import AnswerState

MICROSECONDS = 1e6  # in a second
MAX_LATENCY = 600_000_000  # microseconds; longer latencies are recorded as this
HISTOGRAM_DIGITS = 2  # significant digits; 1 per cent is finer than any threshold of canary analysis
MIN_LATENCY_SECONDS = 1e-6  # shorter latencies are recorded as this, as 0 has no logarithm


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
        self.offered_utility = 0.0  # of all requests whose client waited for the answer
        self.earned_utility = 0.0  # the utility of complete answers, reduced for late ones
        self.answers: Counter[str] = Counter()
        self.first_token_histogram = HdrHistogram(1, MAX_LATENCY, HISTOGRAM_DIGITS)  # microseconds
        self.first_token_log_sum = 0.0  # of the natural logarithms of seconds

    def record_first_token(self, latency: float) -> None:
        """Record the seconds to a first token."""
        latency = max(MIN_LATENCY_SECONDS, latency)
        microseconds = max(1, int(latency * MICROSECONDS))
        self.first_token_histogram.record_value(min(MAX_LATENCY, microseconds))
        self.first_token_log_sum += math.log(latency)


class TrafficCounters:
    """Counters of one process, across changes of its settings."""

    def __init__(self) -> None:
        self.by_type: dict[str, TrafficTypeCounters] = {}
        self.generated = 0

    def follow(self, executor: ActionExecutor, rows: Sequence[TrafficTypeConfig]) -> None:
        """Count an executor's answers; `rows` are the traffic types of its settings, by index."""
        executor.add_observer(_AnswerObserver(self, rows))

    def of_type(self, name: str) -> TrafficTypeCounters:
        """Return the counters of a traffic type, and make them at the first use."""
        counters = self.by_type.get(name)
        if counters is None:
            counters = self.by_type[name] = TrafficTypeCounters()
        return counters

    def record_rejected(self, row: TrafficTypeConfig) -> None:
        """Count a request that was rejected before it reached the executor."""
        counters = self.of_type(row.name)
        counters.requests += 1
        counters.offered_utility += row.utility
        counters.answers[AnswerState.REJECTED.value] += 1

    def record_answered(self, row: TrafficTypeConfig, sequence: InFlightSequence) -> None:
        """Count a sequence of this traffic type that has its final answer."""
        answer = sequence.answer.state
        counters = self.of_type(row.name)
        counters.requests += 1
        counters.answers[answer] += 1
        counters.attempts += len(sequence.attempts)
        if answer == AnswerState.CLIENT_LEFT:
            return  # a client that disconnected waits for no answer, so there is no utility to earn
        counters.offered_utility += row.utility
        latency = sequence.first_token_latency
        if latency is not None:
            counters.record_first_token(latency)
        if answer == AnswerState.GENERATED:
            self.generated += 1
            prompt_share = row.slo_per_1000_tokens * sequence.arrival.prompt_tokens / 1000.0
            is_in_time = latency is None or latency <= row.latency_slo + prompt_share
            counters.earned_utility += row.utility * (1.0 if is_in_time else row.late_share)


class _AnswerObserver(ExecutorObserver):
    """Counts the answers of one executor."""

    def __init__(self, counters: TrafficCounters, rows: Sequence[TrafficTypeConfig]) -> None:
        self._counters = counters
        self._rows = rows

    def answered(self, sequence: InFlightSequence) -> None:
        """Count an answer."""
        self._counters.record_answered(self._rows[sequence.arrival.traffic], sequence)
