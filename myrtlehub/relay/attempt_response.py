"""The response to an attempt: what it says is passed on to the action executor."""

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from myrtlehub.http1.bounds import MAX_SMALL_RESPONSE_BYTES
from myrtlehub.http1.client_connection import ResponseHandler
from myrtlehub.http1.interfaces import Headers
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.log_events import LogEvent
from myrtlehub.node.action_executor import Attempt
from myrtlehub.relay.errors import EventStreamError
from myrtlehub.relay.event_stream import EventStreamParser
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.relay.response_outcomes import AttemptEnd, end_of_failure, end_of_head
from myrtlehub.routing import contract

if TYPE_CHECKING:
    from myrtlehub.relay.engine_client import EngineClient

# For the rest of an event or a chunk: engines write them whole, and the client's end is due within 5 s.
INCOMPLETE_EVENT_TIMEOUT_S = 2.5
SILENCE_TIMEOUT_S = 4.2  # without an event, until a stream is ended: the client's end is due within 5 s


class FailureReason(StrEnum):
    """Why an attempt failed, as the log has it."""

    NO_EVENT = "no event"
    LONG_BODY = "a long body"
    INCOMPLETE_AT_END = "half an event at the end"
    INCOMPLETE_EVENT = "half an event"
    SILENCE = "silence"
    NOT_SENT = "not sent"
    CONNECTION_FAILED = "broke"


class _ReadResult(msgspec.Struct):
    cached_tokens: float = 0.0


_read_result_decoder = msgspec.json.Decoder(_ReadResult)


class AttemptResponseHandler(ResponseHandler):
    """Handles the response to one attempt.

    Attributes:
        pending: The request; None once the attempt has ended.
        longest_gap: The longest pause between two events, in seconds.
    """

    def __init__(self, client: "EngineClient", attempt: Attempt) -> None:
        self.client = client
        self.executor = client.executor
        self.attempt = attempt
        self.pending: PendingRequest | None = None
        self.longest_gap = 0.0
        self._end: AttemptEnd | None = None
        self._events: EventStreamParser | None = None
        self._load: contract.LoadReport | None = None
        self._body = b""
        self._last_event_at = 0.0
        self._incomplete_since: float | None = None  # since when the rest of an event, chunk or stream is due

    def on_head(self, status: int, headers: Headers) -> None:
        """Decide by the table of outcomes what the response means."""
        fields = dict(headers)
        self.client.directory.note_heard(self.attempt.engine)
        self._end = end_of_head(self.attempt.reads, status, fields.get(b"x-turned-away") == b"1")
        if b"x-pressure" in fields:
            self._load = parse_load_report(fields[b"x-pressure"])
        if self._end.outcome == contract.Outcome.GENERATED:
            self._events = EventStreamParser()
            self._last_event_at = self.executor.clock.seconds()
            self.client.stream_monitor.add(self)
        elif self._end.outcome != contract.Outcome.READ:
            self._report(self._end)  # the body says no more; its connection ends by itself

    def on_data(self, data: bytes) -> None:
        """Pass on complete events, or collect a small body."""
        if self.pending is None:
            return  # the head has ended the attempt
        if self._events is not None:
            self._on_stream_data(data)
        else:
            self._body += data
            if len(self._body) > MAX_SMALL_RESPONSE_BYTES:
                self.fail(FailureReason.LONG_BODY)

    def _on_stream_data(self, data: bytes) -> None:
        try:
            events = self._events.feed(data)
        except EventStreamError:
            self.fail(FailureReason.NO_EVENT)
            return
        if events:
            now = self.executor.clock.seconds()
            attempt = self.attempt
            self.client.directory.note_heard(attempt.engine)
            self.longest_gap = max(self.longest_gap, now - self._last_event_at)
            self._last_event_at = now
            if attempt.is_streaming:
                self.executor.tokens_received(attempt, events)
            elif attempt.is_outstanding:
                self.executor.began(attempt, events)

    def _is_incomplete(self) -> bool:
        """Return whether the engine has begun an event, a chunk or its end, and has not finished it."""
        connection = self.pending.connection
        return (
            bool(self._events.incomplete)
            or self._events.done
            or (connection is not None and connection.has_partial_data())
        )

    def check_progress(self, now: float) -> None:
        """End a stream that stopped in the middle of an event, or on which nothing comes any more."""
        if self.pending.paused:
            self._incomplete_since = None
            self._last_event_at = now  # it is the client that takes nothing
        elif not self._is_incomplete():
            self._incomplete_since = None
        elif self._incomplete_since is None:
            self._incomplete_since = now
        if self._incomplete_since is not None and now - self._incomplete_since > INCOMPLETE_EVENT_TIMEOUT_S:
            # Guards against bytes that go on and never become an event: they are no sign of life.
            self.fail(FailureReason.INCOMPLETE_EVENT)
        elif now - self._last_event_at > SILENCE_TIMEOUT_S:
            self.fail(FailureReason.SILENCE)

    def fail(self, reason: FailureReason) -> None:
        """End the attempt as possibly run: what comes can't be used, nor its connection any further."""
        self.pending.cancel()
        self._report(end_of_failure(True), reason=reason)

    def on_complete(self) -> None:
        """End the attempt as the complete response says."""
        if self._events is not None:
            self._complete_stream()
        elif self._end is not None and self._end.outcome == contract.Outcome.READ:
            try:
                cached_tokens = _read_result_decoder.decode(self._body).cached_tokens
            except (msgspec.DecodeError, ValueError, RecursionError):
                cached_tokens = 0.0
            self._report(self._end, cached_tokens, self._load)

    def _complete_stream(self) -> None:
        events = self._events
        try:
            events.end()
        except EventStreamError:
            self._report(end_of_failure(True), reason=FailureReason.INCOMPLETE_AT_END)
            return
        if self.attempt.is_streaming:
            self._report(self._end, events.cached_tokens, events.load or self._load, events.token_count)
        else:
            self._report(end_of_failure(True))  # a stream without an event answers nothing

    def on_not_sent(self) -> None:
        """End the attempt as not sent."""
        self._report(AttemptEnd(contract.Outcome.UNSENT), reason=FailureReason.NOT_SENT)

    def on_failure(self, request_sent: bool) -> None:
        """End the attempt as possibly run, or as not run."""
        if request_sent:
            self.client.uncertain_attempts.note(self.attempt.sequence.sequence_id)
        self._report(end_of_failure(request_sent), reason=FailureReason.CONNECTION_FAILED)

    def _report(
        self,
        end: AttemptEnd,
        cached_tokens: float = 0.0,
        load: contract.LoadReport | None = None,
        token_count: int = 0,
        reason: FailureReason | None = None,
    ) -> None:
        self.client.stream_monitor.remove(self)
        if reason is not None:
            self.client.log(
                LogEvent.ATTEMPT_FAILED,
                sequence_id=self.attempt.sequence.sequence_id,
                attempt=self.attempt.number,
                reason=reason,
            )
        cached_tokens = cached_tokens or float(end.no_state)
        handle = True if end.outcome == contract.Outcome.READ else None
        self.executor.ended(self.attempt, end.outcome, cached_tokens, load or self._load, handle, token_count)
