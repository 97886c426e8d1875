"""Merging of the results of batch parts into one answer, in input order and from one model version.

Like any sequence, a part ends with the outcome generated, rejected or aborted. The outcomes of the parts
determine that of the batch:

- If every item has a result or an item error, the batch ends as generated.
- If a part of a non-streaming batch fails, the batch fails immediately and returns no results.
- If a part of a streaming batch fails, the batch fails after its last part has ended. Results that were
  already sent remain valid.
- A failed batch is aborted if any of its failed parts was aborted, because that part may have run; otherwise
  it is rejected. Its Retry-After is the longest among the failures that determined the outcome.
- All results of a batch come from one model version. A part with results of another version is retried. If no
  result was sent and no engine serves the version any more, the entire batch restarts, at most
  `MAX_RESTARTS` times.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Generic, NamedTuple, TypeVar

MAX_RESTARTS = 1  # per batch; prevents endless restarts

Result = TypeVar("Result")


class BatchOutcome(StrEnum):
    """How a batch, or one of its parts, ended."""

    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"


class BatchAnswer(NamedTuple):
    """The final answer of a batch, or the failure of one of its parts.

    Attributes:
        outcome: how the batch or part ended.
        retry_after: the Retry-After of a rejection, in seconds; unused for other outcomes.
        reason: the reason for a rejection or abort, as a message for the client.
    """

    outcome: BatchOutcome
    retry_after: float = 0.0
    reason: str = ""


class MergeVerdict(StrEnum):
    """The caller's next action after a part has ended."""

    WAIT_FOR_PARTS = "wait-for-parts"
    RETRY_PART = "retry-part"  # or restart the batch, see `may_restart`
    ANSWERED = "answered"  # the final answer was decided now or earlier: send it if it has not been sent


class ResultMerger(Generic[Result]):
    """Merges the results of one batch."""

    def __init__(self, item_count: int, is_stream: bool, model: str = "") -> None:
        """Make a merger without results.

        Args:
            item_count: items of the batch.
            is_stream: whether the results of each part are sent to the client when the part ends.
            model: the required model version of all results; empty: the version of the first results.
        """
        self.is_stream = is_stream
        self.model = model
        self.results: list[Result | None] = [None] * item_count  # by item; None: no result yet
        self.missing = item_count  # items without a result
        self.sent_items = 0  # items whose results were sent to the client of a streaming batch
        self.answer: BatchAnswer | None = None
        self.restarts = 0
        self._open_parts: dict[int, Sequence[int]] = {}  # item indices, by part in flight
        self._failures: list[BatchAnswer] = []

    def begin_part(self, part: int, indices: Sequence[int]) -> None:
        """Record that a part with these items has been sent to an engine."""
        self._open_parts[part] = indices

    def set_result(self, index: int, result: Result) -> None:
        """Set the result of an item: from its part, from the cache, or from an identical item."""
        if self.results[index] is None:
            self.missing -= 1
        self.results[index] = result

    def answer_if_complete(self) -> bool:
        """Decide the answer if no result is missing; return whether the answer is decided."""
        if self.answer is None and not self.missing and not self._open_parts:
            self.answer = BatchAnswer(BatchOutcome.GENERATED)
        return self.answer is not None

    def part_generated(self, part: int, results: Sequence[Result], model: str) -> MergeVerdict:
        """Set the results of a part, given in the order of its items; return the caller's next action."""
        indices = self._open_parts.pop(part, None)
        if indices is None or self.answer is not None:
            return MergeVerdict.ANSWERED
        if self.model and model != self.model:
            return MergeVerdict.RETRY_PART
        self.model = model
        for index, result in zip(indices, results, strict=True):
            self.set_result(index, result)
        if self.is_stream:
            self.sent_items += len(indices)
        return self._decide_answer()

    def part_failed(self, part: int, failure: BatchAnswer) -> MergeVerdict:
        """Record that a part ended without results; return the caller's next action."""
        if self._open_parts.pop(part, None) is None or self.answer is not None:
            return MergeVerdict.ANSWERED
        self._failures.append(failure)
        return self._decide_answer()

    def may_restart(self) -> bool:
        """Return whether the batch may restart: not answered, no result sent, and below `MAX_RESTARTS`."""
        return not self.sent_items and self.restarts < MAX_RESTARTS and self.answer is None

    def restart(self, model: str) -> None:
        """Discard all results and parts, to run the batch again on this model version."""
        self.restarts += 1
        self.model = model
        self.results = [None] * len(self.results)
        self.missing = len(self.results)
        self._open_parts.clear()
        self._failures.clear()

    def _decide_answer(self) -> MergeVerdict:
        if self._failures and (not self.is_stream or not self._open_parts):
            self.answer = self._failed_answer()
        elif not self.missing and not self._open_parts:
            self.answer = BatchAnswer(BatchOutcome.GENERATED)
        return MergeVerdict.WAIT_FOR_PARTS if self.answer is None else MergeVerdict.ANSWERED

    def _failed_answer(self) -> BatchAnswer:
        aborted = [failure for failure in self._failures if failure.outcome == BatchOutcome.ABORTED]
        decisive = aborted or self._failures
        retry_after = max(failure.retry_after for failure in decisive)
        return decisive[0]._replace(retry_after=retry_after)
