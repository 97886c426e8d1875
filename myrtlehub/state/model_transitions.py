"""All moves of the model, for the model checker."""

from collections.abc import Iterator

from myrtlehub.state.model import ModelConfig, ModelState, Move
from myrtlehub.state.model_client import client_moves, client_retries
from myrtlehub.state.model_engine import engine_moves
from myrtlehub.state.model_faults import fault_moves
from myrtlehub.state.model_node import node_moves, release_moves
from myrtlehub.state.model_router import router_moves


class ModelTransitions:
    """Everything that can happen next in a state of the model.

    The router's decisions are left open: any send, rejection or abort that the tables allow can come at any
    time. What holds here holds for every router that is bound by the tables.
    """

    def __init__(self, config: ModelConfig) -> None:
        self.config = config

    def __call__(self, model: ModelState) -> Iterator[Move]:
        """Iterate over the moves, always in the same order."""
        config = self.config
        for index, submission in enumerate(model.submissions):
            if not submission.is_lost:
                yield from router_moves(config, model, index)
                yield from client_moves(config, model, index)
                for number in range(len(submission.attempts)):
                    yield from engine_moves(config, model, index, number)
                    yield from node_moves(config, model, index, number)
                yield from release_moves(config, model, index)
            yield from client_retries(config, model, index)
        yield from fault_moves(config, model)
