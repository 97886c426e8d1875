"""What all attempts have in common: outcomes and load reports from an engine's replies."""

from typing import Protocol, TypeVar

from google.protobuf.message import Message

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.sequences import Attempt
from myrtlehub.routing import contract
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Code, Status

Reply = TypeVar("Reply", bound=Message)


class LoadCarrier(Protocol):
    """A message with an optional load report."""

    load: Message

    def HasField(self, name: str) -> bool:  # noqa: N802
        """Tell whether a field is set."""


def load_report_of(message: LoadCarrier) -> contract.LoadReport | None:
    """Return a message's load report as the router's, None where there is none."""
    if not message.HasField("load"):
        return None
    load = message.load
    return contract.LoadReport(
        **{name: getattr(load, name) for name in contract.LoadReport._fields if load.HasField(name)}
    )


def outcome_of(status: Status) -> contract.Outcome:
    """Return the outcome of an attempt whose engine itself reported none.

    Only what surely never reached the engine's program counts as not having run.
    """
    if status.unprocessed:
        return contract.Outcome.UNREACHED
    if status.broken:
        return contract.Outcome.RESET
    return contract.Outcome.TIMEOUT if status.code == Code.DEADLINE_EXCEEDED else contract.Outcome.ERROR


class AttemptWatcher(CallWatcher):
    """Reports what an attempt's call brings to the action executor."""

    def __init__(self, executor: ActionExecutor, attempt: Attempt) -> None:
        self.executor = executor
        self.attempt = attempt

    def parse(self, reply_type: type[Reply], data: bytes) -> Reply | None:
        """Return a reply; None if it is malformed, which ends the attempt as an error."""
        try:
            return reply_type.FromString(data)
        except ValueError:
            self.attempt.call.cancel()
            self.executor.ended(self.attempt, contract.Outcome.ERROR)
            return None

    def ended(self, status: Status) -> None:
        """Take the end of the call."""
        self.executor.ended(self.attempt, outcome_of(status))
