"""The rerank front: decodes requests and encodes replies."""

import xxhash

from myrtlehub.node.batch_fronts.batch_request import BatchItem, BatchRequest, IndexedResult
from myrtlehub.node.batch_fronts.grpc_front import BatchFront, item_tokens
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.proto import engine_pb2
from myrtlehub.proto import items_pb2 as pb


def decode_request(request: pb.RankRequest, is_stream: bool) -> BatchRequest:
    """Decode a request; the engine reads the query with each document, so its tokens count for each.

    Raises:
        ValueError: the request sets `top` for a stream.
    """
    if is_stream and request.top:
        raise ValueError("top: is for Rank; RankStream gives scores as they are ready")
    query = request.query
    return BatchRequest(
        front="rank",
        terms=DecodedRequest(""),
        items=[BatchItem(document.text, item_tokens(document)) for document in request.documents],
        shared_tokens=item_tokens(query),
        is_stream=is_stream,
        task=engine_pb2.BatchRequest(task="rank", query=query.text),
        group_key=xxhash.xxh3_128_digest(query.text),
        is_cacheable=False,
    )


def encode_reply(results: list[IndexedResult], request: pb.RankRequest) -> pb.RankReply:
    """Encode all scores by index, or with `top` the best ones in descending order, ties by index."""
    if request.top:
        results = sorted(results, key=_sort_key)[: request.top]
    return pb.RankReply(
        scores=[pb.Score(index=index, score=result.score, error=result.error) for index, result in results]
    )


def _sort_key(indexed: IndexedResult) -> tuple[bool, float, int]:
    """Return the sort key of a result: high scores first, errors last."""
    is_error = indexed.result.WhichOneof("result") == "error"
    return (is_error, -indexed.result.score, indexed.item)


RERANK = BatchFront(
    name="rank",
    unary_path="/myrtlehub.v1.Rerank/Rank",
    stream_path="/myrtlehub.v1.Rerank/RankStream",
    request_type=pb.RankRequest,
    decode_request=decode_request,
    encode_reply=encode_reply,
)
