"""How the parts of a batch become one answer, in order and of one version of the model. Pure.

A part ends generated, rejected or aborted like any sequence; what that means for the batch is stated here and
nowhere else:

- generated, once every item has a result or an error of its own;
- else, asked for whole: at once, when the first part is lost for good; nothing is handed out;
- else, asked for as a stream: when the last part has ended; what came stands;
- aborted if any part was, since what may have run makes no promise; else rejected, with the longest wait;
- a part of another version than the one that the batch is pinned to is not handed out: it is done again, and
  where nothing has been handed out yet and the pinned version is gone, all of it is, `RESTARTS` times.
"""

from collections.abc import Sequence
from typing import NamedTuple

WAITING, AGAIN, OVER = "waiting", "again", "over"
RESTARTS = 1


class Answer(NamedTuple):
    """The final answer of a batch."""

    kind: str  # generated, rejected, aborted
    wait: float = 0.0
    reason: str = ""


class Join:
    """One batch of `count` items. Results are whatever the front makes of them, None where there is none."""

    def __init__(self, count: int, streams: bool, model: str = "") -> None:
        self.streams, self.model = streams, model
        self.results: list[object] = [None] * count
        self.missing = count
        self.handed = 0  # items that the client has, or that were kept
        self.answer: Answer | None = None
        self.restarts = 0
        self._open: dict[int, Sequence[int]] = {}  # parts that are out, and their items
        self._lost: list[Answer] = []

    def begin(self, part: int, items: Sequence[int]) -> None:
        """A part goes out."""
        self._open[part] = items

    def know(self, index: int, result: object) -> None:
        """An item that needs no engine."""
        if self.results[index] is None:
            self.missing -= 1
        self.results[index] = result

    def finish_if_whole(self) -> bool:
        """Whether all is there, after `know`."""
        if self.answer is None and not self.missing and not self._open:
            self.answer = Answer("generated")
        return self.answer is not None

    def done(self, part: int, results: Sequence[object], model: str) -> str:
        """A part was generated; its results in the order of its items. What follows: hand them out and go on
        waiting, do the part again, or the answer stands.
        """
        items = self._open.pop(part, None)
        if items is None or self.answer is not None:
            return OVER
        if self.model and model != self.model:
            return AGAIN
        self.model = model
        for index, result in zip(items, results, strict=True):
            self.know(index, result)
        self.handed += len(items) if self.streams else 0
        return self._settle()

    def lost(self, part: int, answer: Answer) -> str:
        """A part ended without results."""
        if self._open.pop(part, None) is None or self.answer is not None:
            return OVER
        self._lost.append(answer)
        return self._settle()

    def may_restart(self) -> bool:
        """Whether all may be done anew by another version: nothing was handed out, and not done before."""
        return not self.handed and self.restarts < RESTARTS and self.answer is None

    def restart(self, model: str) -> None:
        """All anew, pinned to this version; results and parts so far count no more."""
        self.restarts += 1
        self.model = model
        self.results = [None] * len(self.results)
        self.missing = len(self.results)
        self._open.clear()
        self._lost.clear()

    def _settle(self) -> str:
        if self._lost and (not self.streams or not self._open):
            worst = [a for a in self._lost if a.kind == "aborted"] or self._lost
            self.answer = Answer(worst[0].kind, max(a.wait for a in worst), worst[0].reason)
        elif not self.missing and not self._open:
            self.answer = Answer("generated")
        return OVER if self.answer is not None else WAITING
