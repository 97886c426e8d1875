"""The plan of a rollout."""

from string import Formatter
from typing import Annotated, Literal, NamedTuple, Self

from pydantic import Field, model_validator

from myrtlehub.config.field_types import Address, Count, CountOrZero, Name, Positive, Share, find_duplicates
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration

NODE_FIELDS = frozenset({"name", "settings"})  # that a command line or a path may have in braces
PROCESS_FIELDS = frozenset({"name", "pid"})
LEAST_BLOCKS = 3  # of a stage's watch


class SettingsChange(ConfigModel):
    """New settings, in place: paths of a node's file, before and after, with {name}."""

    was: str
    now: str


class ProgramChange(ConfigModel):
    """A new program: command lines, before and after, with {name} and {settings}."""

    was: str
    now: str
    revision: str = ""  # digest that the new one shows; empty: that of the first node that shows another


class ChangeConfig(ConfigModel):
    """What changes: one of the two."""

    settings: SettingsChange | None = None
    program: ProgramChange | None = None

    @model_validator(mode="after")
    def _check_one(self) -> Self:
        if (self.settings is None) == (self.program is None):
            raise ValueError("say what changes: either settings or program")
        return self


class ProcessCommands(ConfigModel):
    """Nodes on other machines: commands that look at a process there and end it, with {name} and {pid}."""

    alive: str  # exit 0: the process runs; 1: there is none; anything else: nobody knows
    kill: str


class PlannedNode(ConfigModel):
    """One node of the fleet."""

    name: Name
    admin: Address
    zone: Name


class StageConfig(ConfigModel):
    """How many nodes have the change once this stage is done."""

    nodes: Count | None = None
    share: Annotated[float, Field(gt=0.0, le=1.0)] | None = None

    @model_validator(mode="after")
    def _check_one(self) -> Self:
        if (self.nodes is None) == (self.share is None):
            raise ValueError("say either nodes, a count, or share, of all nodes")
        return self


class GuardConfig(ConfigModel):
    """One figure that may not get worse."""

    figure: Literal["served", "rejected", "aborted", "first_token", "tail", "attempts", "memory"]
    worse: Positive  # by so much is not acceptable, in the figure's unit
    traffic: str = ""  # a traffic type; empty: all together; each: every one by itself


class Template(NamedTuple):
    """A text of the plan with fields in braces."""

    name: str  # of the setting
    text: str
    known_fields: frozenset[str]

    def check(self) -> None:
        """Raise ValueError where a field is not known, or the braces do not match."""
        try:
            fields = {field for _, field, _, _ in Formatter().parse(self.text) if field is not None}
        except ValueError as error:
            raise ValueError(f"{self.name}: {error}; write braces twice where they are meant") from error
        unknown = sorted(fields - self.known_fields)
        if unknown:
            known = " and ".join(f"{{{field}}}" for field in sorted(self.known_fields))
            raise ValueError(f"{self.name}: {{{unknown[0]}}} is not known; {known} are")


class RolloutPlanConfig(ConfigModel):
    """A plan. Times are durations with a unit."""

    format: Literal[1] = 1
    change: ChangeConfig
    nodes: Annotated[list[PlannedNode], Field(min_length=2)]
    settings: str = ""  # path of a node's file with {name}, where the program changes
    start: str = "hub-node {settings}"  # command line of a node that died while its settings changed
    processes: ProcessCommands | None = None  # none: they run on this machine
    stages: Annotated[list[StageConfig], Field(min_length=1)]
    one_zone: CountOrZero = 1  # stages at first that stay within one zone
    most_away: Count = 1
    measure: Duration = 60.0  # before anything is changed
    warm: Duration = 10.0  # of a changed node, before it is compared
    watch: Duration = 60.0  # of a stage
    hold: Duration = 300.0  # at most, of a stage amid trouble that is not the change's
    block: Duration = 5.0  # of time that is compared at once
    look: Duration = 1.0
    drain_within: Duration = 20.0  # a node that has not left by then is killed
    start_within: Duration = 30.0  # a node that has not proven itself by then has failed
    guards: Annotated[list[GuardConfig], Field(min_length=1)] = Field(
        default=[
            GuardConfig(figure="served", worse=0.005),
            GuardConfig(figure="served", worse=0.01, traffic="each"),
            GuardConfig(figure="rejected", worse=0.005),
            GuardConfig(figure="aborted", worse=0.005),
            GuardConfig(figure="first_token", worse=0.05),
            GuardConfig(figure="attempts", worse=0.05),
            GuardConfig(figure="memory", worse=20.0),
        ]
    )
    alarm: Share = 0.01  # of equal versions, that may be taken for worse
    most_lost: Duration = 30.0  # utility that it may cost, as what the fleet is asked in this time
    journal: str = ""  # empty: beside the plan

    @model_validator(mode="after")
    def _check(self) -> Self:
        self._check_nodes()
        for template in self._templates():
            template.check()
        if self.change.program is not None and not self.settings:
            raise ValueError("settings: say where each node's file is, with {name}")
        if self.one_zone > len(self.stages):
            raise ValueError(f"one_zone: there are {len(self.stages)} stages, not {self.one_zone}")
        if self.watch < LEAST_BLOCKS * self.block:
            raise ValueError("watch: has to be three blocks or more")
        if self.most_away >= len(self.nodes):
            raise ValueError(f"most_away: at least one of the {len(self.nodes)} nodes has to stay")
        return self

    def _check_nodes(self) -> None:
        names = [node.name for node in self.nodes]
        addresses = [node.admin for node in self.nodes]
        for field, values in (("name", names), ("admin", addresses)):
            duplicates = find_duplicates(values)
            if duplicates:
                raise ValueError(f"nodes: {field} {', '.join(duplicates)} stands more than once")

    def _templates(self) -> list[Template]:
        templates = [
            Template("start", self.start, NODE_FIELDS),
            Template("settings", self.settings, NODE_FIELDS),
        ]
        for part in ("settings", "program"):
            change = getattr(self.change, part)
            if change is not None:
                templates.append(Template(f"change.{part}.was", change.was, NODE_FIELDS))
                templates.append(Template(f"change.{part}.now", change.now, NODE_FIELDS))
        if self.processes is not None:
            templates.append(Template("processes.alive", self.processes.alive, PROCESS_FIELDS))
            templates.append(Template("processes.kill", self.processes.kill, PROCESS_FIELDS))
        return templates
