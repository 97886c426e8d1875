"""Schedules of overlapping troubles, drawn from a seed, kept as files and shrunk."""

import random
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path

import msgspec

QUIET_BEGIN_S = 2.0  # without troubles, for all nodes to be ready and have traffic
QUIET_END_S = 8.0  # likewise, for all to recover
MAX_OVERLAP = 3
KINDS_PER_RUN = 7
MEAN_PAUSE_S = 0.9  # from the begin of one trouble to the next


class TroubleKind(StrEnum):
    """What happens to a node, an engine or a node's discovery agent."""

    NODE_TERM = "node term"  # SIGTERM, and a new process once it has ended
    NODE_KILL = "node kill"
    NODE_STOP = "node stop"  # SIGSTOP, and SIGCONT after up to 0.15 s, again and again
    NODE_HANGUPS = "node hangups"  # discovery moves, SIGHUP in a row
    CLOCK_STEP = "clock step"
    CONNECT_FAILS = "connect fails"
    SOCKET_FAILS = "socket fails"
    ACCEPT_FAILS = "accept fails"
    SHORT_CALLS = "short calls"  # reads and writes of one byte
    BROKEN_SOCKETS = "broken sockets"  # reads fail as broken connections do
    LOG_FAILS = "log fails"
    ENGINE_DRAIN = "engine drain"  # leaves, and comes back cold
    ENGINE_RESTART = "engine restart"
    ENGINE_CUT = "engine cut"  # silent, then its connections are reset
    ENGINE_RESETS = "engine resets"  # connections break within responses
    ENGINE_FULL = "engine full"  # turns away
    ENGINE_ERRORS = "engine errors"
    ENGINE_HANGS = "engine hangs"  # takes requests, and responds to none
    ENGINE_SPOILS = "engine spoils"  # half events, a second response, no end
    DISCOVERY_SILENT = "discovery silent"
    DISCOVERY_SLOW = "discovery slow"
    DISCOVERY_TORN = "discovery torn"
    WATCH_SILENT = "watch silent"  # open watches are never answered, new ones are


NODE_KINDS = tuple(kind for kind in TroubleKind if not kind.startswith(("engine", "discovery", "watch")))
AGENT_KINDS = tuple(kind for kind in TroubleKind if kind.startswith(("discovery", "watch")))
LOCAL_ERRORS = ("EADDRNOTAVAIL", "ENOBUFS", "ENFILE", "EMFILE", "ENOMEM", "ENETUNREACH")
ERRORS = {
    TroubleKind.CONNECT_FAILS: LOCAL_ERRORS,
    TroubleKind.SOCKET_FAILS: ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"),
    TroubleKind.ACCEPT_FAILS: ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    TroubleKind.BROKEN_SOCKETS: ("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"),
    TroubleKind.LOG_FAILS: ("ENOSPC", "EIO", "EPIPE"),
}
CLOCK_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)


class Trouble(msgspec.Struct, frozen=True):
    """One trouble; times in seconds from the begin of the run."""

    kind: TroubleKind
    target: int  # number of the node or engine
    begin: float
    length: float
    error: str = ""  # of system calls
    share: float = 1.0  # of calls that fail
    step: float = 0.0  # of the wall clock


class Schedule(msgspec.Struct, frozen=True):
    """A whole run."""

    seed: int
    seconds: float
    nodes: int
    engines: int
    troubles: tuple[Trouble, ...]

    @classmethod
    def draw(
        cls, seed: int, seconds: float, nodes: int, engines: int, kinds: tuple[TroubleKind, ...] = ()
    ) -> "Schedule":
        """Draw troubles of which up to MAX_OVERLAP overlap; of all kinds unless some are named."""
        draw = random.Random(seed)
        # Each run has some kinds only: these meet one another often, which is where defects are.
        kinds = kinds or tuple(draw.sample(list(TroubleKind), KINDS_PER_RUN))
        troubles: list[Trouble] = []
        at = QUIET_BEGIN_S
        while at < seconds - QUIET_END_S:
            trouble = _draw_trouble(draw, draw.choice(kinds), at, nodes, engines)
            active = [other for other in troubles if other.begin + other.length > at]
            if len(active) < MAX_OVERLAP and not any(_collide(trouble, other) for other in active):
                troubles.append(trouble)
            at += draw.expovariate(1.0 / MEAN_PAUSE_S)
        return cls(seed, seconds, nodes, engines, tuple(troubles))

    @classmethod
    def read(cls, path: Path) -> "Schedule":
        """Read one that was written down."""
        return msgspec.json.decode(path.read_bytes(), type=cls)

    def write(self, path: Path) -> None:
        """Write it down."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self)) + b"\n")


def _draw_trouble(draw: random.Random, kind: TroubleKind, at: float, nodes: int, engines: int) -> Trouble:
    target = draw.randrange(engines if kind.startswith("engine") else nodes)
    length = draw.choice((0.3, 0.7, 1.5, 3.0))
    if kind in AGENT_KINDS:
        length = draw.choice((1.0, 2.5, 5.0))
    return Trouble(
        kind,
        target,
        round(at, 3),
        length,
        error=draw.choice(ERRORS[kind]) if kind in ERRORS else "",
        share=draw.choice((0.3, 1.0)),
        step=draw.choice(CLOCK_STEPS_S) if kind == TroubleKind.CLOCK_STEP else 0.0,
    )


def _collide(one: Trouble, other: Trouble) -> bool:
    """Tell whether two troubles at once would undo one another."""
    both_engine = one.kind.startswith("engine") and other.kind.startswith("engine")
    both_agent = one.kind in AGENT_KINDS and other.kind in AGENT_KINDS
    both_end = {one.kind, other.kind} <= {TroubleKind.NODE_TERM, TroubleKind.NODE_KILL}
    same_kind = one.kind == other.kind
    return one.target == other.target and (both_engine or both_agent or both_end or same_kind)


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Drop troubles for as long as the run still fails: first halves, then one at a time."""
    size = max(1, len(schedule.troubles) // 2)
    while True:
        position = 0
        while position < len(schedule.troubles):
            rest = schedule.troubles[:position] + schedule.troubles[position + size :]
            smaller = msgspec.structs.replace(schedule, troubles=rest)
            if fails(smaller):
                schedule = smaller
            else:
                position += size
        if size == 1:
            return schedule
        size = max(1, size // 2)
