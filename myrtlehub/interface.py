"""The call contract between the decision module and whatever hosts it.

A host makes one `decide.Router` for each node and calls it with what has happened; every call
returns a list of plain results, verb first, in the order in which they are to be carried out.
All times are seconds with fractions on one clock that only advances. Engines, kinds, zones,
tenants and traffic types are small dense indices which the host hands out; an index that was
freed may name another engine later, and the listing that introduces it says so (`fresh`).
Sessions and shared prefixes are opaque whole numbers (0: none).

Calls (the first argument is always the present time):

    start(now)                                   once, before all others
    engines(now, listings, whole)                the list of engines, or a change to it
    list_failed(now)                             a call for the list failed or its watch broke
    arrive(now, seq, Arrival)                    a sequence was taken
    began(now, seq, attempt, latency)            its answer has begun to stream
    ended(now, seq, attempt, outcome, latency, settled, kept, load)
                                                 how a schedule attempt ended; outcome is a word below
    hold_answered(now, seq, attempt, engine, held)   word on a place asked for ahead
    left(now, seq)                               the client left, nothing more is owed
    probed(now, engine, sound, latency, load)    how a probe ended
    heard(now, node, payload)                    word from another node
    wake(now, token)                             a wake-up asked for is due

Results:

    ("send", seq, engine, timeout)     next schedule attempt; attempts count from 0; timeout 0: none
    ("hold", seq, engine)              ask a writer to keep a place
    ("release", seq)                   let go of all that is held for it
    ("cancel", seq, attempt)           stop waiting on an attempt
    ("reject", seq, wait)              final: not run, harmless to come again, best after `wait`
    ("abort", seq)                     final: no promise
    ("move", seq)                      hand a begun stream back to its client
    ("wake", delay, token)             call wake(token) after `delay`; token is a whole number
    ("probe", engine)  ("close", engine)  ("tell", node or None for all, payload)
    ("watch", on)  ("relist",)         follow the list; ask for it whole
    ("note", text)                     a line for the operators' log
    ("done", seq)                      nothing further will be said of this sequence
"""

from typing import NamedTuple

# Outcomes of a schedule attempt.
GENERATED, READ, FULL, UNREACHED, UNSENT = "generated", "read", "full", "unreached", "unsent"
ERROR, TIMEOUT, RESET, CANCELLED = "error", "timeout", "reset", "cancelled"

# Kinds of traffic by what a repeat does, and states of a listed engine.
REPEATABLE, TOKENED, ONCE_ONLY = "repeatable", "tokened", "once-only"
SERVING, DRAINING, GONE = 0, 1, 2


class TrafficType(NamedTuple):
    """What the operators state of one traffic type."""

    repeats: str
    latency_slo: float  # to the first token
    slo_per_token: float  # added for each prompt token
    abandon_time: float
    pace: float  # seconds a token
    utility: float
    late_share: float  # of the utility, once past the latency SLO
    dedup_group: str = "all"  # "all", "zone" or "cell"
    dedup_window: float = 0.0


class Terms(NamedTuple):
    """What a node is told once, at its start."""

    seed: int
    node: int
    nodes: int
    zone: int
    traffic: tuple[TrafficType, ...]
    reads: tuple[bool, ...]  # by kind of engine
    writes: tuple[bool, ...]
    memory: tuple[float, ...]  # tokens, by kind; 0 where unknown
    quotas: tuple[float, ...]  # sequences a second by tenant, over all nodes; 0: none stated
    self_read: bool  # a pure writer reads a prompt itself
    may_hold: bool
    may_cancel: bool
    may_resume: bool
    may_probe: bool
    may_tell: bool
    second_copies: bool
    most_attempts: int
    let_go: float
    drain_grace: float
    cold_share: float
    cold_time: float
    fall_multiple: float
    fall_time: float
    answer_slack: float
    tick: float
    max_wait: float  # longest wait a client honours; 0: clients are given none
    over_share_utility: float
    ask_for_list: bool
    report_on_probe: bool = False  # engines tell their load to probes alone, not with what they answer
    connect_time: float = 0.0  # seconds that a connection may take to stand, before an attempt on it begins
    probe_price: float = 0.0  # of utility asked for, that one probe a sequence costs


class Listing(NamedTuple):
    """One engine of the list."""

    engine: int
    fresh: bool  # the index is new, or names another engine than before
    state: int
    kind: int
    zone: int
    cell: int
    started: float  # 0: long past
    weight: float
    mark: int = 0  # a number of the engine that is the same at every node, and tells nothing else


class Arrival(NamedTuple):
    """A sequence as it comes in."""

    traffic: int
    tenant: int  # -1: none
    prompt: float
    time_left: float
    session: int
    prefix: int
    shared: float
    most_output: float
    expected: float  # seconds of answer, a rough guess; 0: none
    resumed: bool = False
    repeated: bool = False
    held_at: int = -1  # engine that holds its read state already, from an owner before this node
    ran_at: int = -1  # engine at which an attempt of such an owner may have run, and how many seconds ago
    ran_ago: float = 0.0


class Load(NamedTuple):
    """A load report; None where a deployment does not report the figure."""

    memory_share: float | None = None
    unread: float | None = None  # prompt tokens still to read or fetch
    slot_share: float | None = None
    waiting: float | None = None  # sequences
    latency: float | None = None
    active: float | None = None


class NodeCalls:
    """The calls that a router may leave as they are, where it never asks for what they answer."""

    def hold_answered(self, now: float, seq: int, attempt: int, engine: int, held: bool) -> list[tuple]:
        """Word on a place asked for ahead."""
        return []

    def probed(self, now: float, engine: int, sound: bool, latency: float, load: Load | None) -> list[tuple]:
        """How a probe ended."""
        return []

    def heard(self, now: float, node: int, payload: str) -> list[tuple]:
        """Word from another node."""
        return []
