"""Sources of the endpoint list: one interface for the static section, pushes, and sources to come.

A source passes endpoints to a listener as they are: the complete list, or a change to it. It does not look at
what they mean; the listener does (`node.action_executor.ActionExecutor.list_news`).
"""

from collections.abc import Sequence
from typing import Protocol

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.endpoint import EndpointState


class EndpointListener(Protocol):
    """Who follows a source."""

    def __call__(
        self, endpoints: list[EndpointConfig], complete: bool, version_number: int, digest: str, /
    ) -> None:
        """Take the complete list or a change to it.

        `version_number` 0 means that the listener counts versions itself; then there is no digest.
        """


def ignore_endpoints(
    endpoints: list[EndpointConfig], complete: bool, version_number: int, digest: str, /
) -> None:
    """Stand in for the listener until there is one."""


class EndpointSource(Protocol):
    """What a node asks of a source."""

    def follow(self, listener: EndpointListener) -> None:
        """Pass on the complete list, once it is known, and from then on each change."""

    def republish(self) -> None:
        """Pass on the complete list again."""

    def endpoints(self, replacement: Sequence[EndpointConfig] | None = None) -> list[EndpointConfig]:
        """Return the current list; `replacement` is the section of settings that are applied."""


class StaticEndpointSource:
    """The static section of a node's file; where the file allows pushes, they change what it says."""

    def __init__(self, endpoints: Sequence[EndpointConfig]) -> None:
        self._endpoints = {endpoint.address: endpoint for endpoint in endpoints}
        self._listener: EndpointListener = ignore_endpoints

    def follow(self, listener: EndpointListener) -> None:
        """Pass on the list now, and each push."""
        self._listener = listener
        self.republish()

    def republish(self) -> None:
        """Pass on the complete list again."""
        self._listener(list(self._endpoints.values()), True, 0, "")

    def endpoints(self, replacement: Sequence[EndpointConfig] | None = None) -> list[EndpointConfig]:
        """Return the current list.

        `replacement` is a file's section that takes the list's place, where nothing is pushed.
        """
        if replacement is not None:
            self._endpoints = {endpoint.address: endpoint for endpoint in replacement}
        return list(self._endpoints.values())

    def push(self, endpoints: Sequence[EndpointConfig], complete: bool) -> None:
        """Take a pushed list or change."""
        if complete:
            self._endpoints.clear()
        self._endpoints.update((endpoint.address, endpoint) for endpoint in endpoints)
        for address in [name for name, known in self._endpoints.items() if known.state == EndpointState.GONE]:
            del self._endpoints[address]
        self._listener(list(endpoints), complete, 0, "")
