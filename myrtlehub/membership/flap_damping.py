"""Flap damping: an endpoint that is added and removed repeatedly gets no new attempts until it is stable."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from immutables import Map

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.membership.endpoint import as_draining
from myrtlehub.membership.list_version import ListVersion, make_version


class DampedVersion(NamedTuple):
    """A version without the additions and removals of flapping endpoints."""

    version: ListVersion
    damped_until: float | None  # when the damping of an endpoint ends next; None: no endpoint is damped


class FlapDamper:
    """Records when endpoints are added and removed, and damps those that flap."""

    def __init__(self, max_flaps: int | None, window: float, quiet_time: float) -> None:
        """Create a damper without history.

        Args:
            max_flaps: number of additions and removals within `window` from which an endpoint is damped.
                None: no endpoint is damped.
            window: seconds.
            quiet_time: seconds from the last addition or removal of an endpoint to the end of its damping.
        """
        self.max_flaps = max_flaps
        self.window = window
        self.quiet_time = quiet_time
        self._flaps: dict[
            str, deque[float]
        ] = {}  # times of the latest additions and removals by address, oldest first

    def record(self, now: float, addresses: Iterable[str]) -> None:
        """Record that these endpoints were added or removed."""
        if self.max_flaps is None:
            return
        for address in addresses:
            self._flaps.setdefault(address, deque(maxlen=max(1, self.max_flaps))).append(now)

    def apply(self, now: float, candidate: ListVersion, current: Map[str, EndpointConfig]) -> DampedVersion:
        """Return the candidate without the additions and removals of flapping endpoints.

        While it is damped, a flapping endpoint that the candidate removes is listed as draining, and one that
        it adds is left out. In both cases the endpoint gets no new attempts; attempts in flight can end.

        Args:
            now: seconds on the node's clock.
            candidate: the version made from a snapshot.
            current: the endpoints of the current version.
        """
        damped_until = None
        endpoints = candidate.endpoints
        for address in sorted(set(endpoints) ^ set(current)):
            until = self._damped_until(now, address)
            if until is None:
                continue
            damped_until = until if damped_until is None else min(damped_until, until)
            if address in current:
                endpoints = endpoints.set(address, as_draining(current[address]))
            else:
                endpoints = endpoints.delete(address)
        if endpoints is candidate.endpoints:
            return DampedVersion(candidate, damped_until)
        damped = make_version(candidate.number, endpoints.values(), candidate.source, now)
        return DampedVersion(damped, damped_until)

    def _damped_until(self, now: float, address: str) -> float | None:
        flaps = self._flaps.get(address)
        if self.max_flaps is None or flaps is None or len(flaps) < self.max_flaps:
            return None
        if now - flaps[0] > self.window:
            return None
        until = flaps[-1] + self.quiet_time
        return until if now < until else None
