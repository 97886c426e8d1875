"""Flap damping: ignoring that an endpoint comes and goes, until it has been quiet for a while."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from immutables import Map

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.endpoint import EndpointState
from myrtlehub.membership.list_version import ListVersion, make_version

NEVER = float("inf")
NEVER_DAMPED = 0  # as `max_flaps`


class DampedVersion(NamedTuple):
    """A version with the flapping endpoints left as they were."""

    version: ListVersion
    damped_until: float  # when the first of them counts again; NEVER: none is damped


class FlapDamper:
    """Remembers when endpoints came and went."""

    def __init__(self, max_flaps: int, window: float, quiet_time: float) -> None:
        """`max_flaps` changes of presence within `window` seconds damp an endpoint for `quiet_time`."""
        self.max_flaps = max_flaps
        self.window = window
        self.quiet_time = quiet_time
        self._flaps: dict[str, deque[float]] = {}

    def record(self, now: float, addresses: Iterable[str]) -> None:
        """Record that these endpoints came or went."""
        for address in addresses:
            self._flaps.setdefault(address, deque(maxlen=max(1, self.max_flaps))).append(now)

    def apply(self, now: float, candidate: ListVersion, before: Map[str, EndpointConfig]) -> DampedVersion:
        """Return the candidate with the flapping endpoints as they were `before`.

        That is safe either way: one that would be removed only drains meanwhile, one that would be added
        stays out.
        """
        damped_until = NEVER
        endpoints = candidate.endpoints
        for address in sorted(set(endpoints) ^ set(before)):
            until = self._damped_until(now, address)
            if until is None:
                continue
            damped_until = min(damped_until, until)
            if address in before:
                endpoints = endpoints.set(address, _drained(before[address]))
            else:
                endpoints = endpoints.delete(address)
        if endpoints is candidate.endpoints:
            return DampedVersion(candidate, damped_until)
        damped = make_version(candidate.number, endpoints.values(), candidate.source, now)
        return DampedVersion(damped, damped_until)

    def _damped_until(self, now: float, address: str) -> float | None:
        flaps = self._flaps.get(address)
        if self.max_flaps == NEVER_DAMPED or flaps is None or len(flaps) < self.max_flaps:
            return None
        if now - flaps[0] > self.window:
            return None
        until = flaps[-1] + self.quiet_time
        return until if now < until else None


def _drained(endpoint: EndpointConfig) -> EndpointConfig:
    if endpoint.state == EndpointState.DRAINING:
        return endpoint
    return endpoint.with_fields(state=EndpointState.DRAINING.value)
