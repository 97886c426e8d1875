"""The engine transport over HTTP/1.1, for attempts, releases of read state, and probes."""

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Protocol, runtime_checkable

from myrtlehub.clock import Clock
from myrtlehub.http1.client_request import ClientRequest
from myrtlehub.http1.headers import Header
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.relay.clients.request_decoder import EngineRequest, RequestDecoder
from myrtlehub.relay.engines.arrival_check import ArrivalCheck
from myrtlehub.relay.engines.attempt_response import AttemptResponseHandler, response_handler
from myrtlehub.relay.engines.engine_connections import EngineConnections
from myrtlehub.relay.engines.engine_directory import EngineDirectory
from myrtlehub.relay.engines.run_history import RunHistory
from myrtlehub.relay.engines.small_response import SmallResponseHandler
from myrtlehub.relay.engines.state_release import EngineAddress, StateReleaser
from myrtlehub.relay.engines.stream_monitor import StreamMonitor
from myrtlehub.relay.engines.uncertain_attempts import UncertainAttempts
from myrtlehub.relay.errors import UnknownRequestTypeError
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.routing import contract
from myrtlehub.state.answer import AnswerState
from myrtlehub.state.invariants import InvariantCounter, SendPreconditions, violated_by_send

LOAD_PATH = b"/metrics/load"
# Subtracted from the remaining time that a request states to the engine, for the network latency and one or
# two reactor turns. The platform tolerates a stated time that is up to 0.15 s too long, which covers a delay
# of this process between reading the clock and writing the request.
REMAINING_TIME_MARGIN_S = 0.02


@runtime_checkable
class ConnectedSink(Protocol):
    """A response sink that knows its client's connection."""

    def is_client_certain(self) -> bool:
        """Return whether nothing of the client is unread that may end its connection."""


class EngineClient(ExecutorObserver):
    """Sends attempts, releases of read state and probes to engines.

    Args:
        clock: The clock of the node.
        connections: The connections to engines.
        decoder: The decoder of clients' requests.
        config: The configuration of the router.
        invariants: The counter of violated invariants.
        max_incomplete_bytes: Limit of the incomplete events of all streams.
        log: The event log.

    Attributes:
        executor: The executor that receives the outcomes; set by `attach` before any attempt is started.
        directory: Addresses of the engines.
        uncertain_attempts: Ids of sequences with an ended attempt that its engine may still be running.
        run_history: Requests that may have run and must not run again.
        releaser: Sends releases of read state.
        stream_monitor: Ends streams that make no progress.
        failure_counts: Number of failed attempts, by the value of their `FailureReason`.
    """

    executor: ActionExecutor

    def __init__(
        self,
        clock: Clock,
        connections: EngineConnections,
        decoder: RequestDecoder,
        config: contract.RouterConfig,
        invariants: InvariantCounter,
        max_incomplete_bytes: int,
        log: Log = no_log,
    ) -> None:
        self.clock = clock
        self.invariants = invariants
        self.connections = connections
        self.decoder = decoder
        self.log = log
        self.directory = EngineDirectory(clock, connections, decoder.engines)
        self.uncertain_attempts = UncertainAttempts(clock)
        self.run_history = RunHistory(clock, decoder.engines, config)
        self.releaser = StateReleaser(clock, connections.cleanup, self.directory, log)
        self.stream_monitor = StreamMonitor(clock, max_incomplete_bytes)
        self.failure_counts: Counter[str] = Counter()

    def attach(self, executor: ActionExecutor) -> None:
        """Set the executor that receives the outcomes, and observe the end of its attempts."""
        self.executor = executor
        self.releaser.in_flight = executor.in_flight
        # Added first, because it needs what `attempt_ended` of this class drops.
        executor.add_observer(self.run_history)
        executor.add_observer(self)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Log the end of an attempt, and drop the references to its response handler."""
        handler = response_handler(attempt)
        now = self.clock.seconds()
        self.log(
            LogEvent.ATTEMPT_ENDED,
            sequence_id=attempt.sequence.sequence_id,
            attempt=attempt.number,
            engine=self.directory.name(attempt.engine),
            engine_kind=attempt.engine_kind,
            is_read=attempt.is_read,
            state=attempt.state_machine.state,
            outcome=attempt.outcome,
            duration_s=round(now - attempt.sent_at, 4),
            timed_out=now >= attempt.times_out_at,
            longest_gap_s=round(handler.longest_event_gap, 2) if handler is not None else 0.0,
            **(handler.progress_fields() if handler is not None else {}),
        )
        if handler is not None:
            # Break the reference cycle of attempt, request and handler. It would keep the client's request in
            # memory until the next full garbage collection.
            attempt.transport_call = handler.pending = None

    def arrival_check_requested(self, attempt: Attempt) -> None:
        """Check whether an attempt has arrived; see `ExecutorObserver`."""
        name = self.directory.name(attempt.engine)
        address = EngineAddress(name, self.directory.dial_addresses[name])
        ArrivalCheck(self.clock, self.connections.cleanup, attempt, address, self._attempt_arrived).start()

    def _attempt_arrived(self, attempt: Attempt) -> None:
        self.log(
            LogEvent.ATTEMPT_ARRIVED,
            sequence_id=attempt.sequence.sequence_id,
            attempt=attempt.number,
            engine=self.directory.name(attempt.engine),
            since_sent_s=round(self.clock.seconds() - attempt.sent_at, 4),
        )
        self.executor.attempt_arrived(attempt)

    # Methods of the interface `EngineTransport`:

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; see `EngineTransport`."""
        engine_request = _engine_request(attempt.sequence)
        name = self.directory.name(attempt.engine)
        request = ClientRequest(b"POST", engine_request.target, engine_request.headers, engine_request.body)
        handler = AttemptResponseHandler(self, attempt)
        handler.pending = attempt.transport_call = self.connections.attempts.send(
            name,
            self.directory.dial_addresses[name],
            request,
            handler,
            may_reuse=not self._needs_new_connection(attempt),
            at_first_byte=partial(self._at_first_byte, attempt),
            may_write=partial(_is_client_certain, attempt.sequence),
        )

    def _at_first_byte(self, attempt: Attempt, request: ClientRequest) -> ClientRequest | None:
        """Return the request with its remaining time; None if sending it now would violate an invariant.

        The router's decision may be outdated: establishing the connection can take longer than the grace
        period of a draining engine, and this process may have been suspended
        (test_an_engine_that_drains_between_a_decision_and_its_first_byte_gets_nothing).
        """
        time_left = attempt.times_out_at - self.clock.seconds()
        violated = violated_by_send(self._send_facts(attempt, time_left))
        if violated is not None:
            self.invariants.count_withheld(violated)
            sequence_id = attempt.sequence.sequence_id
            self.log(LogEvent.SEND_WITHHELD, sequence_id=sequence_id, attempt=attempt.number, reason=violated)
            return None
        remaining_ms = max(1, int((time_left - REMAINING_TIME_MARGIN_S) * 1000))
        self._log_attempt_sent(attempt, remaining_ms)
        return request._replace(headers=[*request.headers, Header(b"x-remaining-ms", b"%d" % remaining_ms)])

    def _log_attempt_sent(self, attempt: Attempt, remaining_ms: int) -> None:
        connection = (
            attempt.transport_call.connection if isinstance(attempt.transport_call, PendingRequest) else None
        )
        self.log(
            LogEvent.ATTEMPT_SENT,
            sequence_id=attempt.sequence.sequence_id,
            attempt=attempt.number,
            engine=self.directory.name(attempt.engine),
            is_read=attempt.is_read,
            fetches_state=attempt.claimed_state is not None,
            is_reused=connection is not None and connection.has_completed_request,
            remaining_ms=remaining_ms,
        )

    def _send_facts(self, attempt: Attempt, time_left: float) -> SendPreconditions:
        sequence = attempt.sequence
        send_check = self.executor.router.check_send(self.clock.seconds(), sequence.number, attempt.number)
        return SendPreconditions(
            client_is_present=sequence.answer.state == AnswerState.PENDING,
            time_left=time_left,
            engine_is_serving=self.directory.is_serving(attempt.engine),
            is_in_slow_start_share=send_check.is_in_slow_start_share,
            may_run=send_check.may_run,
        )

    def _needs_new_connection(self, attempt: Attempt) -> bool:
        """Return whether the attempt must not reuse an idle connection.

        Such attempts are:

        - A write that fetches a read state: if the network to the engine is cut off, a request on an idle
          connection is lost without an error, and the reader keeps the state in the meantime
          (test_a_state_is_released_in_time_although_its_writers_were_cut_off_unnoticed).
        - An at-most-once write: if the engine has closed the idle connection and this node does not know
          that yet, the request counts as possibly executed, and must not be retried.
        - An at-most-once read of a sequence with an earlier attempt that may still be running: on an idle
          connection, the read could arrive before the close of the earlier attempt's connection
          (test_a_retried_at_most_once_read_uses_a_new_connection).
        """
        if attempt.claimed_state is not None:
            return True
        return self.is_at_most_once(attempt) and (
            not attempt.is_read or attempt.sequence.sequence_id in self.uncertain_attempts
        )

    def is_at_most_once(self, attempt: Attempt) -> bool:
        """Return whether the sequence of an attempt must not be executed twice."""
        return self.decoder.traffic_types[attempt.sequence.arrival.traffic].is_at_most_once

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; see `EngineTransport`."""
        self.uncertain_attempts.add(attempt.sequence.sequence_id)
        handler = response_handler(attempt)
        if handler is not None:
            handler.cancel()

    def release(self, engine: int, sequence_id: str) -> None:
        """Release read state; see `EngineTransport`."""
        self.releaser.release(engine, sequence_id, sequence_id in self.uncertain_attempts)

    def probe(
        self, engine: int, timeout: float, on_result: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Request a load report from an engine; see `EngineTransport`."""
        name = self.directory.name(engine)

        def on_end(succeeded: bool, body: bytes) -> None:
            if timer.active():
                timer.cancel()
                on_result(succeeded, parse_load_report(body) if succeeded else None)

        def on_timeout() -> None:
            pending.cancel()
            on_result(False, None)

        timer = self.clock.callLater(timeout, on_timeout)
        pending = self.connections.attempts.send(
            name,
            self.directory.dial_addresses[name],
            ClientRequest(b"GET", LOAD_PATH, []),
            SmallResponseHandler(on_end),
        )

    def close_idle(self, engine: int) -> None:
        """Close the idle connections to an engine; see `EngineTransport`."""
        self.connections.close_idle(self.directory.name(engine))

    def forget(self, address: str) -> None:
        """Remove an engine; see `EngineTransport`."""
        self.directory.forget(address)


def _is_client_certain(sequence: InFlightSequence) -> bool:
    """Return whether nothing of the sequence's client is unread that may end its connection."""
    sink = sequence.response_sink
    return not isinstance(sink, ConnectedSink) or sink.is_client_certain()


def _engine_request(sequence: InFlightSequence) -> EngineRequest:
    """Return the request of a sequence, which the executor stores as an object of unknown type."""
    if not isinstance(sequence.request, EngineRequest):
        raise UnknownRequestTypeError(sequence.sequence_id)
    return sequence.request
