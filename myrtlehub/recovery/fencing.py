"""Fencing tokens at an engine.

An engine stores the highest ownership that it has received for each sequence and rejects every message with
a lower one. After another node has claimed a sequence, a former owner that was only paused can therefore not
repeat, cancel or release it.

A claim is atomic at the engine: it raises the fence and reports the attempts that the engine has. Every
send, attach, cancel and release carries the ownership of its sender and raises the fence in the same way.
Before an owner answers its client that the sequence was not executed and never will be, it closes the fence.
A closed fence rejects every send, attach, cancel and release, and the claims of all other owners.
"""

from enum import StrEnum
from typing import NamedTuple, Self

from myrtlehub.recovery.sequence_records import UNOWNED, Ownership


class AttemptState(StrEnum):
    """The state of an attempt, as an engine reports it; the values are those of `Stood.says` on the wire."""

    NEVER_RAN = "never"  # not received, or ended without any effect
    READING = "reading"
    HAS_READ_STATE = "held"
    WAITING = "waiting"
    WRITING = "writing"
    ENDED = "ended"
    STOPPED = "stopped"
    REJECTED = "refused"
    UNKNOWN = "unknown"

    @classmethod
    def _missing_(cls, value: object) -> Self:
        """Return `UNKNOWN` for a value that a later version of the protocol defines."""
        return cls.UNKNOWN


class Fence(NamedTuple):
    """The fence of one sequence at one engine."""

    ownership: Ownership = UNOWNED
    is_closed: bool = False


class ClaimResult(NamedTuple):
    """The fence after a claim, and whether the claim was granted."""

    fence: Fence
    is_granted: bool


def admits(fence: Fence, ownership: Ownership) -> bool:
    """Return whether a send, attach, cancel or release with this ownership is accepted."""
    return ownership >= fence.ownership and not fence.is_closed


def claim_fence(fence: Fence, ownership: Ownership, close: bool = False) -> ClaimResult:
    """Claim a sequence at an engine, and close its fence if `close` is set.

    The owner that closed a fence may claim it again, for example if the first reply was lost. The claims of
    all other owners are rejected.
    """
    if ownership < fence.ownership or (fence.is_closed and ownership != fence.ownership):
        return ClaimResult(fence, is_granted=False)
    return ClaimResult(Fence(ownership, fence.is_closed or close), is_granted=True)


class FenceTable:
    """The fences of one engine, bounded in count.

    An engine loses its fences when it restarts, so the table has no information on attempts before
    `known_since`.
    """

    def __init__(self, capacity: int, known_since: float) -> None:
        """Make an empty table.

        Args:
            capacity: maximum number of sequences.
            known_since: when the engine started, in seconds on its clock.
        """
        self.capacity = capacity
        self.known_since = known_since
        self.fences: dict[str, Fence] = {}  # by sequence, the least recently admitted or claimed first

    def fence_of(self, sequence_id: str) -> Fence:
        """Return the fence of a sequence."""
        return self.fences.get(sequence_id, Fence())

    def admit(self, sequence_id: str, ownership: Ownership) -> bool:
        """Return whether a message with this ownership is accepted; if so, raise the fence to it."""
        fence = self.fence_of(sequence_id)
        if not admits(fence, ownership):
            return False
        self._set_fence(sequence_id, fence._replace(ownership=ownership))
        return True

    def claim(self, sequence_id: str, ownership: Ownership, close: bool = False) -> bool:
        """Claim a sequence and return whether the claim is granted; see `claim_fence`."""
        fence, is_granted = claim_fence(self.fence_of(sequence_id), ownership, close)
        if is_granted:
            self._set_fence(sequence_id, fence)
        return is_granted

    def _set_fence(self, sequence_id: str, fence: Fence) -> None:
        self.fences.pop(sequence_id, None)
        self.fences[sequence_id] = fence
        if len(self.fences) > self.capacity:
            # The capacity covers minutes of load, so the least recently used sequence has ended.
            del self.fences[next(iter(self.fences))]
