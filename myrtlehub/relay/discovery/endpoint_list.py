"""Decoder for the endpoint lists of the discovery service."""

from collections.abc import Mapping
from typing import Any, NamedTuple, Self

from myrtlehub.membership.endpoint import EndpointFields, EndpointState
from myrtlehub.relay.discovery.engine_start_times import EngineStartTimes
from myrtlehub.relay.errors import EndpointListError
from myrtlehub.relay.parsing import parse_address

# Lower bound in seconds for the age of an engine with a stated start time, because 0 means an unknown age.
MIN_AGE_S = 1e-6
STATE_BY_HEALTH = {
    "active": EndpointState.SERVING,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
LEAVING_STATES = (EndpointState.DRAINING, EndpointState.REMOVED)


class EndpointEntry(NamedTuple):
    """One engine of the endpoint list.

    Attributes:
        address: Name of the engine in the endpoint list.
        kind: Machine type.
        zone: Zone of the engine.
        cell: Number of the engine's block within the zone; a block may be a dedup group.
        weight: Load relative to other engines; an engine of weight 0 is treated as draining.
        state: The value of an `EndpointState`.
        age: Seconds since the engine started; 0 if the entry does not state a start time.
        dial_address: HOST:PORT of the engine; may be empty for a removed engine.
        model: Version of the model that the engine serves; empty, because this platform does not state it.
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
        """The values of the fields that entries of all endpoint sources have."""
        return (*self[:7], self.model)

    def with_fields(self, **fields: Any) -> Self:  # noqa: ANN401
        """Return a copy with some fields replaced."""
        return self._replace(**fields)


class EndpointListUpdate(NamedTuple):
    """A complete endpoint list, or a change to it.

    Attributes:
        version: Version of the list after the update.
        is_complete: Whether `entries` is the complete list; otherwise it only has the changed entries.
        entries: The valid entries.
    """

    version: int
    is_complete: bool
    entries: list[EndpointEntry]


class EndpointListDecoder:
    """Decodes endpoint lists and changes to them, and stores the latest entry of each engine.

    Args:
        kinds: The machine types of the settings.
        zones: The zones of the settings.
        clock_epoch: The Unix time in seconds at which the node's clock was 0.

    Attributes:
        start_times: The start times of the engines.
        entries: The latest valid entry of each engine that is not gone, by name.
    """

    def __init__(self, kinds: Mapping[str, int], zones: Mapping[str, int], clock_epoch: float) -> None:
        self.kinds = kinds
        self.zones = zones
        self.start_times = EngineStartTimes(clock_epoch)
        self.entries: dict[str, EndpointEntry] = {}

    def decode(self, message: Any, now: float) -> EndpointListUpdate:  # noqa: ANN401
        """Decode a message of the discovery service.

        An invalid entry is skipped, unless its health field says that a known engine is draining or gone.
        Such an engine must not get new requests, so the other fields are taken from its latest valid entry.

        Args:
            message: The message, parsed from JSON.
            now: The node's clock time in seconds.

        Raises:
            EndpointListError: The message has no list of entries.
        """
        if not isinstance(message, dict) or not isinstance(message.get("hosts"), list):
            raise EndpointListError("hosts: is missing or not a list")
        self.start_times.advance_clock_epoch(max(map(_stated_start_ms, message["hosts"]), default=0.0), now)
        decoded = (self._decode_entry(raw, now) or self._decode_leaving(raw) for raw in message["hosts"])
        entries = [entry for entry in decoded if entry is not None]
        is_complete = bool(message.get("whole"))
        if is_complete:
            self.entries = {}
        for entry in entries:
            self._store(entry)
        version = message.get("seq")
        return EndpointListUpdate(version if isinstance(version, int) else 0, is_complete, entries)

    def _store(self, entry: EndpointEntry) -> None:
        if entry.state == EndpointState.REMOVED:
            self.entries.pop(entry.address, None)
            self.start_times.forget(entry.address)
        else:
            self.entries[entry.address] = entry

    def _decode_leaving(self, raw: Any) -> EndpointEntry | None:  # noqa: ANN401
        """Return the engine's latest entry with the state of an invalid one, if that is draining or gone."""
        if not isinstance(raw, dict) or not isinstance(raw.get("host"), str):
            return None
        state = STATE_BY_HEALTH.get(str(raw.get("health")))
        entry = self.entries.get(raw["host"])
        if entry is None or state not in LEAVING_STATES:
            return None
        return entry._replace(state=state)

    def _decode_entry(self, raw: Any, now: float) -> EndpointEntry | None:  # noqa: ANN401
        """Return the decoded entry, or None if it is invalid."""
        try:
            state = STATE_BY_HEALTH[raw["health"]]
            stated_start_ms = _stated_start_ms(raw)
            if raw.get("born_ms") and not stated_start_ms:
                return None
            dial_address = raw.get("dial", "")
            if state != EndpointState.REMOVED and parse_address(dial_address) is None:
                return None
            kind = raw.get("class", "")
            zone = raw.get("site", "")
            weight = float(raw.get("share", 1.0))
            cell = raw.get("block", 0)
            if kind not in self.kinds or zone not in self.zones:
                return None
            if not (isinstance(raw["host"], str) and raw["host"] and isinstance(cell, int)):
                return None
            age = self._age(raw["host"], stated_start_ms, now)
            return EndpointEntry(raw["host"], kind, zone, cell, weight, state, age, dial_address)
        except (KeyError, TypeError, ValueError, AttributeError):
            return None

    def _age(self, name: str, stated_start_ms: float, now: float) -> float:
        if not stated_start_ms:
            return 0.0
        return max(MIN_AGE_S, now - self.start_times.started_at(name, stated_start_ms, now))


def _stated_start_ms(raw: Any) -> float:  # noqa: ANN401
    """Return the start time that an entry states, in Unix milliseconds; 0 if it is missing or invalid."""
    stated_start_ms = raw.get("born_ms") if isinstance(raw, dict) else None
    if not isinstance(stated_start_ms, (int, float)) or isinstance(stated_start_ms, bool):
        return 0.0
    return stated_start_ms if 0.0 < stated_start_ms < float("inf") else 0.0
