"""A gRPC server and channel on a simulated clock, and a client whose bytes the test writes itself."""

from random import Random
from typing import ClassVar

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import Event, ResponseReceived, StreamReset, TrailersReceived
from memnet import Net, Pipe
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.method_handlers import client_stream, server_stream, unary
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code, Metadata, RpcError, Status
from myrtlehub.rpc.transport_limits import TransportLimits


class RecordingWatcher(CallWatcher):
    """Records the callbacks of a call."""

    def __init__(self) -> None:
        self.initial_metadata: Metadata | None = None
        self.messages: list[bytes] = []
        self.status: Status | None = None

    def headers(self, meta: Metadata) -> None:
        """Record the initial metadata."""
        self.initial_metadata = meta

    def message(self, data: bytes) -> None:
        """Record a reply."""
        self.messages.append(data)

    def ended(self, status: Status) -> None:
        """Record the status."""
        assert self.status is None, "a call ended twice"
        self.status = status


class EchoReceiver(Receiver):
    """Sends every message back to the client."""

    calls: ClassVar[list["EchoReceiver"]] = []

    def __init__(self, call: ServerCall) -> None:
        self.call = call
        self.end: Code | None = None
        EchoReceiver.calls.append(self)

    def message(self, data: bytes) -> None:
        """Send the message back."""
        self.call.send(data)

    def finished(self) -> None:
        """End the call."""
        self.call.finish(trailers=[("end-bin", b"\0\xff")])

    def lost(self, code: Code) -> None:
        """Record how the call was lost."""
        self.end = code


class RpcRig:
    """A server and a channel that are connected by a network in memory."""

    def __init__(
        self, server_limits: TransportLimits | None = None, limits: TransportLimits | None = None
    ) -> None:
        self.clock = Clock()
        self.net = Net(self.clock)
        self.server = Server(self.clock, server_limits or TransportLimits())
        EchoReceiver.calls = []
        self.server.add("/t.T/Echo", EchoReceiver)
        self.server.add("/t.T/One", unary(lambda call, data: data[::-1]))
        self.server.add("/t.T/Join", client_stream(lambda call, parts: b"".join(parts)))
        self.server.add("/t.T/Count", server_stream(self._count))
        self.server.add("/t.T/Never", lambda call: EchoReceiver(call))
        self.net.listen("s", self.server)
        self.channel = Channel(self.clock, self.net.dialer("s"), "s", limits, Random(1))

    def _count(self, call: ServerCall, data: bytes) -> None:
        for i in range(int(data)):
            call.send(b"%d" % i)
        call.finish()

    def unary(self, path: str, data: bytes) -> bytes | Status:
        """Return the reply, or the status of the failure."""
        results: list[bytes | Status] = []

        def failed(failure: Failure) -> None:
            if not isinstance(failure.value, RpcError):
                failure.raiseException()
            else:
                results.append(failure.value.status)

        self.channel.unary(path, data).addCallbacks(results.append, failed)
        self.net.run(0.1)
        (result,) = results
        return result


class RawClient:
    """A client that may violate the protocol; the rig's channel is a correct client of the same server."""

    transport: Pipe  # the in-memory network sets it

    def __init__(self, rig: RpcRig, sends_preface: bool = True) -> None:
        self.rig = rig
        self.is_lost = False
        self._received = bytearray()
        self.h2 = H2Connection(
            H2Configuration(
                client_side=True, validate_outbound_headers=False, normalize_outbound_headers=False
            )
        )
        rig.net.dialer("s", "raw")(self)
        rig.net.run()
        if sends_preface:
            self.h2.initiate_connection()
            self.exchange(self.h2.data_to_send())

    def buildProtocol(self, addr: None) -> "RawClient":  # noqa: N802
        """Return this client, which is its own factory."""
        return self

    def connectionMade(self) -> None:  # noqa: N802
        """Do nothing: the test decides what is sent."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect received bytes."""
        self._received += data

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Record that the connection was lost."""
        self.is_lost = True

    def exchange(self, data: bytes) -> list[Event]:
        """Send bytes, and return the events of the bytes received in response."""
        self.transport.write(data)
        self.rig.net.run(0.3)
        received = bytes(self._received)
        self._received = bytearray()
        return self.h2.receive_data(received)

    def request(
        self, path: str = "/t.T/One", drop: str = "", body: bytes | None = b"\0\0\0\0\1x", **headers: str
    ) -> dict[str, str | int]:
        """Send a request without the header `drop`; return the headers and trailers of the response."""
        all_headers = {
            ":method": "POST",
            ":scheme": "http",
            ":path": path,
            ":authority": "s",
            "te": "trailers",
            "content-type": "application/grpc",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        all_headers.pop(drop, None)
        stream = self.h2.get_next_available_stream_id()
        self.h2.send_headers(stream, list(all_headers.items()))
        if body is not None:
            self.h2.send_data(stream, body, end_stream=True)
        seen: dict[str, str | int] = {}
        for event in self.exchange(self.h2.data_to_send()):
            if isinstance(event, ResponseReceived | TrailersReceived):
                seen.update((k.decode(), v.decode()) for k, v in event.headers)
            elif isinstance(event, StreamReset):
                seen["reset"] = event.error_code
        return seen
