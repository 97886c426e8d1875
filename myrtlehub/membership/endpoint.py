"""What an endpoint has, whichever source it comes from; needs nothing else of the program."""

from enum import StrEnum
from typing import Protocol, Self

# The fields of an endpoint from address to model, in the order of `EndpointConfig.FIELD_NAMES`.
EndpointFields = tuple[str, str, str, int, float, str, float, str]


class EndpointState(StrEnum):
    """The states that a list gives to an endpoint.

    Endpoints have the plain word: their fields are compared and hashed by `repr`, so an assignment uses
    `.value`.
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
    def weight(self) -> float:
        """The engine's share of load relative to others of its kind; 0 drains it."""

    @property
    def state(self) -> str:
        """The value of an `EndpointState`."""

    @property
    def field_values(self) -> EndpointFields:
        """All fields, in their order."""

    def with_fields(self, **fields: object) -> Self:
        """Return a copy with some fields replaced."""


def with_effective_state(endpoint: Endpoint) -> Endpoint:
    """Return the endpoint as it is routed by: one of weight 0 drains."""
    if endpoint.weight == 0.0 and endpoint.state == EndpointState.SERVING:
        return endpoint.with_fields(state=EndpointState.DRAINING.value)
    return endpoint
