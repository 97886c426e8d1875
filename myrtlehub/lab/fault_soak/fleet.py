"""The fleet of a soak: nodes as processes; engines, discovery agents and the endpoint list in the driver."""

from pathlib import Path

import msgspec

from myrtlehub.lab.fault_soak.blackhole import Blackhole
from myrtlehub.lab.fault_soak.discovery_agent import DiscoveryAgent
from myrtlehub.lab.fault_soak.endpoint_list import EndpointList
from myrtlehub.lab.fault_soak.engine import Engine
from myrtlehub.lab.fault_soak.fleet_settings import READER, WRITER
from myrtlehub.lab.fault_soak.node_process import NodeProcess
from myrtlehub.lab.fault_soak.records import RunRecords
from myrtlehub.lab.fault_soak.schedule import Schedule
from myrtlehub.lab.fault_soak.state_store import StateStore
from myrtlehub.lab.interfaces import Reactor

READER_SHARE = 0.4  # of the engines


class Fleet:
    """All peers of a run; the position in each list is the number of the node or engine."""

    def __init__(
        self, reactor: Reactor, schedule: Schedule, records: RunRecords, folder: Path, program: str
    ) -> None:
        self.records = records
        store = StateStore(records)
        self.engines = [
            Engine(reactor, _engine_name(number, schedule), store, records, schedule.seed + number)
            for number in range(schedule.engine_count)
        ]
        self.endpoints = EndpointList(self.engines, records)
        self.agents = [
            DiscoveryAgent(reactor, number, self.endpoints) for number in range(schedule.node_count)
        ]
        self.nodes = [
            NodeProcess(
                reactor,
                agent.node,
                schedule.node_count,
                folder / f"n{agent.node}",
                agent.addresses,
                records,
                schedule.deadline_s,
                program,
            )
            for agent in self.agents
        ]
        self._blackhole = Blackhole()  # its listener stays open as long as the fleet
        for node in self.nodes:
            faults = msgspec.structs.replace(node.call_faults, blackhole=self._blackhole.address)
            node.set_call_faults(faults)


def _engine_name(number: int, schedule: Schedule) -> str:
    """Return the name of an engine, which begins with its machine type."""
    is_reader = number < READER_SHARE * schedule.engine_count
    return f"{READER if is_reader else WRITER}{number}"
