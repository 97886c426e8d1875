"""The records that clients, engines, discovery agents and the driver make during one run.

All times are seconds of the monotonic clock of the driver's process, which also runs clients and engines.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from myrtlehub.lab.fault_soak.faults import FaultKind


class TrafficType(StrEnum):
    """Traffic types of the fleet's settings, one for each retry semantics."""

    IDEMPOTENT = "ask"
    AT_MOST_ONCE = "post"
    DEDUPLICATED = "keep"  # engines deduplicate by the idempotency key within the dedup window


class EngineHealth(StrEnum):
    """States of an engine in the endpoint list, by their names on the wire."""

    SERVING = "active"
    DRAINING = "leaving"
    GONE = "left"


class ResponseEnd(StrEnum):
    """How a client's request ended, as the client saw it. The values are printed."""

    OPEN = "open"  # still in flight
    COMPLETE = "complete"  # the response ended as its framing declares
    CUT = "cut"  # the connection was lost during the response
    UNANSWERED = "unanswered"  # the connection was lost before the response
    CLIENT_DISCONNECTED = "client left"  # the client closed the connection first


class AttemptEnd(StrEnum):
    """How an attempt ended, as the engine saw it."""

    RUNNING = "running"
    REJECTED = "rejected"  # the engine answered that it had not executed the request
    COMPLETE = "complete"
    FAILED = "failed"  # the response was an error
    LOST = "lost"  # the connection was lost
    BROKEN_OFF = "broken off"  # the engine ended the response before it was complete


@dataclass(slots=True)
class RequestRecord:
    """A client's request.

    Attributes:
        request_id: Id of the request, unique within a run.
        node: Number of the node that it was sent to.
        traffic: Its traffic type.
        sent_at: Time at which its last byte was written.
        time_left_s: Timeout of the client for the first event, in seconds after `sent_at`.
        is_first_on_connection: No request was sent before it on its connection.
        previous: The request before it on its connection, if that was open when this one was sent.
        disconnected_at: Time at which the client closed the connection, if it did so before the answer.
        ended_at: Time at which it ended; None while it is open.
        status: HTTP status of the response; None before the response.
        event_count: Events of the response that were received.
        first_event_at: Time of the first event; None before it.
        end: How it ended.
    """

    request_id: str
    node: int
    traffic: TrafficType
    sent_at: float
    time_left_s: float
    is_first_on_connection: bool
    previous: "RequestRecord | None" = None
    disconnected_at: float | None = None
    ended_at: float | None = None
    status: int | None = None
    event_count: int = 0
    end: ResponseEnd = ResponseEnd.OPEN
    first_event_at: float | None = None

    @property
    def deadline(self) -> float:
        """Time at which the client stops waiting for the first event."""
        return self.sent_at + self.time_left_s

    @property
    def answerable_at(self) -> float:
        """Time from which it can be answered: responses are sent in the order of their requests."""
        return self.sent_at if self.previous is None else self.previous.open_until

    @property
    def open_until(self) -> float:
        """Time at which it ended; infinite while it is open."""
        return math.inf if self.ended_at is None else self.ended_at


@dataclass(slots=True)
class AttemptRecord:
    """A request of a node to an engine.

    Attributes:
        request_id: Id of the client's request.
        engine: Name of the engine.
        is_read: The engine reads the prompt (prefill); otherwise it writes the answer (decode).
        first_byte_at: Time at which the first byte arrived.
        arrived_at: Time at which the last byte arrived.
        remaining_ms: Remaining time that the node stated, in milliseconds.
        event_count: Events that the engine sent.
        ended_at: Time at which it ended; None while it runs.
        end: How it ended.
        last_byte_at: Time at which the engine wrote the latest byte of its stream; None without one.
        is_spoilt: Whether the engine sent a stream that is malformed or not complete.
        endless_since: Time from which on something in its stream never ends; None if everything does.
    """

    request_id: str
    engine: str
    is_read: bool
    first_byte_at: float
    arrived_at: float
    remaining_ms: int
    event_count: int = 0
    ended_at: float | None = None
    end: AttemptEnd = AttemptEnd.RUNNING
    last_byte_at: float | None = None
    is_spoilt: bool = False
    endless_since: float | None = None

    @property
    def running_until(self) -> float:
        """Time at which it ended; infinite while it runs."""
        return math.inf if self.ended_at is None else self.ended_at


@dataclass(slots=True)
class ReadStateRecord:
    """A read state that a reader holds."""

    request_id: str
    engine: str
    stored_at: float
    freed_at: float | None = None

    @property
    def held_until(self) -> float:
        """Time at which it was freed; infinite while it is held."""
        return math.inf if self.freed_at is None else self.freed_at


@dataclass(slots=True)
class EngineChange:
    """A change of an engine in the endpoint list.

    Attributes:
        engine: Name of the engine.
        health: Its new state.
        at: Time of the change.
        known_at: By node, the time by which the node must have received the change; infinite while its agent
            cannot be reached.
    """

    engine: str
    health: EngineHealth
    at: float
    known_at: dict[int, float]


@dataclass(slots=True)
class NodeFault:
    """A period in which a fault of this kind was injected into a node."""

    node: int
    kind: FaultKind
    begin: float
    end: float = math.inf


@dataclass(slots=True)
class EngineCut:
    """A period in which bytes between an engine and the nodes were lost."""

    engine: str
    begin: float
    end: float


@dataclass(slots=True)
class NodeExit:
    """The exit of a node's process.

    Attributes:
        node: Number of the node.
        at: Time at which the exit was noticed.
        code: Exit code; 0 if the process was killed by the soak.
        was_requested: The soak had sent SIGTERM or SIGKILL.
        errors: What the process wrote to its standard error.
    """

    node: int
    at: float
    code: int
    was_requested: bool
    errors: str


@dataclass(slots=True)
class NodeShutdown:
    """A shutdown of a node.

    Attributes:
        node: Number of the node.
        terminated_at: Time of the first SIGTERM.
        killed_at: Time of SIGKILL, which comes at the earliest instant that the settings allow if the process
            has not ended; None if it has.
    """

    node: int
    terminated_at: float
    killed_at: float | None = None


@dataclass(slots=True)
class IncompleteRequest:
    """A request of which the client sent only the beginning; the node has to close its connection."""

    node: int
    sent_at: float
    closed_at: float


@dataclass(slots=True)
class RunRecords:
    """All records of a run.

    Attributes:
        requests: Clients' requests by their id.
        attempts: Attempts in the order of their arrival at the engines.
        states: Read states that readers held.
        changes: Changes of the endpoint list.
        node_faults: Faults that were injected into nodes; some rules do not apply to a node during its fault.
        cuts: Losses of bytes between engines and nodes.
        shutdowns: Shutdowns of nodes, in the order of their start.
        exits: Exits of nodes' processes, except for those that were killed and wrote nothing.
        incomplete_requests: Requests whose clients sent only the beginning.
        node_violations: Invariant violations by the nodes' own logs, one entry for each.
        withheld: Sends that nodes withheld to keep an invariant, by invariant, from the nodes' own counters.
        unrecovered: Nodes that did not answer or did not exit after all faults had ended, with the reason.
        driver_lag: Largest event loop lag of the driver in seconds, by which recorded times may be late.
    """

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    attempts: list[AttemptRecord] = field(default_factory=list)
    states: list[ReadStateRecord] = field(default_factory=list)
    changes: list[EngineChange] = field(default_factory=list)
    node_faults: list[NodeFault] = field(default_factory=list)
    cuts: list[EngineCut] = field(default_factory=list)
    shutdowns: list[NodeShutdown] = field(default_factory=list)
    exits: list[NodeExit] = field(default_factory=list)
    incomplete_requests: list[IncompleteRequest] = field(default_factory=list)
    node_violations: list[str] = field(default_factory=list)
    withheld: dict[str, int] = field(default_factory=dict)
    unrecovered: list[str] = field(default_factory=list)
    driver_lag: float = 0.0

    def begin_node_fault(self, node: int, kind: FaultKind, at: float) -> NodeFault:
        """Record the start of a fault; the caller sets its end."""
        fault = NodeFault(node, kind, at)
        self.node_faults.append(fault)
        return fault
