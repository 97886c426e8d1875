"""Calls of the batch fronts on a fleet, for tests."""

from collections.abc import Callable, Sequence
from typing import Generic, NamedTuple, TypeAlias, TypeVar

from fleet import Fleet
from fleet_checks import assert_nothing_left

from myrtlehub.emulator.vectors import vector_of
from myrtlehub.proto import items_pb2 as pb
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Status

EmbedCall: TypeAlias = "BatchCallWatcher[pb.EmbedRequest, pb.Vector]"
RankCall: TypeAlias = "BatchCallWatcher[pb.RankRequest, pb.Score]"
Item = TypeVar("Item", bound=pb.Vector | pb.Score)
Request = TypeVar("Request", bound=pb.EmbedRequest | pb.RankRequest)


class Reply(NamedTuple, Generic[Item]):
    """A reply of a batch front."""

    items: Sequence[Item]
    final: pb.Final | None


class BatchCallWatcher(CallWatcher, Generic[Request, Item]):
    """Records the replies and the status of one call of a batch front."""

    def __init__(
        self,
        fleet: Fleet,
        path: str,
        request: Request,
        read_reply: Callable[[bytes], Reply[Item]],
        is_stream: bool,
        timeout: float | None,
    ) -> None:
        self.fleet = fleet
        self.request = request
        self.is_stream = is_stream
        self._read_reply = read_reply
        self.items: dict[int, Item] = {}
        self.order: list[int] = []
        self.final: str | None = ""
        self.status: Status | None = None
        self.retry_after = 0.0
        self.done_at = 0.0
        self.done: pb.Done | None = None
        self.call = fleet.channels["n0"].call(path + ("Stream" if is_stream else ""), self, timeout=timeout)
        self.call.send(request.SerializeToString())
        self.call.half_close()

    def message(self, data: bytes) -> None:
        """Record a reply."""
        reply = self._read_reply(data)
        assert not self.final, "nothing comes after the final answer"
        for item in reply.items:
            assert item.index not in self.items
            self.items[item.index] = item
            self.order.append(item.index)
        if reply.final is not None:
            self.final = reply.final.WhichOneof("answer")
            self.done_at = self.fleet.clock.seconds()
            self.done = reply.final.generated
            self.retry_after = reply.final.rejected.wait_ms / 1000.0

    def ended(self, status: Status) -> None:
        """Record the status."""
        self.status = status


def read_embed_reply(data: bytes) -> Reply[pb.Vector]:
    """Decode a reply of Embed or EmbedStream."""
    reply = pb.EmbedReply.FromString(data)
    return Reply(reply.vectors, reply.final if reply.HasField("final") else None)


def read_rank_reply(data: bytes) -> Reply[pb.Score]:
    """Decode a reply of Rank or RankStream."""
    reply = pb.RankReply.FromString(data)
    return Reply(reply.scores, reply.final if reply.HasField("final") else None)


def embed(
    fleet: Fleet,
    texts: list[bytes],
    traffic_type: str = "vec",
    is_stream: bool = False,
    tokens: int = 50,
    time_left: float = 4.0,
    timeout: float | None = None,
    mark: str = "",
    dimensions: int = 0,
    normalise: bool = False,
) -> EmbedCall:
    """Call Embed or EmbedStream at node n0."""
    request = pb.EmbedRequest(
        terms=pb.Terms(traffic_type=traffic_type, time_left_ms=int(time_left * 1000), mark=mark),
        inputs=[pb.Input(text=t, tokens=tokens) for t in texts],
        dimensions=dimensions,
        normalise=normalise,
    )
    return BatchCallWatcher(
        fleet, "/myrtlehub.v1.Embeddings/Embed", request, read_embed_reply, is_stream, timeout
    )


def rank(
    fleet: Fleet,
    query: bytes,
    documents: list[bytes],
    is_stream: bool = False,
    top: int = 0,
    tokens: int = 50,
) -> RankCall:
    """Call Rank or RankStream at node n0."""
    request = pb.RankRequest(
        terms=pb.Terms(traffic_type="sort"),
        top=top,
        query=pb.Input(text=query, tokens=10),
        documents=[pb.Input(text=d, tokens=tokens) for d in documents],
    )
    return BatchCallWatcher(fleet, "/myrtlehub.v1.Rerank/Rank", request, read_rank_reply, is_stream, None)


def texts(count: int, seed: int = 0) -> list[bytes]:
    """Make inputs that differ from those of other seeds."""
    return [f"{seed}/{i}".encode() for i in range(count)]


def assert_vectors(call: EmbedCall, model: str = "m1", only: set[int] | None = None) -> None:
    """Check the value and the index of every vector; with `only`, that just these arrived."""
    inputs = call.request.inputs
    assert set(call.items) == (set(range(len(inputs))) if only is None else only)
    for i, vector in call.items.items():
        size = call.request.dimensions or 16
        expected = vector_of(inputs[i].text, model, size, call.request.normalise)
        assert vector.packed == expected or vector.error


def assert_nothing_in_flight(fleet: Fleet) -> None:
    """Check that neither nodes nor engines still hold state of a batch or a sequence."""
    assert_nothing_left(fleet)
    for node in fleet.nodes.values():
        batches = node.batches
        assert (
            not batches.in_flight
            and batches.batcher.is_empty
            and not any(batches.fair_share._queues.values())
        )
        assert all(abs(out) < 1e-6 for out in batches.fair_share.tokens_in_flight.values())
    for engine in fleet.engines.values():
        assert engine.model.has_crashed or not (engine.model.batches.running or engine.model.batches.queue)
