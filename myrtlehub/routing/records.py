"""Mutable records of engines, sequences and attempts, and the plans that one stage passes to another.

The records make no decisions: those are made in `routing.policy`.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple

from myrtlehub.routing.contract import Arrival, DedupGroup, EngineState, Outcome, TrafficType
from myrtlehub.routing.prompt_cache import CacheEntry, PromptCache
from myrtlehub.routing.statistics import UNOBSERVED, Observation

NEVER = float("-inf")  # a time before all others


class NotPlaced(Enum):
    """What happens to a sequence that a placement stage does not let be sent now."""

    WAIT = "wait"  # the sequence waits at this node and is placed again later
    REJECT = "reject"  # no capacity: the sequence ends, and its client may be sent a Retry-After
    GIVE_UP = "give-up"  # the sequence ends, and its client is sent no Retry-After


class Affinity(IntEnum):
    """How near a reader is to the top of the order in which all nodes rank the readers for a prefix."""

    HOME = 0  # the reader to which all prompts of one session go
    NEAR = 1  # the other readers that cache the prefix, and the highest-ranked reader of each cell
    OTHER = 2


class Workload(NamedTuple):
    """A tenant's traffic of one type; engines admit or reject each workload on its own."""

    tenant: int | None
    traffic: int


class PossibleRun(NamedTuple):
    """The dedup group and the send time of the first attempt of a sequence that may have run."""

    dedup_group: int
    sent_at: float


class StartEstimate(NamedTuple):
    """An estimate of when an answer starts."""

    made_at: float
    delay: float  # seconds from `made_at`


@dataclass(slots=True, eq=False)
class Engine:
    """One engine: its entry in the endpoint list, and this node's observations and accounts of it.

    Observations are differences from what is usual for engines of its kind.
    """

    index: int
    cache: PromptCache
    state: EngineState = EngineState.DRAINING
    kind: int = 0
    zone: int = 0
    cell: int = 0
    hash_seed: int = 0
    started_at: float = 0.0  # 0.0: long ago, so that it needs no slow start
    own_backlog: float = 0.0  # prompt tokens sent by this node, which the engine has yet to read
    own_reads: int = 0  # reads that this node has in flight there
    assigned_tokens: float = 0.0  # memory needed by this node's sequences that have yet to start there
    last_probed_at: float = NEVER
    memory: Observation = UNOBSERVED  # share of its memory in use
    backlog: Observation = UNOBSERVED  # unread prompt tokens from other nodes
    speed: Observation = UNOBSERVED  # read rate over the usual rate of its kind, minus 1
    slowdown: Observation = UNOBSERVED  # answer duration over the usual one of the traffic type, minus 1
    lateness: Observation = UNOBSERVED  # seconds by which its answers start later than estimated
    failures: Observation = UNOBSERVED  # share of its attempts that failed
    # Until when sequences of a workload avoid the engine, because it rejected one for lack of capacity.
    full_until: dict[Workload, float] = field(default_factory=dict)
    # Until when rejected sequences of a workload prefer the engine, because it accepted one.
    accepts_until: dict[Workload, float] = field(default_factory=dict)

    def reset(self, is_new: bool) -> None:
        """Discard the observations of the process that was replaced at this index.

        Args:
            is_new: The index now names another engine, at which this node has nothing in flight.
        """
        self.last_probed_at = NEVER
        self.memory = UNOBSERVED
        self.backlog = UNOBSERVED
        self.speed = UNOBSERVED
        self.slowdown = UNOBSERVED
        self.lateness = UNOBSERVED
        self.failures = UNOBSERVED
        if is_new:
            self.own_backlog = 0.0
            self.own_reads = 0
            self.assigned_tokens = 0.0

    def dedup_group(self, traffic: TrafficType) -> int:
        """Return the number of the group of engines that shares this engine's idempotency keys."""
        if traffic.dedup_group == DedupGroup.ALL:
            return 0
        return self.zone if traffic.dedup_group == DedupGroup.ZONE else self.cell

    def record_restart(self, at: float) -> None:
        """Record that its process started at the time `at`, with an empty cache."""
        self.started_at = at
        self.cache.clear()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a sequence at an engine."""

    engine: Engine
    is_read: bool  # the engine only reads the prompt, and another one writes the answer
    sent_at: float
    uncached_tokens: float  # estimated prompt tokens yet to be read; 0.0 once the answer has started
    backlog: float  # prompt tokens queued at the engine when the attempt was sent, as estimated
    cached: CacheEntry  # the engine's cache entry for the prompt when the attempt was sent
    affinity: Affinity
    fetches_state: bool  # the engine fetches the read state from the engine that read the prompt
    is_running: bool = True
    outcome: Outcome | None = None  # None while it runs
    latency: float = 0.0  # seconds, set when it ends
    is_answered: bool = False  # the client got its final answer from this attempt
    cached_tokens: float = 0.0  # as the engine reported them

    def end(self, outcome: Outcome, latency: float, is_answered: bool, cached_tokens: float) -> None:
        """Record how the attempt ended."""
        self.is_running = False
        self.outcome = outcome
        self.latency = latency
        self.is_answered = is_answered
        self.cached_tokens = cached_tokens

    @property
    def has_succeeded(self) -> bool:
        """Whether the engine completed the read or the answer that it was sent."""
        return self.outcome in (Outcome.GENERATED, Outcome.READ)


class ReadEstimate(NamedTuple):
    """A reader, and the estimated seconds until it has read a prompt."""

    reader: Engine
    seconds: float


class PlannedRead(NamedTuple):
    """The read of a prompt for one writer."""

    seconds: float  # until the writer has the read state
    reader: Engine | None = None  # None: the writer reads the prompt itself
    cached_tokens: int = 0  # at the reader
    is_possible: bool = True  # False: there is no reader, and the writer cannot read


class ReadPlan(NamedTuple):
    """The readers that a sequence may use, whichever writer is selected."""

    by_cell: dict[int, PlannedRead]  # the best reader with capacity, of each cell that has one
    # The reader from which the writers of a zone, its own, would have the read state first; at the key None
    # the one from which writers of other zones would.
    by_zone: dict[int | None, ReadEstimate]


@dataclass(slots=True, eq=False)
class Sequence:
    """A sequence that this node has accepted."""

    id: int
    arrival: Arrival
    traffic: TrafficType
    arrived_at: float
    abandon_at: float  # deadline of the final answer
    slow_start_draw: float  # uniform in [0, 1); decides which cold engines it may use
    memory_need: float  # estimated tokens of a writer's memory
    slo_deadline: float = field(init=False)  # the answer should have started by then
    workload: Workload = field(init=False)
    is_over_quota: bool = False
    has_begun: bool = False  # the answer has started to stream
    is_over: bool = False  # the final answer was given, or the client has disconnected
    was_rejected: bool = False  # an engine rejected it for lack of capacity
    last_placed_at: float = 0.0
    writer: Engine | None = None  # the selected writer
    assigned_to: Engine | None = None  # the writer whose `assigned_tokens` include this sequence
    reader: Engine | None = None  # the reader of the present placement, or the engine with the read state
    is_split: bool = False  # an engine other than its writer reads the prompt
    read_plan: ReadPlan | None = None  # passed from writer selection to read placement
    affinity: dict[Engine, Affinity] = field(default_factory=dict)  # of readers; those missing are OTHER
    state_engine: Engine | None = None  # the engine that has its read state
    # Time since which an engine may have had its read state while no writer fetched it: 0.0 until the end of
    # an attempt that can have left a read state, inf after the release.
    state_since: float = 0.0
    # While an attempt runs that may not have arrived, and an engine may have a read state: when to check
    # whether it has arrived, and when to release the state if that is still unknown. Otherwise inf.
    check_due_at: float = float("inf")
    release_due_at: float = float("inf")
    start_estimate: StartEstimate | None = None  # None once it was compared with the actual start
    attempts: list[Attempt] = field(default_factory=list)
    failed_engines: set[Engine] = field(default_factory=set)
    possible_run: PossibleRun | None = None
    awaited_probes: set[Engine] = field(default_factory=set)
    candidate_writers: list[Engine] = field(default_factory=list)  # the best ones when probes were sent

    def __post_init__(self) -> None:
        arrival = self.arrival
        objective = self.arrived_at + self.traffic.latency_slo
        # If the client abandons the sequence before the objective, its abandon time is the deadline.
        self.slo_deadline = min(
            self.abandon_at, objective + self.traffic.slo_per_token * arrival.prompt_tokens
        )
        self.workload = Workload(arrival.tenant, arrival.traffic)

    def record_possible_run(self, engine: Engine, sent_at: float) -> None:
        """Record that an attempt sent to an engine at a time may have run."""
        self.possible_run = PossibleRun(engine.dedup_group(self.traffic), sent_at)

    def expect_no_release(self) -> None:
        """Forget when to check the arrival of the running attempt and to release the read state."""
        self.check_due_at = self.release_due_at = float("inf")

    def running_attempts(self) -> list[int]:
        """Return the numbers of the attempts that have not ended."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.is_running]
