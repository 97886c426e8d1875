"""The interface between a router and the node that executes its actions.

A node creates one `routing.policy.router.Router` and calls it for each event. A call returns actions, which
the node executes in order. The module defines the configuration, the events, the actions and the calls
(`Router`), in this order.

- Times and durations are in seconds, on one monotonic clock.
- Engines, kinds, zones, tenants and traffic types are small dense indices that the caller assigns. If it
  reuses an index for another engine, it sets `EndpointUpdate.is_new`.
- Sessions and shared prefixes are opaque integers; 0 means none.
"""

from collections.abc import Sequence
from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class RetrySemantics(StrEnum):
    """Whether a sequence may run more than once; the values are those of the settings."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "tokened"  # engines of a dedup group run a key once within the dedup window
    AT_MOST_ONCE = "once-only"


class DedupGroup(StrEnum):
    """Which engines deduplicate idempotency keys together; the values are those of the settings."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class TrafficType(NamedTuple):
    """The configuration of one traffic type."""

    retry_semantics: RetrySemantics
    latency_slo: float  # seconds until the first token
    slo_per_token: float  # seconds added to the latency SLO for each prompt token
    abandon_time: float  # seconds after which clients abandon a sequence
    seconds_per_token: float  # SLO for the time between two tokens of an answer
    utility: float  # priority weight of an answer within the latency SLO
    late_share: float  # share of the utility that an answer after the latency SLO has
    dedup_group: DedupGroup = DedupGroup.ALL
    dedup_window: float = 0.0  # seconds for which engines remember an idempotency key


class RouterConfig(NamedTuple):
    """The configuration of a router, fixed at its creation."""

    seed: int  # of its random number generator
    node: int  # index of the node
    node_count: int
    zone: int  # of the node
    traffic: tuple[TrafficType, ...]  # by index of the traffic type
    reads: tuple[bool, ...]  # by kind of engine: whether it can read prompts
    writes: tuple[bool, ...]  # by kind of engine: whether it can write answers
    memory: tuple[float, ...]  # by kind of engine: its memory in tokens; 0 if unknown
    quotas: tuple[float, ...]  # by tenant: sequences per second at all nodes together; 0 for no quota
    writers_can_read: bool  # engines that only write can read the prompts of their sequences
    # The optional actions that the platform supports.
    may_reserve: bool
    may_cancel: bool
    may_migrate: bool
    may_probe: bool
    may_gossip: bool
    may_hedge: bool
    max_attempts: int  # per sequence
    state_timeout: float  # seconds for which an engine may hold a read state until a writer fetches it
    drain_grace: float  # seconds for which a draining engine still accepts sequences
    cold_share: float  # share of its capacity that a cold engine has at its start
    cold_time: float  # seconds from the start of an engine until it has its full capacity
    overload_multiple: float  # load of a cold engine, as a multiple of its capacity, that is an overload
    overload_window: float  # seconds over which that load is measured; 0 for no slow start
    answer_slack: float  # seconds after the abandon time in which a final answer is still accepted
    tick: float  # seconds by which the timers of the node may fire late
    max_retry_after: float  # seconds; longest Retry-After that clients respect; 0 if they respect none
    over_quota_utility: float  # utility of a sequence that exceeds the quota of its tenant
    polls_endpoints: bool  # the router requests the endpoint list
    load_by_probe_only: bool = False  # engines report load in responses to probes only
    connect_timeout: float = 0.0  # seconds; longest time to connect to an engine before a send
    probe_price: float = 0.0  # cost of a probe, in units of utility
    # The node can check whether an attempt has arrived at its engine. Otherwise each attempt that was sent is
    # assumed to have arrived.
    may_check_arrival: bool = False


class EngineState(IntEnum):
    """The state of an engine in the endpoint list."""

    SERVING = 0
    DRAINING = 1
    REMOVED = 2  # no longer in the list


class Outcome(StrEnum):
    """How an attempt ended; the values are those of records and metrics."""

    GENERATED = "generated"  # the answer is complete
    READ = "read"  # the prompt is read, and the engine holds the read state
    FULL = "full"  # rejected before it ran, because the engine has no capacity or the read state is lost
    UNREACHED = "unreached"  # no connection could be established
    UNSENT = "unsent"  # the node withheld it, or it was no longer needed
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"


NOT_RUN_OUTCOMES = frozenset((Outcome.FULL, Outcome.UNREACHED, Outcome.UNSENT))  # the engine ran nothing


class EndpointUpdate(NamedTuple):
    """The entry of one engine in the endpoint list."""

    engine: int
    is_new: bool  # the index is new, or is reused for another engine
    state: EngineState
    kind: int
    zone: int
    cell: int
    started_at: float  # 0.0 if the engine started long ago
    weight: float  # relative capacity
    hash_seed: int = 0  # of the engine in rendezvous hashing, the same on all nodes


class Arrival(NamedTuple):
    """The properties of an arriving sequence.

    The last three fields are set only in a takeover from another node.
    """

    traffic: int
    tenant: int | None
    prompt_tokens: float
    time_left: float  # seconds until the client abandons it
    session: int
    prefix: int
    shared_tokens: float  # prompt tokens in the shared prefix
    max_output_tokens: float
    expected_seconds: float  # rough estimate of the duration of the answer; 0.0 for none
    is_resumed: bool = False  # the client resumes an interrupted answer
    is_retry: bool = False  # the client retries after a rejection or an abort
    state_engine: int | None = None  # engine that has its read state
    may_have_run_at: int | None = None  # engine at which an earlier attempt may have run
    may_have_run_ago: float = 0.0  # seconds since that attempt was sent


class LoadReport(NamedTuple):
    """The load report of an engine, with the field names of the protocol; None for an unreported value."""

    memory_share: float | None = None  # share of the memory in use
    unread: float | None = None  # prompt tokens that have yet to be read or fetched
    slot_share: float | None = None  # share of the slots in use
    waiting: float | None = None  # queued sequences
    latency: float | None = None  # seconds; recent latency of complete reads, or to the first token
    active: float | None = None  # sequences in progress


class Send(NamedTuple):
    """Send the next attempt of a sequence to an engine; attempts are numbered from 0."""

    sequence: int
    engine: int
    timeout: float  # seconds; 0.0 for the abandon time


class Reserve(NamedTuple):
    """Request a writer to reserve capacity for a sequence."""

    sequence: int
    engine: int


class Release(NamedTuple):
    """Release all read states that engines hold for a sequence."""

    sequence: int


class CancelAttempt(NamedTuple):
    """Cancel a running attempt."""

    sequence: int
    attempt: int


class CheckArrival(NamedTuple):
    """Check whether a running attempt has arrived; if it has, `Router.attempt_arrived` is called."""

    sequence: int
    attempt: int


class Reject(NamedTuple):
    """End a sequence that did not run, or that its client may retry without harm."""

    sequence: int
    retry_after: float  # seconds for the Retry-After; 0.0 for none


class Abort(NamedTuple):
    """End a sequence that failed and may have run."""

    sequence: int


class Migrate(NamedTuple):
    """End a stream so that the client resumes it at another engine."""

    sequence: int


class ScheduleWakeup(NamedTuple):
    """Call `wake(token)` after a delay in seconds."""

    delay: float
    token: int


class Probe(NamedTuple):
    """Send a health check that requests the load report of an engine."""

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
    """Write a log event of the node."""

    text: str


class Forget(NamedTuple):
    """Discard the record of a sequence, to which no later action refers."""

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
    """The conditions of an attempt that are checked again just before its first byte.

    Attributes:
        may_run: No earlier attempt can have run, or a second run has no second effect.
        is_in_slow_start_share: The engine is warm, or its slow start allows this sequence.
    """

    may_run: bool
    is_in_slow_start_share: bool


class Router(Protocol):
    """The calls of a node to its router.

    The first argument of each call is the current time. The caller assigns sequence numbers. The attempts of
    a sequence are numbered from 0 in the order of their `Send` actions. Each call except `check_send`
    returns actions, which the node executes in order.
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
            now: The current time.
            sequence: The number of the sequence.
            attempt: The number of the attempt.
            outcome: How the attempt ended.
            latency: Seconds since the attempt was sent.
            is_answered: The client got its final answer from this attempt.
            cached_tokens: Prompt tokens that the engine had cached. With `Outcome.FULL`, a number other than
                0 means that the engine could not fetch the read state.
            load: The load report in the response of the engine, if any.
        """

    def reservation_answered(
        self, now: float, sequence: int, attempt: int, engine: int, is_reserved: bool
    ) -> list[Action]:
        """Handle an engine's response to `Reserve`."""

    def attempt_arrived(self, now: float, sequence: int, attempt: int) -> list[Action]:
        """Handle the confirmation that a running attempt has arrived, after `CheckArrival`."""

    def client_left(self, now: float, sequence: int) -> list[Action]:
        """Handle the disconnection of a client that has no final answer yet."""

    def probe_ended(
        self, now: float, engine: int, is_answered: bool, latency: float, load: LoadReport | None
    ) -> list[Action]:
        """Handle the response to a `Probe`, or its timeout."""

    def gossip_received(self, now: float, node: int, payload: str) -> list[Action]:
        """Handle a message from another node."""

    def wake(self, now: float, token: int) -> list[Action]:
        """Handle a wake-up that `ScheduleWakeup` requested."""

    def check_send(self, now: float, sequence: int, attempt: int) -> SendCheck:
        """Check an attempt again just before its first byte; does not change the router's state."""


class PlacementBudget(Protocol):
    """Limits the share of the node's time that placements take."""

    def try_begin(self) -> bool:
        """Return whether a placement may begin now; if so, its time counts until `end`."""

    def end(self) -> None:
        """End the time of a placement."""


class UnlimitedPlacements:
    """A budget for routers whose time does not count, such as that of a simulated node."""

    def try_begin(self) -> bool:
        """Return True."""
        return True

    def end(self) -> None:
        """Do nothing."""


class OptionalCalls:
    """Default implementations for routers that do not use the actions `Reserve`, `Probe` and so on."""

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
