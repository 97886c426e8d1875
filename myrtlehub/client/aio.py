"""For asyncio, over grpcio.aio."""

import asyncio
import random
import time
from collections.abc import AsyncIterator

import grpc

from myrtlehub.client.promise import PATH, Ask, End, Generated, Tries, end_of
from myrtlehub.client.sync import lost_end
from myrtlehub.proto import chat_pb2 as pb


class Stream:
    """An asynchronous iterator over token messages; `answer` is set once it is over."""

    def __init__(self, client: "Client", ask: Ask) -> None:
        self._client, self._tries = client, Tries(ask, time.monotonic(), random.random)
        self.answer: Generated | None = None

    async def __aiter__(self) -> AsyncIterator[tuple[int, ...]]:
        tries = self._tries
        while True:
            end = End("lost", said="the stream ended without a final answer")
            call = self._client.call(
                tries.ask.message(tries.count), timeout=max(0.001, tries.until - time.monotonic()))
            try:
                async for reply in call:
                    final = end_of(reply)
                    if final is None:
                        tries.tokens += len(reply.tokens.ids)
                        yield tuple(reply.tokens.ids)
                    else:
                        end = final
            except grpc.RpcError as fault:
                if end.answer == "lost":
                    end = lost_end(fault)
            finally:
                call.cancel()  # left early: the node and its engines stop as well
            wait = tries.again(end, time.monotonic())
            if wait is None:
                self.answer = tries.result(end)
                return
            await asyncio.sleep(wait)


class Client:
    """Sequences at one node; use it with `async with`."""

    def __init__(self, address: str) -> None:
        self._channel = grpc.aio.insecure_channel(address)
        self.call = self._channel.unary_stream(
            PATH, request_serializer=pb.GenerateRequest.SerializeToString,
            response_deserializer=pb.GenerateReply.FromString)

    def generate(self, ask: Ask) -> Stream:
        """Ask; iterate with `async for`. Raises Rejected, Aborted or NotTaken from the iteration."""
        return Stream(self, ask)

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *ignored: object) -> None:
        await self._channel.close()
