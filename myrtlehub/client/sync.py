"""For programs without an event loop, over grpcio."""

import random
import time
from collections.abc import Iterable, Iterator
from typing import Self

import grpc

from myrtlehub.client.promise import Ask, End, Generated, Tries, end_of
from myrtlehub.proto import chat_pb2 as pb


def lost_end(fault: grpc.RpcError) -> End:
    """A status without a final answer. grpcio does not say what surely was not processed, so nothing is."""
    if fault.code() == grpc.StatusCode.INVALID_ARGUMENT:
        return End("invalid", said=fault.details() or "")
    if fault.code() == grpc.StatusCode.ABORTED:
        return End("aborted", said=fault.details() or "")  # another node has it
    return End("lost", said=f"{fault.code().name}: {fault.details()}")


class Stream:
    """An iterator over token messages, as tuples of token ids; `answer` is set once it is over."""

    def __init__(self, client: "Client", ask: Ask) -> None:
        self._client, self._tries = client, Tries(ask, time.monotonic(), random.random)
        self._call = None
        self.answer: Generated | None = None
        self.seq = ""

    def __iter__(self) -> Iterator[tuple[int, ...]]:
        tries = self._tries
        while True:
            end = End("lost", said="the stream ended without a final answer")
            now = time.monotonic()
            self._call = self._client.calls(tries)(tries.request(now), timeout=max(0.001, tries.until - now))
            try:
                tries.told(self._call.initial_metadata() or ())
                for reply in self._call:
                    final = end_of(reply)
                    if final is None:
                        tries.tokens += len(reply.tokens.ids)
                        yield tuple(reply.tokens.ids)
                    else:
                        end = final
            except grpc.RpcError as fault:
                if end.answer == "lost":
                    end = lost_end(fault)
            wait = tries.again(end, time.monotonic())
            if wait is None:
                self.answer = tries.result(end)
                return
            time.sleep(wait)

    def cancel(self) -> None:
        """Stop: the node and its engines stop as well."""
        if self._call is not None:
            self._call.cancel()


class Connected:
    """A channel to one node: any grpcio channel, or one that is made from `address` and closed with this."""

    def __init__(self, address: str = "", channel: grpc.Channel | None = None) -> None:
        self._own = channel is None
        self._channel = channel or grpc.insecure_channel(address)

    def close(self) -> None:
        """Close the channel if it is ours."""
        if self._own:
            self._channel.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *ignored: object) -> None:
        self.close()


class Client(Connected):
    """Sequences at one node."""

    def __init__(
        self, address: str = "", channel: grpc.Channel | None = None, others: Iterable[str] = ()
    ) -> None:
        """`others`: nodes at which it comes back for what the first has lost."""
        super().__init__(address, channel)
        self._others = [grpc.insecure_channel(a) for a in others]

    def calls(self, tries: Tries) -> grpc.UnaryStreamMultiCallable:
        """The method of the next call, at its node."""
        channels = [self._channel, *self._others]
        return channels[tries.place % len(channels)].unary_stream(
            tries.path(),
            request_serializer=pb.GenerateRequest.SerializeToString,
            response_deserializer=pb.GenerateReply.FromString,
        )

    def close(self) -> None:
        """Close the channels that are ours."""
        super().close()
        for channel in self._others:
            channel.close()

    def generate(self, ask: Ask) -> Stream:
        """Ask; iterate over what comes. The iteration raises Rejected, Aborted or InvalidRequestError."""
        return Stream(self, ask)
