"""The results of the items of a batch."""

from myrtlehub.config.emulated_engine import EmulatedEngineConfig
from myrtlehub.emulator.vectors import score_of, vector_of
from myrtlehub.proto import engine_pb2 as pb

EMBED_TASK = "embed"
RANK_TASK = "rank"


def batch_results(
    request: pb.BatchRequest, config: EmulatedEngineConfig, model_name: str
) -> list[pb.ItemResult]:
    """Return a result for each item: a vector, a score, or an error if the input is too long."""
    return [_result(index, item, request, config, model_name) for index, item in enumerate(request.items)]


def _result(
    index: int, item: pb.BatchItem, request: pb.BatchRequest, config: EmulatedEngineConfig, model_name: str
) -> pb.ItemResult:
    if item.tokens > config.longest_input:
        error = f"{item.tokens} tokens are more than the {config.longest_input:g} that {model_name} takes"
        return pb.ItemResult(index=index, error=error)
    if request.task == EMBED_TASK:
        dimensions = request.dimensions or config.dimensions
        vector = vector_of(item.text, model_name, dimensions, request.normalise)
        return pb.ItemResult(index=index, vector=vector)
    return pb.ItemResult(index=index, score=score_of(request.query, item.text, model_name))
