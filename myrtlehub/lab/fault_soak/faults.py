"""The faults that a soak injects: their kinds, and one fault of a schedule."""

from enum import StrEnum

import msgspec


class FaultTarget(StrEnum):
    """What a fault is injected into."""

    NODE = "node"
    ENGINE = "engine"
    AGENT = "agent"  # the discovery agent of one node


class FaultKind(StrEnum):
    """Kinds of faults. Their order and values are fixed, since seeds and stored schedules depend on them."""

    NODE_TERM = "node term"  # SIGTERM, and a new process once the old one has exited
    NODE_KILL = "node kill"  # SIGKILL, and a new process
    NODE_STOP = "node stop"  # SIGSTOP, and SIGCONT after up to 0.15 s, repeatedly
    NODE_RELOAD = "node hangups"  # three changes of the discovery address, each with a SIGHUP, in a row
    CLOCK_STEP = "clock step"  # the node's wall clock jumps, and is not corrected
    CONNECT_FAILS = "connect fails"
    SOCKET_FAILS = "socket fails"
    ACCEPT_FAILS = "accept fails"
    SHORT_CALLS = "short calls"  # reads and writes transfer only a few bytes
    BROKEN_SOCKETS = "broken sockets"  # reads fail as if the connection were broken
    LOG_FAILS = "log fails"
    ENGINE_DRAIN = "engine drain"  # drains, is removed, and restarts cold
    ENGINE_RESTART = "engine restart"
    ENGINE_CUT = "engine cut"  # no byte passes, then all connections are reset
    ENGINE_RESETS = "engine resets"  # connections are reset during responses
    ENGINE_FULL = "engine full"  # rejects all requests
    ENGINE_ERRORS = "engine errors"
    ENGINE_HANGS = "engine hangs"  # accepts requests, and does not respond
    ENGINE_INVALID_STREAMS = "engine spoils"  # malformed chunks, a second response, a stream without end
    DISCOVERY_SILENT = "discovery silent"
    DISCOVERY_SLOW = "discovery slow"
    DISCOVERY_TRUNCATES = "discovery torn"
    WATCH_SILENT = "watch silent"  # open watches are never answered; later ones are
    NODE_SIGNALS = "node signals"  # SIGTERM among other signals, in one of several orders
    NODES_TERM = "nodes term"  # SIGTERM to several nodes, one after another
    NODE_CROWD = "node crowd"  # idle clients connect, as many as the node may have descriptors
    # Connections to it are established and stay open, and no byte passes; at the end, all are reset.
    ENGINE_SILENT = "engine silent"
    ENGINE_TRUNCATES = "engine truncates"  # streams in all framings, some of which are not complete
    ENGINE_WRITES_SLOWLY = "engine slow"  # one event of each stream is written in small pieces, over seconds
    ENGINE_DELAYS = "engine delays"  # comments come for seconds before the first event of each stream

    ENGINE_CLAIMS = "engine claims"  # chunks that claim gigabytes, or hold all of a sound stream
    ENGINE_TRICKLES = "engine trickles"  # framing that never ends, or long size lines of a sound stream

    @property
    def target(self) -> FaultTarget:
        """What faults of this kind are injected into."""
        if self.startswith("engine"):
            return FaultTarget.ENGINE
        if self.startswith(("discovery", "watch")):
            return FaultTarget.AGENT
        return FaultTarget.NODE


class Fault(msgspec.Struct, frozen=True):
    """One fault; the field names of the stored form are fixed.

    Attributes:
        kind: Kind of the fault.
        target: Number of the node or engine; an agent has the number of its node.
        begin_s: Seconds from the start of the run.
        duration_s: Duration in seconds; some kinds ignore it.
        error: Name of the errno that system calls fail with; empty for other kinds.
        share: Share of the system calls that fail.
        clock_step_s: Offset of the wall clock in seconds; 0 for other kinds.
    """

    kind: FaultKind
    target: int
    begin_s: float = msgspec.field(name="begin")
    duration_s: float = msgspec.field(name="length")
    error: str = ""
    share: float = 1.0
    clock_step_s: float = msgspec.field(default=0.0, name="step")

    @property
    def end_s(self) -> float:
        """Seconds from the start of the run to the end of the fault."""
        return self.begin_s + self.duration_s
