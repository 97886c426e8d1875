"""What an engine remembers of claims: the highest one of each sequence. Whatever comes by a lower one is
refused, so that a node that was only paused undoes, repeats and releases nothing when it wakes. Pure.

A claim is one step at the engine: it raises the fence and tells what is there. A work's own send carries its
owner's claim and raises the fence like any other. `closed`: an owner has said a final answer by which nothing
may run any more; a later claim is told so.
"""

from typing import NamedTuple

from myrtlehub.recovery.records import NOBODY, Claim

# What an engine says of a sequence.
NEVER, READING, HELD, WAITING, WRITING, ENDED, STOPPED, REFUSED, UNKNOWN = (
    "never",
    "reading",
    "held",
    "waiting",
    "writing",
    "ended",
    "stopped",
    "refused",
    "unknown",
)


class Fence(NamedTuple):
    """Of one sequence at one engine."""

    claim: Claim = NOBODY
    closed: bool = False


def admits(fence: Fence, claim: Claim) -> bool:
    """Whether a send, attach, cancel or release by this claim is taken."""
    return claim >= fence.claim and not fence.closed


def raised(fence: Fence, claim: Claim, close: bool = False) -> tuple[Fence, bool]:
    """A claim at the engine: the fence from now on, and whether it was granted.

    Whoever closed may say so again; nobody else gets past a closed fence.
    """
    if claim < fence.claim or (fence.closed and claim != fence.claim):
        return fence, False
    return Fence(claim, fence.closed or close), True


class Fences:
    """All fences of one engine, for as long as a claim may still come. An engine that restarted knows none,
    and says since when it knows.
    """

    def __init__(self, most: int, since: float) -> None:
        self.most, self.since = most, since
        self.rows: dict[str, Fence] = {}

    def of(self, sequence: str) -> Fence:
        """The fence of a sequence."""
        return self.rows.get(sequence, Fence())

    def admits(self, sequence: str, claim: Claim) -> bool:
        """Whether work by this claim is taken; the fence is raised to it."""
        fence = self.of(sequence)
        if not admits(fence, claim):
            return False
        self._put(sequence, fence._replace(claim=claim))
        return True

    def claim(self, sequence: str, claim: Claim, close: bool = False) -> bool:
        """Whether a claim is granted."""
        fence, granted = raised(self.of(sequence), claim, close)
        if granted:
            self._put(sequence, fence)
        return granted

    def _put(self, sequence: str, fence: Fence) -> None:
        self.rows.pop(sequence, None)
        self.rows[sequence] = fence
        if len(self.rows) > self.most:
            # What is oldest is over; until then the engine knows of nothing before it.
            del self.rows[next(iter(self.rows))]
