"""Decoder for the endpoint lists of the discovery service."""

from collections.abc import Mapping
from typing import Any, NamedTuple, Self

from myrtlehub.membership.endpoint import EndpointFields, EndpointState
from myrtlehub.relay.discovery.engine_start_times import EngineStartTimes
from myrtlehub.relay.errors import EndpointListError
from myrtlehub.relay.parsing import parse_address

# Smallest age in seconds of an engine whose start is stated, because an age of 0 means unknown.
MIN_AGE_S = 1e-6
STATE_BY_HEALTH = {
    "active": EndpointState.SERVING,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
LEAVING_STATES = (EndpointState.DRAINING, EndpointState.GONE)


class EndpointEntry(NamedTuple):
    """One engine of the endpoint list.

    Attributes:
        address: Name of the engine in the list.
        kind: Machine type.
        zone: Zone of the engine.
        cell: Number of the block of engines within the zone; a block may be a dedup group.
        weight: Load relative to other engines; an engine of weight 0 is treated as draining.
        state: The value of an `EndpointState`.
        age: Seconds since the engine started; 0 if the entry does not state the start.
        dial_address: HOST:PORT of the engine; may be empty for a removed engine.
        model: Version of the model that the engine serves; empty, because the platform does not state it.
    """

    address: str
    kind: str
    zone: str
    cell: int
    weight: float
    state: str
    age: float
    dial_address: str
    model: str = ""

    @property
    def field_values(self) -> EndpointFields:
        """The values of the fields that the entries of all endpoint sources have in common."""
        return (*self[:7], self.model)

    def with_fields(self, **fields: Any) -> Self:  # noqa: ANN401
        """Return a copy with some fields replaced."""
        return self._replace(**fields)


class EndpointListUpdate(NamedTuple):
    """A complete endpoint list, or a change to it.

    Attributes:
        version: Version of the list after the update.
        is_complete: Whether `entries` is the complete list; otherwise it has only the changed entries.
        entries: The valid entries.
    """

    version: int
    is_complete: bool
    entries: list[EndpointEntry]


class EndpointListDecoder:
    """Decodes endpoint lists and changes to them, and caches the latest entry of each engine.

    Args:
        kinds: The machine types of the settings.
        zones: The zones of the settings.
        epoch: The Unix time in seconds at which the node's clock showed 0.

    Attributes:
        start_times: The start times of the engines.
        entries: The latest entry of each engine that is not gone, by name.
    """

    def __init__(self, kinds: Mapping[str, int], zones: Mapping[str, int], epoch: float) -> None:
        self.kinds = kinds
        self.zones = zones
        self.start_times = EngineStartTimes(epoch)
        self.entries: dict[str, EndpointEntry] = {}

    def decode(self, message: Any, now: float) -> EndpointListUpdate:  # noqa: ANN401
        """Decode a message of discovery.

        An invalid entry is skipped, unless its health field says that a known engine is draining or gone.
        This engine must not get new work, so its other fields are taken from its latest valid entry.

        Args:
            message: The message, parsed from JSON.
            now: The time in seconds of the node's clock.

        Raises:
            EndpointListError: The message has no list of entries.
        """
        if not isinstance(message, dict) or not isinstance(message.get("hosts"), list):
            raise EndpointListError("hosts: is missing")
        self.start_times.correct_epoch(max(map(_stated_start_ms, message["hosts"]), default=0.0), now)
        decoded = (self._decode_entry(host, now) or self._leaving_notice(host) for host in message["hosts"])
        entries = [entry for entry in decoded if entry is not None]
        is_complete = bool(message.get("whole"))
        if is_complete:
            self.entries = {}
        for entry in entries:
            self._cache(entry)
        version = message.get("seq")
        return EndpointListUpdate(version if isinstance(version, int) else 0, is_complete, entries)

    def _cache(self, entry: EndpointEntry) -> None:
        if entry.state == EndpointState.GONE:
            self.entries.pop(entry.address, None)
            self.start_times.forget(entry.address)
        else:
            self.entries[entry.address] = entry

    def _leaving_notice(self, host: Any) -> EndpointEntry | None:  # noqa: ANN401
        """Return an engine's latest entry in its new state if an invalid entry says draining or gone."""
        if not isinstance(host, dict) or not isinstance(host.get("host"), str):
            return None
        state = STATE_BY_HEALTH.get(str(host.get("health")))
        entry = self.entries.get(host["host"])
        if entry is None or state not in LEAVING_STATES:
            return None
        return entry._replace(state=state)

    def _decode_entry(self, host: Any, now: float) -> EndpointEntry | None:  # noqa: ANN401
        """Return the decoded entry; None if `host` is not a valid entry."""
        try:
            state = STATE_BY_HEALTH[host["health"]]
            stated_ms = _stated_start_ms(host)
            if host.get("born_ms") and not stated_ms:
                return None
            dial_address = host.get("dial", "")
            if state != EndpointState.GONE and parse_address(dial_address) is None:
                return None
            kind = host.get("class", "")
            zone = host.get("site", "")
            weight = float(host.get("share", 1.0))
            cell = host.get("block", 0)
            if kind not in self.kinds or zone not in self.zones:
                return None
            if not (isinstance(host["host"], str) and host["host"] and isinstance(cell, int)):
                return None
            age = self._age(host["host"], stated_ms, now)
            return EndpointEntry(host["host"], kind, zone, cell, weight, state, age, dial_address)
        except (KeyError, TypeError, ValueError, AttributeError):
            return None

    def _age(self, name: str, stated_ms: float, now: float) -> float:
        if not stated_ms:
            return 0.0
        return max(MIN_AGE_S, now - self.start_times.started_at(name, stated_ms, now))


def _stated_start_ms(host: Any) -> float:  # noqa: ANN401
    """Return the start time that an entry states, in Unix milliseconds; 0 if it is missing or invalid."""
    stated_ms = host.get("born_ms") if isinstance(host, dict) else None
    if not isinstance(stated_ms, (int, float)) or isinstance(stated_ms, bool):
        return 0.0
    return stated_ms if 0.0 < stated_ms < float("inf") else 0.0
