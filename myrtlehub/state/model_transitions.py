"""All steps of the model, for the model checker."""

from collections.abc import Iterator

from myrtlehub.state.model import ModelConfig, ModelState, ModelStep
from myrtlehub.state.model_client import client_retries, client_steps
from myrtlehub.state.model_engine import engine_steps
from myrtlehub.state.model_faults import fault_steps
from myrtlehub.state.model_node import node_steps, release_steps
from myrtlehub.state.model_router import router_steps


class ModelTransitions:
    """Everything that can happen next in a state of the model.

    The router may decide on any send, rejection or abort that the tables allow, at any time. An invariant of
    the model is therefore an invariant of every router that follows the tables.
    """

    def __init__(self, config: ModelConfig) -> None:
        self.config = config

    def __call__(self, model: ModelState) -> Iterator[ModelStep]:
        """Iterate over the steps, always in the same order."""
        config = self.config
        for index, submission in enumerate(model.submissions):
            if not submission.is_lost:
                yield from router_steps(config, model, index)
                yield from client_steps(config, model, index)
                for number in range(len(submission.attempts)):
                    yield from engine_steps(config, model, index, number)
                    yield from node_steps(config, model, index, number)
                yield from release_steps(config, model, index)
            yield from client_retries(config, model, index)
        yield from fault_steps(config, model)
