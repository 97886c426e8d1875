"""The interface of an entry of the endpoint list, which all sources of the list share.

The module imports no other module of the program, so that the relay can use it without the node's settings.
"""

from enum import StrEnum
from typing import Protocol, Self, TypeVar

# The field values of an endpoint, in the order of `EndpointConfig.FIELD_NAMES`.
EndpointFields = tuple[str, str, str, int, float, str, float, str]


class EndpointState(StrEnum):
    """The states that an endpoint can have in a list.

    The `state` field of an endpoint is the plain string (`.value`), not the enum member: the digest of a list
    is computed from the `repr` of the fields, which differs between a member and its value.
    """

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


class Endpoint(Protocol):
    """One engine of the endpoint list."""

    @property
    def address(self) -> str:
        """The engine's address, `host:port`; unique within a list."""

    @property
    def kind(self) -> str:
        """The name of the engine kind, which determines the tasks that the engine can run."""

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
        """The engine's share of the load relative to other engines of its kind; 0 drains the engine."""

    @property
    def state(self) -> str:
        """The value of an `EndpointState`."""

    @property
    def field_values(self) -> EndpointFields:
        """The values of all fields, in the order of `EndpointFields`."""

    def with_fields(self, **fields: object) -> Self:
        """Return a copy with some fields replaced."""


EndpointT = TypeVar("EndpointT", bound=Endpoint)


def is_serving(endpoint: Endpoint) -> bool:
    """Return whether the endpoint is in the serving state; its weight may be 0."""
    return endpoint.state == EndpointState.SERVING


def is_draining(endpoint: Endpoint) -> bool:
    """Return whether the endpoint is in the draining state, in which it receives no new attempts."""
    return endpoint.state == EndpointState.DRAINING


def is_removed(endpoint: Endpoint) -> bool:
    """Return whether the endpoint is listed only to be removed."""
    return endpoint.state == EndpointState.REMOVED


def as_draining(endpoint: EndpointT) -> EndpointT:
    """Return the endpoint in the draining state."""
    if is_draining(endpoint):
        return endpoint
    return endpoint.with_fields(state=EndpointState.DRAINING.value)


def with_effective_state(endpoint: EndpointT) -> EndpointT:
    """Return the endpoint in the state that the router uses: a serving endpoint of weight 0 is draining."""
    if endpoint.weight == 0.0 and is_serving(endpoint):
        return as_draining(endpoint)
    return endpoint
