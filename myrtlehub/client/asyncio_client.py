"""Chat client for asyncio programs, over grpcio.aio."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Iterable
from typing import Self

import grpc  # type: ignore[import-untyped]  # grpcio publishes no types

from myrtlehub.client.grpcio_calls import result_of_error, start_call
from myrtlehub.client.requests import ChatRequest
from myrtlehub.client.results import Generated
from myrtlehub.client.retries import ChatAttempt, ChatRetryState


class ChatStream:
    """An asynchronous iterator over tuples of token ids; `answer` is set once the iteration has ended."""

    def __init__(self, client: "Client", request: ChatRequest) -> None:
        self._client = client
        self._retries = ChatRetryState(request, time.monotonic(), random.random)
        self.answer: Generated | None = None

    async def __aiter__(self) -> AsyncIterator[tuple[int, ...]]:
        while True:
            attempt = ChatAttempt(self._retries)
            call = start_call(self._client.channels, self._retries, time.monotonic())
            try:
                self._retries.record_metadata(await call.initial_metadata() or ())
                async for reply in call:
                    ids = attempt.receive(reply)
                    if ids is not None:
                        yield ids
            except grpc.RpcError as error:
                attempt.fail(result_of_error(error))
            finally:
                call.cancel()  # after an early end of the iteration, this stops the node and its engines
            delay = self._retries.next_delay(attempt.result, time.monotonic())
            if delay is None:
                self.answer = self._retries.final_answer(attempt.result)
                return
            await asyncio.sleep(delay)


class Client:
    """Sends chat requests to one node, and to others if that one is lost; used with `async with`."""

    def __init__(self, address: str, others: Iterable[str] = ()) -> None:
        """Make channels; `others` are addresses of nodes that resume sequences of a lost node."""
        self.channels = [grpc.aio.insecure_channel(node) for node in (address, *others)]

    def generate(self, request: ChatRequest) -> ChatStream:
        """Return the stream of tokens; iterating raises an `AnswerError` unless the answer is complete."""
        return ChatStream(self, request)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *ignored: object) -> None:
        for channel in self.channels:
            await channel.close()
