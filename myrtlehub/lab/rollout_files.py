"""The settings files of a scenario with a rollout, and the controller's plan."""

import json
import sys
from pathlib import Path

from myrtlehub.lab.endpoint_publisher import EndpointPublisher
from myrtlehub.lab.fleet_layout import ZONE, FleetLayout
from myrtlehub.lab.process_files import NODE_PROGRAM, ProcessFiles, SettingsTree
from myrtlehub.lab.scenario_context import ScenarioContext
from myrtlehub.lab.scenario_file import RolloutScenarioConfig

FAULTY_NODE_PROGRAM = "myrtlehub.cli.faulty_node"
STEPPED_CLOCK_PROGRAM = "myrtlehub.cli.stepped_clock"
DRAIN_WITHIN = "3s"
NEW_SUFFIX = ".new"  # in the name of a node's file with new settings


class RolloutFiles(ProcessFiles):
    """Files of a fleet during a rollout."""

    def __init__(
        self,
        context: ScenarioContext,
        layout: FleetLayout,
        publisher: EndpointPublisher,
        rollout: RolloutScenarioConfig,
    ) -> None:
        super().__init__(context.scenario, context.folder, layout, publisher, context.seed)
        self._rollout = rollout

    @property
    def clock_program(self) -> list[str]:
        """The program that runs another one with a clock that can be set; empty if no fault sets clocks."""
        return [STEPPED_CLOCK_PROGRAM] if self._rollout.sets_clocks else []

    @property
    def plan_path(self) -> Path:
        """The file of the controller's plan."""
        return self._folder / "roll.yaml"

    def node_file(self, name: str) -> SettingsTree:
        """Return the settings of a node, with a shorter drain time than the default."""
        tree = super().node_file(name)
        tree["node"]["drain_within"] = DRAIN_WITHIN
        return tree

    def node_program(self, kind: str) -> list[str]:
        """Return the program of a kind of faulty node, or the real one if the kind is empty."""
        program = [FAULTY_NODE_PROGRAM, kind] if kind else [NODE_PROGRAM]
        return [*self.clock_program, *program]

    def write_new_file(self, name: str) -> None:
        """Write the file of a node with the settings that are rolled out."""
        tree = self.node_file(name)
        for field, value in self._rollout.settings.items():
            *path, last = field.split(".")
            group = tree
            for part in path:
                group = group.setdefault(part, {})
            group[last] = json.loads(json.dumps(value))  # built-in types, which the YAML writer requires
        self.write(f"{name}{NEW_SUFFIX}", tree)

    def write_plan(self, admin_addresses: dict[str, str]) -> None:
        """Write the controller's plan; `admin_addresses` has the address at which it reaches each node."""
        rollout = self._rollout
        tree = {
            "change": self._change(),
            "settings": "{name}.yaml",
            "start": self._command(rollout.was),
            "nodes": [
                {"name": node, "admin": admin_addresses[node], "zone": ZONE} for node in self._layout.nodes
            ],
            "stages": [{"nodes" if isinstance(size, int) else "share": size} for size in rollout.stages],
            **rollout.plan,
        }
        # JSON is YAML, and its writer accepts the number types of the YAML reader.
        self.plan_path.write_text(json.dumps(tree))

    def _change(self) -> dict[str, dict[str, str]]:
        rollout = self._rollout
        if rollout.now:
            return {"program": {"was": self._command(rollout.was), "now": self._command(rollout.now)}}
        return {"settings": {"was": "{name}.yaml", "now": f"{{name}}{NEW_SUFFIX}.yaml"}}

    def _command(self, kind: str) -> str:
        return " ".join([sys.executable, "-m", *self.node_program(kind), "{settings}"])
