"""Injects the faults of a schedule into the fleet."""

from myrtlehub.lab.fault_soak.agent_fault_injector import AgentFaultInjector
from myrtlehub.lab.fault_soak.clients import ClientPopulation
from myrtlehub.lab.fault_soak.engine_fault_injector import EngineFaultInjector
from myrtlehub.lab.fault_soak.faults import FaultTarget
from myrtlehub.lab.fault_soak.fleet import Fleet
from myrtlehub.lab.fault_soak.node_fault_injector import NodeFaultInjector
from myrtlehub.lab.fault_soak.schedule import Schedule
from myrtlehub.lab.interfaces import Reactor


def schedule_faults(reactor: Reactor, schedule: Schedule, fleet: Fleet, clients: ClientPopulation) -> None:
    """Schedule the start of all faults; the run begins now."""
    begin_by_target = {
        FaultTarget.NODE: NodeFaultInjector(
            reactor, fleet.nodes, clients, fleet.records, schedule.seed
        ).begin,
        FaultTarget.ENGINE: EngineFaultInjector(reactor, fleet).begin,
        FaultTarget.AGENT: AgentFaultInjector(reactor, fleet.agents).begin,
    }
    for fault in schedule.faults:
        reactor.callLater(fault.begin_s, begin_by_target[fault.kind.target], fault)
