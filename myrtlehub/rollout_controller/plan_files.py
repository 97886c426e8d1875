"""What a plan's sheet comes to: stages, guards, paths of settings files, command lines."""

import shlex
from collections.abc import Sequence
from enum import StrEnum
from pathlib import Path

import xxhash

from myrtlehub.config.loader import ConfigError, load_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.config.rollout_plan import RolloutPlanConfig
from myrtlehub.node.revision import settings_digest
from myrtlehub.rollout.canary_analysis import CanaryAnalysis
from myrtlehub.rollout.journal_format import JournalHeader
from myrtlehub.rollout.node_orders import FORMAT_VERSION
from myrtlehub.rollout.node_status import Revision
from myrtlehub.rollout.rollout_state import ChangeMethod, RolloutPlan
from myrtlehub.rollout.stage_plan import assign_stages
from myrtlehub.rollout.statistics import MIN_WINDOWS, Guard
from myrtlehub.rollout_controller.errors import RolloutError

DEFAULT_JOURNAL = "roll.journal"
EACH_TRAFFIC_TYPE = "each"
LOWER_IS_WORSE = frozenset({"served"})  # all other figures are worse when higher


class PlanSide(StrEnum):
    """Before or after the change; the values are fields of the plan."""

    OLD = "was"
    NEW = "now"


class PlanFiles:
    """A plan and the files beside it."""

    def __init__(self, sheet: RolloutPlanConfig, text: str, base: Path) -> None:
        """Take a plan's sheet and text; `base` is the folder that its paths are relative to.

        Raises:
            RolloutError: its stages do not fit the fleet.
        """
        self.sheet = sheet
        self.base = base
        self.names = [node.name for node in sheet.nodes]
        self.plan = self._rollout_plan()
        self.header = JournalHeader(FORMAT_VERSION, xxhash.xxh3_64_hexdigest(text.encode()), self.names)
        self.journal_path = base / (sheet.journal or DEFAULT_JOURNAL)

    def _rollout_plan(self) -> RolloutPlan:
        zones = [node.zone for node in self.sheet.nodes]
        sizes = [stage.nodes or stage.share for stage in self.sheet.stages]
        try:
            stages = assign_stages(zones, sizes, self.sheet.one_zone)
        except ValueError as error:
            raise RolloutError(str(error)) from error
        method = ChangeMethod.REPLACE if self.sheet.change.program else ChangeMethod.IN_PLACE
        return RolloutPlan(len(zones), stages, method, self.sheet.most_away)

    def analysis(self, traffic: Sequence[str]) -> CanaryAnalysis:
        """Make the analysis of the plan's guards for these traffic types."""
        sheet = self.sheet
        return CanaryAnalysis(
            self._guards(traffic),
            [node.zone for node in sheet.nodes],
            max(MIN_WINDOWS, round(sheet.watch / sheet.block)),
            sheet.alarm,
            sheet.most_lost / sheet.block,
        )

    def _guards(self, traffic: Sequence[str]) -> list[Guard]:
        guards = []
        for row in self.sheet.guards:
            sign = -1.0 if row.figure in LOWER_IS_WORSE else 1.0
            names = traffic if row.traffic == EACH_TRAFFIC_TYPE else [row.traffic]
            guards += [Guard(row.figure, row.worse, sign, name) for name in names]
        return guards

    def new_revision(self, old: Sequence[Revision]) -> Revision:
        """Return the revision that nodes of these old ones get; an empty part is not known yet.

        Raises:
            RolloutError: the nodes differ, or have it already.
        """
        if len(set(old)) > 1:
            found = sorted({f"program {program} settings {settings}" for program, settings in old})
            raise RolloutError(
                f"the fleet has more than one revision already: {', '.join(found)}; make it one first"
            )
        change = self.sheet.change
        program = old[0].program if change.settings else change.program.revision
        new = Revision(program, settings_digest(self.settings(0, PlanSide.NEW)))
        if new == old[0]:
            raise RolloutError("the nodes have this revision already")
        return new

    def traffic_types(self) -> list[str]:
        """Return the names of the traffic types before the change."""
        return sorted({row.name for row in self.settings(0, PlanSide.OLD).traffic})

    def settings_path(self, node: int, side: PlanSide) -> Path:
        """Return the path of a node's settings file."""
        settings_change = self.sheet.change.settings
        pattern = getattr(settings_change, side) if settings_change else self.sheet.settings
        return self.base / pattern.format(name=self.names[node], settings="")

    def settings(self, node: int, side: PlanSide) -> NodeConfig:
        """Load a node's settings file.

        Raises:
            RolloutError: it is not there, or wrong.
        """
        try:
            return load_config(self.settings_path(node, side), NodeConfig)
        except ConfigError as error:
            raise RolloutError(str(error)) from error

    def start_command(self, node: int, side: PlanSide) -> str:
        """Return the command line that starts a node."""
        program = self.sheet.change.program
        command = getattr(program, side) if program else self.sheet.start
        settings = shlex.quote(str(self.settings_path(node, side)))
        return command.format(name=self.names[node], settings=settings)
