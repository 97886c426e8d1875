"""Processes of a scenario with takeover, with a fault proxy between each two nodes."""

from typing import NamedTuple

from myrtlehub.lab.endpoint_publisher import EndpointPublisher
from myrtlehub.lab.fault_proxy import Direction, FaultProxy
from myrtlehub.lab.fault_scheduler import FaultScheduler
from myrtlehub.lab.fleet_layout import ZONE, FleetLayout
from myrtlehub.lab.interfaces import Reactor
from myrtlehub.lab.process_files import ProcessFiles, SettingsTree
from myrtlehub.lab.processes import HOST, free_ports
from myrtlehub.lab.scenario_context import ScenarioContext
from myrtlehub.lab.scenario_file import CUT_OFF, PEER_FAULTS, FaultConfig, TakeoverScenarioConfig
from myrtlehub.lab.scenario_fleet import ScenarioFleet
from myrtlehub.node.clock import MonotonicClock

DRAIN_WITHIN = "5s"


class _PeerLink(NamedTuple):
    """Connections from one node to another."""

    node: str
    peer: str


class PeerProxies:
    """A fault proxy from each node to each other node; clients and engines reach nodes directly."""

    def __init__(self, reactor: Reactor, layout: FleetLayout) -> None:
        ports = free_ports(len(layout.nodes))
        self.addresses = {node: f"{HOST}:{port}" for node, port in zip(layout.nodes, ports, strict=True)}
        self._reactor = reactor
        self._proxies: dict[_PeerLink, FaultProxy] = {}

    def address_for(self, node: str, peer: str) -> str:
        """Return the address at which a node reaches a peer, or its own address without a proxy."""
        if node == peer:
            return self.addresses[peer]
        link = _PeerLink(node, peer)
        if link not in self._proxies:
            self._proxies[link] = FaultProxy(self._reactor, self.addresses[peer]).listen()
        return self._proxies[link].address

    def cut_off(self, name: str) -> None:
        """Stall both directions between a node and all others."""
        for link, proxy in self._proxies.items():
            if name in link:
                proxy.stall()

    def cut_out(self, name: str) -> None:
        """Stall the direction from a node to all others; it still receives what they send."""
        for link, proxy in self._proxies.items():
            if link.node == name:
                proxy.stall(Direction.FORWARD)
            elif link.peer == name:
                proxy.stall(Direction.BACKWARD)

    def restore_later(self, name: str, clock: MonotonicClock, seconds: float) -> None:
        """End the faults between a node and all others after some seconds."""
        for link, proxy in self._proxies.items():
            if name in link:
                clock.callLater(seconds, proxy.restore)

    def close(self) -> None:
        """Close all proxies."""
        for proxy in self._proxies.values():
            proxy.close()


class TakeoverFiles(ProcessFiles):
    """Settings files of a fleet with takeover."""

    def __init__(
        self,
        context: ScenarioContext,
        layout: FleetLayout,
        publisher: EndpointPublisher,
        takeover: TakeoverScenarioConfig,
        proxies: PeerProxies,
    ) -> None:
        super().__init__(context.scenario, context.folder, layout, publisher, context.seed)
        self._takeover = takeover
        self._proxies = proxies

    def node_file(self, name: str) -> SettingsTree:
        """Return the settings of a node, with its peers."""
        tree = super().node_file(name)
        takeover = self._takeover
        if not takeover.on:
            return tree
        tree["node"]["drain_within"] = DRAIN_WITHIN
        tree["engines_may"] = {"claims": takeover.claims}
        tree["takeover"] = {
            "listen": self._proxies.addresses[name],
            "copies": takeover.copies,
            "comes_back": f"{takeover.comes_back}s",
            "peers": [
                {"name": peer, "zone": ZONE, "address": self._proxies.address_for(name, peer)}
                for peer in self._layout.nodes
            ],
        }
        return tree

    def engine_file(self, name: str, incarnation: int, is_cold: bool) -> SettingsTree:
        """Return the settings of an emulated engine, whose streams outlive their node."""
        tree = super().engine_file(name, incarnation, is_cold)
        if self._takeover.on and self._takeover.claims:
            tree["stream_bound"] = f"{self._takeover.stream_bound}s"
        return tree


class TakeoverFleet(ScenarioFleet):
    """The processes of a scenario with takeover."""

    proxies: PeerProxies

    def __init__(self, context: ScenarioContext, takeover: TakeoverScenarioConfig) -> None:
        self._takeover = takeover
        super().__init__(context)

    def make_files(self) -> TakeoverFiles:
        """Return what writes the settings files, which have the addresses of proxies."""
        self.proxies = PeerProxies(self.context.reactor, self.layout)
        return TakeoverFiles(self.context, self.layout, self.publisher, self._takeover, self.proxies)


class TakeoverFaults(FaultScheduler):
    """Faults of a fleet with takeover, in which nodes can lose their connections to each other."""

    def __init__(self, context: ScenarioContext, fleet: TakeoverFleet) -> None:
        super().__init__(context, fleet)
        self._proxies = fleet.proxies

    def begin_node_fault(self, fault: FaultConfig, name: str) -> None:
        """Begin a fault of a node, which may cut it off from others."""
        if fault.do not in PEER_FAULTS:
            super().begin_node_fault(fault, name)
            return
        if fault.do == CUT_OFF:
            self._proxies.cut_off(name)
        else:
            self._proxies.cut_out(name)
        self._context.recorder.note("cut", who=name, how=fault.do, lasts=fault.lasts)
        self._proxies.restore_later(name, self._context.clock, fault.lasts)
