"""The rerank front: decodes and encodes."""

import xxhash

from myrtlehub.node.batches import Item, Want
from myrtlehub.node.calls import Front, tokens_of
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.proto import engine_pb2
from myrtlehub.proto import items_pb2 as pb


def want(request: pb.RankRequest, streams: bool) -> Want:
    """A request; every document is read together with the query, whose tokens count for each."""
    if streams and request.top:
        raise ValueError("top: is for Rank; RankStream gives scores as they are ready")
    items = [Item(d.text, tokens_of(d)) for d in request.documents]
    task = engine_pb2.BatchRequest(task="rank", query=request.query.text)
    like = xxhash.xxh3_128_digest(request.query.text)
    return Want("rank", DecodedRequest(""), items, tokens_of(request.query), streams, task, like, False)


def reply(results: list[tuple[int, engine_pb2.ItemResult]], request: pb.RankRequest) -> pb.RankReply:
    """Scores by index, or the best `top` in falling order; of equals the earlier document comes first."""
    if request.top:
        results = sorted(results, key=lambda r: (r[1].WhichOneof("result") == "error", -r[1].score, r[0]))
        results = results[: request.top]
    return pb.RankReply(scores=[pb.Score(index=i, score=r.score, error=r.error) for i, r in results])


RANK = Front(
    "rank", "/myrtlehub.v1.Rerank/Rank", "/myrtlehub.v1.Rerank/RankStream", pb.RankRequest, want, reply
)
