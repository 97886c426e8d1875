"""The interfaces of what the action executor needs.

The executor uses no sockets and no settings files: a program that runs it provides a clock, a log, a decoder,
an engine transport, and a response sink for each sequence.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any, Protocol, TypeAlias

if TYPE_CHECKING:
    from myrtlehub.node.endpoint_index import EndpointIndex
    from myrtlehub.node.sequences import Attempt
    from myrtlehub.routing import contract

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


class TrafficTypeRow(Protocol):
    """What the executor reads of the settings of a traffic type."""

    @property
    def name(self) -> str:
        """The name of the traffic type in the settings."""

    @property
    def front(self) -> str:
        """The kind of front that serves it."""


class Decoder(Protocol):
    """Maps names from outside to dense indices."""

    @property
    def rows(self) -> Sequence[TrafficTypeRow]:
        """The traffic types, by index."""

    kinds: Mapping[str, int]
    zones: Mapping[str, int]
    engines: EndpointIndex


class EngineTransport(Protocol):
    """Sends attempts to engines and reports their tokens and ends to the executor."""

    def start(self, attempt: Attempt) -> None:
        """Send an attempt.

        The executor may only be called in a later turn of the event loop, and nothing may be written before.
        """

    def cancel(self, attempt: Attempt) -> None:
        """Reset an attempt at its engine; nothing is reported of it any more."""

    def release(self, engine: int, sequence_id: str) -> None:
        """Ask an engine to free the read state of a sequence."""

    def probe(
        self, engine: int, timeout: float, then: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Ask an engine for a load report; `then(is_answered, load)` is called once, in a later turn."""

    def close_idle(self, engine: int) -> None:
        """Close an unused connection to an engine."""

    def forget(self, address: str) -> None:
        """Discard what is stored for an engine: it was removed from the list and has no attempts left."""
