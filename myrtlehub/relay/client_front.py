"""The front for clients: requests become arrivals, final answers become responses. It decides nothing."""

from collections.abc import Callable

from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.log_events import LogEvent
from myrtlehub.node.action_executor import ActionExecutor, InFlightSequence
from myrtlehub.relay.errors import RejectedRequestError
from myrtlehub.relay.platform_limits import DEFAULT_MAX_IN_FLIGHT
from myrtlehub.relay.request_decoder import RequestDecoder
from myrtlehub.state.invariants import InvariantCounter, broken_by_answer

READY_PATH = b"/up"
CHAT_PATH = b"/v1/chat/completions"
STREAM_HEADERS = ((b"Content-Type", b"text/event-stream"),)


class ExchangeSink:
    """The action executor's response sink of one sequence: writes to the client's exchange."""

    __slots__ = ("exchange", "front", "sequence", "sequence_id")

    def __init__(self, front: "ClientFront", exchange: ServerExchange, sequence_id: str) -> None:
        self.front = front
        self.exchange = exchange
        self.sequence_id = sequence_id
        self.sequence: InFlightSequence | None = None
        exchange.on_lost = self._on_lost
        exchange.on_pause = self._on_pause
        exchange.on_resume = self._on_resume

    def tokens(self, message: bytes) -> None:
        """Pass events on to the client."""
        if not self.exchange.started:
            self.exchange.start_stream(200, STREAM_HEADERS)
        self.exchange.write(message)

    def generated(self, tokens: int) -> None:
        """End the stream."""
        self._detach_answered()
        self.exchange.finish()

    def rejected(self, retry_after: float) -> None:
        """Respond that nothing ran, or that it may run again; `retry_after` in seconds, 0 for none."""
        self._detach_answered()
        self.exchange.respond(503, ((b"Retry-After", b"%.3f" % retry_after),) if retry_after else ())

    def aborted(self, reason: str) -> None:
        """Respond without a promise, or end a stream that has begun."""
        self._detach_answered()
        if self.exchange.started:
            self.exchange.abort()
        else:
            self.exchange.respond(502)

    def _detach_answered(self) -> None:
        """Pass nothing more on, as this is the final answer."""
        has_final_answer = self.sequence_id not in self.front.open
        self.front.invariants.check(broken_by_answer(has_final_answer), self.sequence_id)
        self._detach()

    def _detach(self) -> InFlightSequence | None:
        """Pass nothing more on; returns the sequence.

        Guards against memory that only the collector would free, seconds to minutes later: exchange, this and
        the sequence refer to one another, with the whole request.
        """
        self.front.open.pop(self.sequence_id, None)
        sequence, self.sequence = self.sequence, None
        self.exchange.clear_callbacks()
        return sequence

    def _on_lost(self) -> None:
        sequence = self._detach()
        if sequence is not None:
            self.front.executor.client_left(sequence)

    def _on_pause(self) -> None:
        request = self._outstanding_request()
        if request is not None:
            request.pause()

    def _on_resume(self) -> None:
        request = self._outstanding_request()
        if request is not None:
            request.resume()

    def _outstanding_request(self) -> PendingRequest | None:
        """Return the request whose response streams to the client, if it has not ended."""
        attempt = self.sequence.streaming_attempt if self.sequence is not None else None
        return attempt.call if attempt is not None and attempt.is_outstanding else None


class ClientFront:
    """Takes the requests of all clients' connections.

    Attributes:
        open: Sinks of the sequences that are in flight, by the client's id.
        is_ready: Whether a list is there.
        rejected_count: Malformed requests so far.
    """

    def __init__(
        self,
        executor: ActionExecutor,
        decoder: RequestDecoder,
        invariants: InvariantCounter,
        max_in_flight: int = DEFAULT_MAX_IN_FLIGHT,
    ) -> None:
        self.invariants = invariants
        self.executor = executor
        self.decoder = decoder
        self.max_in_flight = max_in_flight
        self.open: dict[str, ExchangeSink] = {}
        self.is_ready: Callable[[], bool] = lambda: True
        self.rejected_count = 0

    def on_request(self, exchange: ServerExchange) -> None:
        """Handle a complete request."""
        request = exchange.request
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            if request.method != b"GET":
                self._reject(exchange, 405)
            else:
                exchange.respond(200 if self.is_ready() else 503)
        elif path != CHAT_PATH:
            self._reject(exchange, 404)
        elif request.method != b"POST":
            self._reject(exchange, 405)
        else:
            self._accept(exchange)

    def _reject(self, exchange: ServerExchange, status: int, reason: str = "") -> None:
        """Respond with a client error at once; the connection is closed."""
        self.rejected_count += 1
        self.executor.log(LogEvent.REQUEST_REJECTED, status=status, reason=reason)
        exchange.respond(status, close=True)

    def _accept(self, exchange: ServerExchange) -> None:
        try:
            decoded = self.decoder.decode(exchange.request, self.executor.clock.seconds())
            if decoded.sequence_id in self.open:
                raise RejectedRequestError(409, "X-Txn is that of an open request")
        except RejectedRequestError as error:
            self._reject(exchange, error.status, str(error))
            return
        sequence_id = decoded.sequence_id
        sink = ExchangeSink(self, exchange, sequence_id)
        self.open[sequence_id] = sink
        if len(self.executor.in_flight) >= self.max_in_flight:
            sink.rejected(self.executor.config.max_retry_after)  # not accepted: nothing ran
            return
        sequence = self.executor.accept(decoded.engine_request, decoded.arrival, sink, sequence_id)
        if sequence_id in self.open:  # else it was answered at once
            sink.sequence = sequence
