"""The input of a takeover, and the interfaces that it calls."""

from typing import NamedTuple, Protocol

from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.node.response_sink import ResponseSink
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.routing.contract import Arrival


class TakeoverRequest(NamedTuple):
    """A client's request to resume a sequence."""

    sequence_id: str
    client_token_count: int  # tokens that the client has received
    request: DecodedRequest  # sent again by the client, equal to that of its first call
    arrival: Arrival


class TakeoverClient(ResponseSink, Protocol):
    """The client that resumes a sequence."""

    def sequence_id_assigned(self, sequence_id: str) -> None:
        """Send the id by which the client can resume the sequence; called before any token."""


class Redispatch(Protocol):
    """Routes a sequence like a new arrival at this node."""

    def __call__(
        self,
        sequence_id: str | None,
        arrival: Arrival,
        earlier_attempts: int,
        read_state: pb.State | None,
        /,
    ) -> None:
        """Route the sequence.

        Args:
            sequence_id: id of the sequence; None to assign a new one.
            arrival: the router's input for the sequence.
            earlier_attempts: number of attempts that former owners made.
            read_state: handle with which a writer fetches the read state from the engine
                `arrival.state_engine`; None if there is none.
        """
