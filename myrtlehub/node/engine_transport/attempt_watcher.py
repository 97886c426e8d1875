"""The common part of all attempt watchers: outcomes and load reports from an engine's replies."""

from typing import Protocol, TypeVar

from google.protobuf.message import DecodeError, Message

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.sequences import Attempt
from myrtlehub.routing import contract
from myrtlehub.rpc.client_call import CallWatcher, ClientCall
from myrtlehub.rpc.status import Code, Status

Reply = TypeVar("Reply", bound=Message)


class MessageWithLoad(Protocol):
    """A message with an optional load report."""

    @property
    def load(self) -> Message:
        """The load report, which may be unset."""

    def HasField(self, name: str, /) -> bool:  # noqa: N802 - protobuf's name
        """Return whether a field is set."""


def load_report_of(message: MessageWithLoad) -> contract.LoadReport | None:
    """Return the load report in a message, converted for the router, or None if there is none."""
    if not message.HasField("load"):
        return None
    load = message.load
    return contract.LoadReport(
        **{name: getattr(load, name) for name in contract.LoadReport._fields if load.HasField(name)}
    )


def outcome_of(status: Status) -> contract.Outcome:
    """Return the outcome of an attempt whose call ended without a final reply from the engine.

    The outcome is `UNREACHED` only if the attempt certainly did not reach the engine's program.
    """
    if status.unprocessed:
        return contract.Outcome.UNREACHED
    if status.broken:
        return contract.Outcome.RESET
    return contract.Outcome.TIMEOUT if status.code == Code.DEADLINE_EXCEEDED else contract.Outcome.ERROR


def call_of(attempt: Attempt) -> ClientCall | None:
    """Return the gRPC call of an attempt, or None before the attempt is sent."""
    return attempt.transport_call if isinstance(attempt.transport_call, ClientCall) else None


class AttemptWatcher(CallWatcher):
    """Reports the replies to an attempt and the end of its call to the action executor."""

    def __init__(self, executor: ActionExecutor, attempt: Attempt) -> None:
        self.executor = executor
        self.attempt = attempt

    def parse(self, reply_type: type[Reply], data: bytes) -> Reply | None:
        """Parse a reply; if it is malformed, end the attempt with an error and return None."""
        try:
            return reply_type.FromString(data)
        except DecodeError:
            call = call_of(self.attempt)
            if call is not None:
                call.cancel()
            self.executor.attempt_ended(self.attempt, contract.Outcome.ERROR)
            return None

    def ended(self, status: Status) -> None:
        """Report the outcome of the call."""
        self.executor.attempt_ended(self.attempt, outcome_of(status))
