"""What the plan of a rolling change may say."""

from string import Formatter
from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from myrtlehub.config.load import Sheet
from myrtlehub.config.sheets import Address, Name, Share
from myrtlehub.config.units import Duration

Count = Annotated[int, Field(ge=1)]
FIELDS = {"name", "settings"}  # that a command line or a path may have in braces
PROCESS_FIELDS = {"name", "pid"}


class SettingsChange(Sheet):
    """New settings, in place: paths of a node's file, before and after, with {name}."""

    was: str
    now: str


class ProgramChange(Sheet):
    """A new program: command lines, before and after, with {name} and {settings}."""

    was: str
    now: str
    revision: str = ""  # digest that the new one shows; empty: that of the first node that shows another


class ChangeGroup(Sheet):
    """What changes: one of the two."""

    settings: SettingsChange | None = None
    program: ProgramChange | None = None

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if (self.settings is None) == (self.program is None):
            raise ValueError("say what changes: either settings or program")
        return self


class ProcessesGroup(Sheet):
    """Nodes on other machines: commands that look at a process there and end it, with {name} and {pid}."""

    alive: str  # exit 0: the process runs; 1: there is none; anything else: nobody knows
    kill: str


class PlanNode(Sheet):
    """One node of the fleet."""

    name: Name
    admin: Address
    zone: Name


class StageRow(Sheet):
    """How many nodes have the change once this stage is done."""

    nodes: Count | None = None
    share: Annotated[float, Field(gt=0.0, le=1.0)] | None = None

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if (self.nodes is None) == (self.share is None):
            raise ValueError("say either nodes, a count, or share, of all nodes")
        return self


class GuardRow(Sheet):
    """One figure that may not get worse."""

    figure: Literal["served", "rejected", "aborted", "first_token", "tail", "attempts", "memory"]
    worse: Annotated[float, Field(gt=0.0)]  # by so much is not acceptable, in the figure's unit
    traffic: str = ""  # a traffic type; empty: all together; each: every one by itself


class PlanSheet(Sheet):
    """A plan. Times are durations with a unit."""

    format: Literal[1] = 1
    change: ChangeGroup
    nodes: Annotated[list[PlanNode], Field(min_length=2)]
    settings: str = ""  # path of a node's file with {name}, where the program changes
    start: str = "hub-node {settings}"  # command line of a node that died while its settings changed
    processes: ProcessesGroup | None = None  # none: they run on this machine
    stages: Annotated[list[StageRow], Field(min_length=1)]
    one_zone: Annotated[int, Field(ge=0)] = 1  # stages at first that stay within one zone
    most_away: Count = 1
    measure: Duration = 60.0  # before anything is changed
    warm: Duration = 10.0  # of a changed node, before it is compared
    watch: Duration = 60.0  # of a stage
    hold: Duration = 300.0  # at most, of a stage amid trouble that is not the change's
    block: Duration = 5.0  # of time that is compared at once
    look: Duration = 1.0
    drain_within: Duration = 20.0  # a node that has not left by then is killed
    start_within: Duration = 30.0  # a node that has not proven itself by then has failed
    guards: Annotated[list[GuardRow], Field(min_length=1)] = [
        GuardRow(figure="served", worse=0.005),
        GuardRow(figure="served", worse=0.01, traffic="each"),
        GuardRow(figure="rejected", worse=0.005),
        GuardRow(figure="aborted", worse=0.005),
        GuardRow(figure="first_token", worse=0.05),
        GuardRow(figure="attempts", worse=0.05),
        GuardRow(figure="memory", worse=20.0),
    ]
    alarm: Share = 0.01  # of equal versions, that may be taken for worse
    most_lost: Duration = 30.0  # utility that it may cost, as what the fleet is asked in this time
    journal: str = ""  # empty: beside the plan

    @model_validator(mode="after")
    def _sound(self) -> Self:
        names = [n.name for n in self.nodes]
        for what, found in (("name", names), ("admin", [n.admin for n in self.nodes])):
            twice = sorted({n for n in found if found.count(n) > 1})
            if twice:
                raise ValueError(f"nodes: {what} {', '.join(twice)} stands more than once")
        texts = {"start": self.start, "settings": self.settings}
        there = self.processes.model_dump() if self.processes else {}
        commands = {f"processes.{k}": v for k, v in there.items()}
        for part in ("settings", "program"):
            change = getattr(self.change, part)
            if change is not None:
                texts.update({f"change.{part}.was": change.was, f"change.{part}.now": change.now})
        for name, text in {**texts, **commands}.items():
            known = PROCESS_FIELDS if name in commands else FIELDS
            try:
                strange = {field for _, field, _, _ in Formatter().parse(text) if field is not None} - known
            except ValueError as fault:
                raise ValueError(f"{name}: {fault}; write braces twice where they are meant") from fault
            if strange:
                raise ValueError(
                    f"{name}: {{{sorted(strange)[0]}}} is not known; "
                    + " and ".join(f"{{{k}}}" for k in sorted(known))
                    + " are"
                )
        if self.change.program is not None and not self.settings:
            raise ValueError("settings: say where each node's file is, with {name}")
        if self.one_zone > len(self.stages):
            raise ValueError(f"one_zone: there are {len(self.stages)} stages, not {self.one_zone}")
        if self.watch < 3 * self.block:
            raise ValueError("watch: has to be three blocks or more")
        if self.most_away >= len(self.nodes):
            raise ValueError(f"most_away: at least one of the {len(self.nodes)} nodes has to stay")
        return self
