"""The replies to a part of a batch: a stream of results, and a final message."""

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.engine_transport.attempt_watcher import AttemptWatcher, load_report_of
from myrtlehub.node.sequences import Attempt
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.routing import contract


class BatchWatcher(AttemptWatcher):
    """Watches a part of a batch: its results count once all are there; a part that broke off is retried."""

    def __init__(self, executor: ActionExecutor, attempt: Attempt) -> None:
        super().__init__(executor, attempt)
        self.results: list[pb.ItemResult] = []

    def message(self, data: bytes) -> None:
        """Take results or the final reply."""
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
        self.executor.began(self.attempt, (ended.model, self.results))
        self.executor.ended(
            self.attempt,
            contract.Outcome.GENERATED,
            0.0,
            load_report_of(ended),
            tokens=len(self.results),
        )
