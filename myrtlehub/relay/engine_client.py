"""The action executor's engine transport over HTTP/1.1: attempts, releases and probes."""

from collections.abc import Callable
from functools import partial

from myrtlehub.clock import Clock
from myrtlehub.http1.client_connection import ClientRequest
from myrtlehub.http1.connection_pool import NEW_CONNECTION, ConnectionPool
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.node.action_executor import ActionExecutor, Attempt
from myrtlehub.relay.attempt_response import AttemptResponseHandler
from myrtlehub.relay.engine_directory import EngineDirectory
from myrtlehub.relay.one_shot_response import OneShotResponse
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.relay.request_decoder import RequestDecoder
from myrtlehub.relay.state_release import StateReleaser
from myrtlehub.relay.stream_monitor import StreamMonitor
from myrtlehub.relay.uncertain_attempts import UncertainAttempts
from myrtlehub.routing import contract
from myrtlehub.state.answer import AnswerState
from myrtlehub.state.invariants import InvariantCounter, SendFacts, broken_by_send

LOAD_PATH = b"/metrics/load"
# By which an engine is told less than is left. It may be told 0.15 s too much, all of which this process may
# be held up between reading its clock and writing; the way here and there and a turn or two take the rest.
TOLD_TIME_MARGIN_S = 0.02


class EngineClient:
    """Carries attempts, releases and probes to engines; `attach` gives it the executor that it reports to."""

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        decoder: RequestDecoder,
        invariants: InvariantCounter,
        log: Log = no_log,
    ) -> None:
        self.clock = clock
        self.invariants = invariants
        self.pool = pool
        self.decoder = decoder
        self.log = log
        self.executor: ActionExecutor | None = None
        self.directory = EngineDirectory(clock, pool, decoder.engines)
        self.uncertain_attempts = UncertainAttempts(clock)
        self.releaser = StateReleaser(clock, pool, self.directory)
        self.stream_monitor = StreamMonitor(clock)

    def attach(self, executor: ActionExecutor) -> None:
        """Report to this executor, and hear from it of each attempt that has ended."""
        self.executor = executor
        self.releaser.in_flight = executor.in_flight
        executor.on_attempt_ended = self.attempt_ended

    def attempt_ended(self, attempt: Attempt) -> None:
        """Log an attempt's end, whoever caused it, and free its response."""
        handler = attempt.call.handler if attempt.call is not None else None
        now = self.clock.seconds()
        self.log(
            LogEvent.ATTEMPT_ENDED,
            sequence_id=attempt.sequence.sequence_id,
            attempt=attempt.number,
            engine=self.directory.name(attempt.engine),
            engine_kind=attempt.kind,
            is_read=attempt.reads,
            state=attempt.state_machine.state,
            duration_s=round(now - attempt.sent_at, 4),
            timed_out=now >= attempt.times_out_at,
            longest_gap_s=round(handler.longest_gap, 2) if handler is not None else 0.0,
        )
        if handler is not None:
            # they refer to one another, and to the whole request: only the collector would free them
            attempt.call = handler.pending = None

    # -- EngineTransport of the action executor ---------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; see `EngineTransport`."""
        sequence = attempt.sequence
        passed = sequence.request
        name = self.directory.name(attempt.engine)
        request = ClientRequest(b"POST", passed.target, passed.headers, passed.body)
        handler = AttemptResponseHandler(self, attempt)
        handler.pending = attempt.call = self.pool.send(
            name,
            self.directory.dial_addresses[name],
            request,
            handler,
            NEW_CONNECTION if self._needs_new_connection(attempt) else 0.0,
            partial(self._at_first_byte, attempt),
        )

    def _at_first_byte(self, attempt: Attempt, request: ClientRequest) -> ClientRequest | None:
        """Return the request with the time left now; None if sending it now would break a rule.

        Guards against what has changed since the decision: a connection may take longer to come up than the
        grace of a draining engine, and this process may have been delayed.
        """
        time_left = attempt.times_out_at - self.clock.seconds()
        broken = broken_by_send(self._send_facts(attempt, time_left))
        if broken is not None:
            self.invariants.note_withheld(broken)
            sequence_id = attempt.sequence.sequence_id
            self.log(LogEvent.SEND_WITHHELD, sequence_id=sequence_id, attempt=attempt.number, reason=broken)
            return None
        told_ms = max(1, int((time_left - TOLD_TIME_MARGIN_S) * 1000))
        return request._replace(headers=[*request.headers, (b"x-remaining-ms", b"%d" % told_ms)])

    def _send_facts(self, attempt: Attempt, time_left: float) -> SendFacts:
        sequence = attempt.sequence
        check = self.executor.router.check_send(self.clock.seconds(), sequence.number, attempt.number)
        return SendFacts(
            client_is_present=sequence.answer.state == AnswerState.OWED,
            time_left=time_left,
            engine_is_serving=self.directory.is_serving(attempt.engine),
            is_in_slow_start_share=check.in_slow_start_share,
            may_run=check.may_run,
        )

    def _needs_new_connection(self, attempt: Attempt) -> bool:
        """Return whether no idle connection may be used.

        Guards against an idle connection that its peer closed unseen: what may not run twice would be lost.
        Against one whose engine was cut off unseen: a write on it never arrives, and all the while the state
        that it is to fetch would stay at its reader. And against a next attempt that is there before the end
        of a cancelled one: a new connection takes longer.
        """
        if attempt.fetched_state is not None:
            return True
        sequence = attempt.sequence
        return self.decoder.rows[sequence.arrival.traffic].at_most_once and (
            not attempt.reads or sequence.sequence_id in self.uncertain_attempts
        )

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up; see `EngineTransport`."""
        self.uncertain_attempts.note(attempt.sequence.sequence_id)
        if attempt.call is not None:
            self.stream_monitor.remove(attempt.call.handler)
            attempt.call.cancel()

    def release(self, engine: int, sequence_id: str) -> None:
        """Release read state; see `EngineTransport`."""
        self.releaser.release(engine, sequence_id, sequence_id in self.uncertain_attempts)

    def probe(
        self, engine: int, timeout: float, then: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Ask an engine for its load; see `EngineTransport`."""
        name = self.directory.name(engine)

        def on_end(succeeded: bool, body: bytes) -> None:
            if timer.active():
                timer.cancel()
                then(succeeded, parse_load_report(body) if succeeded else None)

        def on_timeout() -> None:
            pending.cancel()
            then(False, None)

        timer = self.clock.callLater(timeout, on_timeout)
        pending = self.pool.send(
            name,
            self.directory.dial_addresses[name],
            ClientRequest(b"GET", LOAD_PATH, []),
            OneShotResponse(on_end),
        )

    def close_idle(self, engine: int) -> None:
        """Close idle connections to an engine; see `EngineTransport`."""
        self.pool.close_idle(self.directory.name(engine))

    def forget(self, address: str) -> None:
        """Forget an engine; see `EngineTransport`."""
        self.directory.forget(address)
