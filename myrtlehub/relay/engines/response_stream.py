"""The stream of one response: its events, whether it is complete, and how long its engine has been silent."""

from myrtlehub.clock import TIMER_TOLERANCE_S, Clock
from myrtlehub.relay.engines.content_activity import ContentActivity
from myrtlehub.relay.engines.event_stream import MAX_EVENT_BYTES, EventStreamParser
from myrtlehub.relay.engines.failure_reason import FailureReason
from myrtlehub.relay.engines.sender_activity import UNCHECKED_PART_S, SenderActivity, due_at
from myrtlehub.relay.errors import EventStreamError
from myrtlehub.state.response_completeness import MissingEnd


class ResponseStream:
    """The stream of one response.

    Args:
        clock: The node's clock.
        may_retry: Whether the request may be executed again before the first event of its stream.

    Attributes:
        parser: The parser of its events, with what they state.
        longest_event_gap: The longest time between two events so far, in seconds.
    """

    def __init__(self, clock: Clock, may_retry: bool) -> None:
        self.longest_event_gap = 0.0
        self._clock = clock
        self._may_retry = may_retry
        self.parser = EventStreamParser()
        self._early_comments = b""  # kept back, because the client's wait ends with what it gets first
        self._bytes_since_event = 0  # of comments and line ends
        self._last_event_at = clock.seconds()
        self._activity = ContentActivity(clock)

    @property
    def has_failed(self) -> bool:
        """Whether the engine has sent an event that says that it failed."""
        return not self.parser.completeness.is_content_valid

    @property
    def incomplete_bytes(self) -> int:
        """Bytes held of what is not passed on yet."""
        return self.parser.incomplete_bytes + len(self._early_comments)

    @property
    def silence(self) -> float:
        """Seconds since the latest event."""
        return self._clock.seconds() - self._last_event_at

    def feed(self, data: bytes) -> bytes:
        """Add received data, and return the bytes to pass on: none before the first event is complete.

        Raises:
            EventStreamError: The data does not belong to an event stream.
        """
        self._activity.record()
        was_ended = self.parser.completeness.has_content_end
        blocks_before, events_before = self.parser.block_count, self.parser.event_count
        complete = self.parser.feed(data)
        if self.parser.block_count > blocks_before and not was_ended:
            self.longest_event_gap = max(self.longest_event_gap, self.silence)
            self._last_event_at = self._clock.seconds()
        self._limit_comments(len(complete), self.parser.event_count > events_before)
        if self.parser.event_count:
            early_comments, self._early_comments = self._early_comments, b""
            return early_comments + complete
        self._early_comments += complete
        return b""

    def _limit_comments(self, size: int, has_event: bool) -> None:
        self._bytes_since_event = 0 if has_event else self._bytes_since_event + size
        if self._bytes_since_event > MAX_EVENT_BYTES:
            raise EventStreamError(f"over {MAX_EVENT_BYTES} bytes of comments without an event")

    def end(self) -> MissingEnd | None:
        """Process the end of the framing; return what the stream lacks, or None if it is complete."""
        try:
            self.parser.end()
        except EventStreamError:
            return MissingEnd.CONTENT
        return self.parser.completeness.missing

    def restart_silence(self) -> None:
        """Count silence from now, because the client did not let the stream be read."""
        self._last_event_at = self._clock.seconds()
        self._activity.restart()

    @property
    def due_at(self) -> float:
        """Clock time in seconds at which the stream ends unless more of it is received."""
        return due_at(
            SenderActivity(
                last_event_at=self._last_event_at,
                last_content_at=self._activity.last_at,
                longest_pause_s=self._activity.longest_pause_s,
                has_begun=self.parser.event_count > 0,
                is_within_event=self.parser.is_within_event,
                has_content_end=self.parser.completeness.has_content_end,
                may_retry=self._may_retry,
            )
        )

    def failure(self, now: float) -> FailureReason | None:
        """Return why the stream has to end now; None if its engine may still be sending it."""
        if now >= self.due_at - TIMER_TOLERANCE_S:
            is_first = self.parser.event_count == 0 and self.parser.is_within_event
            return FailureReason.INCOMPLETE_EVENT_TIMEOUT if is_first else FailureReason.SILENCE_TIMEOUT
        if self.silence >= UNCHECKED_PART_S and not self.parser.may_go_on():
            return FailureReason.MALFORMED_EVENT
        return None
