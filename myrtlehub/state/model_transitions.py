"""All steps of the model, in the form that the model checker needs."""

from collections.abc import Iterator

from myrtlehub.state.model import ModelConfig, ModelState, ModelStep
from myrtlehub.state.model_client import client_retries, client_steps
from myrtlehub.state.model_engine import engine_steps
from myrtlehub.state.model_faults import fault_steps
from myrtlehub.state.model_node import node_steps, release_steps
from myrtlehub.state.model_router import router_steps


class ModelTransitions:
    """The transition function of the model: all steps from a state.

    The router may choose any send, rejection or abort that the tables allow, at any time. An invariant of the
    model therefore holds for every router that follows the tables.
    """

    def __init__(self, config: ModelConfig) -> None:
        self.config = config

    def __call__(self, model: ModelState) -> Iterator[ModelStep]:
        """Iterate over the steps from a state, in a deterministic order."""
        config = self.config
        for submission_index, submission in enumerate(model.submissions):
            if not submission.is_node_killed:
                yield from router_steps(config, model, submission_index)
                yield from client_steps(config, model, submission_index)
                for attempt_index in range(len(submission.attempts)):
                    yield from engine_steps(config, model, submission_index, attempt_index)
                    yield from node_steps(config, model, submission_index, attempt_index)
                yield from release_steps(config, model, submission_index)
            yield from client_retries(config, model, submission_index)
        yield from fault_steps(config, model)
