"""The endpoint list of the fleet, which the discovery agents pass on to the nodes."""

import time
from typing import Protocol

import msgspec

from myrtlehub.lab.fault_soak.engine import Engine
from myrtlehub.lab.fault_soak.fleet_settings import ZONE
from myrtlehub.lab.fault_soak.records import EngineChange, EngineHealth, RunRecords

FIRST_VERSION = 1


class EndpointEntry(msgspec.Struct, frozen=True):
    """One engine as discovery sends it; the names on the wire are fixed."""

    name: str = msgspec.field(name="host")
    dial_address: str = msgspec.field(name="dial")
    zone: str = msgspec.field(name="site")
    machine_type: str = msgspec.field(name="class")
    cell: int = msgspec.field(name="block")
    health: EngineHealth
    weight: float = msgspec.field(name="share")
    started_at_ms: float = msgspec.field(name="born_ms")


class EndpointListMessage(msgspec.Struct, frozen=True):
    """A complete endpoint list, or the entries that have changed since a version."""

    version: int = msgspec.field(name="seq")
    is_complete: bool = msgspec.field(name="whole")
    entries: list[EndpointEntry] = msgspec.field(name="hosts")


class EndpointListObserver(Protocol):
    """The interface of a discovery agent that the endpoint list notifies."""

    node: int

    def known_at(self, now: float) -> float:
        """Return the time by which the agent's node must have received a change that is made now."""

    def list_changed(self) -> None:
        """Handle a change of the list."""


class EndpointList:
    """All engines with their health as discovery states it, and the version of the list.

    Attributes:
        version: Version of the list, which grows with each change.
        observers: The discovery agents.
    """

    def __init__(self, engines: list[Engine], records: RunRecords) -> None:
        self.version = FIRST_VERSION
        self.observers: list[EndpointListObserver] = []
        self.records = records
        self._engines = {engine.name: engine for engine in engines}
        self._health = dict.fromkeys(self._engines, EngineHealth.SERVING)
        self._changed_in = dict.fromkeys(self._engines, FIRST_VERSION)

    def change(self, name: str, health: EngineHealth) -> None:
        """Set an engine's health, or announce a restart if the health is the same."""
        self.version += 1
        self._health[name] = health
        self._changed_in[name] = self.version
        now = time.monotonic()
        known_at = {observer.node: observer.known_at(now) for observer in self.observers}
        self.records.changes.append(EngineChange(name, health, now, known_at))
        for observer in self.observers:
            observer.list_changed()

    def message(self, since: int | None) -> EndpointListMessage:
        """Return the changes since a version; the complete list if that is None."""
        if since is None:
            names = [name for name in self._engines if self._health[name] != EngineHealth.GONE]
        else:
            names = [name for name in self._engines if self._changed_in[name] > since]
        return EndpointListMessage(self.version, since is None, [self._entry(name) for name in names])

    def _entry(self, name: str) -> EndpointEntry:
        engine = self._engines[name]
        return EndpointEntry(
            name=name,
            dial_address=engine.proxy.address,
            zone=ZONE,
            machine_type=name[0],
            cell=0,
            health=self._health[name],
            weight=1.0,
            started_at_ms=engine.started_at_ms,
        )
