"""Sources of the endpoint list: their common interface, and the source of a static or pushed list.

A source only sends updates to its listener. The listener decides how a change affects in-flight sequences
(`node.router_driver`).
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol, TypeAlias

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.endpoint import is_removed


class VersionId(NamedTuple):
    """The identity of a validated version of the list."""

    number: int
    digest: str


class EndpointListUpdate(NamedTuple):
    """The complete endpoint list, or a change to it.

    Attributes:
        endpoints: all endpoints, or those that changed; removed ones are in state `gone`.
        is_complete: whether `endpoints` is the complete list, so that all other endpoints are removed.
        version: the version of the list after the update. None if the source does not number its versions;
            the listener then numbers them.
    """

    endpoints: list[EndpointConfig]
    is_complete: bool
    version: VersionId | None = None


EndpointListener: TypeAlias = Callable[[EndpointListUpdate], None]


def ignore_update(update: EndpointListUpdate) -> None:
    """Discard the update. Sources use this listener until `follow` is called."""


class EndpointSource(Protocol):
    """The interface of a source of the endpoint list."""

    def subscribe(self, listener: EndpointListener) -> None:
        """Set the listener, and send it the complete list as soon as it is known, and then each change."""

    def republish(self) -> None:
        """Send the complete list to the listener again."""

    def endpoints(self, replacement: Sequence[EndpointConfig] | None = None) -> list[EndpointConfig]:
        """Return the current list.

        Args:
            replacement: the endpoints of new settings, which replace a static list first. None: no change.
        """


class StaticEndpointSource:
    """The endpoints of the node's settings, with the changes that are pushed through the admin service."""

    def __init__(self, endpoints: Sequence[EndpointConfig]) -> None:
        self._endpoints = {endpoint.address: endpoint for endpoint in endpoints}
        self._listener: EndpointListener = ignore_update

    def subscribe(self, listener: EndpointListener) -> None:
        """Set the listener, and send it the complete list now, and then each pushed change."""
        self._listener = listener
        self.republish()

    def republish(self) -> None:
        """Send the complete list to the listener again."""
        self._listener(EndpointListUpdate(list(self._endpoints.values()), is_complete=True))

    def endpoints(self, replacement: Sequence[EndpointConfig] | None = None) -> list[EndpointConfig]:
        """Replace the list with `replacement` unless it is None, and return the current list."""
        if replacement is not None:
            self._endpoints = {endpoint.address: endpoint for endpoint in replacement}
        return list(self._endpoints.values())

    def push(self, endpoints: Sequence[EndpointConfig], is_complete: bool) -> None:
        """Apply a pushed complete list or a pushed change, and send it to the listener."""
        if is_complete:
            self._endpoints.clear()
        self._endpoints.update((endpoint.address, endpoint) for endpoint in endpoints)
        removed = [address for address, endpoint in self._endpoints.items() if is_removed(endpoint)]
        for address in removed:
            del self._endpoints[address]
        self._listener(EndpointListUpdate(list(endpoints), is_complete))
