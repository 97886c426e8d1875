"""For asyncio, over grpcio.aio."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Iterable

import grpc

from myrtlehub.client.promise import Ask, End, Generated, Tries, end_of
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
            now = time.monotonic()
            call = self._client.calls(tries)(tries.request(now), timeout=max(0.001, tries.until - now))
            try:
                tries.told(await call.initial_metadata() or ())
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

    def __init__(self, address: str, others: Iterable[str] = ()) -> None:
        """`others`: nodes at which it comes back for what the first has lost."""
        self._channels = [grpc.aio.insecure_channel(a) for a in (address, *others)]

    def calls(self, tries: Tries) -> grpc.aio.UnaryStreamMultiCallable:
        """The method of the next call, at its node."""
        return self._channels[tries.place % len(self._channels)].unary_stream(
            tries.path(),
            request_serializer=pb.GenerateRequest.SerializeToString,
            response_deserializer=pb.GenerateReply.FromString,
        )

    def generate(self, ask: Ask) -> Stream:
        """Ask; iterate with `async for`. The iteration raises Rejected, Aborted or InvalidRequestError."""
        return Stream(self, ask)

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *ignored: object) -> None:
        for channel in self._channels:
            await channel.close()
