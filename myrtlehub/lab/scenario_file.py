"""The schema of scenario files: fleet, traffic, clients, timed faults and seed."""

from typing import Annotated, Any, Literal, Self

from pydantic import Field, model_validator

from myrtlehub.config.emulated_engine import FaultInjectionConfig
from myrtlehub.config.field_types import Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.traffic import RulesConfig, TenantConfig, TrafficTypeConfig
from myrtlehub.config.units import Duration, Tokens

Count = Annotated[int, Field(ge=1)]
Span = Annotated[list[int], Field(min_length=2, max_length=2)]

# The work of each kind of engine, in the fields of engines' and nodes' settings files.
ENGINE_KINDS = {
    "reader": {"reads": True},
    "writer": {"writes": True},
    "mixed": {"writes": True, "embeds": True},
    "embedder": {"embeds": True},
    "ranker": {"ranks": True},
}


class FleetConfig(ConfigModel):
    """The number of processes of each kind; engines of a kind are assigned to the cells in turn."""

    nodes: Count = 1
    readers: Annotated[int, Field(ge=0)] = 1
    writers: Count = 1
    mixed: Annotated[int, Field(ge=0)] = 0  # engines that write and embed
    embedders: Annotated[int, Field(ge=0)] = 0
    rankers: Annotated[int, Field(ge=0)] = 0
    cells: Count = 1


class MachineConfig(ConfigModel):
    """The machine that an engine emulates: rates in tokens per second, memory in tokens, times in seconds."""

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
    """A traffic type, its share of the sequences, and the ranges from which their sizes are drawn."""

    share: Annotated[float, Field(gt=0)]
    prompt: Span
    output: Span
    prefixes: Annotated[int, Field(ge=0)] = 4
    shared: Span = Field(default_factory=lambda: [0, 0])
    turns: Count = 1


class ClientsConfig(ConfigModel):
    """The behaviour of clients; a share is a fraction of the sequences."""

    retries: Annotated[int, Field(ge=0)] = 1
    leave: Share = 0.0  # whose client disconnects at a random time
    leave_within: Duration = 3.0  # the latest such time after the request; early times are more probable
    leave_on_token: Share = 0.0  # whose client disconnects just after one of the first four tokens
    hurried: Share = 0.0  # whose client waits only 0.1 to 0.6 s for the first token
    silent: Share = 0.0  # whose client reads nothing and then disconnects
    whole: Duration = 20.0  # deadline of the complete call


class ListFilesConfig(ConfigModel):
    """Nodes read the endpoint list from files, each node its own, which are written with mistakes."""

    quiet: Duration = 0.03
    poll: Duration = 0.5
    every: Duration = 0.4  # mean time from one burst of writes to the next
    burst: Count = 8  # the most writes in a burst
    torn: Share = 0.3  # fraction of writes that leave an incomplete file
    wrong: Share = 0.15  # fraction of writes that leave a list which parses but is invalid
    deleted: Share = 0.05  # fraction of writes that delete the file
    drains: Share = 0.4  # fraction of versions in which one engine more has weight 0
    most_removed: Share = 0.5
    store: bool = True


KILL = "kill"  # SIGKILL to a node
PAUSE = "pause"  # SIGSTOP to a node, and SIGCONT later
CUT_OFF = "cut off"  # a node's connections to other nodes stall in both directions
CUT_OUT = "cut out"  # they stall in the direction from the node to the others
SHUT_DOWN = "leave"  # SIGTERM to a node, which drains and ends
NODE_FAULTS = (KILL, PAUSE, CUT_OFF, CUT_OUT, SHUT_DOWN)
PEER_FAULTS = (CUT_OFF, CUT_OUT)  # clients and engines still reach the node
TIMED_NODE_FAULTS = (PAUSE, CUT_OFF, CUT_OUT)
CRASH = "crash"  # SIGKILL to an engine
DRAIN = "drain"  # of an engine, by the endpoint list
CHANGE_MODEL = "model"  # an engine gets another model version

KILL_CONTROLLER = "kill controller"
STALL = "stall"  # the connection from the controller to a node
MEND = "mend"  # the end of a stall
SET_CLOCK_BACK = "set clock back"


class TakeoverScenarioConfig(ConfigModel):
    """Nodes hold replicas of each other's sequence records, and clients resume sequences of lost nodes."""

    copies: Count = 2  # replicas of each record
    stream_bound: Duration = 6.0  # how long engines continue a stream whose node was lost
    comes_back: Duration = 2.0  # how long after the loss of a node its clients may resume
    keepalive: Duration = 0.5  # between the pings of a client, and until one counts as unanswered
    claims: bool = True  # whether engines answer claims of new owners
    on: bool = True  # false: the same scenario without takeover, for comparison


class FaultConfig(ConfigModel):
    """A fault of processes, at a time from the start of the traffic."""

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
    """A fault of the controller, or of its connection to a node."""

    at: Duration = 0.0  # from the start of the traffic, or from the phase in `after`
    after: str = ""  # phase of the rollout; the time counts from when the controller first logs it
    do: Literal["kill controller", "stall", "mend", "set clock back"]
    whom: list[str] = Field(default_factory=list)  # nodes; for a clock also "controller"
    lasts: Duration = 0.5  # until a killed controller is resumed


class RolloutScenarioConfig(ConfigModel):
    """A rollout during the scenario, and its expected end."""

    at: Duration = 1.0
    was: str = ""  # kind of faulty node that runs before the rollout; empty: the real program
    now: str = "equal"  # kind that is rolled out; empty: only settings change
    # new settings by their field, for example node.max_wait
    settings: dict[str, str | int | float | bool] = Field(default_factory=dict)
    stages: Annotated[list[int | float], Field(min_length=1)]
    # further fields of the rollout plan
    plan: dict[str, str | int | float | list[Any]] = Field(default_factory=dict)
    ends: Literal["kept", "undone", "stuck"]
    undo_at: Duration = 0.0  # when an operator rolls back; 0: never
    faults: list[RolloutFaultConfig] = Field(default_factory=list)

    @property
    def sets_clocks(self) -> bool:
        """Whether a fault sets the wall clock of a process."""
        return any(fault.do == SET_CLOCK_BACK for fault in self.faults)


class Scenario(ConfigModel):
    """A scenario."""

    about: str = ""
    seed: int = 1
    length: Duration
    rate: Annotated[float, Field(gt=0)]  # sequences per second
    fleet: FleetConfig
    reader: MachineConfig = MachineConfig()
    writer: MachineConfig = MachineConfig()
    batcher: MachineConfig = MachineConfig()  # embedders and rankers
    batch_rate: Annotated[float, Field(ge=0)] = 0.0  # batches per second, in addition to `rate`
    traffic: Annotated[list[TrafficMix], Field(min_length=1)]
    tenants: list[TenantConfig] = Field(default_factory=list)
    clients: ClientsConfig = ClientsConfig()
    rules: RulesConfig
    list_delay: Duration = 0.0  # the shortest delay from a change of the endpoint list to its push to a node
    list_spread: Duration = 0.0  # the longest random delay in addition
    list_files: ListFilesConfig | None = None  # nodes read files, and nothing is pushed to them
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
        """Return the machine of a kind of engine; `mixed` engines have the writers'."""
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
