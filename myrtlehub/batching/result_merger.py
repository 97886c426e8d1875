"""Merging of the results of a batch's parts into one answer, in order and by one version of the model.

A part ends as generated, rejected or aborted, like any sequence. The answer of the batch follows from its
parts:

- The batch is generated once every item has a result or an error of its own.
- Otherwise, a batch without streaming ends when the first part has failed, and the client gets no results.
- Otherwise, a streaming batch ends when its last part has ended; results that were sent remain valid.
- A failed batch is aborted if any part was aborted, as that part may have run. Else it is rejected, with the
  longest Retry-After of its parts.
- A batch uses results of one version of the model. A part whose results are of another version is retried. If
  no result was sent yet and no engine has the version any more, the whole batch restarts, at most
  `MAX_RESTARTS` times.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Generic, NamedTuple, TypeVar

MAX_RESTARTS = 1  # of one batch, so that it cannot restart without end

Result = TypeVar("Result")


class BatchOutcome(StrEnum):
    """How a batch, or one of its parts, ended."""

    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"


class BatchAnswer(NamedTuple):
    """The final answer of a batch, or the failure of one of its parts.

    Attributes:
        outcome: how it ended.
        retry_after: the Retry-After of a rejection, in seconds; without meaning for other outcomes.
        reason: why it was rejected or aborted, in words for the client.
    """

    outcome: BatchOutcome
    retry_after: float = 0.0
    reason: str = ""


class MergeVerdict(StrEnum):
    """What the caller has to do after the end of a part."""

    WAIT_FOR_PARTS = "wait-for-parts"
    RETRY_PART = "retry-part"  # or restart the batch, see `may_restart`
    ANSWERED = "answered"  # this part or an earlier one decided the final answer: send it if not yet sent


class ResultMerger(Generic[Result]):
    """Merges the results of one batch."""

    def __init__(self, item_count: int, is_stream: bool, model: str = "") -> None:
        """Make a merger without results.

        Args:
            item_count: items of the batch.
            is_stream: whether results are sent to the client as parts end.
            model: the version of the model that all results must be of; empty: that of the first results.
        """
        self.is_stream = is_stream
        self.model = model
        self.results: list[Result | None] = [None] * item_count  # by item; None: no result yet
        self.missing = item_count  # items without a result
        self.sent_items = 0  # items of parts whose results were sent to a streaming client
        self.answer: BatchAnswer | None = None
        self.restarts = 0
        self._open_parts: dict[int, Sequence[int]] = {}  # item indices by part
        self._failures: list[BatchAnswer] = []

    def begin_part(self, part: int, indices: Sequence[int]) -> None:
        """Record that a part with these items is sent to an engine."""
        self._open_parts[part] = indices

    def set_result(self, index: int, result: Result) -> None:
        """Set the result of an item: a cached one, or that of an equal item."""
        if self.results[index] is None:
            self.missing -= 1
        self.results[index] = result

    def answer_if_complete(self) -> bool:
        """Decide the answer if no result is missing; return whether it is decided."""
        if self.answer is None and not self.missing and not self._open_parts:
            self.answer = BatchAnswer(BatchOutcome.GENERATED)
        return self.answer is not None

    def part_generated(self, part: int, results: Sequence[Result], model: str) -> MergeVerdict:
        """Set the results of a part, which are in the order of its items; return what to do next."""
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
        """Record that a part ended without results; return what to do next."""
        if self._open_parts.pop(part, None) is None or self.answer is not None:
            return MergeVerdict.ANSWERED
        self._failures.append(failure)
        return self._decide_answer()

    def may_restart(self) -> bool:
        """Return whether the batch may restart: no result was sent, and it has not restarted too often."""
        return not self.sent_items and self.restarts < MAX_RESTARTS and self.answer is None

    def restart(self, model: str) -> None:
        """Discard all results and parts, so that the batch is run again by this version of the model."""
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
