"""Versions of the endpoint list (immutable, numbered, with a digest), and differences between versions."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash
from immutables import Map

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.endpoint import EndpointState, is_draining, is_removed, with_effective_state


class ListVersion(NamedTuple):
    """A version of the complete endpoint list.

    Attributes:
        number: the version number, which increases by one with each accepted version, also across restarts.
        endpoints: the endpoints by address, none of them in state `gone`.
        source: the origin of the list, as the admin service shows it.
        digest: the `content_digest` of the endpoints.
        accepted_at: seconds on the node's clock.
        is_from_store: whether the version store supplied it because the files were missing or invalid.
    """

    number: int
    endpoints: Map[str, EndpointConfig]
    source: str
    digest: str
    accepted_at: float
    is_from_store: bool = False


class EndpointChange(NamedTuple):
    """An endpoint of both versions whose fields differ, other than only by a change to draining."""

    endpoint: EndpointConfig  # with its new fields
    fields: tuple[str, ...]  # names of the fields that differ


class ListDifference(NamedTuple):
    """The changes from one version to the next; each tuple is sorted by address."""

    added: tuple[EndpointConfig, ...] = ()
    removed: tuple[EndpointConfig, ...] = ()  # as they were in the earlier version
    draining: tuple[EndpointConfig, ...] = ()  # only their state changed, to draining
    changed: tuple[EndpointChange, ...] = ()

    def __bool__(self) -> bool:
        return any(self)

    def updates(self) -> list[EndpointConfig]:
        """Return the endpoints that a listener has to apply; removed ones are in state `gone`."""
        return [
            *self.added,
            *self.draining,
            *(change.endpoint for change in self.changed),
            *(endpoint.with_fields(state=EndpointState.REMOVED.value) for endpoint in self.removed),
        ]


def _effective_endpoints(endpoints: Iterable[EndpointConfig]) -> list[EndpointConfig]:
    return [with_effective_state(endpoint) for endpoint in endpoints if not is_removed(endpoint)]


def content_digest(endpoints: Iterable[EndpointConfig]) -> str:
    """Return the digest of the endpoints, which is independent of their order and their files."""
    fields = sorted(endpoint.field_values for endpoint in _effective_endpoints(endpoints))
    return xxhash.xxh3_128_hexdigest(repr(fields).encode())


def make_version(
    number: int,
    endpoints: Iterable[EndpointConfig],
    source: str,
    now: float,
    is_from_store: bool = False,
    digest: str | None = None,
) -> ListVersion:
    """Create a version of these endpoints.

    Args:
        number: the version's number.
        endpoints: the complete list; entries in state `gone` are left out.
        source: the origin of the list.
        now: seconds on the node's clock.
        is_from_store: whether the version store supplied the list.
        digest: the `content_digest` of the endpoints if it is known. None: it is computed.
    """
    effective = _effective_endpoints(endpoints)
    by_address = Map({endpoint.address: endpoint for endpoint in effective})
    return ListVersion(number, by_address, source, digest or content_digest(effective), now, is_from_store)


def compare_versions(before: Map[str, EndpointConfig], after: Map[str, EndpointConfig]) -> ListDifference:
    """Return the differences, sorted by address so that all nodes apply changes in the same order."""
    added = []
    draining = []
    changed = []
    old = dict(before)
    new = dict(after)
    for address in sorted(new):
        endpoint = new[address]
        previous = old.get(address)
        if previous is None:
            added.append(endpoint)
        elif endpoint is not previous and endpoint.field_values != previous.field_values:
            fields = _differing_fields(endpoint, previous)
            if fields == ("state",) and is_draining(endpoint):
                draining.append(endpoint)
            else:
                changed.append(EndpointChange(endpoint, fields))
    removed = tuple(old[address] for address in sorted(old.keys() - new.keys()))
    return ListDifference(tuple(added), removed, tuple(draining), tuple(changed))


def _differing_fields(endpoint: EndpointConfig, previous: EndpointConfig) -> tuple[str, ...]:
    pairs = zip(EndpointConfig.FIELD_NAMES, endpoint.field_values, previous.field_values, strict=True)
    return tuple([name for name, value, previous_value in pairs if value != previous_value])
