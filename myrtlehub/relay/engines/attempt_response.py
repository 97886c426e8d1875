"""Handles the response to an attempt, and reports tokens and the outcome to the action executor."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from typing import Protocol

import msgspec

from myrtlehub.http1.body_buffer import BodyBuffer
from myrtlehub.http1.bounds import MAX_SMALL_RESPONSE_BYTES
from myrtlehub.http1.client_request import RequestFailure, ResponseHandler
from myrtlehub.http1.headers import Headers
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.sequences import Attempt
from myrtlehub.relay.engines.engine_directory import EngineDirectory
from myrtlehub.relay.engines.event_stream import EventStreamParser
from myrtlehub.relay.engines.response_outcomes import (
    AttemptEnd,
    attempt_end_of_failure,
    attempt_end_of_response,
)
from myrtlehub.relay.engines.stream_monitor import StreamMonitor
from myrtlehub.relay.engines.uncertain_attempts import UncertainAttempts
from myrtlehub.relay.errors import AttemptEndedError, EventStreamError
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.routing import contract

# Limit for receiving the rest of the first event. Engines write an event in one piece, and until the first
# one is complete, the request may be retried.
INCOMPLETE_EVENT_TIMEOUT_S = 2.5
# Limit for the time between two events, and from the last one to the end of the stream. A running engine may
# pause for seconds, and the platform has a client wait for 5 s; the rest is for delays of this process.
SILENCE_TIMEOUT_S = 4.88


TIMER_TOLERANCE_S = 0.001  # a timer may fire early by this much


class FailureReason(StrEnum):
    """Why an attempt failed; the values are logged, and documented in docs/operators/relay.md."""

    MALFORMED_EVENT = "malformed_event"
    BODY_TOO_LARGE = "body_too_large"
    MEMORY_LIMIT = "memory_limit"
    TRUNCATED_STREAM = "truncated_stream"
    TRUNCATED_BODY = "truncated_body"
    INCOMPLETE_EVENT_TIMEOUT = "incomplete_event_timeout"
    SILENCE_TIMEOUT = "silence_timeout"
    NOT_SENT = "not_sent"
    CONNECTION_FAILED = "connection_failed"


class Framing(StrEnum):
    """What shows the end of a response's body; the values are logged."""

    CHUNKED = "chunked"  # the last chunk
    LENGTH = "length"  # the number of its bytes
    CONNECTION = "connection"  # the end of the connection, which may also cut it off


def _framing_of(fields: Mapping[bytes, bytes]) -> Framing:
    """Return the framing that header fields declare (RFC 9112, section 6.3)."""
    if b"transfer-encoding" in fields:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in fields else Framing.CONNECTION


class _ReadResult(msgspec.Struct):
    cached_tokens: float = 0.0


_read_result_decoder = msgspec.json.Decoder(_ReadResult)


class AttemptClient(Protocol):
    """The part of `EngineClient` that response handlers use."""

    executor: ActionExecutor
    directory: EngineDirectory
    uncertain_attempts: UncertainAttempts
    stream_monitor: StreamMonitor
    failure_counts: Counter[str]
    log: Log


class AttemptResponseHandler(ResponseHandler):
    """Handles the response to one attempt.

    Attributes:
        pending: The request; None once the attempt has ended.
        longest_event_gap: The longest time between two events so far, in seconds.
        status: Status of the response; None before its head.
        framing: What shows the end of the response's body; None before its head.
        was_sent: Whether the request had been sent completely when the attempt was cancelled.
    """

    def __init__(self, client: AttemptClient, attempt: Attempt) -> None:
        self.client = client
        self.executor = client.executor
        self.attempt = attempt
        self.pending: PendingRequest | None = None
        self.longest_event_gap = 0.0
        self.was_sent = False
        self._end: AttemptEnd | None = None  # None until the head is received
        self.status: int | None = None
        self.framing: Framing | None = None
        self._event_parser: EventStreamParser | None = None  # None unless the response is a stream
        self._load_report: contract.LoadReport | None = None
        self._body = BodyBuffer(MAX_SMALL_RESPONSE_BYTES)
        self._last_event_at = 0.0
        self._incomplete_since: float | None = None  # start of an incomplete event, chunk or stream end

    def on_head(self, status: int, headers: Headers) -> None:
        """Determine the outcome from the status and the headers."""
        fields = dict(headers)
        self.client.directory.record_contact(self.attempt.engine)
        self.status = status
        self.framing = _framing_of(fields)
        end = self._end = attempt_end_of_response(
            self.attempt.is_read, status, fields.get(b"x-turned-away") == b"1"
        )
        if b"x-pressure" in fields:
            self._load_report = parse_load_report(fields[b"x-pressure"])
        if end.outcome == contract.Outcome.GENERATED:
            self._event_parser = EventStreamParser()
            self._last_event_at = self.executor.clock.seconds()
            self.client.stream_monitor.add(self)
        elif end.outcome != contract.Outcome.READ:
            pending = self._outstanding_request()
            self._report_end(end)  # the attempt ends here, and the body is ignored
            pending.discard_response()

    def on_data(self, data: bytes) -> None:
        """Pass the complete events of a stream to the executor, or store the body of a read's response."""
        if self.pending is None:
            return  # the attempt ended when the head was received
        if self._event_parser is not None:
            self._on_stream_data(self._event_parser, data)
        else:
            self._body.append(data)
            if self._body.is_too_large:
                self.fail(FailureReason.BODY_TOO_LARGE)

    def _on_stream_data(self, parser: EventStreamParser, data: bytes) -> None:
        try:
            events = parser.feed(data)
        except EventStreamError:
            self.fail(FailureReason.MALFORMED_EVENT)
            return
        if events:
            now = self.executor.clock.seconds()
            attempt = self.attempt
            self.client.directory.record_contact(attempt.engine)
            self.longest_event_gap = max(self.longest_event_gap, now - self._last_event_at)
            self._last_event_at = now
            if attempt.is_streaming:
                self.executor.tokens_received(attempt, events)
            elif attempt.is_outstanding:
                self.executor.attempt_began(attempt, events)
        self.client.stream_monitor.record_incomplete(self, parser.incomplete_bytes)

    def _outstanding_request(self) -> PendingRequest:
        if self.pending is None:
            raise AttemptEndedError(self.attempt.sequence.sequence_id, self.attempt.number)
        return self.pending

    def _is_incomplete(self) -> bool:
        """Return whether an event, a chunk or, after `[DONE]`, the body is incomplete."""
        parser = self._event_parser
        connection = self._outstanding_request().connection
        return (parser is not None and (parser.incomplete_bytes > 0 or parser.is_done)) or (
            connection is not None and connection.has_partial_data()
        )

    @property
    def due_at(self) -> float:
        """Clock time in seconds at which the stream ends unless an event is received."""
        return self._last_event_at + SILENCE_TIMEOUT_S

    def check_progress(self, now: float) -> None:
        """Fail the attempt if the first event stays incomplete, or no event is received, for too long.

        Received bytes that do not complete an event do not count as progress
        (test_an_endless_chunk_ends_the_stream_within_5_s).
        """
        if self._outstanding_request().is_paused:
            self._incomplete_since = None
            self._last_event_at = now  # the client delays the stream, not the engine
        elif self.attempt.is_streaming or not self._is_incomplete():
            self._incomplete_since = None
        elif self._incomplete_since is None:
            self._incomplete_since = now
        if self._incomplete_since is not None and now - self._incomplete_since > INCOMPLETE_EVENT_TIMEOUT_S:
            self.fail(FailureReason.INCOMPLETE_EVENT_TIMEOUT)
        elif now >= self.due_at - TIMER_TOLERANCE_S:
            self.fail(FailureReason.SILENCE_TIMEOUT)

    def fail_for_memory(self) -> None:
        """End the stream, because the incomplete events of all streams take too much memory."""
        self.fail(FailureReason.MEMORY_LIMIT)

    def fail(self, reason: FailureReason) -> None:
        """Close the connection, and report a failure after which the request may have been executed."""
        self._outstanding_request().cancel()
        self._report_end(attempt_end_of_failure(True), reason=reason)

    def cancel(self) -> None:
        """Close the connection without reporting an outcome to the executor."""
        self.client.stream_monitor.remove(self)
        if self.pending is not None:
            self.was_sent = self.pending.is_sent
            self.pending.cancel()

    def on_complete(self) -> None:
        """End the attempt after a complete response was received."""
        if self._end is None:
            return
        if self._event_parser is not None:
            self._complete_stream(self._end, self._event_parser)
        elif self._end.outcome == contract.Outcome.READ:
            self._complete_read(self._end)

    def _complete_read(self, end: AttemptEnd) -> None:
        try:
            cached_tokens = _read_result_decoder.decode(bytes(self._body)).cached_tokens
        except (msgspec.DecodeError, ValueError, RecursionError):
            if self.framing is Framing.CONNECTION:
                # The engine may have ended while it responded.
                self.client.uncertain_attempts.add(self.attempt.sequence.sequence_id)
                self._report_end(attempt_end_of_failure(True), reason=FailureReason.TRUNCATED_BODY)
                return
            cached_tokens = 0.0
        self._report_end(end, cached_tokens, self._load_report)

    def _complete_stream(self, end: AttemptEnd, parser: EventStreamParser) -> None:
        try:
            parser.end()
        except EventStreamError:
            is_complete = False
        else:
            is_complete = parser.is_done or self.framing is not Framing.CONNECTION
        if not is_complete:
            self._report_end(attempt_end_of_failure(True), reason=FailureReason.TRUNCATED_STREAM)
            return
        if self.attempt.is_streaming:
            self._report_end(end, parser.cached_tokens, parser.load or self._load_report, parser.token_count)
        else:
            self._report_end(attempt_end_of_failure(True))  # a stream without events is a failure

    def on_failure(self, failure: RequestFailure) -> None:
        """Report a failure; if the request was sent completely, the engine may have executed it."""
        if failure is RequestFailure.NOT_SENT:
            self._report_end(AttemptEnd(contract.Outcome.UNSENT), reason=FailureReason.NOT_SENT)
            return
        may_have_run = failure is RequestFailure.RESPONSE_FAILED
        if may_have_run:
            self.client.uncertain_attempts.add(self.attempt.sequence.sequence_id)
        self._report_end(attempt_end_of_failure(may_have_run), reason=FailureReason.CONNECTION_FAILED)

    def _report_end(
        self,
        end: AttemptEnd,
        cached_tokens: float = 0.0,
        load: contract.LoadReport | None = None,
        token_count: int = 0,
        reason: FailureReason | None = None,
    ) -> None:
        self.client.stream_monitor.remove(self)
        if reason is not None:
            self._log_failure(reason)
        # For a rejected write, the executor takes a value above 0 to mean that the reader had no read state.
        cached_tokens = cached_tokens or float(end.is_state_missing)
        handle = True if end.outcome == contract.Outcome.READ else None
        self.executor.attempt_ended(
            self.attempt, end.outcome, cached_tokens, load or self._load_report, handle, token_count
        )

    def _log_failure(self, reason: FailureReason) -> None:
        self.client.failure_counts[reason.value] += 1
        sequence_id = self.attempt.sequence.sequence_id
        self.client.log(
            LogEvent.ATTEMPT_FAILED, sequence_id=sequence_id, attempt=self.attempt.number, reason=reason
        )
        if self.attempt.is_streaming:
            self.client.log(
                LogEvent.STREAM_BROKEN,
                sequence_id=sequence_id,
                engine=self.client.directory.name(self.attempt.engine),
                reason=reason,
                silence_s=round(self.executor.clock.seconds() - self._last_event_at, 3),
                **self.progress_fields(),
            )

    def progress_fields(self) -> dict[str, object]:
        """Return what was received of the response, as fields of a log line."""
        parser = self._event_parser
        return {
            "status": self.status,
            "framing": self.framing,
            "events": parser.event_count if parser is not None else 0,
            "has_end_mark": parser is not None and parser.is_done,
        }


def response_handler(attempt: Attempt) -> AttemptResponseHandler | None:
    """Return the response handler of an attempt; None if the attempt was not started or has ended."""
    if not isinstance(attempt.transport_call, PendingRequest):
        return None
    handler = attempt.transport_call.handler
    return handler if isinstance(handler, AttemptResponseHandler) else None
