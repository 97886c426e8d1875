"""A plan and the files that it names: stages, guards, paths of settings files, command lines."""

import shlex
from collections.abc import Sequence
from enum import StrEnum
from pathlib import Path

import xxhash

from myrtlehub.config.loader import ConfigError, load_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.config.rollout_plan import ProgramChange, RolloutPlanConfig, SettingsChange, StageConfig
from myrtlehub.node.revision import settings_digest
from myrtlehub.rollout.canary_analysis import CanaryAnalysis
from myrtlehub.rollout.errors import StagePlanError
from myrtlehub.rollout.journal_format import JournalHeader
from myrtlehub.rollout.node_orders import FORMAT_VERSION
from myrtlehub.rollout.node_status import Revision
from myrtlehub.rollout.rollout_state import ChangeMethod, RolloutPlan
from myrtlehub.rollout.samples import Metric
from myrtlehub.rollout.stage_plan import assign_stages
from myrtlehub.rollout.statistics import MIN_WINDOWS, Guard
from myrtlehub.rollout_controller.errors import RolloutError

DEFAULT_JOURNAL = "roll.journal"  # file name in the directory of the plan
EACH_TRAFFIC_TYPE = "each"  # value of a guard's `traffic` in a plan: one guard for each traffic type
LOWER_IS_WORSE = frozenset({Metric.SERVED})  # for all other metrics, higher is worse


class PlanSide(StrEnum):
    """Before or after the change; the values are names of fields of the plan."""

    OLD = "was"
    NEW = "now"


class PlanFiles:
    """A plan and the files that it names."""

    def __init__(self, config: RolloutPlanConfig, plan_text: str, plan_directory: Path) -> None:
        """Assign the nodes to the plan's stages.

        Args:
            config: the plan.
            plan_text: the plan's text, whose digest identifies the plan in the journal.
            plan_directory: the directory to which the plan's paths are relative.

        Raises:
            RolloutError: the stages do not fit the fleet.
        """
        self.config = config
        self.plan_directory = plan_directory
        self.names = [node.name for node in config.nodes]
        self.plan = self._rollout_plan()
        self.header = JournalHeader(FORMAT_VERSION, xxhash.xxh3_64_hexdigest(plan_text.encode()), self.names)
        self.journal_path = plan_directory / (config.journal or DEFAULT_JOURNAL)

    def _rollout_plan(self) -> RolloutPlan:
        zones = [node.zone for node in self.config.nodes]
        sizes = [_stage_size(stage) for stage in self.config.stages]
        try:
            stages = assign_stages(zones, sizes, self.config.one_zone)
        except StagePlanError as error:
            raise RolloutError(str(error)) from error
        method = ChangeMethod.REPLACE if self.config.change.program else ChangeMethod.IN_PLACE
        return RolloutPlan(len(zones), stages, method, self.config.most_away)

    def analysis(self, traffic_types: Sequence[str]) -> CanaryAnalysis:
        """Return a new analysis with the plan's guards for these traffic types."""
        config = self.config
        return CanaryAnalysis(
            self._guards(traffic_types),
            [node.zone for node in config.nodes],
            max(MIN_WINDOWS, round(config.watch / config.block)),
            config.alarm,
            config.most_lost / config.block,
        )

    def _guards(self, traffic_types: Sequence[str]) -> list[Guard]:
        guards = []
        for guard in self.config.guards:
            metric = Metric(guard.figure)
            harm_sign = -1.0 if metric in LOWER_IS_WORSE else 1.0
            guarded_types = traffic_types if guard.traffic == EACH_TRAFFIC_TYPE else [guard.traffic]
            guards += [Guard(metric, guard.worse, harm_sign, name) for name in guarded_types]
        return guards

    def new_revision(self, old_revisions: Sequence[Revision]) -> Revision:
        """Return the revision of the rollout; a part that the plan does not specify is unknown.

        Args:
            old_revisions: the current revision of each node.

        Raises:
            RolloutError: the nodes have different revisions, or have the new revision already.
        """
        if len(set(old_revisions)) > 1:
            revisions = sorted(
                {f"program {program} settings {settings}" for program, settings in old_revisions}
            )
            raise RolloutError(
                f"the nodes have different revisions: {', '.join(revisions)}; make them equal first"
            )
        program_change = self.config.change.program
        program = program_change.revision if program_change else old_revisions[0].program
        new = Revision(program, settings_digest(self.settings(0, PlanSide.NEW)))
        if new == old_revisions[0]:
            raise RolloutError("all nodes have the new revision already")
        return new

    def traffic_types(self) -> list[str]:
        """Return the names of the traffic types before the change."""
        return sorted({traffic_type.name for traffic_type in self.settings(0, PlanSide.OLD).traffic})

    def settings_path(self, node: int, side: PlanSide) -> Path:
        """Return the path of a node's settings file."""
        change = self.config.change.settings
        path_template = _template_of(change, side) if change else self.config.settings
        return self.plan_directory / path_template.format(name=self.names[node], settings="")

    def settings(self, node: int, side: PlanSide) -> NodeConfig:
        """Load a node's settings file.

        Raises:
            RolloutError: the file is missing or invalid.
        """
        try:
            return load_config(self.settings_path(node, side), NodeConfig)
        except ConfigError as error:
            raise RolloutError(str(error)) from error

    def start_command(self, node: int, side: PlanSide) -> str:
        """Return the command line that starts a node."""
        change = self.config.change.program
        command = _template_of(change, side) if change else self.config.start
        settings = shlex.quote(str(self.settings_path(node, side)))
        return command.format(name=self.names[node], settings=settings)


def _template_of(change: SettingsChange | ProgramChange, side: PlanSide) -> str:
    return change.was if side is PlanSide.OLD else change.now


def _stage_size(stage: StageConfig) -> int | float:
    """Return the size of a stage, as a count (int) or a fraction (float) of the fleet."""
    if stage.nodes is not None:
        return stage.nodes
    if stage.share is not None:
        return stage.share
    raise RolloutError("a stage sets neither nodes nor share")
