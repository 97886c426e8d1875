"""The replies to a part of a batch: a stream of results and a final message."""

from collections.abc import Sequence
from typing import NamedTuple

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.engine_transport.attempt_watcher import AttemptWatcher, load_report_of
from myrtlehub.node.sequences import Attempt
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.routing import contract


class EngineResults(NamedTuple):
    """The results of an engine batch, as passed to its response sink."""

    model: str  # model version that computed the results
    results: Sequence[pb.ItemResult]  # in the order of the items


class BatchWatcher(AttemptWatcher):
    """Watches a part of a batch; results are reported only after all of them have arrived."""

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
        reply_field = reply.WhichOneof("reply")
        if reply_field == "items":
            self.results.extend(reply.items.results)
        elif reply_field == "ended":
            self._complete(reply.ended)
        elif reply_field == "refused":
            load = load_report_of(reply.refused)
            self.executor.attempt_ended(self.attempt, contract.Outcome.FULL, 0.0, load)

    def _complete(self, ended: pb.BatchEnded) -> None:
        self.executor.attempt_began(self.attempt, EngineResults(ended.model, self.results))
        self.executor.attempt_ended(
            self.attempt,
            contract.Outcome.GENERATED,
            0.0,
            load_report_of(ended),
            tokens=len(self.results),
        )
