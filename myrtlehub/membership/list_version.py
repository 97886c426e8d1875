"""Versions of the endpoint list: immutable, numbered, with a digest; and the difference between two."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash
from immutables import Map

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.endpoint import EndpointState, with_effective_state


class ListVersion(NamedTuple):
    """One complete list. Two versions share the memory of what they have in common."""

    number: int
    endpoints: Map[str, EndpointConfig]  # by address
    source: str
    digest: str
    accepted_at: float  # seconds, on the node's clock
    from_store: bool = False  # as no source had a good one at the start


class EndpointChange(NamedTuple):
    """An endpoint that changed otherwise than to draining."""

    endpoint: EndpointConfig  # as it is now
    fields: tuple[str, ...]  # that differ


class ListDifference(NamedTuple):
    """What changed from one version to the next, each in the order of addresses."""

    added: tuple[EndpointConfig, ...] = ()
    removed: tuple[EndpointConfig, ...] = ()  # as they were
    draining: tuple[EndpointConfig, ...] = ()
    changed: tuple[EndpointChange, ...] = ()

    def __bool__(self) -> bool:
        return any(self)

    def updates(self) -> list[EndpointConfig]:
        """Return the endpoints that a listener has to hear of; the removed ones in state `gone`."""
        return [
            *self.added,
            *self.draining,
            *(change.endpoint for change in self.changed),
            *(endpoint.with_fields(state=EndpointState.GONE.value) for endpoint in self.removed),
        ]


def _effective(endpoints: Iterable[EndpointConfig]) -> list[EndpointConfig]:
    return [with_effective_state(endpoint) for endpoint in endpoints if endpoint.state != EndpointState.GONE]


def content_digest(endpoints: Iterable[EndpointConfig]) -> str:
    """Return the digest of the content alone: the order of endpoints and of files does not count."""
    fields = sorted(endpoint.field_values for endpoint in _effective(endpoints))
    return xxhash.xxh3_128_hexdigest(repr(fields).encode())


def make_version(
    number: int,
    endpoints: Iterable[EndpointConfig],
    source: str,
    now: float,
    from_store: bool = False,
    digest: str = "",
) -> ListVersion:
    """Make a version of these endpoints; `digest` is that of the content, where it is known already."""
    effective = _effective(endpoints)
    by_address = Map({endpoint.address: endpoint for endpoint in effective})
    return ListVersion(number, by_address, source, digest or content_digest(effective), now, from_store)


def compare_versions(before: Map[str, EndpointConfig], after: Map[str, EndpointConfig]) -> ListDifference:
    """Return what changed, in the order of addresses: the same at every node."""
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
            if fields == ("state",) and endpoint.state == EndpointState.DRAINING:
                draining.append(endpoint)
            else:
                changed.append(EndpointChange(endpoint, fields))
    removed = tuple(old[address] for address in sorted(old.keys() - new.keys()))
    return ListDifference(tuple(added), removed, tuple(draining), tuple(changed))


def _differing_fields(endpoint: EndpointConfig, previous: EndpointConfig) -> tuple[str, ...]:
    pairs = zip(EndpointConfig.FIELD_NAMES, endpoint.field_values, previous.field_values, strict=True)
    return tuple([name for name, value, previous_value in pairs if value != previous_value])
