"""Whether the engine of an open stream still sends it. All streams are ended by this decision. No I/O.

A client may be left waiting for 5 s after the last event of an engine that runs (the operators' protocol).
"""

from typing import NamedTuple

# Limit for silence after an event; the rest of the 5 s is for delays of this process.
SILENCE_TIMEOUT_S = 4.88
# Limit for silence within the first event of a request that may be retried.
FIRST_EVENT_TIMEOUT_S = 2.5


class Activity(NamedTuple):
    """What was received of an open stream.

    Attributes:
        last_event_at: Clock time in seconds of the latest event, or of the head before the first event.
        last_byte_at: Clock time in seconds of the latest byte.
        longest_pause_s: The longest time between two arrivals of bytes.
        has_begun: Whether an event was received.
        is_partial: Whether a part of an event or of a chunk was received that is not complete.
        has_content_end: Whether the end of the content was received, so that no event can follow.
        may_retry: Whether the request may be executed again before its first event.
    """

    last_event_at: float
    last_byte_at: float
    longest_pause_s: float
    has_begun: bool
    is_partial: bool
    has_content_end: bool
    may_retry: bool


def due_at(activity: Activity) -> float:
    """Return the clock time in seconds at which a stream ends unless more of it is received."""
    after_event = activity.last_event_at + SILENCE_TIMEOUT_S
    if activity.has_content_end or not activity.is_partial:
        return after_event
    if not activity.has_begun:
        return min(after_event, activity.last_event_at + FIRST_EVENT_TIMEOUT_S)
    return after_event
