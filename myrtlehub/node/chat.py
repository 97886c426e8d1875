"""The chat front: Chat.Generate as Asked and Client. Decodes and encodes; decides nothing."""

from myrtlehub.limits.shares import FrontShares
from myrtlehub.node.door import Asked, NotTaken
from myrtlehub.node.host import Held, Host
from myrtlehub.node.peers import PeerWatch
from myrtlehub.proto import chat_pb2 as pb
from myrtlehub.rpc.server import Receiver, ServerCall, server_stream
from myrtlehub.rpc.status import Code, RpcError

PATH = "/myrtlehub.v1.Chat/Generate"


class _Waiting(Receiver):
    """One client's stream: what the host tells it, and back-pressure the other way."""

    def __init__(self, host: Host, call: ServerCall) -> None:
        self.host, self.call = host, call
        self.held: Held | None = None
        self.timer = None

    # what the host says

    def tokens(self, raw: bytes) -> None:
        self.call.send(raw)

    def generated(self, tokens: int) -> None:
        self._final(pb.GenerateReply(generated=pb.Generated(tokens=tokens)))

    def rejected(self, wait: float) -> None:
        self._final(pb.GenerateReply(rejected=pb.Rejected(wait_ms=round(wait * 1000))))

    def aborted(self, reason: str) -> None:
        self._final(pb.GenerateReply(aborted=pb.Aborted(reason=reason)))

    def _final(self, reply: pb.GenerateReply) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.call.stream.unregisterProducer()
        self.call.send(reply.SerializeToString())
        self.call.finish()

    # what the client does

    def lost(self, code: Code) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if self.held is not None:
            self.host.left(self.held)

    # the client's stream as consumer: a client that does not read holds up its writer's stream

    def pauseProducing(self) -> None:  # noqa: N802
        attempt = self.held.begun if self.held is not None else None
        if attempt is not None and attempt.out:
            attempt.call.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        attempt = self.held.begun if self.held is not None else None
        if attempt is not None and attempt.out:
            attempt.call.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """The stream is over; `lost` says so as well."""


def asked_of(request: pb.GenerateRequest, deadline_in: float) -> Asked:
    """A request's fields, in our units."""
    return Asked(request.traffic_type, request.tenant, request.session, request.shared_prefix,
                 request.shared_tokens, request.prompt_tokens, request.most_output, request.time_left_ms /
                 1000.0,
                 deadline_in, request.mark, request.repeated, request.expected_ms / 1000.0, request.prompt)


class ChatFront:
    """Serves Chat on a server, for a host."""

    def __init__(self, host: Host, most_sequences: int, wait: float, shares: FrontShares,
                 peers: PeerWatch) -> None:
        self.host, self.most, self.wait, self.shares, self.peers = host, most_sequences, wait, shares, peers
        self.closed = False

    def serve(self, server: object) -> None:
        """Add the methods."""
        server.add(PATH, server_stream(self.generate))

    def generate(self, call: ServerCall, data: bytes) -> Receiver:
        """One sequence."""
        waiting = _Waiting(self.host, call)
        try:
            request = pb.GenerateRequest.FromString(data)
        except ValueError as fault:
            raise RpcError(Code.INVALID_ARGUMENT, f"not a GenerateRequest: {fault}") from fault
        asked = asked_of(request, call.time_left())
        try:
            arrival = self.host.door.arrival(asked, self.host.clock.seconds())
        except NotTaken as fault:
            raise RpcError(Code.INVALID_ARGUMENT, str(fault)) from fault
        if self.closed or len(self.host.held) >= self.most or not self.peers.room(
                call, asked.tenant, len(data)):
            waiting.rejected(self.wait)  # not taken: nothing ran
            return waiting
        self.shares.asked(self.host.clock.seconds(), "chat", arrival.prompt)
        call.set_initial([("myrtle-seq", self.host.next_label())])
        call.stream.registerProducer(waiting, True)
        if call.deadline is not None:
            now, slack = self.host.clock.seconds(), self.host.terms.answer_slack
            due = self.host.door.lag.left(now, call.time_left() - slack)
            waiting.timer = self.host.clock.callLater(max(0.0, due), self._out_of_time, waiting)
        waiting.held = held = self.host.take(asked, arrival, waiting)
        utility = self.host.door.rows[arrival.traffic].utility
        self.peers.open(call, held.label, asked.tenant, utility, len(data),
                        lambda why: self.host.out_of_time(held, why))
        return waiting

    def _out_of_time(self, waiting: _Waiting) -> None:
        if waiting.held is not None:
            self.host.out_of_time(waiting.held, "the call's deadline came before the end of the answer")
