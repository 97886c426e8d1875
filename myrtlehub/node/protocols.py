"""What the action executor needs of the program around it.

It knows no sockets and no settings files: a program that runs it brings a clock, a transport to engines, a
decoder and one response sink a sequence.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Protocol, TypeAlias

if TYPE_CHECKING:
    from myrtlehub.node.endpoint_index import EndpointIndex
    from myrtlehub.node.sequences import Attempt
    from myrtlehub.routing import contract

# Opaque to the executor, which only passes them on:
RequestPayload: TypeAlias = object  # what the transport sends of a request
TokenMessage: TypeAlias = object  # tokens as an engine sent them, for the response sink
StateHandle: TypeAlias = object  # by which a writer fetches a read state from its reader
TransportCall: TypeAlias = object  # the transport's own of one attempt


class ResponseSink(Protocol):
    """Takes the response to one sequence; of the last three methods one is called, once."""

    def tokens(self, message: TokenMessage) -> None:
        """Take tokens as the engine sent them."""

    def generated(self, tokens: int) -> None:
        """Take the end of a complete answer."""

    def rejected(self, retry_after: float) -> None:
        """Take a rejection, with the seconds after which a retry may succeed."""

    def aborted(self, reason: str) -> None:
        """Take an abort."""


class TrafficTypeRow(Protocol):
    """What the executor reads of a traffic type's settings."""

    name: str
    front: str


class Decoder(Protocol):
    """Names from outside as dense indices."""

    rows: Sequence[TrafficTypeRow]  # by traffic type
    kinds: Mapping[str, int]
    zones: Mapping[str, int]
    engines: EndpointIndex


class EngineTransport(Protocol):
    """Carries attempts to engines, and tells the executor what became of them."""

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; may not call back before it returns control to the reactor."""

    def cancel(self, attempt: Attempt) -> None:
        """Reset an attempt at its engine; nothing of it is reported any more."""

    def release(self, engine: int, sequence_id: str) -> None:
        """Ask an engine to free what it holds for a sequence."""

    def probe(
        self, engine: int, timeout: float, then: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Ask an engine for its load; `then(is_answered, load)` is called once, in a later turn."""

    def close_idle(self, engine: int) -> None:
        """Close an unused connection to an engine."""

    def forget(self, address: str) -> None:
        """Take note that an engine has left the endpoint list and is unused."""
