"""The replies to a part of a batch: a stream of results and a final message."""

from collections.abc import Sequence
from typing import NamedTuple

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.engine_transport.attempt_watcher import AttemptWatcher, load_report_of
from myrtlehub.node.sequences import Attempt
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.routing import contract


class EngineResults(NamedTuple):
    """The results of an engine batch, as its attempt reports them."""

    model: str  # version of the model that computed them
    results: Sequence[pb.ItemResult]  # in the order of the items


class BatchWatcher(AttemptWatcher):
    """Watches a part of a batch; its results count only once all of them have arrived."""

    def __init__(self, executor: ActionExecutor, attempt: Attempt) -> None:
        super().__init__(executor, attempt)
        self.results: list[pb.ItemResult] = []

    def message(self, data: bytes) -> None:
        """Handle results or the final reply."""
        if not self.attempt.is_outstanding:
            return
        reply = self.parse(pb.BatchReply, data)
        if reply is None:
            return
        which = reply.WhichOneof("reply")
        if which == "items":
            self.results.extend(reply.items.results)
        elif which == "ended":
            self._complete(reply.ended)
        elif which == "refused":
            load = load_report_of(reply.refused)
            self.executor.ended(self.attempt, contract.Outcome.FULL, 0.0, load)

    def _complete(self, ended: pb.BatchEnded) -> None:
        self.executor.began(self.attempt, EngineResults(ended.model, self.results))
        self.executor.ended(
            self.attempt,
            contract.Outcome.GENERATED,
            0.0,
            load_report_of(ended),
            tokens=len(self.results),
        )
