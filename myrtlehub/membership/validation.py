"""List validation: whether a snapshot becomes the next version of the endpoint list.

The validator checks, in this order, whether the router can use the snapshot, whether endpoints flap, whether
the snapshot removes too many endpoints at once, and, if so, whether a second snapshot has confirmed the
removal. Its decisions depend only on its input, including the times, and are carried out by the caller.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple, TypeAlias

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.engines import EngineKindConfig
from myrtlehub.membership.endpoint import is_serving
from myrtlehub.membership.flap_damping import FlapDamper
from myrtlehub.membership.list_faults import find_list_faults
from myrtlehub.membership.list_version import ListDifference, ListVersion, compare_versions, make_version

MAX_REJECTIONS = 20  # latest rejections, kept for the admin service
ANY_REMOVED = 1.0  # value of `max_removed` that disables the confirmation of removals
TIME_TOLERANCE = 1e-9  # seconds by which a timer may fire early because of rounding


class ValidationConfig(NamedTuple):
    """The validation settings.

    Attributes:
        max_removed: the fraction of serving endpoints that may be removed at once without confirmation.
        confirm_after: seconds after the first snapshot from which one of the same content confirms a removal.
        max_flaps: number of additions and removals within `flap_window` from which an endpoint is damped.
            None: no endpoint is damped.
        flap_window: seconds.
        flap_quiet_time: seconds from the last addition or removal of an endpoint to the end of its damping.
    """

    max_removed: float = 0.5
    confirm_after: float = 2.0
    max_flaps: int | None = 4
    flap_window: float = 30.0
    flap_quiet_time: float = 10.0


class Accepted(NamedTuple):
    """The snapshot became the current version."""

    version: ListVersion
    difference: ListDifference  # from the previous version; empty for the first version
    recheck_at: float | None = None  # when damping of an endpoint ends; None if none is damped


class Unchanged(NamedTuple):
    """The snapshot has the same content as the current version, except for damped endpoints."""

    recheck_at: float | None = None  # when damping of an endpoint ends; None if none is damped


class Deferred(NamedTuple):
    """The snapshot is applied only if a later one of the same content confirms it."""

    reason: str
    recheck_at: float  # the earliest time at which a second snapshot can confirm it


class Rejected(NamedTuple):
    """The snapshot is not used."""

    reason: str


Verdict: TypeAlias = Accepted | Unchanged | Deferred | Rejected


class Rejection(NamedTuple):
    """A rejected snapshot, as the admin service shows it."""

    rejected_at: float  # seconds on the node's clock
    source: str
    reason: str


class UnconfirmedChange(NamedTuple):
    """A change that waits for a second snapshot of the same content."""

    digest: str
    first_seen_at: float  # when the first snapshot with this content was validated


class ListValidator:
    """Validates snapshots, and turns accepted ones into versions.

    All times are seconds on the node's monotonic clock.
    """

    def __init__(
        self,
        config: ValidationConfig,
        kinds: dict[str, EngineKindConfig],
        zones: Iterable[str],
        writers_can_read: bool = True,
    ) -> None:
        """Create a validator without a version. See `find_list_faults` for the last three arguments."""
        self.config = config
        self.kinds = kinds
        self.zones = tuple(zones)
        self.writers_can_read = writers_can_read
        self.version: ListVersion | None = None
        self.last_number = 0  # of the last accepted version; the caller restores it after a restart
        self.rejections: deque[Rejection] = deque(maxlen=MAX_REJECTIONS)
        self.source_lost_at: float | None = None
        self._unconfirmed: UnconfirmedChange | None = None
        self._damper = FlapDamper(config.max_flaps, config.flap_window, config.flap_quiet_time)

    def reject(self, now: float, source: str, reason: str) -> Rejected:
        """Reject a snapshot without validating it; the current version stays in use.

        A rejection that repeats the last one is not recorded again.
        """
        if not self.rejections or self.rejections[-1][1:] != (source, reason):
            self.rejections.append(Rejection(now, source, reason))
        return Rejected(reason)

    def reject_lost_source(self, now: float, source: str, reason: str) -> Rejected:
        """Reject a snapshot without files. The current version stays; its age is counted from the loss."""
        if self.source_lost_at is None:
            self.source_lost_at = now
        return self.reject(now, source, reason)

    def validate(
        self,
        now: float,
        endpoints: Iterable[EndpointConfig],
        source: str,
        is_from_store: bool = False,
        unresponsive: frozenset[str] = frozenset(),
        digest: str | None = None,
    ) -> Verdict:
        """Validate a complete snapshot, and make it the current version if it is accepted.

        Args:
            now: seconds on the node's clock.
            endpoints: the complete list.
            source: the origin of the list, as the admin service shows it.
            is_from_store: whether the version store supplied the list.
            unresponsive: addresses of endpoints that do not respond to this node; they may be removed without
                confirmation.
            digest: the `content_digest` of the endpoints if it is known. None: it is computed.
        """
        endpoints = list(endpoints)
        faults = find_list_faults(endpoints, self.kinds, self.zones, self.writers_can_read)
        if faults:
            return self.reject(now, source, "; ".join(faults))
        self.source_lost_at = None
        if self.version is None:
            first = make_version(self.last_number + 1, endpoints, source, now, is_from_store, digest)
            return self._accept(now, first, ListDifference())
        candidate = make_version(self.last_number + 1, endpoints, source, now, digest=digest)
        return self._validate_change(now, self.version, candidate, unresponsive)

    def _validate_change(
        self, now: float, current: ListVersion, candidate: ListVersion, unresponsive: frozenset[str]
    ) -> Verdict:
        candidate, damped_until = self._damper.apply(now, candidate, current.endpoints)
        difference = compare_versions(current.endpoints, candidate.endpoints)
        if not difference:
            self._unconfirmed = None
            return Unchanged(damped_until)
        removed_fraction = _removed_fraction(current, difference, unresponsive)
        confirmable_at = self._confirmable_at(now, candidate, removed_fraction)
        if confirmable_at is not None:
            reason = (
                f"removes {removed_fraction:.0%} of the engines at once, over "
                f"{self.config.max_removed:.0%}: deferred until a second snapshot confirms it"
            )
            return Deferred(reason, confirmable_at)
        return self._accept(now, candidate, difference)._replace(recheck_at=damped_until)

    def _accept(self, now: float, version: ListVersion, difference: ListDifference) -> Accepted:
        self._damper.record(now, (endpoint.address for endpoint in (*difference.added, *difference.removed)))
        self.version = version
        self.last_number = version.number
        self._unconfirmed = None
        return Accepted(version, difference)

    def _confirmable_at(self, now: float, candidate: ListVersion, removed_fraction: float) -> float | None:
        """Return when the removal can be confirmed; None if the candidate may be accepted now."""
        if self.config.max_removed >= ANY_REMOVED or removed_fraction <= self.config.max_removed:
            return None
        if self._unconfirmed is None or self._unconfirmed.digest != candidate.digest:
            self._unconfirmed = UnconfirmedChange(candidate.digest, now)
        confirmable_at = self._unconfirmed.first_seen_at + self.config.confirm_after
        return None if now >= confirmable_at - TIME_TOLERANCE else confirmable_at

    def version_age(self, now: float) -> float:
        """Return the seconds since the current version was accepted, or since its source was lost.

        If there is no version yet, the age is 0.
        """
        if self.version is None:
            return 0.0
        since = self.version.accepted_at if self.source_lost_at is None else self.source_lost_at
        return now - since


def _removed_fraction(
    current: ListVersion, difference: ListDifference, unresponsive: frozenset[str]
) -> float:
    """Return the fraction of serving endpoints that are removed, only change to draining, or change kind."""
    serving = [address for address, endpoint in current.endpoints.items() if is_serving(endpoint)]
    lost = {endpoint.address for endpoint in (*difference.removed, *difference.draining)}
    lost |= {change.endpoint.address for change in difference.changed if "kind" in change.fields}
    lost -= unresponsive
    return sum(address in lost for address in serving) / max(1, len(serving))
