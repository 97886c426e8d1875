"""List validation: when a snapshot becomes the endpoint list; pure decisions by the times handed in.

It says what the list is; the router decides what to do with it. Four questions, in this order: can the
snapshot be routed by, does an endpoint flap, does it remove too much at once, and has it been confirmed.
"""

from collections import deque
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.engines import EngineKindConfig
from myrtlehub.membership.endpoint import EndpointState
from myrtlehub.membership.flap_damping import NEVER, FlapDamper
from myrtlehub.membership.list_version import ListDifference, ListVersion, compare_versions, make_version

MAX_REMEMBERED = 20  # versions, and rejections
ANY_REMOVED = 1.0  # as `max_removed`: no removal has to be confirmed
ROUNDING = 1e-9  # seconds


class ValidationConfig(NamedTuple):
    """Bounds from the settings."""

    max_removed: float = 0.5  # share of endpoints that may be removed at once unconfirmed
    confirm_after: float = 2.0  # seconds until a second snapshot of the same content confirms a removal
    max_flaps: int = 4  # changes of an endpoint's presence within `flap_window` that damp it; 0: never
    flap_window: float = 30.0  # seconds
    flap_quiet_time: float = 10.0  # seconds without a change after which a damped endpoint counts again


class ValidationOutcome(StrEnum):
    """What becomes of a snapshot."""

    ACCEPTED = "accepted"
    DEFERRED = "deferred"  # until a second snapshot confirms it
    REJECTED = "rejected"
    UNCHANGED = "unchanged"


class Verdict(NamedTuple):
    """What becomes of a snapshot, and why."""

    outcome: ValidationOutcome
    reason: str = ""
    version: ListVersion | None = None  # the accepted one
    difference: ListDifference = ListDifference()  # empty for the first version
    recheck_at: float = NEVER  # when to validate the same snapshot once more


class Rejection(NamedTuple):
    """A snapshot that was not accepted."""

    at: float
    source: str
    reason: str


class HeldChange(NamedTuple):
    """A change that waits for its confirmation."""

    digest: str
    since: float


def find_list_faults(
    endpoints: Iterable[EndpointConfig],
    kinds: dict[str, EngineKindConfig],
    zones: Iterable[str],
    writers_read: bool = True,
) -> list[str]:
    """Return what is wrong with a complete list, a line each; nothing if it can be routed by.

    `writers_read` says whether a writer can read a prompt itself.
    """
    endpoints = list(endpoints)
    zones = set(zones)
    faults = []
    seen: dict[str, EndpointConfig] = {}
    for endpoint in endpoints:
        faults += _find_endpoint_faults(endpoint, seen.get(endpoint.address), kinds, zones)
        seen[endpoint.address] = endpoint
    serving = [
        endpoint
        for endpoint in endpoints
        if endpoint.state == EndpointState.SERVING and endpoint.weight > 0.0 and endpoint.kind in kinds
    ]
    return faults + _find_missing_tasks(serving, kinds) + _find_missing_roles(serving, kinds, writers_read)


def _find_endpoint_faults(
    endpoint: EndpointConfig,
    duplicate: EndpointConfig | None,
    kinds: dict[str, EngineKindConfig],
    zones: set[str],
) -> list[str]:
    faults = []
    if duplicate is not None:
        same = "the same" if duplicate == endpoint else "different"
        faults.append(f"engine {endpoint.address} is listed twice, with {same} figures; keep one")
    if endpoint.kind not in kinds:
        faults.append(
            f"engine {endpoint.address}: kind {endpoint.kind!r} is not among kinds: "
            f"{', '.join(sorted(kinds))}; mend the name, or add the kind"
        )
    if endpoint.zone not in zones:
        faults.append(
            f"engine {endpoint.address}: zone {endpoint.zone!r} is not among zones: "
            f"{', '.join(sorted(zones))}; mend the name, or add the zone"
        )
    return faults


def _find_missing_tasks(serving: list[EndpointConfig], kinds: dict[str, EngineKindConfig]) -> list[str]:
    faults = []
    for task in ("embeds", "ranks"):
        able = {name for name, kind in kinds.items() if getattr(kind, task)}
        if able and not any(endpoint.kind in able for endpoint in serving):
            faults.append(f"no engine that serves {task}; list at least one")
    return faults


def _find_missing_roles(
    serving: list[EndpointConfig], kinds: dict[str, EngineKindConfig], writers_read: bool
) -> list[str]:
    writer_cells = {endpoint.cell for endpoint in serving if kinds[endpoint.kind].writes}
    reader_cells = {endpoint.cell for endpoint in serving if kinds[endpoint.kind].reads}
    need_writers = any(kind.writes for kind in kinds.values())
    need_readers = any(kind.reads for kind in kinds.values())
    faults = []
    if not writer_cells and need_writers:
        faults.append("no engine that serves can write; list at least one")
    if not reader_cells and not writers_read and need_writers:
        faults.append("no engine that serves can read, and writers cannot; list at least one")
    elif not reader_cells and need_readers:
        faults.append("no engine that serves can read; list at least one reader")
    faults += [
        f"cell {cell} has readers and no writer; list one, or move the readers"
        for cell in sorted(reader_cells - writer_cells)
    ]
    return faults


class ListValidator:
    """Snapshots in, versions out. `now` is the node's clock, which only advances."""

    def __init__(
        self,
        config: ValidationConfig,
        kinds: dict[str, EngineKindConfig],
        zones: Iterable[str],
        writers_read: bool = True,
    ) -> None:
        self.config = config
        self.kinds = kinds
        self.zones = tuple(zones)
        self.writers_read = writers_read
        self.version: ListVersion | None = None
        self.number = 0  # of the last accepted version, here or before a restart
        self.versions: deque[ListVersion] = deque(maxlen=MAX_REMEMBERED)
        self.rejections: deque[Rejection] = deque(maxlen=MAX_REMEMBERED)
        self.source_lost_at: float | None = None
        self._held: HeldChange | None = None
        self._damper = FlapDamper(config.max_flaps, config.flap_window, config.flap_quiet_time)

    def reject(self, now: float, source: str, reason: str) -> Verdict:
        """Reject a snapshot, whatever it lists; the last good version stays."""
        if not self.rejections or self.rejections[-1][1:] != (source, reason):
            self.rejections.append(Rejection(now, source, reason))
        return Verdict(ValidationOutcome.REJECTED, reason)

    def source_lost(self, now: float, source: str, reason: str) -> Verdict:
        """Record that the source is gone: the last version stays, and its age grows from here."""
        if self.source_lost_at is None:
            self.source_lost_at = now
        return self.reject(now, source, reason)

    def validate(
        self,
        now: float,
        endpoints: Iterable[EndpointConfig],
        source: str,
        from_store: bool = False,
        unresponsive: frozenset[str] = frozenset(),
        digest: str = "",
    ) -> Verdict:
        """Validate a complete snapshot.

        `unresponsive` are the addresses that do not answer this node, which speaks for their removal;
        `digest` is that of the content, where it is known already.
        """
        endpoints = list(endpoints)
        faults = find_list_faults(endpoints, self.kinds, self.zones, self.writers_read)
        if faults:
            return self.reject(now, source, "; ".join(faults))
        self.source_lost_at = None
        if self.version is None:
            first = make_version(self.number + 1, endpoints, source, now, from_store, digest)
            return self._accept(now, first, ListDifference())
        candidate = make_version(self.number + 1, endpoints, source, now, digest=digest)
        return self._validate_change(now, candidate, unresponsive)

    def _validate_change(self, now: float, candidate: ListVersion, unresponsive: frozenset[str]) -> Verdict:
        before = self.version.endpoints
        candidate, damped_until = self._damper.apply(now, candidate, before)
        difference = compare_versions(before, candidate.endpoints)
        if not difference:
            self._held = None
            return Verdict(ValidationOutcome.UNCHANGED, recheck_at=damped_until)
        removed = self._removed_share(difference, unresponsive)
        confirmed_at = self._confirmed_at(now, candidate, removed)
        if confirmed_at is not None:
            reason = (
                f"takes away {removed:.0%} of the engines at once, over "
                f"{self.config.max_removed:.0%}: held until a second reading confirms it"
            )
            return Verdict(ValidationOutcome.DEFERRED, reason, recheck_at=confirmed_at)
        return self._accept(now, candidate, difference)._replace(recheck_at=damped_until)

    def _accept(self, now: float, version: ListVersion, difference: ListDifference) -> Verdict:
        self._damper.record(now, (endpoint.address for endpoint in (*difference.added, *difference.removed)))
        self.version = version
        self.number = version.number
        self._held = None
        self.versions.append(version)
        return Verdict(ValidationOutcome.ACCEPTED, version=version, difference=difference)

    def _removed_share(self, difference: ListDifference, unresponsive: frozenset[str]) -> float:
        """Return the share of serving endpoints that would no longer do their work."""
        serving = [
            address
            for address, endpoint in self.version.endpoints.items()
            if endpoint.state == EndpointState.SERVING
        ]
        lost = {endpoint.address for endpoint in (*difference.removed, *difference.draining)}
        lost |= {change.endpoint.address for change in difference.changed if "kind" in change.fields}
        lost -= unresponsive
        return sum(address in lost for address in serving) / max(1, len(serving))

    def _confirmed_at(self, now: float, candidate: ListVersion, removed: float) -> float | None:
        """Return when the removal counts as confirmed, if it has to wait; None if it may be accepted."""
        if self.config.max_removed >= ANY_REMOVED or removed <= self.config.max_removed:
            return None
        if self._held is None or self._held.digest != candidate.digest:
            self._held = HeldChange(candidate.digest, now)
        confirmed_at = self._held.since + self.config.confirm_after
        return None if now >= confirmed_at - ROUNDING else confirmed_at

    def age(self, now: float) -> float:
        """Return the seconds since the current version was accepted, or since its source was lost."""
        if self.version is None:
            return 0.0
        since = self.version.accepted_at if self.source_lost_at is None else self.source_lost_at
        return now - since
