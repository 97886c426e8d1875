"""Interoperability with the clients and servers of grpcio."""

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from random import Random

import grpc
import pytest
from rpc_rig import EchoReceiver, RecordingWatcher
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.threads import blockingCallFromThread

from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.method_handlers import client_stream, server_stream, unary
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.status import Code, RpcError
from myrtlehub.rpc.transport_limits import TransportLimits

LARGE_MESSAGE_SIZE = 8 * 2**20
RAW_BYTES = {"request_serializer": None, "response_deserializer": None}


@pytest.fixture(scope="module", autouse=True)
def running_reactor() -> Iterator[None]:
    """Run the reactor in a background thread during the tests of this module."""
    thread = threading.Thread(target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True)
    thread.start()
    yield
    reactor.callFromThread(reactor.stop)
    thread.join(10)


def in_reactor(call: Callable[..., object], *args: object) -> object:
    return blockingCallFromThread(reactor, call, *args)


# -- server of this package, client of grpcio -------------------------------------------------


@pytest.fixture
def server_and_port() -> Iterator[tuple[Server, int]]:
    server = Server(reactor, TransportLimits(max_streams=400), compress=True)
    never = Deferred()
    server.add("/t.T/Echo", EchoReceiver)
    server.add("/t.T/One", unary(lambda call, data: data[::-1]))
    server.add("/t.T/Join", client_stream(lambda call, parts: b"".join(parts)))
    server.add("/t.T/Never", unary(lambda call, data: never))
    server.add("/t.T/Meta", unary(echo_metadata))
    server.add("/t.T/Fail", unary(fail_with_status))
    server.add("/t.T/Count", server_stream(count))
    port = in_reactor(TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1").listen, server)
    yield server, port.getHost().port
    in_reactor(port.stopListening)


def fail_with_status(call: ServerCall, data: bytes) -> bytes:
    raise RpcError(Code.FAILED_PRECONDITION, "100% invalid: ünï")


def count(call: ServerCall, data: bytes) -> None:
    for i in range(int(data)):
        call.send(b"%d" % i)
    call.finish()


def echo_metadata(call: ServerCall, data: bytes) -> bytes:
    call.set_initial(
        [("echoed-text", dict(call.metadata)["text"]), ("raw-bin", dict(call.metadata)["raw-bin"])]
    )
    return b""


@pytest.fixture
def grpcio_channel(server_and_port: tuple[Server, int]) -> Iterator[grpc.Channel]:
    with grpc.insecure_channel(
        f"127.0.0.1:{server_and_port[1]}",
        [("grpc.max_receive_message_length", -1), ("grpc.max_send_message_length", -1)],
    ) as channel:
        yield channel


def test_grpcio_client_unary_and_streaming_calls(grpcio_channel: grpc.Channel) -> None:
    assert grpcio_channel.unary_unary("/t.T/One", **RAW_BYTES)(b"abc") == b"cba"
    assert grpcio_channel.stream_unary("/t.T/Join", **RAW_BYTES)(iter([b"a", b"", b"c"])) == b"ac"
    assert list(grpcio_channel.unary_stream("/t.T/Count", **RAW_BYTES)(b"300")) == [
        b"%d" % i for i in range(300)
    ]
    assert list(grpcio_channel.stream_stream("/t.T/Echo", **RAW_BYTES)(iter([b"x", b"", b"z"]))) == [
        b"x",
        b"",
        b"z",
    ]


def test_grpcio_client_large_and_compressed_messages(grpcio_channel: grpc.Channel) -> None:
    large_message = Random(1).randbytes(LARGE_MESSAGE_SIZE)
    assert (
        grpcio_channel.unary_unary("/t.T/One", **RAW_BYTES)(large_message, timeout=30) == large_message[::-1]
    )
    reply = grpcio_channel.unary_unary("/t.T/One", **RAW_BYTES)(
        b"abc" * 1000, compression=grpc.Compression.Gzip, timeout=30
    )
    assert reply == b"cba" * 1000
    with pytest.raises(grpc.RpcError) as caught:
        grpcio_channel.unary_unary("/t.T/One", **RAW_BYTES)(bytes(17 * 2**20), timeout=30)
    assert caught.value.code() == grpc.StatusCode.RESOURCE_EXHAUSTED


def test_grpcio_client_errors_deadlines_and_cancellation(grpcio_channel: grpc.Channel) -> None:
    with pytest.raises(grpc.RpcError) as caught:
        grpcio_channel.unary_unary("/t.T/Fail", **RAW_BYTES)(b"")
    assert caught.value.code() == grpc.StatusCode.FAILED_PRECONDITION
    assert caught.value.details() == "100% invalid: ünï"
    with pytest.raises(grpc.RpcError) as caught:
        grpcio_channel.unary_unary("/t.T/Unknown", **RAW_BYTES)(b"")
    assert caught.value.code() == grpc.StatusCode.UNIMPLEMENTED
    with pytest.raises(grpc.RpcError) as caught:
        grpcio_channel.unary_unary("/t.T/Never", **RAW_BYTES)(b"", timeout=0.2)
    assert caught.value.code() == grpc.StatusCode.DEADLINE_EXCEEDED
    EchoReceiver.calls = []
    is_lost = threading.Event()
    original_lost, EchoReceiver.lost = (
        EchoReceiver.lost,
        lambda self, code: (original_lost(self, code), is_lost.set())[0],
    )
    try:
        stream = grpcio_channel.stream_stream("/t.T/Echo", **RAW_BYTES)(send_one_and_wait(is_lost))
        assert next(stream) == b"first"
        stream.cancel()
        assert is_lost.wait(10) and EchoReceiver.calls[0].end == Code.CANCELLED
    finally:
        EchoReceiver.lost = original_lost


def send_one_and_wait(may_end: threading.Event) -> Iterator[bytes]:
    yield b"first"
    may_end.wait(10)


def test_grpcio_client_metadata(grpcio_channel: grpc.Channel) -> None:
    reply, call = grpcio_channel.unary_unary("/t.T/Meta", **RAW_BYTES).with_call(
        b"", metadata=[("text", "plain text"), ("raw-bin", b"\0\xffx")]
    )
    received_metadata = dict(call.initial_metadata())
    assert (received_metadata["echoed-text"], received_metadata["raw-bin"]) == (
        "plain text",
        b"\0\xffx",
    ) and reply == b""
    stream = grpcio_channel.stream_stream("/t.T/Echo", **RAW_BYTES)(iter([]))
    assert list(stream) == [] and dict(stream.trailing_metadata())["end-bin"] == b"\0\xff"


def test_grpcio_client_200_concurrent_streams(grpcio_channel: grpc.Channel) -> None:
    streams = [grpcio_channel.unary_stream("/t.T/Count", **RAW_BYTES)(b"20") for _ in range(200)]
    assert [len(list(stream)) for stream in streams] == [20] * 200


def test_grpcio_client_completes_its_call_during_a_drain(
    server_and_port: tuple[Server, int], grpcio_channel: grpc.Channel
) -> None:
    may_end = threading.Event()
    stream = grpcio_channel.stream_stream("/t.T/Echo", **RAW_BYTES)(send_one_and_wait(may_end))
    assert next(stream) == b"first"
    drained = in_reactor(lambda: [server_and_port[0].drain()])[0]
    may_end.set()
    assert list(stream) == [] and stream.code() == grpc.StatusCode.OK
    in_reactor(lambda: drained)


# -- channel of this package, server of grpcio ------------------------------------------------


class GrpcioHandler(grpc.GenericRpcHandler):
    """Handlers of the test methods on a grpcio server."""

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        handlers = {
            "/t.T/One": grpc.unary_unary_rpc_method_handler(lambda data, ctx: data[::-1]),
            "/t.T/Join": grpc.stream_unary_rpc_method_handler(lambda parts, ctx: b"".join(parts)),
            "/t.T/Count": grpc.unary_stream_rpc_method_handler(
                lambda data, ctx: (b"%d" % i for i in range(int(data)))
            ),
            "/t.T/Echo": grpc.stream_stream_rpc_method_handler(lambda parts, ctx: parts),
            "/t.T/Meta": grpc.unary_unary_rpc_method_handler(self.meta),
            "/t.T/Fail": grpc.unary_unary_rpc_method_handler(
                lambda data, ctx: ctx.abort(grpc.StatusCode.DATA_LOSS, "50% lost: é")
            ),
            "/t.T/Wait": grpc.unary_stream_rpc_method_handler(self.wait),
        }
        return handlers.get(details.method)

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self.time_left = 0.0

    def meta(self, data: bytes, ctx: grpc.ServicerContext) -> bytes:
        received = dict(ctx.invocation_metadata())
        ctx.send_initial_metadata([("echoed-text", received["text"])])
        ctx.set_trailing_metadata([("raw-bin", received["raw-bin"])])
        return b""

    def wait(self, data: bytes, ctx: grpc.ServicerContext) -> Iterator[bytes]:
        ctx.add_callback(self.stopped.set)
        self.time_left = ctx.time_remaining()
        yield b"begun"
        self.stopped.wait(10)


@pytest.fixture
def handler_and_channel() -> Iterator[tuple[GrpcioHandler, Channel]]:
    handler = GrpcioHandler()
    server = grpc.server(
        ThreadPoolExecutor(16),
        [handler],
        options=[("grpc.max_receive_message_length", -1), ("grpc.max_send_message_length", -1)],
        compression=grpc.Compression.Gzip,
    )
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    channel = Channel(
        reactor, TCP4ClientEndpoint(reactor, "127.0.0.1", port).connect, f"127.0.0.1:{port}", random=Random(2)
    )
    yield handler, channel
    in_reactor(lambda: channel.close())
    server.stop(None).wait()


def test_channel_unary_and_streaming_calls_to_grpcio(
    handler_and_channel: tuple[GrpcioHandler, Channel],
) -> None:
    channel = handler_and_channel[1]
    assert in_reactor(channel.unary, "/t.T/One", b"abc") == b"cba"
    assert in_reactor(channel.collect, "/t.T/Join", [b"a", b"", b"c"]) == [b"ac"]
    assert in_reactor(channel.collect, "/t.T/Count", [b"300"]) == [b"%d" % i for i in range(300)]
    assert in_reactor(channel.collect, "/t.T/Echo", [b"x", b"", b"z" * 70000]) == [b"x", b"", b"z" * 70000]


def test_channel_large_and_compressed_messages_to_grpcio(
    handler_and_channel: tuple[GrpcioHandler, Channel],
) -> None:
    channel, large_message = handler_and_channel[1], Random(1).randbytes(LARGE_MESSAGE_SIZE)
    assert in_reactor(channel.unary, "/t.T/One", large_message) == large_message[::-1]
    in_reactor(lambda: setattr(channel, "encoding", "gzip"))
    assert in_reactor(channel.unary, "/t.T/One", b"abc" * 1000) == b"cba" * 1000


def test_channel_errors_metadata_and_deadlines_with_grpcio(
    handler_and_channel: tuple[GrpcioHandler, Channel],
) -> None:
    handler, channel = handler_and_channel
    with pytest.raises(RpcError) as caught:
        in_reactor(channel.unary, "/t.T/Fail", b"")
    assert caught.value.status[:2] == (Code.DATA_LOSS, "50% lost: é")
    with pytest.raises(RpcError) as caught:
        in_reactor(channel.unary, "/t.T/Unknown", b"")
    assert caught.value.status.code == Code.UNIMPLEMENTED
    with pytest.raises(RpcError) as caught:
        in_reactor(channel.collect, "/t.T/Wait", [b""], (), 0.4)
    assert caught.value.status.code == Code.DEADLINE_EXCEEDED and 0.0 < handler.time_left <= 0.4
    assert handler.stopped.wait(10)
    watcher, done = RecordingWatcher(), threading.Event()
    watcher.ended = lambda status: (setattr(watcher, "status", status), done.set())[0]

    def start() -> None:
        channel.call("/t.T/Meta", watcher, [("text", "w"), ("raw-bin", b"\0\xff")]).send(b"")

    in_reactor(start)
    assert done.wait(10) and dict(watcher.initial_metadata)["echoed-text"] == "w"
    assert dict(watcher.status.trailers)["raw-bin"] == b"\0\xff"


def test_channel_cancels_calls_to_grpcio(handler_and_channel: tuple[GrpcioHandler, Channel]) -> None:
    handler, channel = handler_and_channel
    watcher, started, done = RecordingWatcher(), threading.Event(), threading.Event()
    watcher.message = lambda data: started.set()
    watcher.ended = lambda status: (setattr(watcher, "status", status), done.set())[0]
    call = in_reactor(lambda: channel.call("/t.T/Wait", watcher))
    in_reactor(lambda: (call.send(b""), call.half_close())[0])
    assert started.wait(10)
    in_reactor(lambda: call.cancel())
    assert done.wait(10) and watcher.status.code == Code.CANCELLED and handler.stopped.wait(10)


def test_channel_200_concurrent_streams_to_grpcio(handler_and_channel: tuple[GrpcioHandler, Channel]) -> None:
    received = in_reactor(
        lambda: gatherResults([handler_and_channel[1].collect("/t.T/Count", [b"20"]) for _ in range(200)])
    )
    assert [len(replies) for replies in received] == [20] * 200
