"""The state machine of a read state: what one reader holds for one sequence, as far as a node can know.

In `CLAIMED`, `CLAIM_TRIED`, `READING` and `READING_AGAIN` an attempt is outstanding that settles it, so a
release then waits for its end.
"""

from enum import StrEnum

from myrtlehub.state.attempt import AttemptEvent
from myrtlehub.state.state_machine import TransitionTable, forbid, on


class ReadStateStatus(StrEnum):
    """What a reader is known to hold."""

    NONE = "none"
    READING = "reading"
    READING_AGAIN = "again"  # an earlier read may have left its state, which a refusal does not take away
    HELD = "held"
    POSSIBLE = "maybe"  # an attempt ended without telling
    CLAIMED = "claimed"  # a writer was sent to fetch it
    CLAIM_TRIED = "tried"  # likewise, where it is only possible; a read given up may still finish later


class ReadStateEvent(StrEnum):
    """What happens to a read state."""

    SEND = "send"  # an attempt to read
    READ_DONE = "done"
    REFUSED = "refused"
    LOST = "lost"  # the read ended without telling
    CLAIM = "claim"  # an attempt to write, with the state to fetch
    FETCHED = "fetched"
    KEPT = "kept"  # the writer did not fetch it
    MISSING = "missing"  # the writer found none
    UNSURE = "unsure"  # the write ended without telling
    RELEASE = "release"


class ReadStateEffect(StrEnum):
    """What the owner of a read state has to do."""

    KEEP = "keep"  # the handle by which writers fetch it
    SEND_RELEASE = "tell release"  # to the reader


_READ_ENDS = (ReadStateEvent.READ_DONE, ReadStateEvent.REFUSED, ReadStateEvent.LOST)
_CLAIM_ENDS = (
    ReadStateEvent.FETCHED,
    ReadStateEvent.KEPT,
    ReadStateEvent.MISSING,
    ReadStateEvent.UNSURE,
)

READ_STATE = TransitionTable.build(
    "read state",
    initial=ReadStateStatus.NONE,
    events=ReadStateEvent,
    rows={
        ReadStateStatus.NONE: (
            on(ReadStateEvent.SEND, to=ReadStateStatus.READING),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.CLAIM, *_CLAIM_ENDS, *_READ_ENDS),
        ),
        ReadStateStatus.READING: (
            on(ReadStateEvent.READ_DONE, to=ReadStateStatus.HELD, effect=ReadStateEffect.KEEP),
            on(ReadStateEvent.REFUSED, to=ReadStateStatus.NONE),
            on(ReadStateEvent.LOST, to=ReadStateStatus.POSSIBLE),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.SEND, ReadStateEvent.CLAIM, *_CLAIM_ENDS),
        ),
        ReadStateStatus.READING_AGAIN: (
            on(ReadStateEvent.READ_DONE, to=ReadStateStatus.HELD, effect=ReadStateEffect.KEEP),
            on(ReadStateEvent.REFUSED, ReadStateEvent.LOST, to=ReadStateStatus.POSSIBLE),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.SEND, ReadStateEvent.CLAIM, *_CLAIM_ENDS),
        ),
        ReadStateStatus.HELD: (
            on(ReadStateEvent.CLAIM, to=ReadStateStatus.CLAIMED),
            on(ReadStateEvent.RELEASE, to=ReadStateStatus.NONE, effect=ReadStateEffect.SEND_RELEASE),
            on(ReadStateEvent.SEND, to=ReadStateStatus.READING_AGAIN),
            forbid(*_CLAIM_ENDS, *_READ_ENDS),
        ),
        ReadStateStatus.POSSIBLE: (
            on(ReadStateEvent.CLAIM, to=ReadStateStatus.CLAIM_TRIED),
            on(ReadStateEvent.RELEASE, to=ReadStateStatus.NONE, effect=ReadStateEffect.SEND_RELEASE),
            on(ReadStateEvent.SEND, to=ReadStateStatus.READING_AGAIN),
            forbid(*_CLAIM_ENDS, *_READ_ENDS),
        ),
        ReadStateStatus.CLAIMED: (
            on(ReadStateEvent.FETCHED, to=ReadStateStatus.NONE),
            on(ReadStateEvent.KEPT, to=ReadStateStatus.HELD),
            on(ReadStateEvent.MISSING, to=ReadStateStatus.NONE),
            on(ReadStateEvent.UNSURE, to=ReadStateStatus.POSSIBLE),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.SEND, ReadStateEvent.CLAIM, *_READ_ENDS),
        ),
        ReadStateStatus.CLAIM_TRIED: (
            on(*_CLAIM_ENDS, to=ReadStateStatus.POSSIBLE),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.SEND, ReadStateEvent.CLAIM, *_READ_ENDS),
        ),
    },
)

CLAIMABLE_STATUSES = (ReadStateStatus.HELD, ReadStateStatus.POSSIBLE)

_EVENT_OF_READ_END = {
    AttemptEvent.READ: ReadStateEvent.READ_DONE,
    AttemptEvent.FULL: ReadStateEvent.REFUSED,
    AttemptEvent.UNREACHED: ReadStateEvent.REFUSED,
    AttemptEvent.UNSENT: ReadStateEvent.REFUSED,
    AttemptEvent.ERROR: ReadStateEvent.LOST,
    AttemptEvent.TIMEOUT: ReadStateEvent.LOST,
    AttemptEvent.RESET: ReadStateEvent.LOST,
    AttemptEvent.CANCELLED: ReadStateEvent.LOST,
}


def event_of_read_end(outcome: AttemptEvent) -> ReadStateEvent:
    """Tell what the end of a read means for the state at its reader."""
    return _EVENT_OF_READ_END[outcome]


def event_of_write_end(outcome: AttemptEvent, *, is_state_missing: bool) -> ReadStateEvent:
    """Tell what the end of a write that claimed a state means for that state."""
    if outcome == AttemptEvent.FULL:
        return ReadStateEvent.MISSING if is_state_missing else ReadStateEvent.KEPT
    if outcome in (AttemptEvent.UNREACHED, AttemptEvent.UNSENT):
        return ReadStateEvent.KEPT
    return ReadStateEvent.FETCHED if outcome == AttemptEvent.GENERATED else ReadStateEvent.UNSURE
