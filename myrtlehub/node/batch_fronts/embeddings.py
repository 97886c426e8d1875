"""The embeddings front: decodes requests and encodes replies."""

from myrtlehub.node.batch_fronts.batch_request import BatchItem, BatchRequest, IndexedResult
from myrtlehub.node.batch_fronts.grpc_front import BatchFront, item_tokens
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.proto import engine_pb2
from myrtlehub.proto import items_pb2 as pb


def decode_request(request: pb.EmbedRequest, is_stream: bool) -> BatchRequest:
    """Decode a request; vectors depend only on the input and the model, so they are cacheable."""
    task = engine_pb2.BatchRequest(task="embed", dimensions=request.dimensions, normalise=request.normalise)
    return BatchRequest(
        front="embed",
        terms=DecodedRequest(""),
        items=[BatchItem(item.text, item_tokens(item)) for item in request.inputs],
        shared_tokens=0,
        is_stream=is_stream,
        task=task,
        group_key=(request.dimensions, request.normalise),
        is_cacheable=True,
    )


def encode_reply(results: list[IndexedResult], request: pb.EmbedRequest) -> pb.EmbedReply:
    """Encode vectors with their indices."""
    return pb.EmbedReply(
        vectors=[
            pb.Vector(index=index, packed=result.vector, error=result.error) for index, result in results
        ]
    )


EMBEDDINGS = BatchFront(
    name="embed",
    unary_path="/myrtlehub.v1.Embeddings/Embed",
    stream_path="/myrtlehub.v1.Embeddings/EmbedStream",
    request_type=pb.EmbedRequest,
    decode_request=decode_request,
    encode_reply=encode_reply,
)
