"""Interoperability with grpcio: its client with our server, and our channel with its server."""

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

BIG = 8 * 2**20
RAW = {"request_serializer": None, "response_deserializer": None}


@pytest.fixture(scope="module", autouse=True)
def running_reactor() -> Iterator[None]:
    """Run the reactor in a thread while the tests of this module run."""
    thread = threading.Thread(target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True)
    thread.start()
    yield
    reactor.callFromThread(reactor.stop)
    thread.join(10)


def in_reactor(call: Callable[..., object], *args: object) -> object:
    return blockingCallFromThread(reactor, call, *args)


# -- our server, grpcio's client ---------------------------------------------------------------------


@pytest.fixture
def our_server() -> Iterator[tuple[Server, int]]:
    server = Server(reactor, TransportLimits(max_streams=400), compress=True)
    never = Deferred()
    server.add("/t.T/Echo", EchoReceiver)
    server.add("/t.T/One", unary(lambda call, data: data[::-1]))
    server.add("/t.T/Join", client_stream(lambda call, parts: b"".join(parts)))
    server.add("/t.T/Never", unary(lambda call, data: never))
    server.add("/t.T/Meta", unary(show_meta))
    server.add("/t.T/Fail", unary(fail))
    server.add("/t.T/Count", server_stream(count))
    port = in_reactor(TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1").listen, server)
    yield server, port.getHost().port
    in_reactor(port.stopListening)


def fail(call: ServerCall, data: bytes) -> bytes:
    raise RpcError(Code.FAILED_PRECONDITION, "100% wrong: ünï")


def count(call: ServerCall, data: bytes) -> None:
    for i in range(int(data)):
        call.send(b"%d" % i)
    call.finish()


def show_meta(call: ServerCall, data: bytes) -> bytes:
    call.set_initial([("seen", dict(call.metadata)["word"]), ("raw-bin", dict(call.metadata)["raw-bin"])])
    return b""


@pytest.fixture
def grpcio_channel(our_server: tuple[Server, int]) -> Iterator[grpc.Channel]:
    with grpc.insecure_channel(
        f"127.0.0.1:{our_server[1]}",
        [("grpc.max_receive_message_length", -1), ("grpc.max_send_message_length", -1)],
    ) as channel:
        yield channel


def test_grpcio_client_unary_and_streaming_calls(grpcio_channel: grpc.Channel) -> None:
    assert grpcio_channel.unary_unary("/t.T/One", **RAW)(b"abc") == b"cba"
    assert grpcio_channel.stream_unary("/t.T/Join", **RAW)(iter([b"a", b"", b"c"])) == b"ac"
    assert list(grpcio_channel.unary_stream("/t.T/Count", **RAW)(b"300")) == [b"%d" % i for i in range(300)]
    assert list(grpcio_channel.stream_stream("/t.T/Echo", **RAW)(iter([b"x", b"", b"z"]))) == [
        b"x",
        b"",
        b"z",
    ]


def test_grpcio_client_large_and_compressed_messages(grpcio_channel: grpc.Channel) -> None:
    big = Random(1).randbytes(BIG)
    assert grpcio_channel.unary_unary("/t.T/One", **RAW)(big, timeout=30) == big[::-1]
    packed = grpcio_channel.unary_unary("/t.T/One", **RAW)(
        b"abc" * 1000, compression=grpc.Compression.Gzip, timeout=30
    )
    assert packed == b"cba" * 1000
    with pytest.raises(grpc.RpcError) as caught:
        grpcio_channel.unary_unary("/t.T/One", **RAW)(bytes(17 * 2**20), timeout=30)
    assert caught.value.code() == grpc.StatusCode.RESOURCE_EXHAUSTED


def test_grpcio_client_errors_deadlines_and_cancellation(grpcio_channel: grpc.Channel) -> None:
    with pytest.raises(grpc.RpcError) as caught:
        grpcio_channel.unary_unary("/t.T/Fail", **RAW)(b"")
    assert caught.value.code() == grpc.StatusCode.FAILED_PRECONDITION
    assert caught.value.details() == "100% wrong: ünï"
    with pytest.raises(grpc.RpcError) as caught:
        grpcio_channel.unary_unary("/t.T/Nope", **RAW)(b"")
    assert caught.value.code() == grpc.StatusCode.UNIMPLEMENTED
    with pytest.raises(grpc.RpcError) as caught:
        grpcio_channel.unary_unary("/t.T/Never", **RAW)(b"", timeout=0.2)
    assert caught.value.code() == grpc.StatusCode.DEADLINE_EXCEEDED
    EchoReceiver.calls = []
    notified = threading.Event()
    lost, EchoReceiver.lost = EchoReceiver.lost, lambda self, code: (lost(self, code), notified.set())[0]
    try:
        stream = grpcio_channel.stream_stream("/t.T/Echo", **RAW)(stay_open(notified))
        assert next(stream) == b"first"
        stream.cancel()
        assert notified.wait(10) and EchoReceiver.calls[0].end == Code.CANCELLED
    finally:
        EchoReceiver.lost = lost


def stay_open(until: threading.Event) -> Iterator[bytes]:
    yield b"first"
    until.wait(10)


def test_grpcio_client_metadata(grpcio_channel: grpc.Channel) -> None:
    reply, call = grpcio_channel.unary_unary("/t.T/Meta", **RAW).with_call(
        b"", metadata=[("word", "plain text"), ("raw-bin", b"\0\xffx")]
    )
    first = dict(call.initial_metadata())
    assert (first["seen"], first["raw-bin"]) == ("plain text", b"\0\xffx") and reply == b""
    stream = grpcio_channel.stream_stream("/t.T/Echo", **RAW)(iter([]))
    assert list(stream) == [] and dict(stream.trailing_metadata())["end-bin"] == b"\0\xff"


def test_grpcio_client_200_concurrent_streams(grpcio_channel: grpc.Channel) -> None:
    streams = [grpcio_channel.unary_stream("/t.T/Count", **RAW)(b"20") for _ in range(200)]
    assert [len(list(s)) for s in streams] == [20] * 200


def test_grpcio_client_during_our_drain(our_server: tuple[Server, int], grpcio_channel: grpc.Channel) -> None:
    go = threading.Event()
    stream = grpcio_channel.stream_stream("/t.T/Echo", **RAW)(stay_open(go))
    assert next(stream) == b"first"
    drained = in_reactor(lambda: [our_server[0].drain()])[0]
    go.set()
    assert list(stream) == [] and stream.code() == grpc.StatusCode.OK
    in_reactor(lambda: drained)


# -- our channel, grpcio's server --------------------------------------------------------------------


class GrpcioHandler(grpc.GenericRpcHandler):
    """Handlers of the test methods in a grpcio server."""

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        h = {
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
        return h.get(details.method)

    def __init__(self) -> None:
        self.stopped = threading.Event()
        self.time_left = 0.0

    def meta(self, data: bytes, ctx: grpc.ServicerContext) -> bytes:
        got = dict(ctx.invocation_metadata())
        ctx.send_initial_metadata([("seen", got["word"])])
        ctx.set_trailing_metadata([("raw-bin", got["raw-bin"])])
        return b""

    def wait(self, data: bytes, ctx: grpc.ServicerContext) -> Iterator[bytes]:
        ctx.add_callback(self.stopped.set)
        self.time_left = ctx.time_remaining()
        yield b"begun"
        self.stopped.wait(10)


@pytest.fixture
def grpcio_server() -> Iterator[tuple[GrpcioHandler, Channel]]:
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


def test_our_channel_unary_and_streaming_calls(grpcio_server: tuple[GrpcioHandler, Channel]) -> None:
    channel = grpcio_server[1]
    assert in_reactor(channel.unary, "/t.T/One", b"abc") == b"cba"
    assert in_reactor(channel.collect, "/t.T/Join", [b"a", b"", b"c"]) == [b"ac"]
    assert in_reactor(channel.collect, "/t.T/Count", [b"300"]) == [b"%d" % i for i in range(300)]
    assert in_reactor(channel.collect, "/t.T/Echo", [b"x", b"", b"z" * 70000]) == [b"x", b"", b"z" * 70000]


def test_our_channel_large_and_compressed_messages(grpcio_server: tuple[GrpcioHandler, Channel]) -> None:
    channel, big = grpcio_server[1], Random(1).randbytes(BIG)
    assert in_reactor(channel.unary, "/t.T/One", big) == big[::-1]
    in_reactor(lambda: setattr(channel, "encoding", "gzip"))
    assert in_reactor(channel.unary, "/t.T/One", b"abc" * 1000) == b"cba" * 1000


def test_our_channel_errors_metadata_deadline(grpcio_server: tuple[GrpcioHandler, Channel]) -> None:
    handler, channel = grpcio_server
    with pytest.raises(RpcError) as caught:
        in_reactor(channel.unary, "/t.T/Fail", b"")
    assert caught.value.status[:2] == (Code.DATA_LOSS, "50% lost: é")
    with pytest.raises(RpcError) as caught:
        in_reactor(channel.unary, "/t.T/Nope", b"")
    assert caught.value.status.code == Code.UNIMPLEMENTED
    with pytest.raises(RpcError) as caught:
        in_reactor(channel.collect, "/t.T/Wait", [b""], (), 0.4)
    assert caught.value.status.code == Code.DEADLINE_EXCEEDED and 0.0 < handler.time_left <= 0.4
    assert handler.stopped.wait(10)
    watcher, done = RecordingWatcher(), threading.Event()
    watcher.ended = lambda status: (setattr(watcher, "status", status), done.set())[0]

    def start() -> None:
        channel.call("/t.T/Meta", watcher, [("word", "w"), ("raw-bin", b"\0\xff")]).send(b"")

    in_reactor(start)
    assert done.wait(10) and dict(watcher.initial_metadata)["seen"] == "w"
    assert dict(watcher.status.trailers)["raw-bin"] == b"\0\xff"


def test_our_channel_cancels(grpcio_server: tuple[GrpcioHandler, Channel]) -> None:
    handler, channel = grpcio_server
    watcher, begun, done = RecordingWatcher(), threading.Event(), threading.Event()
    watcher.message = lambda data: begun.set()
    watcher.ended = lambda status: (setattr(watcher, "status", status), done.set())[0]
    call = in_reactor(lambda: channel.call("/t.T/Wait", watcher))
    in_reactor(lambda: (call.send(b""), call.half_close())[0])
    assert begun.wait(10)
    in_reactor(lambda: call.cancel())
    assert done.wait(10) and watcher.status.code == Code.CANCELLED and handler.stopped.wait(10)


def test_our_channel_200_concurrent_streams(grpcio_server: tuple[GrpcioHandler, Channel]) -> None:
    got = in_reactor(
        lambda: gatherResults([grpcio_server[1].collect("/t.T/Count", [b"20"]) for _ in range(200)])
    )
    assert [len(g) for g in got] == [20] * 200
