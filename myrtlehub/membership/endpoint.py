"""One entry of the endpoint list, whichever source it comes from.

The module imports nothing else of the program, so that the relay can use it without the settings of a node.
"""

from enum import StrEnum
from typing import Protocol, Self, TypeVar

# The fields of an endpoint from address to model, in the order of `EndpointConfig.FIELD_NAMES`.
EndpointFields = tuple[str, str, str, int, float, str, float, str]


class EndpointState(StrEnum):
    """The states that a list gives to an endpoint.

    An endpoint's `state` field has the plain string (`.value`): digests and comparisons of endpoints are made
    from the `repr` of their fields, and that of an enum member differs from that of its value.
    """

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class Endpoint(Protocol):
    """One engine of the endpoint list."""

    @property
    def address(self) -> str:
        """The engine's address, `host:port`; unique within a list."""

    @property
    def kind(self) -> str:
        """The name of the engine kind, which says what the engine can run."""

    @property
    def zone(self) -> str:
        """The name of the engine's zone."""

    @property
    def cell(self) -> int:
        """The number of the engine's cell, the group of engines with fast links between them."""

    @property
    def model(self) -> str:
        """The version of the model that the engine serves; empty if the list does not state it."""

    @property
    def weight(self) -> float:
        """The engine's share of load relative to others of its kind; 0 drains it."""

    @property
    def state(self) -> str:
        """The value of an `EndpointState`."""

    @property
    def field_values(self) -> EndpointFields:
        """All fields, in the order of `EndpointFields`."""

    def with_fields(self, **fields: object) -> Self:
        """Return a copy with some fields replaced."""


EndpointT = TypeVar("EndpointT", bound=Endpoint)


def is_serving(endpoint: Endpoint) -> bool:
    """Return whether the list has the endpoint as serving, whatever its weight."""
    return endpoint.state == EndpointState.SERVING


def is_draining(endpoint: Endpoint) -> bool:
    """Return whether the list has the endpoint as draining: it gets no new attempts."""
    return endpoint.state == EndpointState.DRAINING


def is_removed(endpoint: Endpoint) -> bool:
    """Return whether the list names the endpoint only to remove it."""
    return endpoint.state == EndpointState.GONE


def as_draining(endpoint: EndpointT) -> EndpointT:
    """Return the endpoint in the draining state."""
    if is_draining(endpoint):
        return endpoint
    return endpoint.with_fields(state=EndpointState.DRAINING.value)


def with_effective_state(endpoint: EndpointT) -> EndpointT:
    """Return the endpoint as the router has to see it: a serving endpoint of weight 0 is draining."""
    if endpoint.weight == 0.0 and is_serving(endpoint):
        return as_draining(endpoint)
    return endpoint
