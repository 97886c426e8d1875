"""Counts, latencies and goodput of one traffic type of the chat front."""

from collections import Counter
from typing import TypedDict

from myrtlehub.lab.latency_histogram import LatencyHistogram

MAX_LATENCY_S = 120.0  # longer times are left out of the percentiles


class ChatFigures(TypedDict):
    """The figures of one traffic type, as a verdict stores them."""

    sequences: int
    tries: int
    answers: dict[str, int]
    first_token: dict[str, float]  # seconds, by percentile
    per_token: dict[str, float]
    goodput: float | None  # None without any requested utility


class ChatTally:
    """Counts what clients requested and received."""

    def __init__(self) -> None:
        self.requests = 0
        self.calls = 0
        self.requested_utility = 0.0
        self.good_utility = 0.0  # of generated answers; less for those that miss the latency objective
        self.answers: Counter[str] = Counter()
        self._first_token = LatencyHistogram(MAX_LATENCY_S)
        self._token_gap = LatencyHistogram(MAX_LATENCY_S)

    def add_first_token(self, seconds: float) -> None:
        """Add the time from the request to the first token."""
        self._first_token.record(seconds)

    def add_token_gap(self, seconds: float) -> None:
        """Add the time from one token to the next."""
        self._token_gap.record(seconds)

    def figures(self) -> ChatFigures:
        """Return counts, seconds at percentiles, and goodput, for the verdict."""
        goodput = round(self.good_utility / self.requested_utility, 4) if self.requested_utility else None
        return {
            "sequences": self.requests,
            "tries": self.calls,
            "answers": dict(sorted(self.answers.items())),
            "first_token": self._first_token.percentiles(),
            "per_token": self._token_gap.percentiles(),
            "goodput": goodput,
        }
