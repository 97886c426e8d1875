"""Sources of the endpoint list: the interface that all have, and the source of a static or pushed list.

A source sends updates to its listener and does not interpret them: the listener decides what a change means
for sequences in flight (`node.router_driver`).
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol, TypeAlias

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.endpoint import is_removed


class VersionId(NamedTuple):
    """What identifies a validated version of the list."""

    number: int
    digest: str


class EndpointListUpdate(NamedTuple):
    """The complete endpoint list, or a change to it.

    Attributes:
        endpoints: all endpoints, or those that changed; removed ones are in state `gone`.
        is_complete: whether endpoints that are not among them are removed.
        version: the version that the update leads to. None if the source does not number versions: the
            listener then counts them.
    """

    endpoints: list[EndpointConfig]
    is_complete: bool
    version: VersionId | None = None


EndpointListener: TypeAlias = Callable[[EndpointListUpdate], None]


def ignore_update(update: EndpointListUpdate) -> None:
    """Discard the update; the listener of a source that is not followed yet."""


class EndpointSource(Protocol):
    """A source of the endpoint list, as the node uses it."""

    def follow(self, listener: EndpointListener) -> None:
        """Send the complete list to the listener once it is known, and from then on each change."""

    def republish(self) -> None:
        """Send the complete list to the listener once more."""

    def endpoints(self, replacement: Sequence[EndpointConfig] | None = None) -> list[EndpointConfig]:
        """Return the current list.

        Args:
            replacement: the endpoints of new settings, which replace a static list; None to keep the list.
        """


class StaticEndpointSource:
    """The endpoints of the node's settings, and changes to them that are pushed over the admin service."""

    def __init__(self, endpoints: Sequence[EndpointConfig]) -> None:
        self._endpoints = {endpoint.address: endpoint for endpoint in endpoints}
        self._listener: EndpointListener = ignore_update

    def follow(self, listener: EndpointListener) -> None:
        """Send the complete list to the listener now, and from then on each pushed change."""
        self._listener = listener
        self.republish()

    def republish(self) -> None:
        """Send the complete list to the listener once more."""
        self._listener(EndpointListUpdate(list(self._endpoints.values()), is_complete=True))

    def endpoints(self, replacement: Sequence[EndpointConfig] | None = None) -> list[EndpointConfig]:
        """Return the current list, after `replacement` has replaced it where one is given."""
        if replacement is not None:
            self._endpoints = {endpoint.address: endpoint for endpoint in replacement}
        return list(self._endpoints.values())

    def push(self, endpoints: Sequence[EndpointConfig], is_complete: bool) -> None:
        """Apply a pushed list, or a pushed change to the list, and send it to the listener."""
        if is_complete:
            self._endpoints.clear()
        self._endpoints.update((endpoint.address, endpoint) for endpoint in endpoints)
        removed = [address for address, endpoint in self._endpoints.items() if is_removed(endpoint)]
        for address in removed:
            del self._endpoints[address]
        self._listener(EndpointListUpdate(list(endpoints), is_complete))
