"""The interface of the response to a sequence, and the types that the executor passes through."""

from typing import Any, Protocol, TypeAlias

# Values that the executor passes on without looking into them. The transport and the response sinks of a
# program agree on the type of its token messages; other types are narrowed by the one part that uses them.
RequestPayload: TypeAlias = object  # what the transport sends to engines
TokenMessage: TypeAlias = Any  # tokens as an engine sent them; transport and response sink agree on the type
StateHandle: TypeAlias = object  # identifies a read state at its reader for the writer that fetches it
TransportCall: TypeAlias = object  # the transport's own object for one attempt


class ResponseSink(Protocol):
    """Takes the response to one sequence; at most one of the last three methods is called, once."""

    def tokens(self, message: TokenMessage) -> None:
        """Pass tokens to the client as the engine sent them."""

    def generated(self, tokens: int) -> None:
        """End a complete answer; `tokens`: their number, as far as the engine reported it."""

    def rejected(self, retry_after: float) -> None:
        """Reject the request; `retry_after`: seconds after which a retry may succeed, 0 if not known."""

    def aborted(self, reason: str) -> None:
        """Abort the request, which may have run."""
