"""Chat client for Twisted programs, over this project's channel, which reports unprocessed calls."""

import random
from collections.abc import Callable, Iterable

from twisted.internet.defer import Deferred

from myrtlehub.client.errors import AnswerError
from myrtlehub.client.requests import ChatRequest
from myrtlehub.client.results import AttemptResult, Generated, Outcome
from myrtlehub.client.retries import ChatAttempt, ChatRetryState
from myrtlehub.clock import Clock, Timer
from myrtlehub.proto import chat_pb2 as pb
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher, ClientCall
from myrtlehub.rpc.status import Code, Metadata, Status

TokenCallback = Callable[[tuple[int, ...]], None]


def result_of_status(status: Status) -> AttemptResult:
    """Return the result of a call that ended with this status and without a final reply."""
    if status.code == Code.INVALID_ARGUMENT:
        return AttemptResult(Outcome.INVALID, message=status.message)
    message = f"{status.code.name}: {status.message}"
    if status.code == Code.ABORTED:  # another node has taken the sequence over
        return AttemptResult(Outcome.ABORTED, message=message)
    return AttemptResult(Outcome.LOST, message=message, unprocessed=status.unprocessed)


class _AttemptWatcher(CallWatcher):
    """Passes the replies of one call to its stream."""

    def __init__(self, stream: "ChatStream") -> None:
        self._stream = stream
        self._attempt = ChatAttempt(stream.retries)

    def headers(self, meta: Metadata) -> None:
        self._stream.retries.record_metadata(meta)

    def message(self, data: bytes) -> None:
        ids = self._attempt.receive(pb.GenerateReply.FromString(data))
        if ids is not None:
            self._stream.on_tokens(ids)

    def ended(self, status: Status) -> None:
        self._attempt.fail(result_of_status(status))
        self._stream.attempt_ended(self._attempt.result)


class ChatStream:
    """One request in flight; `done` fires with `Generated` or fails with an `AnswerError`.

    Cancelling `done` stops the node and its engines as well. `pauseProducing` suspends the generation of
    tokens by flow control, `resumeProducing` resumes it.
    """

    def __init__(self, client: "Client", request: ChatRequest, on_tokens: TokenCallback) -> None:
        self.client = client
        self.on_tokens = on_tokens
        self.retries = ChatRetryState(request, client.clock.seconds(), client.random)
        self.done: Deferred[Generated] = Deferred(lambda ignored: self._cancel())
        self._retry_timer: Timer | None = None
        self._call = self._start_call()

    def _start_call(self) -> ClientCall:
        now = self.client.clock.seconds()
        channels = self.client.channels
        channel = channels[self.retries.node_index % len(channels)]
        call = channel.call(
            self.retries.method(), _AttemptWatcher(self), timeout=self.retries.call_timeout(now)
        )
        call.send(self.retries.message(now).SerializeToString())
        call.half_close()
        return call

    def _retry(self) -> None:
        self._retry_timer = None
        self._call = self._start_call()

    def attempt_ended(self, result: AttemptResult) -> None:
        """Schedule the next call after an attempt, or fire `done`."""
        if self.done.called:
            return
        delay = self.retries.next_delay(result, self.client.clock.seconds())
        if delay is not None:
            self._retry_timer = self.client.clock.callLater(delay, self._retry)
            return
        try:
            self.done.callback(self.retries.final_answer(result))
        except AnswerError as error:
            self.done.errback(error)

    def _cancel(self) -> None:
        if self._retry_timer is not None and self._retry_timer.active():
            self._retry_timer.cancel()
        self._call.cancel()

    def pauseProducing(self) -> None:  # noqa: N802
        """Suspend the delivery of tokens."""
        self._call.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the delivery of tokens."""
        self._call.resumeProducing()


class Client:
    """Sends chat requests to one node, on a channel that the caller owns.

    `others` are channels of nodes at which lost sequences are resumed.
    """

    def __init__(
        self,
        channel: Channel,
        clock: Clock,
        draw: Callable[[], float] = random.random,
        others: Iterable[Channel] = (),
    ) -> None:
        self.channels = [channel, *others]
        self.clock = clock
        self.random = draw

    def generate(self, request: ChatRequest, on_tokens: TokenCallback) -> ChatStream:
        """Start a request; `on_tokens` is called with each message's token ids."""
        return ChatStream(self, request, on_tokens)
