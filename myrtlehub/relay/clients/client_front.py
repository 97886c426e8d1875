"""Request handler for clients: passes requests to the action executor and writes its answers back."""

from collections.abc import Callable
from http import HTTPStatus

from myrtlehub.http1.headers import Header
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.log_events import LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.relay.clients.earlier_runs import EarlierRuns
from myrtlehub.relay.clients.request_decoder import DecodedRequest, RequestDecoder
from myrtlehub.relay.errors import RejectedRequestError
from myrtlehub.relay.settings.platform_limits import DEFAULT_MAX_IN_FLIGHT
from myrtlehub.routing import contract
from myrtlehub.state.invariants import InvariantCounter, violated_by_answer

READINESS_PATH = b"/up"
CHAT_PATH = b"/v1/chat/completions"
STREAM_HEADERS = (Header(b"Content-Type", b"text/event-stream"),)


class ClientResponseSink:
    """Response sink of one sequence that writes to the client's server exchange.

    Attributes:
        sequence: The sequence; None before it is accepted and after its final answer.
    """

    __slots__ = ("exchange", "handler", "sequence", "sequence_id")

    def __init__(self, handler: "ClientRequestHandler", exchange: ServerExchange, sequence_id: str) -> None:
        self.handler = handler
        self.exchange = exchange
        self.sequence_id = sequence_id
        self.sequence: InFlightSequence | None = None
        exchange.on_lost = self._on_connection_lost
        exchange.on_pause = self._on_pause
        exchange.on_resume = self._on_resume

    def is_client_certain(self) -> bool:
        """Return whether nothing of the client is unread that may end its connection."""
        return self.exchange.is_client_certain()

    def tokens(self, message: bytes) -> None:
        """Forward server-sent events with tokens to the client."""
        if not self.exchange.is_started:
            self.exchange.start_stream(HTTPStatus.OK, STREAM_HEADERS)
        self.exchange.write(message)

    def generated(self, tokens: int) -> None:
        """End the stream after a complete answer."""
        self._detach_with_final_answer()
        self.exchange.finish()

    def rejected(self, retry_after: float) -> None:
        """Respond with 503, and with a Retry-After header in seconds unless `retry_after` is 0."""
        self._detach_with_final_answer()
        headers = (Header(b"Retry-After", b"%.3f" % retry_after),) if retry_after else ()
        self.exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, headers)

    def aborted(self, reason: str) -> None:
        """Respond with 502, or close the connection without a last chunk if the stream has started."""
        self._detach_with_final_answer()
        if self.exchange.is_started:
            self.exchange.abort()
        else:
            self.exchange.respond(HTTPStatus.BAD_GATEWAY)

    def _detach_with_final_answer(self) -> None:
        """Check the invariant that a sequence gets one final answer only, then detach from the sequence."""
        has_final_answer = self.sequence_id not in self.handler.open_sinks
        self.handler.invariants.check(violated_by_answer(has_final_answer), self.sequence_id)
        self._detach()

    def _detach(self) -> InFlightSequence | None:
        """Break the reference cycle between exchange, sink and sequence, and return the sequence.

        The cycle would keep the complete request in memory until the next full garbage collection, seconds
        to minutes later (test_objects_of_answered_requests_are_in_no_reference_cycle).
        """
        self.handler.open_sinks.pop(self.sequence_id, None)
        sequence, self.sequence = self.sequence, None
        self.exchange.clear_callbacks()
        return sequence

    def _on_connection_lost(self) -> None:
        sequence = self._detach()
        if sequence is not None:
            self.handler.executor.client_disconnected(sequence)

    def _on_pause(self) -> None:
        request = self._streaming_request()
        if request is not None:
            request.pause()

    def _on_resume(self) -> None:
        request = self._streaming_request()
        if request is not None:
            request.resume()

    def _streaming_request(self) -> PendingRequest | None:
        """Return the engine request whose response is streamed to the client, or None."""
        attempt = self.sequence.streaming_attempt if self.sequence is not None else None
        if attempt is None or not attempt.is_outstanding:
            return None
        return attempt.transport_call if isinstance(attempt.transport_call, PendingRequest) else None


class ClientRequestHandler:
    """Handles the requests of all clients.

    Attributes:
        open_sinks: Response sinks of sequences without a final answer, by sequence id.
        is_ready: Returns whether the node has an endpoint list.
        reject_after: Clock time in seconds. Requests whose last byte arrives later are rejected immediately,
            because the process may be killed before their answer is complete.
        malformed_count: Number of malformed requests since the start.
    """

    def __init__(
        self,
        executor: ActionExecutor,
        decoder: RequestDecoder,
        earlier_runs: EarlierRuns,
        invariants: InvariantCounter,
        max_in_flight: int = DEFAULT_MAX_IN_FLIGHT,
    ) -> None:
        self.invariants = invariants
        self.executor = executor
        self.decoder = decoder
        self.earlier_runs = earlier_runs
        self.max_in_flight = max_in_flight
        self.open_sinks: dict[str, ClientResponseSink] = {}
        self.is_ready: Callable[[], bool] = lambda: True
        self.reject_after = float("inf")
        self.malformed_count = 0

    def on_request(self, exchange: ServerExchange) -> None:
        """Dispatch a complete request by path and method."""
        request = exchange.request
        path = request.target.partition(b"?")[0]
        if path == READINESS_PATH:
            if request.method != b"GET":
                self._reject_malformed(exchange, HTTPStatus.METHOD_NOT_ALLOWED)
            else:
                exchange.respond(HTTPStatus.OK if self.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE)
        elif path != CHAT_PATH:
            self._reject_malformed(exchange, HTTPStatus.NOT_FOUND)
        elif request.method != b"POST":
            self._reject_malformed(exchange, HTTPStatus.METHOD_NOT_ALLOWED)
        else:
            self._accept(exchange)

    def _reject_malformed(self, exchange: ServerExchange, status: int, reason: str = "") -> None:
        """Respond to a malformed request with a 4xx status and close the connection."""
        self.malformed_count += 1
        self.executor.log(LogEvent.REQUEST_REJECTED, status=status, reason=reason)
        exchange.respond(status, close=True)

    def _accept(self, exchange: ServerExchange) -> None:
        try:
            decoded = self.decoder.decode(exchange.request, self.executor.clock.seconds())
            sequence_id = decoded.sequence_id
            if sequence_id in self.open_sinks or self.earlier_runs.is_running(sequence_id):
                raise RejectedRequestError(HTTPStatus.CONFLICT, "X-Txn is already the id of an open request")
        except RejectedRequestError as error:
            self._reject_malformed(exchange, error.status, str(error))
            return
        sink = ClientResponseSink(self, exchange, sequence_id)
        self.open_sinks[sequence_id] = sink
        arrival = self._after_earlier_run(decoded)
        is_full = self._arrived_after_cutoff(exchange) or len(self.executor.in_flight) >= self.max_in_flight
        if arrival is None or (is_full and arrival.may_have_run_at is not None):
            reason = "a request with this X-Txn may have run"
            self.executor.log(LogEvent.REQUEST_REJECTED, status=HTTPStatus.BAD_GATEWAY, reason=reason)
            sink.aborted(reason)
            return
        if is_full:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            reason = "the node shuts down" if self._arrived_after_cutoff(exchange) else "too many are open"
            self.executor.log(LogEvent.REQUEST_REJECTED, status=status, reason=reason)
            sink.rejected(self.executor.config.max_retry_after)
            return
        sequence = self.executor.accept(decoded.engine_request, arrival, sink, sequence_id)
        if sequence_id in self.open_sinks:  # accept() may already have answered it
            sink.sequence = sequence

    def _after_earlier_run(self, decoded: DecodedRequest) -> contract.Arrival | None:
        """Return the arrival of a request, with its earlier possible run, if any; None if it must not run.

        Test: `test_an_id_that_ran_does_not_run_again_after_its_client_left`.
        """
        arrival = decoded.arrival
        run = self.earlier_runs.find(decoded.sequence_id)
        semantics = self.executor.config.traffic[arrival.traffic].retry_semantics
        if run is None or semantics == contract.RetrySemantics.IDEMPOTENT:
            return arrival
        engine = self.decoder.engines.index_by_address.get(run.engine)
        if engine is None or semantics == contract.RetrySemantics.AT_MOST_ONCE:
            return None
        run_ago = self.executor.clock.seconds() - run.sent_at
        return arrival._replace(may_have_run_at=engine, may_have_run_ago=run_ago)

    def _arrived_after_cutoff(self, exchange: ServerExchange) -> bool:
        """Return whether the last byte of a request certainly arrived after `reject_after`.

        The event loop may have read it late, so the oldest possible age of the data is subtracted.
        """
        max_data_age = self.decoder.lag_meter.max_data_age(self.executor.clock.seconds())
        return exchange.request.received_at - max_data_age > self.reject_after
