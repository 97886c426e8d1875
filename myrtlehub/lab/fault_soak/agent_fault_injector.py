"""Faults of discovery agents: silence, slow and truncated responses, lost watches."""

from myrtlehub.lab.fault_soak.discovery_agent import DiscoveryAgent
from myrtlehub.lab.fault_soak.faults import Fault, FaultKind
from myrtlehub.lab.interfaces import Reactor


class AgentFaultInjector:
    """Injects faults into discovery agents."""

    def __init__(self, reactor: Reactor, agents: list[DiscoveryAgent]) -> None:
        self._reactor = reactor
        self._agents = agents

    def begin(self, fault: Fault) -> None:
        """Start a fault, and schedule its end."""
        agent = self._agents[fault.target]
        match fault.kind:
            case FaultKind.DISCOVERY_SILENT:
                agent.begin_silence()
                self._reactor.callLater(fault.duration_s, agent.end_silence)
            case FaultKind.DISCOVERY_SLOW:
                agent.is_slow = True
                self._reactor.callLater(fault.duration_s, setattr, agent, "is_slow", False)
            case FaultKind.DISCOVERY_TRUNCATES:
                agent.truncates_responses = True
                self._reactor.callLater(fault.duration_s, setattr, agent, "truncates_responses", False)
            case FaultKind.WATCH_SILENT:
                agent.lose_watches()
