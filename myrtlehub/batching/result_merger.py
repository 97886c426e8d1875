"""Merging the results of a batch's parts into one answer, in order and of one version of the model.

A part ends generated, rejected or aborted like any sequence. What that means for the batch:

- it is generated once every item has a result or an error of its own;
- otherwise, if it was asked for as a whole, it ends when the first part has finally failed, and no result is
  sent to the client;
- otherwise, if it was asked for as a stream, it ends when the last part has ended; results sent so far stand;
- it is aborted if any part was aborted, as that part may have run; else it is rejected, with the longest
  Retry-After of its parts;
- results of another model version than the one that the batch is pinned to are not used: the part is retried,
  and where no result has been sent yet and the pinned version is gone, the whole batch restarts, at most
  `MAX_RESTARTS` times.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Generic, NamedTuple, TypeVar

MAX_RESTARTS = 1

Result = TypeVar("Result")


class BatchOutcome(StrEnum):
    """How a batch or one of its parts ended."""

    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"


class BatchAnswer(NamedTuple):
    """The final answer of a batch, or the failure of one of its parts."""

    outcome: BatchOutcome
    retry_after: float = 0.0
    reason: str = ""


class MergeVerdict(StrEnum):
    """What follows from the end of a part."""

    WAIT_FOR_PARTS = "wait-for-parts"
    RETRY_PART = "retry-part"
    ANSWERED = "answered"  # the answer of the batch is decided, by this part or before it


class ResultMerger(Generic[Result]):
    """Merges the results of one batch; where an item has none yet, its result is None."""

    def __init__(self, item_count: int, is_stream: bool, model: str = "") -> None:
        self.is_stream = is_stream
        self.model = model
        self.results: list[Result | None] = [None] * item_count
        self.missing = item_count
        self.sent_items = 0  # items that a streaming client has from parts
        self.answer: BatchAnswer | None = None
        self.restarts = 0
        self._open_parts: dict[int, Sequence[int]] = {}  # item indices by part
        self._failures: list[BatchAnswer] = []

    def begin_part(self, part: int, indices: Sequence[int]) -> None:
        """Take note that a part is sent."""
        self._open_parts[part] = indices

    def set_result(self, index: int, result: Result) -> None:
        """Set the result of an item that needs no engine."""
        if self.results[index] is None:
            self.missing -= 1
        self.results[index] = result

    def answer_if_complete(self) -> bool:
        """Decide the answer if no result is missing; return whether it is decided."""
        if self.answer is None and not self.missing and not self._open_parts:
            self.answer = BatchAnswer(BatchOutcome.GENERATED)
        return self.answer is not None

    def part_generated(self, part: int, results: Sequence[Result], model: str) -> MergeVerdict:
        """Take the results of a part, in the order of its items, and return what follows."""
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
        return self._settle()

    def part_failed(self, part: int, failure: BatchAnswer) -> MergeVerdict:
        """Take note that a part ended without results, and return what follows."""
        if self._open_parts.pop(part, None) is None or self.answer is not None:
            return MergeVerdict.ANSWERED
        self._failures.append(failure)
        return self._settle()

    def may_restart(self) -> bool:
        """Whether another version may redo the batch: nothing was sent, and it was not redone before."""
        return not self.sent_items and self.restarts < MAX_RESTARTS and self.answer is None

    def restart(self, model: str) -> None:
        """Begin anew, pinned to this version; results and parts so far do not count any more."""
        self.restarts += 1
        self.model = model
        self.results = [None] * len(self.results)
        self.missing = len(self.results)
        self._open_parts.clear()
        self._failures.clear()

    def _settle(self) -> MergeVerdict:
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
