"""The replies to a write: a stream of tokens and a final message."""

from myrtlehub.node.engine_transport.attempt_watcher import AttemptWatcher, load_report_of
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.routing import contract

# The first byte of a reply that carries tokens: the tag of field 1. The tokens are field 1 in both
# WriteReply and GenerateReply, so such a reply is forwarded to the client without decoding it.
TOKENS_TAG = 0x0A
TOKENS_PREFIX = bytes((TOKENS_TAG,))


class WriteWatcher(AttemptWatcher):
    """Watches an attempt at a writer."""

    def message(self, data: bytes) -> None:
        """Handle tokens or the final reply."""
        attempt = self.attempt
        if data[:1] == TOKENS_PREFIX:
            if attempt.is_streaming:
                self.executor.tokens_received(attempt, data)
            elif attempt.is_outstanding:
                self.executor.attempt_began(attempt, data)
            return
        reply = self.parse(pb.WriteReply, data)
        if reply is not None:
            self._handle_final_reply(reply)

    def _handle_final_reply(self, reply: pb.WriteReply) -> None:
        reply_field = reply.WhichOneof("reply")
        if reply_field == "ended":
            ended = reply.ended
            self.executor.attempt_ended(
                self.attempt,
                contract.Outcome.GENERATED,
                float(ended.kept_tokens),
                load_report_of(ended),
                tokens=ended.tokens,
            )
        elif reply_field == "refused":
            rejection = reply.refused
            self.executor.attempt_ended(
                self.attempt, contract.Outcome.FULL, float(rejection.no_state), load_report_of(rejection)
            )
