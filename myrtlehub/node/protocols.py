"""The interfaces that the action executor depends on.

The executor uses no sockets and no settings files: a program that runs it provides a clock, a log, a request
decoder, an engine transport, and a response sink for each sequence (`response_sink`).
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from myrtlehub.node.endpoint_index import EndpointIndex
from myrtlehub.node.sequences import Attempt
from myrtlehub.routing import contract


class TrafficTypeSettings(Protocol):
    """The settings of a traffic type that the executor reads."""

    @property
    def name(self) -> str:
        """The name of the traffic type."""

    @property
    def front(self) -> str:
        """The name of the service whose requests have this traffic type, for example `chat`."""


class Decoder(Protocol):
    """The part of a request decoder that the executor uses: dense indices of names.

    Attributes:
        kinds: Indices of the engine kinds, by name.
        zones: Indices of the zones, by name.
        engines: The engines of the endpoint list, by address and by index.
    """

    @property
    def traffic_types(self) -> Sequence[TrafficTypeSettings]:
        """The traffic types, by index."""

    kinds: Mapping[str, int]
    zones: Mapping[str, int]
    engines: EndpointIndex


class EngineTransport(Protocol):
    """Sends attempts to engines, and reports their tokens and outcomes to the executor."""

    def start(self, attempt: Attempt) -> None:
        """Send an attempt.

        During this call the transport may neither call the executor nor write to the network; both have to
        wait for the next iteration of the event loop.
        """

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt at its engine, and report no further events of the attempt."""

    def release(self, engine: int, sequence_id: str) -> None:
        """Ask an engine to free the read state of a sequence."""

    def probe(
        self, engine: int, timeout: float, on_result: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Ask an engine for a load report.

        Args:
            engine: Index of the engine.
            timeout: Seconds until the probe fails.
            on_result: Called once, in a later iteration of the event loop, with whether the engine answered
                and with its load report.
        """

    def close_idle(self, engine: int) -> None:
        """Close an idle connection to an engine."""

    def forget(self, address: str) -> None:
        """Discard what is stored for an engine that was removed from the list and has no attempts left."""
