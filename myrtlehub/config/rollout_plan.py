"""The file of a rollout plan."""

from string import Formatter
from typing import Annotated, Literal, NamedTuple, Self

from pydantic import Field, model_validator

from myrtlehub.config.field_types import Address, Count, CountOrZero, Name, Positive, Share, find_duplicates
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration

NODE_FIELDS = frozenset({"name", "settings"})  # placeholders of node paths and command lines
PROCESS_FIELDS = frozenset({"name", "pid"})  # placeholders of commands for processes on other machines
MIN_SAMPLE_WINDOWS = 3  # smallest number of sample windows in the observation of a stage


class SettingsChange(ConfigModel):
    """New settings for running nodes: paths of a node's file before and after the change, with {name}."""

    was: str
    now: str


class ProgramChange(ConfigModel):
    """A new program: command lines before and after the change, with {name} and {settings}."""

    was: str
    now: str
    revision: str = ""  # digest that the new program reports; empty: the first one that differs from the old


class ChangeConfig(ConfigModel):
    """What the rollout changes: either settings or the program."""

    settings: SettingsChange | None = None
    program: ProgramChange | None = None

    @model_validator(mode="after")
    def _check_one(self) -> Self:
        if (self.settings is None) == (self.program is None):
            raise ValueError("say what changes: either settings or program")
        return self


class ProcessCommands(ConfigModel):
    """Commands that check and kill the process of a node on another machine, with {name} and {pid}."""

    alive: str  # exit code 0: the process runs; 1: it does not run; any other: unknown
    kill: str


class PlannedNode(ConfigModel):
    """One node of the fleet."""

    name: Name
    admin: Address
    zone: Name


class StageConfig(ConfigModel):
    """The number of nodes that run the change at the end of a stage: a count or a fraction of all."""

    nodes: Count | None = None
    share: Annotated[float, Field(gt=0.0, le=1.0)] | None = None

    @model_validator(mode="after")
    def _check_one(self) -> Self:
        if (self.nodes is None) == (self.share is None):
            raise ValueError("say either nodes, a count, or share, of all nodes")
        return self


class GuardConfig(ConfigModel):
    """A metric that the change may not worsen."""

    figure: Literal["served", "rejected", "aborted", "first_token", "tail", "attempts", "memory"]
    worse: Positive  # smallest unacceptable worsening, as a difference in the metric's unit
    traffic: str = ""  # the traffic type to compare; empty: all types together; "each": each type separately


class Template(NamedTuple):
    """A text of the plan with placeholders in braces."""

    name: str  # name of the setting, for error messages
    text: str
    known_fields: frozenset[str]

    def check(self) -> None:
        """Check the placeholders.

        Raises:
            ValueError: a placeholder is unknown, or the braces do not match.
        """
        try:
            fields = {field for _, field, _, _ in Formatter().parse(self.text) if field is not None}
        except ValueError as error:
            raise ValueError(f"{self.name}: {error}; write braces twice where they are meant") from error
        unknown = sorted(fields - self.known_fields)
        if unknown:
            known = " and ".join(f"{{{field}}}" for field in sorted(self.known_fields))
            raise ValueError(f"{self.name}: {{{unknown[0]}}} is not known; {known} are")


class RolloutPlanConfig(ConfigModel):
    """The file of a rollout plan."""

    format: Literal[1] = 1
    change: ChangeConfig
    nodes: Annotated[list[PlannedNode], Field(min_length=2)]
    settings: str = ""  # path of a node's file with {name}; required if the program changes
    start: str = "hub-node {settings}"  # command line of a node that exited while its settings changed
    processes: ProcessCommands | None = None  # None: the nodes run on this machine
    stages: Annotated[list[StageConfig], Field(min_length=1)]
    one_zone: CountOrZero = 1  # number of stages, from the first, that are limited to the largest zone
    most_away: Count = 1  # largest number of unavailable nodes
    measure: Duration = 60.0  # duration of the baseline measurement, before anything is changed
    warm: Duration = 10.0  # duration of a stage's warm-up, without a comparison
    watch: Duration = 60.0  # duration of a stage's observation, after the warm-up
    hold: Duration = 300.0  # longest time for which a disturbance may put a stage on hold
    block: Duration = 5.0  # length of a sample window
    look: Duration = 1.0  # interval of the polls
    drain_within: Duration = 20.0  # a draining node that has not exited after this time is killed
    start_within: Duration = 30.0  # a started node that has generated no sequence after this time has failed
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
    alarm: Share = 0.01  # false-alarm rate: fraction of rollouts of an equal version that may be rolled back
    most_lost: Duration = 30.0  # limit on the lost utility, as the utility offered to the fleet in this time
    journal: str = ""  # path of the journal; empty: beside the plan

    @model_validator(mode="after")
    def _check(self) -> Self:
        self._check_nodes()
        for template in self._templates():
            template.check()
        if self.change.program is not None and not self.settings:
            raise ValueError("settings: say where each node's file is, with {name}")
        if self.one_zone > len(self.stages):
            raise ValueError(f"one_zone: there are {len(self.stages)} stages, not {self.one_zone}")
        if self.watch < MIN_SAMPLE_WINDOWS * self.block:
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
