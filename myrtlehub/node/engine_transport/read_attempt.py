"""The reply to a read: one message and a status."""

from myrtlehub.node.engine_transport.attempt_watcher import AttemptWatcher, load_report_of
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.routing import contract
from myrtlehub.rpc.status import Code, Status


class ReadWatcher(AttemptWatcher):
    """Watches an attempt at a reader; the reply is used only if the call ends with status OK."""

    reply: bytes | None = None

    def message(self, data: bytes) -> None:
        """Store the reply."""
        self.reply = data

    def ended(self, status: Status) -> None:
        """Report the outcome that follows from the status and the reply."""
        if status.code != Code.OK or self.reply is None:
            super().ended(status)
            return
        reply = self.parse(pb.ReadReply, self.reply)
        if reply is None:
            return
        load = load_report_of(reply)
        if reply.HasField("read"):
            cached_tokens = float(reply.kept_tokens)
            self.executor.attempt_ended(self.attempt, contract.Outcome.READ, cached_tokens, load, reply.read)
        else:
            load = load_report_of(reply.refused) or load
            self.executor.attempt_ended(self.attempt, contract.Outcome.FULL, 0.0, load)
