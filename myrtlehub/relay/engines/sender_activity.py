"""Whether the engine of an open stream still sends it. All streams are ended by this decision. No I/O.

A client may be left waiting for 5 s after the last event of an engine that runs, and a stream that its engine
still writes must not be cut off, however slowly (the operators' protocol). So silence is counted from the
latest event, and bytes that do not complete an event extend the time, as long as they can belong to one. The
framing around events, such as the size line of a chunk, belongs to none and extends nothing.
"""

from typing import NamedTuple

# Limit for silence after an event; the rest of the 5 s is for delays of this process.
SILENCE_TIMEOUT_S = 4.88
# Limit for silence within the first event of a request that may be retried.
FIRST_EVENT_TIMEOUT_S = 2.5
# Limit for silence after bytes that do not complete an event: as long as the longest pause of this stream and
# a part of it more, but at least this.
MIN_PARTIAL_TIMEOUT_S = 2.5
PAUSE_FACTOR = 1.25
# Silence after which the received part of an event is checked: it must be the start of a valid event.
UNCHECKED_PART_S = 2.5


class SenderActivity(NamedTuple):
    """What was received of an open stream.

    Attributes:
        last_event_at: Clock time in seconds of the latest event, or of the head before the first event.
        last_content_at: Clock time in seconds of the latest byte of content.
        longest_pause_s: The longest time between two arrivals of content.
        has_begun: Whether an event was received.
        is_within_event: Whether a part of an event was received that is not complete.
        has_content_end: Whether the end of the content was received, so that no event can follow.
        may_retry: Whether the request may be executed again before its first event.
    """

    last_event_at: float
    last_content_at: float
    longest_pause_s: float
    has_begun: bool
    is_within_event: bool
    has_content_end: bool
    may_retry: bool


def due_at(activity: SenderActivity) -> float:
    """Return the clock time in seconds at which a stream ends unless more of it is received."""
    after_event = activity.last_event_at + SILENCE_TIMEOUT_S
    if activity.has_content_end or not activity.is_within_event:
        return after_event
    if not activity.has_begun:
        timeout = FIRST_EVENT_TIMEOUT_S if activity.may_retry else SILENCE_TIMEOUT_S
        return activity.last_content_at + timeout
    pause = max(MIN_PARTIAL_TIMEOUT_S, PAUSE_FACTOR * activity.longest_pause_s)
    return max(after_event, activity.last_content_at + min(SILENCE_TIMEOUT_S, pause))
