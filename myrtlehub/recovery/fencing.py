"""Fencing tokens at an engine: it remembers the highest ownership of each sequence and refuses lower ones.

So a node that was only paused undoes, repeats and releases nothing when it wakes up.

A claim is one step at the engine: it raises the fence and reports what is there. Work carries its owner's
ownership and raises the fence like any other message. A fence is closed once an owner gives a final answer
by which nothing may run any more; a later claim is refused.
"""

from enum import StrEnum
from typing import NamedTuple, Self

from myrtlehub.recovery.sequence_records import UNOWNED, Ownership


class AttemptState(StrEnum):
    """What an engine reports of an attempt; the values are those of the protocol (`Stood.says`)."""

    NEVER = "never"
    READING = "reading"
    HOLDS_READ_STATE = "held"
    WAITING = "waiting"
    WRITING = "writing"
    ENDED = "ended"
    STOPPED = "stopped"
    REFUSED = "refused"
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value: object) -> Self:
        """Count a word that only a later version of an engine knows as unknown."""
        return cls.UNKNOWN


class Fence(NamedTuple):
    """The fence of one sequence at one engine."""

    ownership: Ownership = UNOWNED
    is_closed: bool = False


class ClaimResult(NamedTuple):
    """The fence after a claim, and whether the claim was granted."""

    fence: Fence
    granted: bool


def admits(fence: Fence, ownership: Ownership) -> bool:
    """Return whether a send, attach, cancel or release with this ownership is accepted."""
    return ownership >= fence.ownership and not fence.is_closed


def claim_fence(fence: Fence, ownership: Ownership, close: bool = False) -> ClaimResult:
    """Claim a sequence at an engine.

    Whoever closed the fence may claim again; nobody else gets past a closed fence.
    """
    if ownership < fence.ownership or (fence.is_closed and ownership != fence.ownership):
        return ClaimResult(fence, granted=False)
    return ClaimResult(Fence(ownership, fence.is_closed or close), granted=True)


class FenceTable:
    """All fences of one engine, for as long as a claim may still come.

    An engine that restarted knows none, and says since when it knows.
    """

    def __init__(self, capacity: int, known_since: float) -> None:
        self.capacity = capacity
        self.known_since = known_since
        self.fences: dict[str, Fence] = {}

    def fence_of(self, sequence_id: str) -> Fence:
        """Return the fence of a sequence."""
        return self.fences.get(sequence_id, Fence())

    def admit(self, sequence_id: str, ownership: Ownership) -> bool:
        """Return whether work with this ownership is accepted; if so, the fence is raised to it."""
        fence = self.fence_of(sequence_id)
        if not admits(fence, ownership):
            return False
        self._put(sequence_id, fence._replace(ownership=ownership))
        return True

    def claim(self, sequence_id: str, ownership: Ownership, close: bool = False) -> bool:
        """Return whether a claim is granted."""
        fence, granted = claim_fence(self.fence_of(sequence_id), ownership, close)
        if granted:
            self._put(sequence_id, fence)
        return granted

    def _put(self, sequence_id: str, fence: Fence) -> None:
        self.fences.pop(sequence_id, None)
        self.fences[sequence_id] = fence
        if len(self.fences) > self.capacity:
            # The oldest sequence is over; until then the engine knows of nothing before it.
            del self.fences[next(iter(self.fences))]
