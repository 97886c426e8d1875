"""The methods of the chat front."""

from collections.abc import Callable
from typing import NamedTuple

from myrtlehub.config.traffic import TrafficTypeConfig
from myrtlehub.limits.admission import AdmissionController
from myrtlehub.limits.fair_share import FairShare
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.batch_fronts.engine_batch import EngineBatch
from myrtlehub.node.chat_front.admission_queue import AdmissionQueue, QueuedRequest
from myrtlehub.node.chat_front.chat_call import ChatCall
from myrtlehub.node.chat_front.request_message import decode_request, parse_request
from myrtlehub.node.client_limits import ClientLimits, LimitedCall
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.replication.takeover import Takeover
from myrtlehub.node.replication.takeover_interfaces import TakeoverRequest
from myrtlehub.node.request_decoder import DecodedRequest, InvalidRequestError, RequestDecoder
from myrtlehub.proto import engine_pb2
from myrtlehub.proto.chat_pb2 import GenerateRequest
from myrtlehub.routing.contract import Arrival
from myrtlehub.rpc.method_handlers import server_stream
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

GENERATE_PATH = "/myrtlehub.v1.Chat/Generate"
RESUME_PATH = "/myrtlehub.v1.Chat/Resume"
FRONT_NAME = "chat"


class TakeoverSupport(NamedTuple):
    """The dependencies for resuming sequences that other nodes have accepted."""

    replication: Replication
    transport: GrpcEngineTransport
    engines_answer_claims: bool


class ChatFrontLimits(NamedTuple):
    """The limits on the sequences of the front."""

    max_sequences: int  # in flight at the node
    max_retry_after: float  # seconds
    fair_share: FairShare[EngineBatch]  # shares the engines that serve several fronts
    client_limits: ClientLimits
    admission: AdmissionController[QueuedRequest] | None  # None: every request is admitted


class AcceptedCall(NamedTuple):
    """A decoded call."""

    chat_call: ChatCall
    message: GenerateRequest
    request: DecodedRequest
    arrival: Arrival
    traffic_type: TrafficTypeConfig
    is_rejected: bool = False  # whether the rejection has been sent


class ChatFront:
    """Serves the gRPC service `Chat` for one action executor."""

    def __init__(
        self,
        executor: ActionExecutor,
        decoder: RequestDecoder,
        limits: ChatFrontLimits,
        takeover_support: TakeoverSupport | None = None,
        on_rejected: Callable[[TrafficTypeConfig], None] = lambda traffic_type: None,
    ) -> None:
        """Create a front.

        Args:
            executor: runs the sequences.
            decoder: decodes the requests.
            limits: the limits of the front.
            takeover_support: None if the nodes do not replicate sequence records.
            on_rejected: called with the traffic type of each request that is rejected before the executor
                accepts it.
        """
        self.executor = executor
        self.decoder = decoder
        self.limits = limits
        self.takeover_support = takeover_support
        self.on_rejected = on_rejected
        self.is_closed = False  # whether all new requests are rejected
        self.admission: AdmissionQueue | None = None
        if limits.admission is not None:
            self.admission = AdmissionQueue(
                limits.admission, executor.clock, limits.max_retry_after, on_rejected
            )
        self._resumable_calls: set[ChatCall] = set()  # calls whose clients can resume at another node

    def serve(self, server: Server) -> None:
        """Serve the methods."""
        server.add(GENERATE_PATH, server_stream(self.generate))
        if self.takeover_support is not None:
            server.add(RESUME_PATH, server_stream(self.resume))

    def generate(self, call: ServerCall, data: bytes) -> Receiver:
        """Accept a new sequence."""
        accepted = self._accept_call(call, data, is_resume=False)
        if not accepted.is_rejected:
            self._admit(accepted)
        return accepted.chat_call

    def resume(self, call: ServerCall, data: bytes) -> Receiver:
        """Resume a sequence that this node or another one accepted earlier.

        Raises:
            RpcError: the nodes do not replicate sequence records, or the request is malformed.
        """
        support = self.takeover_support
        if support is None:
            raise RpcError(Code.UNIMPLEMENTED, "sequences cannot be resumed here: takeover is not configured")
        accepted = self._accept_call(call, data, is_resume=True)
        if not accepted.is_rejected:
            self._take_over(support, accepted)
        return accepted.chat_call

    def _accept_call(self, call: ServerCall, data: bytes, is_resume: bool) -> AcceptedCall:
        """Decode a call, check the limits, and track the call unless it is rejected."""
        chat_call = ChatCall(self.executor, call)
        message = parse_request(data, is_resume)
        request = decode_request(message, call.time_left())
        arrival = self._arrival(request)
        traffic_type = self.decoder.traffic_types[arrival.traffic]
        accepted = AcceptedCall(chat_call, message, request, arrival, traffic_type)
        is_full = self.is_closed or len(self.executor.in_flight) >= self.limits.max_sequences
        client_limits = self.limits.client_limits
        retry_after = client_limits.retry_after(call, request.tenant, request.is_retry, len(data), is_full)
        if retry_after is not None:
            self.on_rejected(traffic_type)
            chat_call.rejected(retry_after)  # not accepted, so no attempt was sent
            return accepted._replace(is_rejected=True)
        self.limits.fair_share.add_demand(self.executor.clock.seconds(), FRONT_NAME, arrival.prompt_tokens)
        call.stream.registerProducer(chat_call, True)
        self._arm_deadline(chat_call)
        client_limits.track(
            LimitedCall(
                call,
                request.idempotency_key,
                request.tenant,
                traffic_type.utility,
                len(data),
                chat_call.limit_exceeded,
            )
        )
        if self.takeover_support is not None:
            chat_call.is_resumable = message.may_move
            chat_call.resume_grace = self.takeover_support.replication.settings.comes_back
        return accepted

    def _admit(self, accepted: AcceptedCall) -> None:
        """Start a new sequence, or queue it if admission control is configured."""
        chat_call, _, request, arrival, traffic_type, _ = accepted
        if self.admission is None:
            self._start(chat_call, request, arrival)
            return

        def start(arrival: Arrival) -> None:
            self._start(chat_call, request, arrival)

        arrived_at = self.executor.clock.seconds()
        self.admission.enqueue(QueuedRequest(chat_call, arrival, traffic_type, arrived_at, start))

    def _arrival(self, request: DecodedRequest) -> Arrival:
        try:
            return self.decoder.arrival(request, self.executor.clock.seconds())
        except InvalidRequestError as error:
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from error

    def _arm_deadline(self, chat_call: ChatCall) -> None:
        call = chat_call.call
        if call.deadline is None:
            return
        executor = self.executor
        time_left = call.time_left() - executor.config.answer_slack
        delay = self.decoder.lag.time_left(executor.clock.seconds(), time_left)
        chat_call.deadline_timer = executor.clock.callLater(
            max(0.0, delay), chat_call.deadline_passed, self.limits.max_retry_after
        )

    def _start(
        self,
        chat_call: ChatCall,
        request: DecodedRequest,
        arrival: Arrival,
        sequence_id: str | None = None,
        earlier_attempts: int = 0,
        read_state: engine_pb2.State | None = None,
    ) -> None:
        """Pass a sequence to the executor, and send its id to the client in the initial metadata."""
        sequence_id = sequence_id or self.executor.next_sequence_id()
        chat_call.sequence_id_assigned(sequence_id)
        if chat_call.is_resumable:
            self._track_resumable(chat_call)
        chat_call.sequence = self.executor.accept(
            request, arrival, chat_call, sequence_id, earlier_attempts, read_state
        )

    # -- takeover ---------------------------------------------------------------------------------

    def _track_resumable(self, chat_call: ChatCall) -> None:
        self._resumable_calls = {tracked for tracked in self._resumable_calls if not tracked.call.over}
        self._resumable_calls.add(chat_call)

    def _take_over(self, support: TakeoverSupport, accepted: AcceptedCall) -> None:
        """Take over a sequence that its client resumes at this node."""
        chat_call, message, request, arrival, _, _ = accepted
        self._track_resumable(chat_call)

        def redispatch(
            sequence_id: str | None,
            arrival: Arrival,
            earlier_attempts: int,
            read_state: engine_pb2.State | None,
        ) -> None:
            chat_call.takeover = None
            self._start(chat_call, request, arrival, sequence_id, earlier_attempts, read_state)

        chat_call.takeover = Takeover(
            TakeoverRequest(message.resume.sequence, message.resume.tokens, request, arrival),
            support.replication,
            support.transport,
            self.executor,
            chat_call,
            redispatch,
            chat_call.superseded,
            support.engines_answer_claims,
        )
        chat_call.takeover.start()

    def hand_over(self) -> None:
        """Release the sequences whose clients can resume, and tell the clients to resume at another node."""
        support = self.takeover_support
        if support is None:
            return
        for chat_call in [resumable for resumable in self._resumable_calls if not resumable.call.over]:
            if chat_call.takeover is not None:
                chat_call.takeover.hand_over()
                chat_call.migrated()
            elif chat_call.sequence is not None:
                sequence = chat_call.sequence
                support.replication.publisher.release_ownership(sequence.sequence_id)
                chat_call.sequence = None
                chat_call.migrated()
                self.executor.hand_over(sequence)
