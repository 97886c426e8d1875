"""The response sink: the interface to the client of a sequence, and the types of values passed through."""

from typing import Any, Protocol, TypeAlias

# Values that the action executor passes on unchanged. Each program defines their types: the code that uses
# such a value narrows its type, except for token messages, which the transport and the response sinks
# exchange directly.
RequestPayload: TypeAlias = object  # what the transport sends to engines
TokenMessage: TypeAlias = Any  # tokens as an engine sent them
StateHandle: TypeAlias = object  # with it a writer fetches a read state from its reader
TransportCall: TypeAlias = object  # the transport's object for one attempt


class ResponseSink(Protocol):
    """Receives the response to one sequence.

    At most one of `generated`, `rejected` and `aborted` is called, and at most once. Nothing is called after
    it.
    """

    def tokens(self, message: TokenMessage) -> None:
        """Pass tokens to the client as the engine sent them."""

    def generated(self, tokens: int) -> None:
        """Complete the answer; `tokens` is the number of generated tokens that the engine reported."""

    def rejected(self, retry_after: float) -> None:
        """Reject the request; a retry may succeed after `retry_after` seconds, 0 if unknown."""

    def aborted(self, reason: str) -> None:
        """Abort the request; it may have run."""
