"""Processes of a scenario with a rollout, during which a controller replaces the nodes."""

import os
import signal
from typing import NamedTuple

from twisted.internet.defer import Deferred, DeferredList

from myrtlehub.lab.endpoint_row import EngineState
from myrtlehub.lab.fault_proxy import FaultProxy
from myrtlehub.lab.rollout_files import RolloutFiles
from myrtlehub.lab.scenario_context import ScenarioContext
from myrtlehub.lab.scenario_file import RolloutScenarioConfig
from myrtlehub.lab.scenario_fleet import ScenarioFleet
from myrtlehub.proto import admin_pb2

FOLDER_VARIABLE = "HUB_VARIANT_FOLDER"  # environment variable: folder of files that faulty nodes share
NODE_COUNT_VARIABLE = "HUB_VARIANT_NODES"  # environment variable: number of nodes in the fleet
SHOW_METHOD = "/myrtlehub.v1.NodeAdmin/Show"


class NodeIncarnation(NamedTuple):
    """The process that runs a node."""

    process_id: int
    revision: str  # of program and settings


class RolloutFleet(ScenarioFleet):
    """The processes of a scenario with a rollout; the controller reaches each node by a fault proxy."""

    files: RolloutFiles

    def __init__(self, context: ScenarioContext, rollout: RolloutScenarioConfig) -> None:
        self._rollout = rollout
        self.proxies: dict[str, FaultProxy] = {}  # by node
        super().__init__(context)
        self.node_program = self.files.node_program(rollout.was)
        self.environment = {
            FOLDER_VARIABLE: str(context.folder),
            NODE_COUNT_VARIABLE: str(len(self.layout.nodes)),
        }

    def make_files(self) -> RolloutFiles:
        """Return what writes the settings files and the plan."""
        return RolloutFiles(self.context, self.layout, self.publisher, self._rollout)

    def write_plan(self) -> None:
        """Write the plan and the new settings, with a fault proxy before each node."""
        for node, address in self.layout.admin_addresses.items():
            self.files.write_new_file(node)
            self.proxies[node] = FaultProxy(self.context.reactor, address, self.context.report).listen()
        self.files.write_plan({node: proxy.address for node, proxy in self.proxies.items()})

    def publish(self, engine: str, state: EngineState, started_at: float | None = None) -> None:
        """Change the state of an engine, also in the settings files, which restarted nodes read."""
        super().publish(engine, state, started_at)
        for node in self.layout.admin_addresses:
            self.files.write(node, self.files.node_file(node))
            if self.proxies:
                self.files.write_new_file(node)

    def is_node_running(self, node: str) -> bool:
        """Return True: the node may run in a process that the controller started."""
        return True

    async def incarnations(self) -> list[NodeIncarnation]:
        """Request of each node which process runs it; nodes that do not answer are left out."""
        results = await DeferredList([self._incarnation_of(node) for node in self.layout.admin_addresses])
        return [result for _, result in results if isinstance(result, NodeIncarnation)]

    def _incarnation_of(self, node: str) -> Deferred[NodeIncarnation | None]:
        def decode(reply: bytes) -> NodeIncarnation:
            state = admin_pb2.NodeState.FromString(reply)
            return NodeIncarnation(state.pid, f"{state.program}/{state.settings}")

        return self.call_admin(node, SHOW_METHOD, b"").addCallbacks(decode, lambda failure: None)

    def end_foreign_nodes(self, incarnations: list[NodeIncarnation]) -> None:
        """Send SIGTERM to nodes that are not children of this process."""
        children = {process.transport.pid for process in self.processes.running()}
        for incarnation in incarnations:
            if incarnation.process_id and incarnation.process_id not in children:
                os.kill(incarnation.process_id, signal.SIGTERM)

    async def close_proxies(self) -> None:
        """Close the fault proxies."""
        for proxy in self.proxies.values():
            await proxy.close()
