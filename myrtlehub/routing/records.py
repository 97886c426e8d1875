"""Mutable records of engines, sequences and attempts, and the plans that the stages exchange.

The records make no routing decisions; `routing.policy` makes them.
"""

from collections.abc import Set
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple

from myrtlehub.routing.contract import Arrival, DedupGroup, EngineState, Outcome, TrafficType
from myrtlehub.routing.prompt_cache import CacheEntry, PromptCache
from myrtlehub.routing.statistics import UNOBSERVED, Observation

NEVER = float("-inf")  # the time of something that has not happened


class NotPlaced(Enum):
    """The result of a placement stage that selects no engine for a sequence."""

    WAIT = "wait"  # the sequence waits at this node, and the stages run again later
    REJECT = "reject"  # no capacity: the sequence ends, and its client may get a Retry-After
    GIVE_UP = "give-up"  # the sequence ends, and its client gets no Retry-After


class Affinity(IntEnum):
    """The affinity of a reader to a prefix, by its rank in rendezvous hashing, which all nodes agree on."""

    HOME = 0  # the preferred reader of a session
    NEAR = 1  # another of the top-ranked readers, which cache the prefix, or the top-ranked reader of a cell
    OTHER = 2


class Workload(NamedTuple):
    """The traffic of one type from one tenant; engines admit or reject each workload separately."""

    tenant: int | None
    traffic: int


class PossibleRun(NamedTuple):
    """The dedup group and the send time of a sequence's first attempt that may have run."""

    dedup_group: int
    sent_at: float


class StartEstimate(NamedTuple):
    """An estimate of the delay until an answer starts."""

    estimated_at: float
    delay: float  # seconds after `estimated_at`


@dataclass(slots=True, eq=False)
class Engine:
    """An engine: its entry in the endpoint list, and what this node observed of it and sent to it.

    A deviation is the difference between the engine and the mean of its kind.
    """

    index: int
    cache: PromptCache
    state: EngineState = EngineState.DRAINING
    kind: int = 0
    zone: int = 0
    cell: int = 0
    hash_seed: int = 0
    started_at: float = 0.0  # 0.0: long ago, so that no slow start applies
    own_backlog: float = 0.0  # prompt tokens sent by this node that the engine has not read yet
    own_reads: int = 0  # reads sent by this node that are in flight
    assigned_tokens: float = 0.0  # estimated memory of this node's sequences that have not started there yet
    last_probed_at: float = NEVER
    memory_deviation: Observation = UNOBSERVED  # of the share of its memory in use
    backlog_deviation: Observation = UNOBSERVED  # of the unread prompt tokens from other nodes
    speed_deviation: Observation = UNOBSERVED  # of its read rate: ratio to its kind's, minus 1
    slowdown_deviation: Observation = UNOBSERVED  # of its answer duration: ratio to the mean, minus 1
    start_lateness: Observation = UNOBSERVED  # mean seconds by which its answers start later than estimated
    failure_rate: Observation = UNOBSERVED  # mean share of its attempts that failed
    # By workload: the time until which sequences avoid the engine, after it rejected one as full.
    full_until: dict[Workload, float] = field(default_factory=dict)
    # By workload: the time until which rejected sequences prefer the engine, after it accepted one.
    accepts_until: dict[Workload, float] = field(default_factory=dict)

    def reset(self, is_new: bool) -> None:
        """Discard the observations, because another process now has this index.

        Args:
            is_new: It is another engine, at which this node has nothing in flight.
        """
        self.last_probed_at = NEVER
        self.memory_deviation = UNOBSERVED
        self.backlog_deviation = UNOBSERVED
        self.speed_deviation = UNOBSERVED
        self.slowdown_deviation = UNOBSERVED
        self.start_lateness = UNOBSERVED
        self.failure_rate = UNOBSERVED
        if is_new:
            self.own_backlog = 0.0
            self.own_reads = 0
            self.assigned_tokens = 0.0

    def dedup_group(self, traffic: TrafficType) -> int:
        """Return the index of the dedup group of this engine."""
        if traffic.dedup_group == DedupGroup.ALL:
            return 0
        return self.zone if traffic.dedup_group == DedupGroup.ZONE else self.cell

    def record_restart(self, started_at: float) -> None:
        """Record that the process of the engine has restarted, with an empty cache."""
        self.started_at = started_at
        self.cache.clear()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a sequence at an engine."""

    engine: Engine
    is_read: bool  # the engine only reads the prompt, and another one writes the answer
    sent_at: float
    uncached_tokens: float  # estimated prompt tokens that it has to read; 0.0 once the answer has started
    backlog_at_send: float  # estimated prompt tokens in the engine's queue when the attempt was sent
    cached: CacheEntry  # the cache entry for the prompt when the attempt was sent
    affinity: Affinity
    fetches_state: bool  # the engine fetches the read state from another engine
    is_running: bool = True
    outcome: Outcome | None = None  # None while it runs
    latency: float = 0.0  # seconds; set when it ends
    is_answered: bool = False  # the client got its final answer from this attempt
    cached_tokens: float = 0.0  # reported by the engine

    def end(self, outcome: Outcome, latency: float, is_answered: bool, cached_tokens: float) -> None:
        """Record the end of the attempt."""
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
    """A reader, and the estimated seconds until it finishes reading a prompt."""

    reader: Engine
    seconds: float


class PlannedRead(NamedTuple):
    """How a prompt is read for a writer."""

    seconds: float  # estimated, until the writer has the read state
    reader: Engine | None = None  # None: the writer reads the prompt itself
    cached_tokens: int = 0  # at the reader
    is_possible: bool = True  # False: there is no reader, and the writer cannot read


class ReadPlan(NamedTuple):
    """The candidate readers of a sequence, for any writer."""

    by_cell: dict[int, PlannedRead]  # the best reader with capacity, of each cell that has one
    # By zone: its reader from which writers in the zone get the read state first. At the key None: the reader
    # from which writers in other zones get it first.
    by_zone: dict[int | None, ReadEstimate]


class Candidates(NamedTuple):
    """The engines that are compared for one placement.

    Attributes:
        writers: Serving engines that write.
        readers: Serving engines that only read.
        affinity_readers: Those readers that may have an affinity to the prompt; None: all.
    """

    writers: list[Engine]
    readers: list[Engine]
    affinity_readers: Set[Engine] | None = None


NO_CANDIDATES = Candidates([], [])


@dataclass(slots=True, eq=False)
class Sequence:
    """A sequence that this node has accepted."""

    id: int
    arrival: Arrival
    traffic: TrafficType
    arrived_at: float
    abandon_at: float  # deadline of the final answer
    slow_start_draw: float  # uniform in [0, 1); selects the cold engines that it may use
    memory_tokens: float  # estimated memory at its writer
    slo_deadline: float = field(init=False)  # time by which the answer has to start to meet the latency SLO
    workload: Workload = field(init=False)
    is_over_quota: bool = False
    has_begun: bool = False  # the answer has started to stream
    is_over: bool = False  # it has its final answer, or its client has disconnected
    was_rejected: bool = False  # an engine rejected it for lack of capacity
    last_placed_at: float = 0.0
    writer: Engine | None = None  # the selected writer
    assigned_writer: Engine | None = None  # the writer whose `assigned_tokens` include this sequence
    reader: Engine | None = None  # the reader selected last, or the engine that has the read state
    is_split: bool = False  # another engine than the writer reads the prompt
    read_plan: ReadPlan | None = None  # passed from writer selection to read placement
    affinity: dict[Engine, Affinity] = field(default_factory=dict)  # by reader; OTHER if missing
    state_engine: Engine | None = None  # the engine that has its read state
    # Since when an engine may hold a read state that no writer has fetched: 0.0 before an attempt ended that
    # may have left one, inf after the release.
    state_held_since: float = 0.0
    # Set while an engine may hold a read state and it is unknown whether the running attempt has arrived,
    # else inf: when to check for the arrival, and when to release the state if it is still unknown then.
    arrival_check_due_at: float = float("inf")
    state_release_due_at: float = float("inf")
    start_estimate: StartEstimate | None = None  # None after the comparison with the actual start
    attempts: list[Attempt] = field(default_factory=list)
    failed_engines: set[Engine] = field(default_factory=set)
    possible_run: PossibleRun | None = None
    pending_probes: set[Engine] = field(default_factory=set)
    candidate_writers: list[Engine] = field(default_factory=list)  # ranked best before the probes
    candidates: Candidates = NO_CANDIDATES  # compared in its present placement

    def __post_init__(self) -> None:
        arrival = self.arrival
        base_deadline = self.arrived_at + self.traffic.latency_slo
        # The abandon time is the deadline if it is earlier than the latency SLO.
        self.slo_deadline = min(
            self.abandon_at, base_deadline + self.traffic.slo_per_token * arrival.prompt_tokens
        )
        self.workload = Workload(arrival.tenant, arrival.traffic)

    def record_possible_run(self, engine: Engine, sent_at: float) -> None:
        """Record that an attempt which was sent to an engine may have run."""
        self.possible_run = PossibleRun(engine.dedup_group(self.traffic), sent_at)

    @property
    def next_due_at(self) -> float:
        """The earliest of the times of its deadline, its arrival check and the release of its read state."""
        return min(self.abandon_at, self.arrival_check_due_at, self.state_release_due_at)

    def clear_release_timers(self) -> None:
        """Cancel the arrival check and the release of the read state that are due later."""
        self.arrival_check_due_at = self.state_release_due_at = float("inf")

    def running_attempts(self) -> list[int]:
        """Return the numbers of the attempts that have not ended."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.is_running]
