"""Endpoint lists as discovery writes them, decoded into endpoint entries."""

from enum import StrEnum
from typing import Any, NamedTuple, Self

from myrtlehub.relay.discovery.engine_starts import EngineStarts
from myrtlehub.relay.errors import EndpointListError
from myrtlehub.relay.parsing import parse_address

MIN_AGE_S = 1e-6  # of an engine that has just started: an age of 0 stands for long ago


def _born_ms(host: Any) -> float:  # noqa: ANN401
    """Return when an entry says that its engine started, in Unix milliseconds; 0: long ago, or unreadable."""
    born_ms = host.get("born_ms") if isinstance(host, dict) else None
    is_number = isinstance(born_ms, (int, float)) and not isinstance(born_ms, bool)
    return born_ms if is_number and 0.0 < born_ms < float("inf") else 0.0


class EndpointState(StrEnum):
    """The state of an engine in the list; the values are those of `node.endpoint_index`."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


STATE_BY_HEALTH = {
    "active": EndpointState.SERVING,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
LEAVING_STATES = (EndpointState.DRAINING, EndpointState.GONE)


class EndpointEntry(NamedTuple):
    """One engine of the list. `address` is its name, `dial_address` where it is reached."""

    address: str
    kind: str
    zone: str
    cell: int
    weight: float
    state: EndpointState
    age: float
    dial_address: str
    model: str = ""

    @property
    def field_values(self) -> tuple:
        """The fields that rows of all sources have."""
        return (*self[:7], self.model)

    def with_fields(self, **fields: Any) -> Self:  # noqa: ANN401
        """Return the same with some fields replaced."""
        return self._replace(**fields)


class EndpointListUpdate(NamedTuple):
    """A complete list, or changes to it."""

    version: int
    complete: bool
    entries: list[EndpointEntry]


class EndpointListDecoder:
    """Decodes lists and changes, and remembers the last entry of each engine.

    `kinds` and `zones` are the names that the settings allow; `epoch` is the Unix time when the node's clock
    showed 0.
    """

    def __init__(self, kinds: dict[str, int], zones: dict[str, int], epoch: float) -> None:
        self.kinds = kinds
        self.zones = zones
        self.starts = EngineStarts(epoch)
        self.entries: dict[str, EndpointEntry] = {}  # by name; engines that are gone are not kept

    def decode(self, message: Any, now: float) -> EndpointListUpdate:  # noqa: ANN401
        """Decode what discovery wrote; EndpointListError where nothing of it can be read.

        Entries that can't be read are left out alone. A notice that an engine drains or is gone is never left
        out, whatever else of the entry can't be read: its last entry supplies the rest.
        """
        if not isinstance(message, dict) or not isinstance(message.get("hosts"), list):
            raise EndpointListError("hosts: is missing")
        self.starts.correct(max(map(_born_ms, message["hosts"]), default=0.0), now)
        decoded = (self._decode_entry(host, now) or self._leaving_notice(host) for host in message["hosts"])
        entries = [entry for entry in decoded if entry is not None]
        if message.get("whole"):
            self.entries = {}
        for entry in entries:
            if entry.state == EndpointState.GONE:
                self.entries.pop(entry.address, None)
                self.starts.forget(entry.address)
            else:
                self.entries[entry.address] = entry
        version = message.get("seq")
        return EndpointListUpdate(
            version if isinstance(version, int) else 0, bool(message.get("whole")), entries
        )

    def _leaving_notice(self, host: Any) -> EndpointEntry | None:  # noqa: ANN401
        """Read an unreadable entry as far as it is a notice that an engine drains or is gone."""
        if not isinstance(host, dict) or not isinstance(host.get("host"), str):
            return None
        state = STATE_BY_HEALTH.get(str(host.get("health")))
        entry = self.entries.get(host["host"])
        if entry is None or state not in LEAVING_STATES:
            return None
        return entry._replace(state=state)

    def _decode_entry(self, host: Any, now: float) -> EndpointEntry | None:  # noqa: ANN401
        try:
            state = STATE_BY_HEALTH[host["health"]]
            born_ms = _born_ms(host)
            if host.get("born_ms") and not born_ms:
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
            age = 0.0
            if born_ms:
                age = max(MIN_AGE_S, now - self.starts.started_at(host["host"], born_ms, now))
            return EndpointEntry(host["host"], kind, zone, cell, weight, state, age, dial_address)
        except (KeyError, TypeError, ValueError, AttributeError):
            return None
