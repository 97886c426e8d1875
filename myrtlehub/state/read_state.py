"""The state machine of a read state: what the node knows of the state that a reader has for a sequence.

In `READING`, `READING_AGAIN` and the states that begin with `CLAIMED` an attempt is outstanding, and its end
decides the next state. That the attempt is outstanding does not mean that it has arrived at its engine: a
release is sent all the same, except in `READING`, where no read can have left a state yet.
"""

from enum import StrEnum

from myrtlehub.state.attempt import AttemptEvent
from myrtlehub.state.state_machine import TransitionTable, forbid, on


class ReadStateStatus(StrEnum):
    """What the node knows of the read state at a reader."""

    NONE = "none"
    READING = "reading"
    READING_AGAIN = (
        "reading_again"  # a second read: even if it is rejected, an earlier one may have left a state
    )
    HELD = "held"
    UNCERTAIN = "uncertain"  # a state may exist: an attempt ended without a result
    CLAIMED = "claimed"  # a write that fetches the state was sent
    CLAIMED_RELEASED = "claimed_released"  # as CLAIMED, and a release was sent since
    CLAIMED_UNCERTAIN = "claimed_uncertain"  # as CLAIMED, but a read without result may yet leave a state


class ReadStateEvent(StrEnum):
    """An event of a read state."""

    READ_SENT = "read_sent"
    READ_COMPLETED = "read_completed"
    READ_REJECTED = "read_rejected"
    READ_UNKNOWN = "read_unknown"  # the read ended without a result
    CLAIM = "claim"  # a write that fetches the state was sent
    FETCHED = "fetched"
    NOT_FETCHED = "not_fetched"  # the reader still holds the state
    MISSING = "missing"  # the writer found no state at the reader
    FETCH_UNKNOWN = "fetch_unknown"  # the write ended without a result
    RELEASE = "release"


class ReadStateEffect(StrEnum):
    """What the owner of a read state has to do."""

    RETAIN_HANDLE = "retain_handle"  # store the handle by which writers fetch the state
    SEND_RELEASE = "send_release"  # to the reader


_READ_ENDS = (ReadStateEvent.READ_COMPLETED, ReadStateEvent.READ_REJECTED, ReadStateEvent.READ_UNKNOWN)
_CLAIM_ENDS = (
    ReadStateEvent.FETCHED,
    ReadStateEvent.NOT_FETCHED,
    ReadStateEvent.MISSING,
    ReadStateEvent.FETCH_UNKNOWN,
)

READ_STATE = TransitionTable.build(
    "read state",
    initial=ReadStateStatus.NONE,
    events=ReadStateEvent,
    rows={
        ReadStateStatus.NONE: (
            on(ReadStateEvent.READ_SENT, to=ReadStateStatus.READING),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.CLAIM, *_CLAIM_ENDS, *_READ_ENDS),
        ),
        ReadStateStatus.READING: (
            on(ReadStateEvent.READ_COMPLETED, to=ReadStateStatus.HELD, effect=ReadStateEffect.RETAIN_HANDLE),
            on(ReadStateEvent.READ_REJECTED, to=ReadStateStatus.NONE),
            on(ReadStateEvent.READ_UNKNOWN, to=ReadStateStatus.UNCERTAIN),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_CLAIM_ENDS),
        ),
        ReadStateStatus.READING_AGAIN: (
            on(ReadStateEvent.READ_COMPLETED, to=ReadStateStatus.HELD, effect=ReadStateEffect.RETAIN_HANDLE),
            on(ReadStateEvent.READ_REJECTED, ReadStateEvent.READ_UNKNOWN, to=ReadStateStatus.UNCERTAIN),
            on(ReadStateEvent.RELEASE, effect=ReadStateEffect.SEND_RELEASE),
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_CLAIM_ENDS),
        ),
        ReadStateStatus.HELD: (
            on(ReadStateEvent.CLAIM, to=ReadStateStatus.CLAIMED),
            on(ReadStateEvent.RELEASE, to=ReadStateStatus.NONE, effect=ReadStateEffect.SEND_RELEASE),
            on(ReadStateEvent.READ_SENT, to=ReadStateStatus.READING_AGAIN),
            forbid(*_CLAIM_ENDS, *_READ_ENDS),
        ),
        ReadStateStatus.UNCERTAIN: (
            on(ReadStateEvent.CLAIM, to=ReadStateStatus.CLAIMED_UNCERTAIN),
            on(ReadStateEvent.RELEASE, to=ReadStateStatus.NONE, effect=ReadStateEffect.SEND_RELEASE),
            on(ReadStateEvent.READ_SENT, to=ReadStateStatus.READING_AGAIN),
            forbid(*_CLAIM_ENDS, *_READ_ENDS),
        ),
        ReadStateStatus.CLAIMED: (
            on(ReadStateEvent.FETCHED, to=ReadStateStatus.NONE),
            on(ReadStateEvent.NOT_FETCHED, to=ReadStateStatus.HELD),
            on(ReadStateEvent.MISSING, to=ReadStateStatus.NONE),
            on(ReadStateEvent.FETCH_UNKNOWN, to=ReadStateStatus.UNCERTAIN),
            on(
                ReadStateEvent.RELEASE,
                to=ReadStateStatus.CLAIMED_RELEASED,
                effect=ReadStateEffect.SEND_RELEASE,
            ),
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_READ_ENDS),
        ),
        # The release had no effect if the write was fetching the state already: then the reader still has it
        # after a write that failed or was rejected.
        ReadStateStatus.CLAIMED_RELEASED: (
            on(ReadStateEvent.FETCHED, ReadStateEvent.MISSING, to=ReadStateStatus.NONE),
            on(ReadStateEvent.NOT_FETCHED, ReadStateEvent.FETCH_UNKNOWN, to=ReadStateStatus.UNCERTAIN),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_READ_ENDS),
        ),
        ReadStateStatus.CLAIMED_UNCERTAIN: (
            on(*_CLAIM_ENDS, to=ReadStateStatus.UNCERTAIN),
            on(ReadStateEvent.RELEASE, effect=ReadStateEffect.SEND_RELEASE),
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_READ_ENDS),
        ),
    },
)

CLAIMABLE_STATUSES = (ReadStateStatus.HELD, ReadStateStatus.UNCERTAIN)

_EVENT_OF_READ_END = {
    AttemptEvent.READ: ReadStateEvent.READ_COMPLETED,
    AttemptEvent.FULL: ReadStateEvent.READ_REJECTED,
    AttemptEvent.UNREACHED: ReadStateEvent.READ_REJECTED,
    AttemptEvent.UNSENT: ReadStateEvent.READ_REJECTED,
    AttemptEvent.ERROR: ReadStateEvent.READ_UNKNOWN,
    AttemptEvent.TIMEOUT: ReadStateEvent.READ_UNKNOWN,
    AttemptEvent.RESET: ReadStateEvent.READ_UNKNOWN,
    AttemptEvent.CANCELLED: ReadStateEvent.READ_UNKNOWN,
}


def event_of_read_end(outcome: AttemptEvent) -> ReadStateEvent:
    """Return the read-state event that corresponds to the outcome of a read."""
    return _EVENT_OF_READ_END[outcome]


def event_of_write_end(outcome: AttemptEvent, *, is_state_missing: bool) -> ReadStateEvent:
    """Return the read-state event that corresponds to the outcome of the write that claimed the state."""
    if outcome == AttemptEvent.FULL:
        return ReadStateEvent.MISSING if is_state_missing else ReadStateEvent.NOT_FETCHED
    if outcome in (AttemptEvent.UNREACHED, AttemptEvent.UNSENT):
        return ReadStateEvent.NOT_FETCHED
    return ReadStateEvent.FETCHED if outcome == AttemptEvent.GENERATED else ReadStateEvent.FETCH_UNKNOWN
