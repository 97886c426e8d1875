"""The contract between a router and the program that executes its decisions.

A node creates one `routing.policy.router.Router` and calls it with each event. A call returns the actions to
execute, in their order. The module has, in this order: the configuration, the events, the actions, and the
calls (`Router`).

- Times and durations are seconds, on one monotonic clock.
- Engines, kinds, zones, tenants and traffic types are small dense indices assigned by the caller. An index
  may be reused for another engine; the update that introduces the engine says so (`EndpointUpdate.is_new`).
- Sessions and shared prefixes are opaque integers; 0 means that a sequence has none.
"""

from collections.abc import Sequence
from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class RetrySemantics(StrEnum):
    """Whether a sequence may run a second time; the values are those of the settings."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "tokened"  # engines of one dedup group run a key once within the dedup window
    AT_MOST_ONCE = "once-only"


class DedupGroup(StrEnum):
    """Which engines share their idempotency keys; the values are those of the settings."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class TrafficType(NamedTuple):
    """The configuration of one traffic type."""

    retry_semantics: RetrySemantics
    latency_slo: float  # seconds to the first token
    slo_per_token: float  # seconds added to the latency SLO for each prompt token
    abandon_time: float  # seconds after which clients of this traffic type abandon a sequence
    seconds_per_token: float  # objective for the time between two tokens of an answer
    utility: float  # priority weight of an answer within the latency SLO
    late_share: float  # share of the utility that an answer after the latency SLO still has
    dedup_group: DedupGroup = DedupGroup.ALL
    dedup_window: float = 0.0  # seconds for which engines remember an idempotency key


class RouterConfig(NamedTuple):
    """The configuration of a router, fixed at its creation."""

    seed: int  # of its random generator
    node: int  # index of its node
    node_count: int
    zone: int  # of its node
    traffic: tuple[TrafficType, ...]  # by index of the traffic type
    reads: tuple[bool, ...]  # by kind of engine: whether it reads prompts
    writes: tuple[bool, ...]  # by kind of engine: whether it writes answers
    memory: tuple[float, ...]  # tokens that fit in an engine, by kind; 0 if unknown
    quotas: tuple[float, ...]  # by tenant: sequences per second over all nodes; 0 for no quota
    writers_can_read: bool  # engines that only write can read the prompts of their own answers
    # What the platform lets a node do.
    may_reserve: bool
    may_cancel: bool
    may_migrate: bool
    may_probe: bool
    may_gossip: bool
    may_hedge: bool
    max_attempts: int  # per sequence
    state_timeout: float  # seconds for which an engine may hold a read state that no writer fetches
    drain_grace: float  # seconds for which an engine still accepts sequences after it starts draining
    cold_share: float  # share of its capacity that an engine has when it starts
    cold_time: float  # seconds from the start of an engine until it has its full capacity
    overload_multiple: float  # multiple of its capacity from which a cold engine is overloaded
    overload_window: float  # seconds over which the load of a cold engine is measured; 0 for no slow start
    answer_slack: float  # seconds by which a final answer may follow the abandon time
    tick: float  # seconds by which the node's timers may fire late
    max_retry_after: float  # longest Retry-After in seconds that clients honour; 0 if they honour none
    over_quota_utility: float  # utility of a sequence beyond its tenant's quota
    polls_endpoints: bool  # the router has to request the endpoint list
    load_by_probe_only: bool = False  # engines report load to probes, and not with their responses
    connect_timeout: float = 0.0  # longest time in seconds to connect to an engine before a send
    probe_price: float = 0.0  # cost of one probe, in units of utility
    # The node can check whether an attempt has arrived at its engine. Without this, each attempt that was
    # sent counts as arrived until it ends.
    may_check_arrival: bool = False


class EngineState(IntEnum):
    """The state of an engine in the endpoint list."""

    SERVING = 0
    DRAINING = 1
    REMOVED = 2  # no longer in the list


class Outcome(StrEnum):
    """How an attempt ended; the values are those in records and metrics."""

    GENERATED = "generated"  # the answer is complete
    READ = "read"  # the prompt was read, and the engine holds the read state
    FULL = "full"  # the engine rejected it before it ran: no capacity, or the read state was lost
    UNREACHED = "unreached"  # no connection was established
    UNSENT = "unsent"  # the node did not send it, because it was no longer needed or allowed
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"


class EndpointUpdate(NamedTuple):
    """The entry of one engine in the endpoint list."""

    engine: int
    is_new: bool  # the index is new, or was reused for another engine
    state: EngineState
    kind: int
    zone: int
    cell: int
    started_at: float  # 0.0 if the engine started long ago
    weight: float  # relative capacity
    hash_seed: int = 0  # identifies the engine in rendezvous hashing; every node has the same number


class Arrival(NamedTuple):
    """What the router knows of a sequence when it arrives.

    The last three fields are set for a sequence that this node takes over from another one.
    """

    traffic: int
    tenant: int | None
    prompt_tokens: float
    time_left: float  # seconds until the client abandons it
    session: int
    prefix: int
    shared_tokens: float  # tokens of the prompt that belong to the shared prefix
    max_output_tokens: float
    expected_seconds: float  # rough estimate of the answer's duration; 0.0 if there is none
    is_resumed: bool = False  # the client continues an answer that was interrupted
    is_retry: bool = False  # the client sends it again after a rejection or an abort
    state_engine: int | None = None  # engine that holds its read state
    may_have_run_at: int | None = None  # engine at which a former attempt may have run
    may_have_run_ago: float = 0.0  # seconds since that attempt was sent


class LoadReport(NamedTuple):
    """The load report of an engine, with the field names of the protocol; None for a value not reported."""

    memory_share: float | None = None  # share of the memory in use
    unread: float | None = None  # prompt tokens still to be read or fetched
    slot_share: float | None = None  # share of the slots in use
    waiting: float | None = None  # queued sequences
    latency: float | None = None  # recent latency in seconds, of complete reads or to the first token
    active: float | None = None  # sequences in progress


class Send(NamedTuple):
    """Send the next attempt of a sequence to an engine; attempts are numbered from 0."""

    sequence: int
    engine: int
    timeout: float  # seconds; 0.0: until the abandon time


class Reserve(NamedTuple):
    """Ask a writer to reserve capacity for a sequence."""

    sequence: int
    engine: int


class Release(NamedTuple):
    """Have engines free all read states that they hold for a sequence."""

    sequence: int


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is running."""

    sequence: int
    attempt: int


class CheckArrival(NamedTuple):
    """Check whether a running attempt has arrived; if it has, `Router.attempt_arrived` is called."""

    sequence: int
    attempt: int


class Reject(NamedTuple):
    """End a sequence and tell its client that it did not run, or that a retry does no harm."""

    sequence: int
    retry_after: float  # Retry-After in seconds; 0.0 for none


class Abort(NamedTuple):
    """End a sequence and tell its client that it failed and may have run."""

    sequence: int


class Migrate(NamedTuple):
    """End a stream so that its client resumes it at another engine."""

    sequence: int


class ScheduleWakeup(NamedTuple):
    """Call `wake(token)` after a delay in seconds."""

    delay: float
    token: int


class Probe(NamedTuple):
    """Send a health check that asks an engine for its load report."""

    engine: int


class CloseIdle(NamedTuple):
    """Close an unused connection to an engine."""

    engine: int


class Gossip(NamedTuple):
    """Send a message to another node, or to all of them."""

    node: int | None  # None for all nodes
    payload: str


class WatchEndpoints(NamedTuple):
    """Start or stop watching the endpoint list."""

    enabled: bool


class PollEndpoints(NamedTuple):
    """Request the complete endpoint list once."""


class LogNote(NamedTuple):
    """Write a line to the log of the node."""

    text: str


class Forget(NamedTuple):
    """Discard the record of a sequence; no further action names it."""

    sequence: int


Action = (
    Send
    | Reserve
    | Release
    | CancelAttempt
    | Reject
    | Abort
    | CheckArrival
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
    """Which conditions of an attempt still hold just before its first byte.

    Attributes:
        may_run: No earlier attempt can have run, or another run would not repeat the effect.
        is_in_slow_start_share: The engine has warmed up, or the sequence is in the share of sequences that a
            cold engine may get.
    """

    may_run: bool
    is_in_slow_start_share: bool


class Router(Protocol):
    """The calls that a node makes.

    The first argument of each is the present time. Sequence numbers are assigned by the caller; attempts of a
    sequence are numbered from 0 in the order of their `Send`. Each call but `check_send` returns the actions
    to execute, in their order.
    """

    def start(self, now: float) -> list[Action]:
        """Start the router; called once, before all other calls."""

    def update_endpoints(
        self, now: float, updates: Sequence[EndpointUpdate], is_complete: bool
    ) -> list[Action]:
        """Apply the complete endpoint list, or a change to it."""

    def endpoint_list_failed(self, now: float) -> list[Action]:
        """Handle a failed poll or watch of the endpoint list."""

    def arrive(self, now: float, sequence: int, arrival: Arrival) -> list[Action]:
        """Accept an arriving sequence."""

    def began(self, now: float, sequence: int, attempt: int, latency: float) -> list[Action]:
        """Handle the first token of an attempt's answer, `latency` seconds after the attempt was sent."""

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
        """Handle the end of an attempt.

        Args:
            now: The present time.
            sequence: The sequence.
            attempt: The number of the attempt.
            outcome: How it ended.
            latency: Seconds since it was sent.
            is_answered: The client got its final answer from this attempt.
            cached_tokens: Prompt tokens that the engine had cached. With `Outcome.FULL`, any number but 0
                means that the engine could not fetch the read state.
            load: The load report in the engine's response, if there is one.
        """

    def reservation_answered(
        self, now: float, sequence: int, attempt: int, engine: int, is_reserved: bool
    ) -> list[Action]:
        """Handle an engine's response to `Reserve`."""

    def attempt_arrived(self, now: float, sequence: int, attempt: int) -> list[Action]:
        """Handle the sign that a running attempt has arrived, after `CheckArrival`."""

    def client_left(self, now: float, sequence: int) -> list[Action]:
        """Handle the disconnection of a client that has no final answer yet."""

    def probe_ended(
        self, now: float, engine: int, is_answered: bool, latency: float, load: LoadReport | None
    ) -> list[Action]:
        """Handle the response to a `Probe`, or the timeout of one that was not answered."""

    def gossip_received(self, now: float, node: int, payload: str) -> list[Action]:
        """Handle a message from another node."""

    def wake(self, now: float, token: int) -> list[Action]:
        """Handle a wake-up that `ScheduleWakeup` requested."""

    def check_send(self, now: float, sequence: int, attempt: int) -> SendCheck:
        """Return which conditions of an attempt still hold before its first byte; changes nothing."""


class OptionalCalls:
    """Default calls of routers that never return the optional actions `Reserve`, `Probe` and so on."""

    def attempt_arrived(self, now: float, sequence: int, attempt: int) -> list[Action]:
        """Ignore the result of a `CheckArrival`."""
        return []

    def reservation_answered(
        self, now: float, sequence: int, attempt: int, engine: int, is_reserved: bool
    ) -> list[Action]:
        """Ignore an engine's response to `Reserve`."""
        return []

    def probe_ended(
        self, now: float, engine: int, is_answered: bool, latency: float, load: LoadReport | None
    ) -> list[Action]:
        """Ignore the end of a `Probe`."""
        return []

    def gossip_received(self, now: float, node: int, payload: str) -> list[Action]:
        """Ignore a message from another node."""
        return []
