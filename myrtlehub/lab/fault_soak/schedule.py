"""Schedules of overlapping faults: drawn from a seed, stored as JSON files."""

import random
from pathlib import Path
from typing import Self

import msgspec

from myrtlehub.lab.fault_soak.faults import Fault, FaultKind, FaultTarget

DEADLINES_S = (3.0, 1.2)  # of the traffic types; the earliest SIGKILL after SIGTERM depends on it
QUIET_BEGIN_S = 2.0  # without faults at the start, until all nodes are ready and have traffic
QUIET_END_S = 8.0  # without faults at the end, so that all nodes can recover
MAX_OVERLAP = 3  # faults that may be active at the same time
# Each run draws only some kinds of fault, so that the same kinds overlap often, which exposes defects.
KINDS_PER_RUN = 7
MEAN_FAULT_INTERVAL_S = 0.9  # from the start of one fault to the start of the next
FAULT_DURATIONS_S = (0.3, 0.7, 1.5, 3.0)
AGENT_FAULT_DURATIONS_S = (1.0, 2.5, 5.0)  # longer: a node detects a silent agent only after seconds
FAILURE_SHARES = (0.3, 1.0)  # fraction of system calls that fail
CLOCK_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)
ERRORS = {
    FaultKind.CONNECT_FAILS: ("EADDRNOTAVAIL", "ENOBUFS", "ENFILE", "EMFILE", "ENOMEM", "ENETUNREACH"),
    FaultKind.SOCKET_FAILS: ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"),
    FaultKind.ACCEPT_FAILS: ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    FaultKind.BROKEN_SOCKETS: ("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"),
    FaultKind.LOG_FAILS: ("ENOSPC", "EIO", "EPIPE"),
}


# Faults that end a node's process.
ENDING_FAULTS = {FaultKind.NODE_TERM, FaultKind.NODE_KILL, FaultKind.NODE_SIGNALS, FaultKind.NODES_TERM}


class Schedule(msgspec.Struct, frozen=True):
    """The plan of one run, stored as JSON under fixed field names.

    Attributes:
        seed: Seed of the schedule, and of the behavior of clients and engines.
        duration_s: Length of the run in seconds.
        node_count: Number of nodes.
        engine_count: Number of engines.
        faults: The faults, in the order of their start.
        deadline_s: Deadline of all traffic types in seconds.
    """

    seed: int
    duration_s: float = msgspec.field(name="seconds")
    node_count: int = msgspec.field(name="nodes")
    engine_count: int = msgspec.field(name="engines")
    faults: tuple[Fault, ...] = msgspec.field(name="troubles")
    deadline_s: float = msgspec.field(default=DEADLINES_S[0], name="deadline")

    @classmethod
    def draw(
        cls,
        seed: int,
        duration_s: float,
        node_count: int,
        engine_count: int,
        kinds: tuple[FaultKind, ...] = (),
    ) -> Self:
        """Draw a schedule; the same arguments always give the same one.

        Args:
            seed: Seed of the random numbers.
            duration_s: Length of the run in seconds.
            node_count: Number of nodes.
            engine_count: Number of engines.
            kinds: Kinds of the faults; KINDS_PER_RUN kinds are drawn if it is empty.
        """
        draw = random.Random(seed)
        kinds = kinds or tuple(draw.sample(list(FaultKind), KINDS_PER_RUN))
        faults: list[Fault] = []
        begin_s = QUIET_BEGIN_S
        while begin_s < duration_s - QUIET_END_S:
            kind = draw.choice(kinds)
            is_engine_fault = kind.target == FaultTarget.ENGINE
            target = draw.randrange(engine_count if is_engine_fault else node_count)
            fault = _draw_fault(draw, kind, target, begin_s)
            active = [other for other in faults if other.end_s > begin_s]
            if len(active) < MAX_OVERLAP and not any(_conflict(fault, other) for other in active):
                faults.append(fault)
            begin_s += draw.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
        deadline_s = DEADLINES_S[seed % len(DEADLINES_S)]
        return cls(seed, duration_s, node_count, engine_count, tuple(faults), deadline_s)

    @classmethod
    def read(cls, path: Path) -> Self:
        """Read a stored schedule."""
        return msgspec.json.decode(path.read_bytes(), type=cls)

    def write(self, path: Path) -> None:
        """Store the schedule."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self)) + b"\n")


def _draw_fault(draw: random.Random, kind: FaultKind, target: int, begin_s: float) -> Fault:
    duration_s = draw.choice(
        FAULT_DURATIONS_S
    )  # drawn for each kind: stored seeds depend on the order of draws
    if kind.target == FaultTarget.AGENT:
        duration_s = draw.choice(AGENT_FAULT_DURATIONS_S)
    return Fault(
        kind,
        target,
        round(begin_s, 3),
        duration_s,
        error=draw.choice(ERRORS[kind]) if kind in ERRORS else "",
        share=draw.choice(FAILURE_SHARES),
        clock_step_s=draw.choice(CLOCK_STEPS_S) if kind == FaultKind.CLOCK_STEP else 0.0,
    )


def _conflict(one: Fault, other: Fault) -> bool:
    """Return whether one of two faults at the same time would undo the other."""
    targets = {one.kind.target, other.kind.target}
    both_same_target_type = targets in ({FaultTarget.ENGINE}, {FaultTarget.AGENT})
    both_end_node = {one.kind, other.kind} <= ENDING_FAULTS
    is_same_kind = one.kind == other.kind
    return one.target == other.target and (both_same_target_type or both_end_node or is_same_kind)
