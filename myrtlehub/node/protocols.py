"""The interfaces of what the action executor needs.

The executor uses no sockets and no settings files: a program that runs it provides a clock, a log, a decoder,
an engine transport, and a response sink for each sequence (`response_sink`).
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from myrtlehub.node.endpoint_index import EndpointIndex
from myrtlehub.node.sequences import Attempt
from myrtlehub.routing import contract


class TrafficTypeRow(Protocol):
    """What the executor reads of the settings of a traffic type."""

    @property
    def name(self) -> str:
        """The name of the traffic type in the settings."""

    @property
    def front(self) -> str:
        """The kind of front that serves it."""


class Decoder(Protocol):
    """Maps the names of engine kinds, zones and engines to dense indices."""

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

        Within this call the transport may neither call the executor nor write to the network; it may do so
        from the next turn of the event loop on.
        """

    def cancel(self, attempt: Attempt) -> None:
        """Reset an attempt at its engine, and report no further events of it."""

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
