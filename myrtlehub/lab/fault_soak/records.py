"""What clients, engines, agents and the driver recorded of one run; all times in seconds of one clock."""

from dataclasses import dataclass, field
from enum import StrEnum


class ResponseEnd(StrEnum):
    """How a client's request ended, as its client saw it."""

    OPEN = "open"  # not yet
    COMPLETE = "complete"  # by its own framing
    CUT = "cut"  # the connection ended within the response
    UNANSWERED = "unanswered"  # the connection ended before any response
    CLIENT_LEFT = "client left"  # the client closed first


class AttemptEnd(StrEnum):
    """How an attempt ended, as its engine saw it."""

    RUNNING = "running"
    TURNED_AWAY = "turned away"  # with the promise that nothing ran
    FINISHED = "finished"
    FAILED = "failed"  # an error was answered, or the answer was spoilt
    LOST = "lost"  # the node closed, or the engine ended


@dataclass(slots=True)
class RequestRecord:
    """A client's request."""

    id: str
    node: int
    traffic: str
    sent_at: float  # when its last byte was written
    time_left: float  # that the client stated
    is_first_on_connection: bool
    before: "RequestRecord | None" = None  # sent before it on its connection, and open then
    left_at: float | None = None  # when the client closed
    ended_at: float | None = None
    status: int = 0
    events: int = 0
    end: ResponseEnd = ResponseEnd.OPEN

    @property
    def deadline(self) -> float:
        """When the client stops to wait for the first event."""
        return self.sent_at + self.time_left

    @property
    def answerable_at(self) -> float:
        """From when it can be answered: responses come in the order of their requests."""
        if self.before is None:
            return self.sent_at
        return self.before.ended_at or float("inf")


@dataclass(slots=True)
class AttemptRecord:
    """A call of an engine for a request."""

    id: str
    engine: str
    reads: bool
    began_at: float  # its first byte
    arrived_at: float  # its last byte
    told_ms: int
    events: int = 0
    ended_at: float | None = None
    end: AttemptEnd = AttemptEnd.RUNNING


@dataclass(slots=True)
class HeldState:
    """A read state at a reader."""

    id: str
    engine: str
    since: float
    until: float | None = None


@dataclass(slots=True)
class EngineChange:
    """A change of an engine in the endpoint list, and by when each node counts as told (by its number)."""

    engine: str
    health: str
    at: float
    told_at: dict[int, float]


@dataclass(slots=True)
class Span:
    """A time in which something was done to a node."""

    node: int
    what: str
    begin: float
    end: float = float("inf")


@dataclass(slots=True)
class EngineCut:
    """A time in which bytes between an engine and the nodes were lost."""

    engine: str
    begin: float
    end: float


@dataclass(slots=True)
class NodeExit:
    """The end of a node's process that nobody killed."""

    node: int
    at: float
    code: int
    was_asked: bool
    errors: str


@dataclass(slots=True)
class RunRecords:
    """All that was recorded."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    states: list[HeldState] = field(default_factory=list)
    changes: list[EngineChange] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    cuts: list[EngineCut] = field(default_factory=list)
    exits: list[NodeExit] = field(default_factory=list)
    node_violations: list[str] = field(default_factory=list)  # from the nodes' own logs
    withheld: dict[str, int] = field(default_factory=dict)  # likewise
    failed_probes: list[str] = field(default_factory=list)  # of nodes after all troubles were over
    driver_lag: float = 0.0  # by which the clock of these records may be late

    def begin(self, node: int, what: str, at: float) -> Span:
        """Begin a span."""
        span = Span(node, what, at)
        self.spans.append(span)
        return span
