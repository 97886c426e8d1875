"""Counts of all batches, and the wrong answers to them."""

from collections import Counter
from typing import TypedDict


class BatchFigures(TypedDict):
    """The figures of all batches, as a verdict stores them."""

    batches: int
    tries: int
    items: int
    kept: int  # items that the node had cached
    answers: dict[str, dict[str, int]]  # counts, by traffic type and answer
    faults: list[str]


class BatchTally:
    """Counts what clients requested and received."""

    def __init__(self) -> None:
        self.calls = 0
        self.checked_items = 0
        self.cached_items = 0
        self.faults: list[str] = []
        self._answers: dict[str, Counter[str]] = {}

    def add_answer(self, traffic: str, answer: str) -> None:
        """Count the end of a request of a traffic type."""
        self._answers.setdefault(traffic, Counter())[answer] += 1

    def figures(self, planned: int) -> BatchFigures:
        """Return all counts, with the number of planned batches, for the verdict."""
        return {
            "batches": planned,
            "tries": self.calls,
            "items": self.checked_items,
            "kept": self.cached_items,
            "answers": {traffic: dict(counts) for traffic, counts in self._answers.items()},
            "faults": self.faults,
        }
