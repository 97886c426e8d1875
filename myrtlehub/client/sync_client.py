"""Chat client for programs without an event loop, over grpcio."""

import random
import time
from collections.abc import Iterable, Iterator
from typing import Self

import grpc  # type: ignore[import-untyped]  # grpcio publishes no types

from myrtlehub.client.grpcio_calls import result_of_error, start_call
from myrtlehub.client.requests import ChatRequest
from myrtlehub.client.results import Generated
from myrtlehub.client.retries import ChatAttempt, ChatRetryState


class ChatStream:
    """An iterator over tuples of token ids; `answer` is set once the iteration has ended."""

    def __init__(self, client: "Client", request: ChatRequest) -> None:
        self._client = client
        self._retries = ChatRetryState(request, time.monotonic(), random.random)
        self._call: grpc.Call | None = None
        self.answer: Generated | None = None

    def __iter__(self) -> Iterator[tuple[int, ...]]:
        while True:
            attempt = ChatAttempt(self._retries)
            self._call = start_call(self._client.channels, self._retries, time.monotonic())
            try:
                self._retries.record_metadata(self._call.initial_metadata() or ())
                for reply in self._call:
                    ids = attempt.receive(reply)
                    if ids is not None:
                        yield ids
            except grpc.RpcError as error:
                attempt.fail(result_of_error(error))
            delay = self._retries.next_delay(attempt.result, time.monotonic())
            if delay is None:
                self.answer = self._retries.final_answer(attempt.result)
                return
            time.sleep(delay)

    def cancel(self) -> None:
        """Cancel the call, which stops the node and its engines as well."""
        if self._call is not None:
            self._call.cancel()


class ChannelOwner:
    """Owner of a channel to one node: a given grpcio channel, or one to `address`, which it closes."""

    def __init__(self, address: str = "", channel: grpc.Channel | None = None) -> None:
        self._owns_channel = channel is None
        self._channel = channel or grpc.insecure_channel(address)

    def close(self) -> None:
        """Close the channel unless it was given."""
        if self._owns_channel:
            self._channel.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *ignored: object) -> None:
        self.close()


class Client(ChannelOwner):
    """Sends chat requests to one node, and to others if that one is lost."""

    def __init__(
        self, address: str = "", channel: grpc.Channel | None = None, others: Iterable[str] = ()
    ) -> None:
        """Make channels; `others` are addresses of nodes that resume sequences of a lost node."""
        super().__init__(address, channel)
        self._other_channels = [grpc.insecure_channel(other) for other in others]
        self.channels = [self._channel, *self._other_channels]

    def close(self) -> None:
        """Close the channels that were made here."""
        super().close()
        for channel in self._other_channels:
            channel.close()

    def generate(self, request: ChatRequest) -> ChatStream:
        """Return the stream of tokens; iterating raises an `AnswerError` unless the answer is complete."""
        return ChatStream(self, request)
