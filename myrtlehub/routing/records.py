"""Records of what a router works on: engines, sequences and their attempts.

They hold state and answer plain questions about it; what is made of it is decided in `policy`.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple

from myrtlehub.routing.contract import Arrival, DedupGroup, EngineState, Outcome, TrafficType
from myrtlehub.routing.prompt_cache import CacheEntry, PromptCache
from myrtlehub.routing.statistics import UNOBSERVED, Observation

NEVER = float("-inf")


class StageResult(Enum):
    """What a stage of the chain makes of a sequence."""

    PASS = "pass"  # to the next stage
    WAIT = "wait"  # it waits at this node
    REJECT = "reject"  # it ends for lack of capacity; the client may come again
    GIVE_UP = "give-up"  # it ends


class Affinity(IntEnum):
    """How near a reader is to the first choice of a prompt's prefix."""

    HOME = 0  # the one reader of a session
    NEAR = 1  # the other readers of its prefix, and the first of each cell
    OTHER = 2


class Customer(NamedTuple):
    """For whom engines may have capacity, or none."""

    tenant: int
    traffic: int


class PossibleRun(NamedTuple):
    """The first attempt that may have run."""

    dedup_group: int
    sent_at: float


@dataclass(slots=True, eq=False)
class Engine:
    """One engine: its entry in the endpoint list, and what this node knows of it.

    The observations are against what is usual for engines of its kind.
    """

    index: int
    cache: PromptCache
    state: EngineState = EngineState.DRAINING
    kind: int = 0
    zone: int = 0
    cell: int = 0
    hash_seed: int = 0
    started_at: float = 0.0  # 0: long past
    own_backlog: float = 0.0  # prompt tokens that this node sent to be read there, and that are not read yet
    own_reads: int = 0  # reads of this node that are out there
    promised: float = 0.0  # tokens of sequences of this node that are meant for it and have not begun there
    last_probed_at: float = NEVER
    memory: Observation = UNOBSERVED  # share of its memory in use
    backlog: Observation = UNOBSERVED  # prompt tokens of other nodes that wait there
    speed: Observation = UNOBSERVED  # by how much of the usual rate it reads faster
    slowdown: Observation = UNOBSERVED  # by how much of the usual time its answers take longer
    lateness: Observation = UNOBSERVED  # seconds by which its answers begin late
    failures: Observation = UNOBSERVED  # share of its attempts
    full_until: dict[Customer, float] = field(default_factory=dict)  # it was full for these
    accepts_until: dict[Customer, float] = field(default_factory=dict)  # it had capacity for these

    def reset(self, is_new: bool) -> None:
        """Forget what a former process showed; another engine has nothing of this node's either."""
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
            self.promised = 0.0

    def dedup_group(self, traffic: TrafficType) -> int:
        """Return the group of engines that share its memory of idempotency keys."""
        if traffic.dedup_group == DedupGroup.ALL:
            return 0
        return self.zone if traffic.dedup_group == DedupGroup.ZONE else self.cell

    def restarted(self, at: float) -> None:
        """Take note that its process started, with an empty cache."""
        self.started_at = at
        self.cache.clear()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a sequence at an engine."""

    engine: Engine
    is_read: bool  # for the read alone: another engine writes the answer
    sent_at: float
    uncached_tokens: float  # of the prompt, as estimated, until the answer begins
    backlog: float  # of the engine when it was sent
    cached: CacheEntry  # what the engine was believed to have cached
    affinity: Affinity
    fetches_state: bool  # the prompt was read elsewhere
    is_running: bool = True
    outcome: Outcome | None = None
    latency: float = 0.0
    is_answered: bool = False  # the client has its final answer by it
    cached_tokens: float = 0.0  # as the engine reported them

    def end(self, outcome: Outcome, latency: float, is_answered: bool, cached_tokens: float) -> None:
        """Take note how it ended."""
        self.is_running = False
        self.outcome = outcome
        self.latency = latency
        self.is_answered = is_answered
        self.cached_tokens = cached_tokens

    @property
    def has_succeeded(self) -> bool:
        """Whether the engine did what it was sent for."""
        return self.outcome in (Outcome.GENERATED, Outcome.READ)


class PlannedRead(NamedTuple):
    """Where a prompt would be read for a writer, and in how many seconds it would be."""

    seconds: float
    reader: Engine | None = None  # None: the writer reads it itself
    cached_tokens: int = 0
    is_possible: bool = True


class ReadPlan(NamedTuple):
    """The readers that a sequence may use."""

    by_cell: dict[int, PlannedRead]  # the best of each cell that has one with capacity
    by_zone: dict[int | None, PlannedRead]  # the soonest for writers of a zone; None: of other zones


@dataclass(slots=True, eq=False)
class Sequence:
    """A sequence that this node has accepted."""

    id: int
    arrival: Arrival
    traffic: TrafficType
    arrived_at: float
    abandon_at: float
    slow_start_draw: float  # by chance: which engines in slow start it may go to
    memory_need: float  # tokens that it is likely to take at a writer
    slo_at: float = field(init=False)  # when its answer should have begun
    customer: Customer = field(init=False)
    is_over_quota: bool = False
    has_begun: bool = False
    is_over: bool = False
    was_refused: bool = False  # an engine was full for it
    last_tried_at: float = 0.0
    writer: Engine | None = None
    promised_to: Engine | None = None
    reader: Engine | None = None
    is_split: bool = False  # it is read by another engine than its writer
    read_plan: ReadPlan | None = None
    affinity: dict[Engine, Affinity] = field(default_factory=dict)  # of readers; others are not listed
    state_at: Engine | None = None  # holds its read state
    state_since: float = 0.0
    placed_at: float = 0.0
    expected_delay: float = 0.0  # from then to the start of its answer; 0: not expected any more
    attempts: list[Attempt] = field(default_factory=list)
    failed_engines: set[Engine] = field(default_factory=set)
    possible_run: PossibleRun | None = None
    awaited_probes: set[Engine] = field(default_factory=set)
    candidate_writers: list[Engine] = field(default_factory=list)  # ranked best when probes were sent

    def __post_init__(self) -> None:
        arrival = self.arrival
        objective = self.arrived_at + self.traffic.latency_slo
        # some come with little time left: that is what counts then
        self.slo_at = min(self.abandon_at, objective + self.traffic.slo_per_token * arrival.prompt_tokens)
        self.customer = Customer(arrival.tenant, arrival.traffic)

    def may_have_run(self, engine: Engine, sent_at: float) -> None:
        """Take note that an attempt may have run."""
        self.possible_run = PossibleRun(engine.dedup_group(self.traffic), sent_at)

    def running_attempts(self) -> list[int]:
        """Return the numbers of the attempts that have not ended."""
        return [number for number, attempt in enumerate(self.attempts) if attempt.is_running]
