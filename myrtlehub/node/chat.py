"""The chat front: Chat.Generate as DecodedRequest and ResponseSink. Decodes and encodes; decides nothing."""

from collections.abc import Callable

from myrtlehub.config.traffic import TrafficTypeConfig
from myrtlehub.limits.admission import NEVER, AdmissionController
from myrtlehub.limits.fair_share import FairShare
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.client_limits import ClientLimits, LimitedCall
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.replication.takeover import Takeover, TakeoverRequest
from myrtlehub.node.request_decoder import DecodedRequest, InvalidRequestError
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.proto import chat_pb2 as pb
from myrtlehub.rpc.method_handlers import server_stream
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, RpcError

PATH, RESUME = "/myrtlehub.v1.Chat/Generate", "/myrtlehub.v1.Chat/Resume"


class _Waiting(Receiver):
    """One client's stream: what the executor tells it, and back-pressure the other way."""

    def __init__(self, executor: ActionExecutor, call: ServerCall) -> None:
        self.executor, self.call = executor, call
        self.held: InFlightSequence | None = None
        self.timer = None
        # Where there is admission: the front, and what waits at its gate.
        self.front: ChatFront | None = None
        self.item: tuple | None = None
        self.row: TrafficTypeConfig | None = None
        self.came = 0.0
        self.let_in = False
        self.takeover: Takeover | None = None  # while it is taken over from another node
        self.may_move = False  # its client comes back by itself, at any node
        self.linger = 0.0  # seconds for which such a client may be gone until it counts as having left

    # what the executor says

    def tokens(self, raw: bytes) -> None:
        if self.let_in:
            self._begun()
        self.call.send(raw)

    def _begun(self) -> None:
        self.let_in = False
        now = self.executor.clock.seconds()
        self.front.gate.started(now, now - self.came, self.row.latency_slo)
        self.executor.clock.callLater(0, self.front.pump)

    def _over(self) -> None:
        """It ended without a beginning, or while it waited at the gate."""
        if self.let_in:
            self.let_in = False
            had_time = self.item[2].time_left >= self.row.latency_slo
            self.front.gate.failed(self.executor.clock.seconds(), had_time)
            self.executor.clock.callLater(0, self.front.pump)
        elif self.item is not None:
            self.front.gate.cancel(self.item)
        self.item = None

    def cut(self, why: str) -> None:
        """By a limit on its client."""
        if self.held is not None:
            self.executor.deadline_passed(self.held, why)
        else:
            self.rejected(0.0)  # it had not been let in: nothing ran

    def generated(self, tokens: int) -> None:
        self._final(pb.GenerateReply(generated=pb.Generated(tokens=tokens)))

    def rejected(self, wait: float) -> None:
        self._final(pb.GenerateReply(rejected=pb.Rejected(wait_ms=round(wait * 1000))))

    def aborted(self, reason: str) -> None:
        self._final(pb.GenerateReply(aborted=pb.Aborted(reason=reason)))

    def moved(self) -> None:
        """Not final: this node goes, and its client comes back at another one."""
        self._final(pb.GenerateReply(moved=pb.Moved()))

    def named(self, label: str) -> None:
        """By which id it is known from now on."""
        self.call.set_initial([("myrtle-seq", label)])
        if self.may_move:
            self.call.set_initial([("myrtle-resume", "1")])
            self.call.begin()  # it has to know it before anything else is there

    def superseded(self, why: str) -> None:
        """Another node has it: no answer comes from here."""
        self._disarm()
        self.call.finish(Code.ABORTED, why)

    def _disarm(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _final(self, reply: pb.GenerateReply) -> None:
        self._over()
        self._disarm()
        self.call.stream.unregisterProducer()
        self.call.send(reply.SerializeToString())
        self.call.finish()

    # what the client does

    def lost(self, code: Code) -> None:
        self._disarm()
        self._over()
        if self.takeover is not None:
            self.takeover.client_left()
        if self.held is None:
            return
        if self.may_move and self.linger and code == Code.UNAVAILABLE:
            # Its connection broke: it comes back for the rest, here or elsewhere, and then supersedes this.
            self.executor.clock.callLater(self.linger, self.executor.client_left, self.held)
        else:
            self.executor.client_left(self.held)

    # the client's stream as consumer: a client that does not read holds up its writer's stream

    def pauseProducing(self) -> None:  # noqa: N802
        call = self._source()
        if call is not None:
            call.pauseProducing()

    def _source(self) -> object | None:
        """The call from which its stream comes."""
        if self.takeover is not None:
            return self.takeover.call
        attempt = self.held.streaming_attempt if self.held is not None else None
        return attempt.call if attempt is not None and attempt.is_outstanding else None

    def resumeProducing(self) -> None:  # noqa: N802
        call = self._source()
        if call is not None:
            call.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """The stream is over; `lost` says so as well."""


def asked_of(request: pb.GenerateRequest, deadline_in: float) -> DecodedRequest:
    """A request's fields, in our units."""
    return DecodedRequest(
        request.traffic_type,
        request.tenant,
        request.session,
        request.shared_prefix,
        request.shared_tokens,
        request.prompt_tokens,
        request.most_output,
        request.time_left_ms / 1000.0,
        deadline_in,
        request.mark,
        request.repeated,
        request.expected_ms / 1000.0,
        request.prompt,
    )


class ChatFront:
    """Serves Chat on a server, for a executor."""

    def __init__(
        self,
        executor: ActionExecutor,
        most_sequences: int,
        wait: float,
        shares: FairShare,
        client_limits: ClientLimits,
        gate: AdmissionController | None = None,
        turned_away: Callable[[TrafficTypeConfig], None] = lambda row: None,
    ) -> None:
        self.turned_away = turned_away  # told of each sequence that was never taken
        self.executor, self.most, self.wait, self.shares = executor, most_sequences, wait, shares
        self.client_limits = client_limits
        self.closed = False
        self.gate: AdmissionController | None = gate
        self.replication: Replication | None = None
        self.claims = False  # whether engines answer claims
        self.transport: GrpcEngineTransport | None = None
        self.waiting: set[_Waiting] = set()  # of clients that come back by themselves
        self._timer = None

    def serve(self, server: object) -> None:
        """Add the methods."""
        server.add(PATH, server_stream(self.generate))
        if self.replication is not None:
            server.add(RESUME, server_stream(self.resume))

    def resume(self, call: ServerCall, data: bytes) -> Receiver:
        """One sequence that its client has begun elsewhere, or here."""
        return self.generate(call, data, True)

    def generate(self, call: ServerCall, data: bytes, again: bool = False) -> Receiver:
        """One sequence."""
        waiting = _Waiting(self.executor, call)
        try:
            request = pb.GenerateRequest.FromString(data)
        except ValueError as fault:
            raise RpcError(Code.INVALID_ARGUMENT, f"not a GenerateRequest: {fault}") from fault
        if again != bool(request.resume.sequence):
            raise RpcError(Code.INVALID_ARGUMENT, "resume.sequence: has to be in Resume, and nowhere else")
        asked = asked_of(request, call.time_left())
        try:
            arrival = self.executor.decoder.arrival(asked, self.executor.clock.seconds())
        except InvalidRequestError as fault:
            raise RpcError(Code.INVALID_ARGUMENT, str(fault)) from fault
        full = self.closed or len(self.executor.in_flight) >= self.most
        wait = self.client_limits.retry_after(call, asked.tenant, asked.is_retry, len(data), full)
        if wait is not None:
            self.turned_away(self.executor.decoder.rows[arrival.traffic])
            waiting.rejected(wait)  # not taken: nothing ran
            return waiting
        self.shares.add_demand(self.executor.clock.seconds(), "chat", arrival.prompt_tokens)
        call.stream.registerProducer(waiting, True)
        if call.deadline is not None:
            now, slack = self.executor.clock.seconds(), self.executor.config.answer_slack
            due = self.executor.decoder.lag.time_left(now, call.time_left() - slack)
            waiting.timer = self.executor.clock.callLater(max(0.0, due), self._out_of_time, waiting)
        row = self.executor.decoder.rows[arrival.traffic]
        self.client_limits.track(
            LimitedCall(call, asked.mark, asked.tenant, row.utility, len(data), waiting.cut)
        )
        if self.replication is not None:
            waiting.may_move, waiting.linger = request.may_move, self.replication.settings.comes_back
            if again:
                self._resume(
                    waiting, TakeoverRequest(request.resume.sequence, request.resume.tokens, asked, arrival)
                )
                return waiting
        if self.gate is None:
            self._take(waiting, asked, arrival)
        else:
            waiting.row, waiting.came, waiting.front = row, self.executor.clock.seconds(), self
            waiting.item = (waiting, asked, arrival)
            self.gate.enqueue(waiting.came, row.name, row.latency_slo, waiting.item)
            self.pump()
        return waiting

    def _take(self, waiting: _Waiting, asked: DecodedRequest, arrival: object) -> None:
        """Hand it to the module; its id is said with the first message."""
        self._hand(waiting, asked, "", arrival)

    def _hand(
        self,
        waiting: _Waiting,
        asked: DecodedRequest,
        label: str,
        arrival: object,
        before: int = 0,
        handle: object = None,
    ) -> None:
        label = label or self.executor.next_sequence_id()
        waiting.named(label)
        if waiting.may_move:
            self._follow(waiting)
        waiting.held = self.executor.accept(asked, arrival, waiting, label, before, handle)

    def _follow(self, waiting: _Waiting) -> None:
        self.waiting = {w for w in self.waiting if not w.call.over}
        self.waiting.add(waiting)

    def _resume(self, waiting: _Waiting, wanted: TakeoverRequest) -> None:
        """A client came back for what another node had, or this one."""
        self._follow(waiting)

        def hand(label: str, arrival: object, before: int, handle: object) -> None:
            waiting.takeover = None
            self._hand(waiting, wanted.request, label, arrival, before, handle)

        waiting.takeover = Takeover(
            wanted,
            self.replication,
            self.transport,
            self.executor,
            waiting,
            hand,
            waiting.superseded,
            self.claims,
        )
        waiting.takeover.start()

    def hand_over(self) -> None:
        """This node goes: clients that come back by themselves are sent to others, and find their work."""
        for waiting in [w for w in self.waiting if not w.call.over]:
            if waiting.takeover is not None:
                waiting.takeover.hand_over()
                waiting.moved()
            elif waiting.held is not None:
                self.replication.publisher.leave(waiting.held.sequence_id)
                held, waiting.held = waiting.held, None
                waiting.moved()
                self.executor.hand_over(held)

    def pump(self) -> None:
        """Let in what may come in, and tell what is shed."""
        now = self.executor.clock.seconds()
        while (item := self.gate.admit_next(now)) is not None:
            waiting, asked, arrival = item
            waiting.let_in = True
            self._take(waiting, asked, arrival._replace(time_left=arrival.time_left - (now - waiting.came)))
        for waiting, _, _ in self.gate.take_shed(now):
            waiting.item = None
            self.turned_away(waiting.row)
            waiting.rejected(self.gate.retry_after(self.wait))
        due = self.gate.next_shed_at()
        if due < NEVER and (self._timer is None or not self._timer.active()):
            self._timer = self.executor.clock.callLater(max(0.001, due - now), self.pump)

    def _out_of_time(self, waiting: _Waiting) -> None:
        if waiting.takeover is not None:
            waiting.takeover.deadline_passed()
        elif waiting.held is None:
            waiting.rejected(self.wait)  # it still waits at the gate
        else:
            self.executor.deadline_passed(
                waiting.held, "the call's deadline came before the end of the answer"
            )
