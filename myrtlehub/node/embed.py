"""The embeddings front: decodes and encodes."""

from myrtlehub.node.batches import Item, Want
from myrtlehub.node.calls import Front, tokens_of
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.proto import engine_pb2
from myrtlehub.proto import items_pb2 as pb


def want(request: pb.EmbedRequest, streams: bool) -> Want:
    """A request; vectors are a function of input and model, and worth keeping."""
    items = [Item(i.text, tokens_of(i)) for i in request.inputs]
    task = engine_pb2.BatchRequest(task="embed", dimensions=request.dimensions, normalise=request.normalise)
    return Want(
        "embed", DecodedRequest(""), items, 0, streams, task, (request.dimensions, request.normalise), True
    )


def reply(results: list[tuple[int, engine_pb2.ItemResult]], request: pb.EmbedRequest) -> pb.EmbedReply:
    """Vectors, by index."""
    return pb.EmbedReply(vectors=[pb.Vector(index=i, packed=r.vector, error=r.error) for i, r in results])


EMBED = Front(
    "embed",
    "/myrtlehub.v1.Embeddings/Embed",
    "/myrtlehub.v1.Embeddings/EmbedStream",
    pb.EmbedRequest,
    want,
    reply,
)
