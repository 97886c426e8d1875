"""State machine of a read state: what the node knows about the state that a reader keeps for a sequence.

In `READING`, `READING_AGAIN` and the states whose names start with `CLAIMED`, an attempt is outstanding and
its outcome determines the next state. An outstanding attempt may not have arrived at its engine yet, so a
release is sent in these states too, except in `READING`, where no read can have left a state yet.
"""

from enum import StrEnum

from myrtlehub.state.attempt import AttemptEvent
from myrtlehub.state.state_machine import TransitionTable, forbid, on


class ReadStateStatus(StrEnum):
    """What the node knows about the read state at a reader."""

    NONE = "none"
    READING = "reading"
    # A repeated read. Even if it is rejected, an earlier read may have left a state.
    READING_AGAIN = "reading_again"
    HELD = "held"
    UNCERTAIN = "uncertain"  # a state may exist, because an attempt ended without a result
    CLAIMED = "claimed"  # a write that fetches the state was sent
    CLAIMED_RELEASED = "claimed_released"  # as CLAIMED, and a release was sent afterwards
    CLAIMED_UNCERTAIN = "claimed_uncertain"  # as CLAIMED, but a read without a result may still leave a state


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
    """An action that the owner of a read state has to take."""

    RETAIN_HANDLE = "retain_handle"  # store the handle that writers use to fetch the state
    SEND_RELEASE = "send_release"  # send a release to the reader


_READ_END_EVENTS = (ReadStateEvent.READ_COMPLETED, ReadStateEvent.READ_REJECTED, ReadStateEvent.READ_UNKNOWN)
_CLAIM_END_EVENTS = (
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
            forbid(ReadStateEvent.CLAIM, *_CLAIM_END_EVENTS, *_READ_END_EVENTS),
        ),
        ReadStateStatus.READING: (
            on(ReadStateEvent.READ_COMPLETED, to=ReadStateStatus.HELD, effect=ReadStateEffect.RETAIN_HANDLE),
            on(ReadStateEvent.READ_REJECTED, to=ReadStateStatus.NONE),
            on(ReadStateEvent.READ_UNKNOWN, to=ReadStateStatus.UNCERTAIN),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_CLAIM_END_EVENTS),
        ),
        ReadStateStatus.READING_AGAIN: (
            on(ReadStateEvent.READ_COMPLETED, to=ReadStateStatus.HELD, effect=ReadStateEffect.RETAIN_HANDLE),
            on(ReadStateEvent.READ_REJECTED, ReadStateEvent.READ_UNKNOWN, to=ReadStateStatus.UNCERTAIN),
            on(ReadStateEvent.RELEASE, effect=ReadStateEffect.SEND_RELEASE),
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_CLAIM_END_EVENTS),
        ),
        ReadStateStatus.HELD: (
            on(ReadStateEvent.CLAIM, to=ReadStateStatus.CLAIMED),
            on(ReadStateEvent.RELEASE, to=ReadStateStatus.NONE, effect=ReadStateEffect.SEND_RELEASE),
            on(ReadStateEvent.READ_SENT, to=ReadStateStatus.READING_AGAIN),
            forbid(*_CLAIM_END_EVENTS, *_READ_END_EVENTS),
        ),
        ReadStateStatus.UNCERTAIN: (
            on(ReadStateEvent.CLAIM, to=ReadStateStatus.CLAIMED_UNCERTAIN),
            on(ReadStateEvent.RELEASE, to=ReadStateStatus.NONE, effect=ReadStateEffect.SEND_RELEASE),
            on(ReadStateEvent.READ_SENT, to=ReadStateStatus.READING_AGAIN),
            forbid(*_CLAIM_END_EVENTS, *_READ_END_EVENTS),
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
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_READ_END_EVENTS),
        ),
        # The release has no effect while a write is fetching the state. If that write then fails or is
        # rejected, the reader still holds the state.
        ReadStateStatus.CLAIMED_RELEASED: (
            on(ReadStateEvent.FETCHED, ReadStateEvent.MISSING, to=ReadStateStatus.NONE),
            on(ReadStateEvent.NOT_FETCHED, ReadStateEvent.FETCH_UNKNOWN, to=ReadStateStatus.UNCERTAIN),
            on(ReadStateEvent.RELEASE),
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_READ_END_EVENTS),
        ),
        ReadStateStatus.CLAIMED_UNCERTAIN: (
            on(*_CLAIM_END_EVENTS, to=ReadStateStatus.UNCERTAIN),
            on(ReadStateEvent.RELEASE, effect=ReadStateEffect.SEND_RELEASE),
            forbid(ReadStateEvent.READ_SENT, ReadStateEvent.CLAIM, *_READ_END_EVENTS),
        ),
    },
)

CLAIMABLE_STATUSES = (ReadStateStatus.HELD, ReadStateStatus.UNCERTAIN)

_READ_STATE_EVENT_BY_OUTCOME = {
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
    """Return the read-state event for the outcome of a read."""
    return _READ_STATE_EVENT_BY_OUTCOME[outcome]


def event_of_write_end(outcome: AttemptEvent, *, is_state_missing: bool) -> ReadStateEvent:
    """Return the read-state event for the outcome of the write that claimed the state.

    Args:
        outcome: the outcome of the write.
        is_state_missing: whether the writer found no state at the reader.
    """
    if outcome == AttemptEvent.FULL:
        return ReadStateEvent.MISSING if is_state_missing else ReadStateEvent.NOT_FETCHED
    if outcome in (AttemptEvent.UNREACHED, AttemptEvent.UNSENT):
        return ReadStateEvent.NOT_FETCHED
    return ReadStateEvent.FETCHED if outcome == AttemptEvent.GENERATED else ReadStateEvent.FETCH_UNKNOWN
