"""The contract between a router and the program that executes its decisions.

A node makes one `router.Router` and calls it with what has happened; every call returns a list of actions in
the order in which they are to be executed. All times are seconds with fractions on one clock that only
advances. Engines, kinds, zones, tenants and traffic types are small dense indices that the caller hands out;
an index that was freed may name another engine later, and the update that introduces it says so (`is_new`).
Sessions and shared prefixes are opaque whole numbers (0: none).
"""

from collections.abc import Sequence
from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class Outcome(StrEnum):
    """How an attempt ended."""

    GENERATED = "generated"  # the answer is complete
    READ = "read"  # the prompt was read, and the engine holds its state
    FULL = "full"  # rejected before it ran, for lack of capacity
    UNREACHED = "unreached"  # no connection was established
    UNSENT = "unsent"  # it was not sent, as it was no longer needed
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"


class RetrySemantics(StrEnum):
    """What a second execution of a sequence does; the values are those of the settings."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "tokened"  # engines of one group drop repeats within a time window
    AT_MOST_ONCE = "once-only"


class EngineState(IntEnum):
    """The state of an engine in the endpoint list."""

    SERVING = 0
    DRAINING = 1
    GONE = 2


class DedupGroup(StrEnum):
    """Which engines share a memory of idempotency keys; the values are those of the settings."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class TrafficType(NamedTuple):
    """What the operators state of one traffic type."""

    retry_semantics: RetrySemantics
    latency_slo: float  # seconds to the first token
    slo_per_token: float  # added for each prompt token
    abandon_time: float
    seconds_per_token: float
    utility: float
    late_share: float  # of the utility, once past the latency SLO
    dedup_group: DedupGroup = DedupGroup.ALL
    dedup_window: float = 0.0


class RouterConfig(NamedTuple):
    """The configuration of a router, fixed when it is made."""

    seed: int
    node: int
    node_count: int
    zone: int
    traffic: tuple[TrafficType, ...]
    reads: tuple[bool, ...]  # by kind of engine
    writes: tuple[bool, ...]
    memory: tuple[float, ...]  # tokens, by kind; 0 where unknown
    quotas: tuple[float, ...]  # sequences a second by tenant, over all nodes; 0: none stated
    writers_can_read: bool  # an engine that only writes can read a prompt itself
    may_reserve: bool
    may_cancel: bool
    may_migrate: bool
    may_probe: bool
    may_gossip: bool
    may_hedge: bool
    max_attempts: int
    state_timeout: float  # seconds for which an engine may hold a state that no writer fetches
    drain_grace: float
    cold_share: float
    cold_time: float
    overload_multiple: float
    overload_window: float
    answer_slack: float
    tick: float
    max_retry_after: float  # longest wait a client honours; 0: clients are given none
    over_quota_utility: float
    polls_endpoints: bool
    load_by_probe_only: bool = False  # engines tell their load to probes alone, not with what they answer
    connect_timeout: float = 0.0  # seconds that a connection may take before an attempt on it begins
    probe_price: float = 0.0  # of utility asked for, that one probe a sequence costs


class EndpointUpdate(NamedTuple):
    """One engine of the endpoint list."""

    engine: int
    is_new: bool  # the index is new, or names another engine than before
    state: EngineState
    kind: int
    zone: int
    cell: int
    started_at: float  # 0: long past
    weight: float
    hash_seed: int = 0  # a number of the engine that is the same at every node, and tells nothing else


class Arrival(NamedTuple):
    """A sequence as it arrives."""

    traffic: int
    tenant: int  # -1: none
    prompt_tokens: float
    time_left: float
    session: int
    prefix: int
    shared_tokens: float
    max_output_tokens: float
    expected_seconds: float  # of answer, a rough estimate; 0: none
    is_resumed: bool = False
    is_retry: bool = False
    state_held_by: int = -1  # engine that holds its read state already, from an owner before this node
    may_have_run_at: int = -1  # engine at which an attempt of such an owner may have run
    may_have_run_ago: float = 0.0  # and how many seconds ago


class LoadReport(NamedTuple):
    """A load report, with the field names of the protocol; None where a figure is not reported."""

    memory_share: float | None = None
    unread: float | None = None  # prompt tokens still to read or fetch
    slot_share: float | None = None
    waiting: float | None = None  # sequences
    latency: float | None = None
    active: float | None = None


class Send(NamedTuple):
    """Send the next attempt, numbered from 0, to an engine."""

    sequence: int
    engine: int
    timeout: float  # seconds; 0: none but the abandon time


class Reserve(NamedTuple):
    """Ask a writer to reserve capacity for a sequence."""

    sequence: int
    engine: int


class Release(NamedTuple):
    """Let engines free all state that they hold for a sequence."""

    sequence: int


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt."""

    sequence: int
    attempt: int


class Reject(NamedTuple):
    """Final answer: it did not run, and a retry is harmless."""

    sequence: int
    retry_after: float  # seconds; 0: not stated


class Abort(NamedTuple):
    """Final answer: it may have run."""

    sequence: int


class Migrate(NamedTuple):
    """Hand a stream that has begun back to its client, to be resumed elsewhere."""

    sequence: int


class ScheduleWakeup(NamedTuple):
    """Call `wake(token)` after a delay in seconds."""

    delay: float
    token: int


class Probe(NamedTuple):
    """Ask an engine for its load."""

    engine: int


class CloseIdle(NamedTuple):
    """Close an unused connection to an engine."""

    engine: int


class Gossip(NamedTuple):
    """Send a message to another node, or to all of them."""

    node: int | None  # None: all
    payload: str


class WatchEndpoints(NamedTuple):
    """Follow the endpoint list, or stop following it."""

    enabled: bool


class PollEndpoints(NamedTuple):
    """Ask for the complete endpoint list."""


class LogNote(NamedTuple):
    """Write a line to the operators' log."""

    text: str


class Forget(NamedTuple):
    """Nothing further will be said of a sequence."""

    sequence: int


Action = (
    Send
    | Reserve
    | Release
    | CancelAttempt
    | Reject
    | Abort
    | Migrate
    | ScheduleWakeup
    | Probe
    | CloseIdle
    | Gossip
    | WatchEndpoints
    | PollEndpoints
    | LogNote
    | Forget
)


class SendCheck(NamedTuple):
    """What still holds of a decided attempt, just before its first byte.

    Attributes:
        may_run: An earlier attempt is known not to have run, or another run does no harm there and then.
        in_slow_start_share: The engine is warm, or cold and this sequence is of the share that it may have.
    """

    may_run: bool
    in_slow_start_share: bool


class Router(Protocol):
    """What a node calls; the first argument is always the present time.

    Every call returns the actions to execute, in their order.
    """

    def start(self, now: float) -> list[Action]:
        """Begin; called once, before all others."""

    def update_endpoints(
        self, now: float, updates: Sequence[EndpointUpdate], is_complete: bool
    ) -> list[Action]:
        """Take the complete endpoint list, or a change to it."""

    def endpoint_list_failed(self, now: float) -> list[Action]:
        """Take note that a poll of the endpoint list failed, or that its watch broke."""

    def arrive(self, now: float, sequence: int, arrival: Arrival) -> list[Action]:
        """Take a sequence."""

    def began(self, now: float, sequence: int, attempt: int, latency: float) -> list[Action]:
        """Take note that an attempt's answer has begun to stream."""

    def ended(
        self,
        now: float,
        sequence: int,
        attempt: int,
        outcome: Outcome,
        latency: float,
        is_answered: bool,
        cached_tokens: float,
        load: LoadReport | None,
    ) -> list[Action]:
        """Take note how an attempt ended, and whether the client has its final answer by that."""

    def reservation_answered(
        self, now: float, sequence: int, attempt: int, engine: int, is_reserved: bool
    ) -> list[Action]:
        """Take an engine's answer to `Reserve`."""

    def client_left(self, now: float, sequence: int) -> list[Action]:
        """Take note that no answer is owed any more."""

    def probe_ended(
        self, now: float, engine: int, is_answered: bool, latency: float, load: LoadReport | None
    ) -> list[Action]:
        """Take the end of a probe."""

    def gossip_received(self, now: float, node: int, payload: str) -> list[Action]:
        """Take a message from another node."""

    def wake(self, now: float, token: int) -> list[Action]:
        """Take a wake-up that was asked for."""

    def check_send(self, now: float, sequence: int, attempt: int) -> SendCheck:
        """Return what still holds of an attempt before its first byte; changes nothing."""


class UnusedCalls:
    """The calls that a router may leave as they are, where it never asks for what they answer."""

    def reservation_answered(
        self, now: float, sequence: int, attempt: int, engine: int, is_reserved: bool
    ) -> list[Action]:
        """Take an engine's answer to `Reserve`."""
        return []

    def probe_ended(
        self, now: float, engine: int, is_answered: bool, latency: float, load: LoadReport | None
    ) -> list[Action]:
        """Take the end of a probe."""
        return []

    def gossip_received(self, now: float, node: int, payload: str) -> list[Action]:
        """Take a message from another node."""
        return []
