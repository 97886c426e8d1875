"""Handles the response to an attempt, and reports tokens and the outcome to the action executor."""

from collections import Counter
from typing import Protocol

import msgspec

from myrtlehub.http1.body_buffer import BodyBuffer
from myrtlehub.http1.bounds import MAX_SMALL_RESPONSE_BYTES, MAX_STREAM_ANNOUNCEMENT_BYTES
from myrtlehub.http1.client_request import RequestFailure, ResponseHandler
from myrtlehub.http1.framing import Framing
from myrtlehub.http1.framing_progress import FramingProgress
from myrtlehub.http1.headers import Headers
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.log_events import Log, LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.sequences import Attempt
from myrtlehub.relay.engines.engine_directory import EngineDirectory
from myrtlehub.relay.engines.failure_reason import FailureReason
from myrtlehub.relay.engines.response_outcomes import (
    AttemptEnd,
    attempt_end_of_failure,
    attempt_end_of_response,
)
from myrtlehub.relay.engines.response_stream import ResponseStream
from myrtlehub.relay.engines.stream_monitor import StreamMonitor
from myrtlehub.relay.engines.uncertain_attempts import UncertainAttempts
from myrtlehub.relay.errors import AttemptEndedError, EventStreamError
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.routing import contract
from myrtlehub.state.response_completeness import MissingEnd


class _ReadResult(msgspec.Struct):
    cached_tokens: float = 0.0


_read_result_decoder = msgspec.json.Decoder(_ReadResult)


REASON_BY_FAILURE = {
    RequestFailure.NOT_SENT: FailureReason.NOT_SENT,
    RequestFailure.SEND_FAILED: FailureReason.CONNECTION_FAILED,
    RequestFailure.RESPONSE_FAILED: FailureReason.CONNECTION_FAILED,
    RequestFailure.MALFORMED_RESPONSE: FailureReason.MALFORMED_RESPONSE,
    RequestFailure.OVERSIZED_RESPONSE: FailureReason.OVERSIZED_RESPONSE,
}


class AttemptClient(Protocol):
    """The part of `EngineClient` that response handlers use."""

    executor: ActionExecutor
    directory: EngineDirectory
    uncertain_attempts: UncertainAttempts
    stream_monitor: StreamMonitor
    failure_counts: Counter[str]
    log: Log

    def is_at_most_once(self, attempt: Attempt) -> bool:
        """Return whether the sequence of an attempt must not be executed twice."""


class AttemptResponseHandler(ResponseHandler):
    """Handles the response to one attempt.

    Attributes:
        pending: The request; None once the attempt has ended.
        status: Status of the response; None before its head.
        framing_progress: What the framing of the response has announced; None before its head.
        was_sent: Whether the request had been sent completely when the attempt was cancelled.
    """

    def __init__(self, client: AttemptClient, attempt: Attempt) -> None:
        self.client = client
        self.executor = client.executor
        self.attempt = attempt
        self.pending: PendingRequest | None = None
        self.was_sent = False
        self._end: AttemptEnd | None = None  # None until the head is received
        self._has_ended = False  # the end of the attempt was reported
        self.status: int | None = None
        self.framing_progress: FramingProgress | None = None
        self._stream: ResponseStream | None = None  # None unless the response is a stream
        self._load_report: contract.LoadReport | None = None
        self._body = BodyBuffer(MAX_SMALL_RESPONSE_BYTES)

    @property
    def longest_event_gap(self) -> float:
        """The longest time between two events so far, in seconds."""
        return 0.0 if self._stream is None else self._stream.longest_event_gap

    def on_head(self, status: int, headers: Headers) -> None:
        """Determine the outcome from the status and the headers."""
        fields = dict(headers)
        self.client.directory.record_contact(self.attempt.engine)
        self.status = status
        connection = None if self.pending is None else self.pending.connection
        self.framing_progress = None if connection is None else connection.framing_progress
        end = self._end = attempt_end_of_response(
            self.attempt.is_read, status, fields.get(b"x-turned-away") == b"1"
        )
        if b"x-pressure" in fields:
            self._load_report = parse_load_report(fields[b"x-pressure"])
        if end.outcome == contract.Outcome.GENERATED:
            may_retry = not self.client.is_at_most_once(self.attempt)
            self._stream = ResponseStream(self.executor.clock, may_retry)
            self.max_announced_bytes = MAX_STREAM_ANNOUNCEMENT_BYTES
            self.client.stream_monitor.add(self)
        elif end.outcome != contract.Outcome.READ:
            pending = self._outstanding_request()
            self._report_end(end)  # the attempt ends here, and the body is ignored
            pending.discard_response()

    def on_data(self, data: bytes) -> None:
        """Pass the complete events of a stream to the executor, or store the body of a read's response."""
        if self.pending is None:
            return  # the attempt ended when the head was received
        if self._stream is not None:
            self._on_stream_data(self._stream, data)
        else:
            self._body.append(data)
            if self._body.is_too_large:
                self.fail(FailureReason.BODY_TOO_LARGE)

    def _on_stream_data(self, stream: ResponseStream, data: bytes) -> None:
        try:
            events = stream.feed(data)
        except EventStreamError:
            self.fail(FailureReason.MALFORMED_EVENT)
            return
        attempt = self.attempt
        if events:
            self.client.directory.record_contact(attempt.engine)
            if attempt.is_streaming:
                self.executor.tokens_received(attempt, events)
            elif stream.has_failed:
                self.fail(FailureReason.ENGINE_ERROR)
                return
            elif attempt.is_outstanding:
                self.executor.attempt_began(attempt, events)
        self.client.stream_monitor.record_incomplete(self, stream.incomplete_bytes)

    def _outstanding_request(self) -> PendingRequest:
        if self.pending is None:
            raise AttemptEndedError(self.attempt.sequence.sequence_id, self.attempt.number)
        return self.pending

    @property
    def due_at(self) -> float:
        """Clock time in seconds at which the stream ends unless more of it is received."""
        return self._open_stream().due_at

    def _open_stream(self) -> ResponseStream:
        if self._stream is None:
            raise AttemptEndedError(self.attempt.sequence.sequence_id, self.attempt.number)
        return self._stream

    def check_progress(self, now: float) -> None:
        """Fail the attempt if its engine does not send the stream any more; see `sender_activity`."""
        pending, stream = self._outstanding_request(), self._open_stream()
        if pending.is_paused:
            stream.restart_silence()  # the client delays the stream, not the engine
            return
        reason = stream.failure(now)
        if reason is not None:
            self.fail(reason)

    def fail_for_memory(self) -> None:
        """End the stream, because the incomplete events of all streams take too much memory."""
        self.fail(FailureReason.MEMORY_LIMIT)

    def fail(self, reason: FailureReason) -> None:
        """Close the connection, and report a failure after which the request may have been executed."""
        self._outstanding_request().cancel()
        self.client.uncertain_attempts.add(self.attempt.sequence.sequence_id)
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
        if self._stream is not None:
            self._complete_stream(self._end, self._stream)
        elif self._end.outcome == contract.Outcome.READ:
            self._complete_read(self._end)

    def _complete_read(self, end: AttemptEnd) -> None:
        try:
            cached_tokens = _read_result_decoder.decode(bytes(self._body)).cached_tokens
        except (msgspec.DecodeError, ValueError, RecursionError):
            if self.framing_progress is not None and self.framing_progress.framing is Framing.CONNECTION:
                # The engine may have ended while it responded.
                self.client.uncertain_attempts.add(self.attempt.sequence.sequence_id)
                self._report_end(attempt_end_of_failure(True), reason=FailureReason.TRUNCATED_BODY)
                return
            cached_tokens = 0.0
        self._report_end(end, cached_tokens, self._load_report)

    def _complete_stream(self, end: AttemptEnd, stream: ResponseStream) -> None:
        missing = stream.end()
        if missing is None:
            parser = stream.parser
            self._report_end(end, parser.cached_tokens, parser.load or self._load_report, parser.token_count)
        else:
            self._report_end(
                attempt_end_of_failure(True), reason=FailureReason.TRUNCATED_STREAM, missing=missing
            )

    def on_failure(self, failure: RequestFailure) -> None:
        """Report a failure; if the request was sent completely, the engine may have executed it."""
        if self._has_ended:
            return  # its head ended the attempt, and nobody needs the rest of the response
        reason = REASON_BY_FAILURE[failure]
        if failure is RequestFailure.NOT_SENT:
            self._report_end(AttemptEnd(contract.Outcome.UNSENT), reason=reason)
            return
        if failure.may_have_run:
            self.client.uncertain_attempts.add(self.attempt.sequence.sequence_id)
        self._report_end(attempt_end_of_failure(failure.may_have_run), reason=reason)

    def _report_end(
        self,
        end: AttemptEnd,
        cached_tokens: float = 0.0,
        load: contract.LoadReport | None = None,
        token_count: int = 0,
        reason: FailureReason | None = None,
        missing: MissingEnd | None = None,
    ) -> None:
        self._has_ended = True
        self.client.stream_monitor.remove(self)
        if reason is not None:
            self._log_failure(reason, missing)
        # For a rejected write, the executor takes a value above 0 to mean that the reader had no read state.
        cached_tokens = cached_tokens or float(end.is_state_missing)
        handle = True if end.outcome == contract.Outcome.READ else None
        self.executor.attempt_ended(
            self.attempt, end.outcome, cached_tokens, load or self._load_report, handle, token_count
        )

    def _log_failure(self, reason: FailureReason, missing: MissingEnd | None) -> None:
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
                missing=missing,
                silence_s=round(self._open_stream().silence, 3),
                **self.progress_fields(),
            )

    def progress_fields(self) -> dict[str, object]:
        """Return what was received of the response, as fields of a log line."""
        parser = None if self._stream is None else self._stream.parser
        framing = self.framing_progress
        return {
            "status": self.status,
            "framing": None if framing is None else framing.framing,
            "events": 0 if parser is None else parser.event_count,
            "has_end_mark": parser is not None and parser.completeness.has_content_end,
            "incomplete_event_bytes": 0 if parser is None else parser.incomplete_bytes,
            "incomplete_framing_bytes": 0 if framing is None else framing.incomplete_bytes,
            "announced_bytes": 0 if framing is None else framing.announced_bytes,
        }


def response_handler(attempt: Attempt) -> AttemptResponseHandler | None:
    """Return the response handler of an attempt; None if the attempt was not started or has ended."""
    if not isinstance(attempt.transport_call, PendingRequest):
        return None
    handler = attempt.transport_call.handler
    return handler if isinstance(handler, AttemptResponseHandler) else None
