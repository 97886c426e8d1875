"""The scenario file: fleet, traffic, timed faults, seed."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from myrtlehub.config.emulated_engine import FaultInjectionConfig
from myrtlehub.config.field_types import Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.traffic import RulesConfig, TenantConfig, TrafficTypeConfig
from myrtlehub.config.units import Duration, Tokens

Count = Annotated[int, Field(ge=1)]
Span = Annotated[list[int], Field(min_length=2, max_length=2)]

# What engines of each name do, as their files and the nodes' say it.
ENGINE_KINDS = {
    "reader": {"reads": True},
    "writer": {"writes": True},
    "mixed": {"writes": True, "embeds": True},
    "embedder": {"embeds": True},
    "ranker": {"ranks": True},
}


class FleetConfig(ConfigModel):
    """How many processes of each kind; engines are dealt to cells and zones in turn."""

    nodes: Count = 1
    readers: Annotated[int, Field(ge=0)] = 1
    writers: Count = 1
    mixed: Annotated[int, Field(ge=0)] = 0  # that write and embed
    embedders: Annotated[int, Field(ge=0)] = 0
    rankers: Annotated[int, Field(ge=0)] = 0
    cells: Count = 1


class MachineConfig(ConfigModel):
    """Figures of a made-up machine; the emulated engine's own are used where none is given."""

    slots: Count = 8
    queue: Annotated[int, Field(ge=0)] = 32
    memory: Tokens = 200000.0
    read_rate: Annotated[float, Field(gt=0)] = 16000.0
    step: Duration = 0.02
    step_crowd: Share = 0.5
    fetch_rate: Annotated[float, Field(gt=0)] = 250000.0
    kept: Tokens = 60000.0
    begin: Duration = 0.0
    batch_base: Duration = 0.006
    batch_rate: Annotated[float, Field(gt=0)] = 60000.0
    batch_slots: Count = 1
    batch_queue: Annotated[int, Field(ge=0)] = 16
    batch_drag: Annotated[float, Field(ge=0)] = 0.5
    mishaps: FaultInjectionConfig = FaultInjectionConfig()


class TrafficMix(TrafficTypeConfig):
    """A traffic type and what its sequences look like."""

    share: Annotated[float, Field(gt=0)]
    prompt: Span
    output: Span
    prefixes: Annotated[int, Field(ge=0)] = 4
    shared: Span = Field(default_factory=lambda: [0, 0])
    turns: Count = 1


class ClientsConfig(ConfigModel):
    """How clients behave."""

    retries: Annotated[int, Field(ge=0)] = 1
    leave: Share = 0.0  # of sequences, whose client goes away at a moment drawn by chance
    leave_within: Duration = 3.0  # that moment comes within this, sooner rather than later
    leave_on_token: Share = 0.0  # of sequences, that lose their client just after one of four first tokens
    hurried: Share = 0.0  # of sequences, whose client waits 0.1 to 0.6 s for the first token
    silent: Share = 0.0  # of sequences, whose client reads nothing and then goes away
    whole: Duration = 20.0  # deadline of the whole call


class ListFilesConfig(ConfigModel):
    """Nodes read the endpoint list from files that are written carelessly; each node has its own copy."""

    quiet: Duration = 0.03
    poll: Duration = 0.5
    every: Duration = 0.4  # from one burst of writes to the next, on the average
    burst: Count = 8  # writes in a burst, at most
    torn: Share = 0.3  # of writes, that leave a file cut at some byte
    wrong: Share = 0.15  # of writes, that leave a list which parses and cannot be routed by
    deleted: Share = 0.05  # of writes, that delete the file
    drains: Share = 0.4  # of versions, in which one more engine has weight 0
    most_removed: Share = 0.5
    store: bool = True


PAUSE = "pause"  # of a node: its process is stopped and continued
CUT_OFF = "cut off"  # cut off from other nodes, in both directions
CUT_OUT = "cut out"  # in one direction: others do not hear it
LEAVE = "leave"  # told to leave by SIGTERM
NODE_FAULTS = ("kill", PAUSE, CUT_OFF, CUT_OUT, LEAVE)  # clients and engines reach it meanwhile
PEER_FAULTS = (CUT_OFF, CUT_OUT)
TIMED_NODE_FAULTS = (PAUSE, CUT_OFF, CUT_OUT)


class TakeoverScenarioConfig(ConfigModel):
    """Nodes hold replicas of one another's sequence records, and clients resume."""

    copies: Count = 2
    stream_bound: Duration = 6.0  # of engines
    comes_back: Duration = 2.0
    keepalive: Duration = 0.5  # from ping to ping of clients, and until an answer
    claims: bool = True  # whether engines answer claims
    on: bool = True  # no: the same scenario without takeover, for comparison


class FaultConfig(ConfigModel):
    """One thing that goes wrong, at a moment from the start of the traffic."""

    at: Duration
    do: Literal[
        "crash",
        "kill",
        "drain",
        "hang",
        "refuse",
        "error",
        "slow",
        "flush",
        "break",
        "model",
        "pause",
        "cut off",
        "cut out",
        "leave",
    ]
    whom: Annotated[list[str], Field(min_length=1)]
    lasts: Duration = 0.0
    factor: Annotated[float, Field(ge=0)] = 0.0

    @model_validator(mode="after")
    def _sound(self) -> Self:
        nodes = [name for name in self.whom if name.startswith("node-")]
        if nodes and self.do not in NODE_FAULTS:
            raise ValueError(f"{self.do} is for engines; nodes can have {', '.join(NODE_FAULTS)}")
        if self.do in NODE_FAULTS and len(nodes) != len(self.whom):
            raise ValueError(f"{self.do} is for nodes; an engine can crash")
        if self.do in TIMED_NODE_FAULTS and not self.lasts:
            raise ValueError(f"{self.do}: say how long it lasts")
        return self


class RolloutFaultConfig(ConfigModel):
    """One thing that goes wrong with the controller, or between it and a node."""

    at: Duration = 0.0  # from the start of the traffic, or from `after`
    after: str = ""  # from when the controller first says that the change is in this state
    do: Literal["kill controller", "stall", "mend", "set clock back"]
    whom: list[str] = Field(default_factory=list)  # nodes; a clock is also "controller"'s
    lasts: Duration = 0.5  # until a killed controller is resumed


class RolloutScenarioConfig(ConfigModel):
    """A rollout during the scenario, and how it has to end."""

    at: Duration = 1.0
    was: str = ""  # kind of faulty node that nodes run at first; empty: the program itself
    now: str = "equal"  # kind that they are changed to; empty: only settings change
    # what the new settings say, by field: node.max_wait
    settings: dict[str, str | int | float | bool] = Field(default_factory=dict)
    stages: Annotated[list[int | float], Field(min_length=1)]
    plan: dict[str, str | int | float | list] = Field(
        default_factory=dict
    )  # more of the plan, as in its file
    ends: Literal["kept", "undone", "stuck"]
    undo_at: Duration = 0.0  # the operator undoes then; 0: never
    faults: list[RolloutFaultConfig] = Field(default_factory=list)

    @property
    def sets_clocks(self) -> bool:
        """Whether the wall clock of a process is set meanwhile."""
        return any(fault.do == "set clock back" for fault in self.faults)


class Scenario(ConfigModel):
    """A whole scenario."""

    about: str = ""
    seed: int = 1
    length: Duration
    rate: Annotated[float, Field(gt=0)]  # sequences a second
    fleet: FleetConfig
    reader: MachineConfig = MachineConfig()
    writer: MachineConfig = MachineConfig()
    batcher: MachineConfig = MachineConfig()  # embedders and rankers
    batch_rate: Annotated[float, Field(ge=0)] = 0.0  # batches a second, beside `rate`
    traffic: Annotated[list[TrafficMix], Field(min_length=1)]
    tenants: list[TenantConfig] = Field(default_factory=list)
    clients: ClientsConfig = ClientsConfig()
    rules: RulesConfig
    list_delay: Duration = 0.0  # until the first node hears news of the list
    list_spread: Duration = 0.0  # more, at most, until the last does
    list_files: ListFilesConfig | None = None  # instead of pushed news
    faults: list[FaultConfig] = Field(default_factory=list)
    roll: RolloutScenarioConfig | None = None
    takeover: TakeoverScenarioConfig | None = None

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if self.batch_rate and all(traffic.front == "chat" for traffic in self.traffic):
            raise ValueError("batch_rate: no traffic type has the front embed or rank")
        known = set(self.names())
        for fault in self.faults:
            self._check_fault(fault, known)
        return self

    def _check_fault(self, fault: FaultConfig, known: set[str]) -> None:
        for name in fault.whom:
            if name not in known:
                raise ValueError(
                    f"fault at {fault.at:g}s: {name!r} is not in this fleet; "
                    f"it has {', '.join(sorted(known))}"
                )
        if fault.do in PEER_FAULTS and self.takeover is None:
            raise ValueError(f"fault at {fault.at:g}s: nodes talk to each other only with takeover")
        if fault.at > self.length:
            raise ValueError(f"fault at {fault.at:g}s comes after the day, which lasts {self.length:g}s")

    def machine(self, kind: str) -> MachineConfig:
        """Return figures of the engines of a kind; `mixed` are writers that also embed."""
        if kind in ("embedder", "ranker"):
            return self.batcher
        return self.reader if kind == "reader" else self.writer

    def names(self) -> list[str]:
        """Return the names of all processes of the fleet."""
        counts = {
            "node": self.fleet.nodes,
            "reader": self.fleet.readers,
            "writer": self.fleet.writers,
            "mixed": self.fleet.mixed,
            "embedder": self.fleet.embedders,
            "ranker": self.fleet.rankers,
        }
        return [f"{kind}-{index + 1}" for kind, count in counts.items() for index in range(count)]
