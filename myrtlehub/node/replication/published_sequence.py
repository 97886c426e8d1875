"""A sequence whose record this node sends to replicas."""

from dataclasses import dataclass
from typing import Protocol, runtime_checkable

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.response_sink import ResponseSink
from myrtlehub.recovery.ownership import OwnedSequence


class UnsupportedSequenceError(Exception):
    """Raised for a sequence whose request or client does not support replication."""

    def __init__(self, sequence_id: str, reason: str) -> None:
        super().__init__(f"{sequence_id} cannot be replicated: {reason}")
        self.sequence_id = sequence_id


@runtime_checkable
class ReplicatedClient(ResponseSink, Protocol):
    """The client of a sequence that another node may take over."""

    def superseded(self, reason: str) -> None:
        """End the response without a final answer: another node owns the sequence."""


@dataclass(slots=True)
class PublishedSequence:
    """One sequence that this node owns."""

    owned: OwnedSequence
    executor: ActionExecutor
    updated_at: float  # time of the last update, in seconds on the node's clock

    def end_superseded(self) -> None:
        """End the calls of the client without a final answer.

        The attempts are not cancelled: a reset could reach an engine before the claim of the new owner.

        Raises:
            UnsupportedSequenceError: the client is not a `ReplicatedClient`.
        """
        sequence_id = self.owned.record.sequence_id
        for sequence in [
            other for other in self.executor.in_flight.values() if other.sequence_id == sequence_id
        ]:
            self.executor.hand_over(sequence)
            if not isinstance(sequence.response_sink, ReplicatedClient):
                raise UnsupportedSequenceError(sequence_id, "its client cannot be superseded")
            sequence.response_sink.superseded("another node has this sequence now")
