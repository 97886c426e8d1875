"""The gRPC layer on a driven clock: framing, windows, deadlines, drains, and peers that misbehave."""

import gzip
from random import Random

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import ConnectionTerminated, ResponseReceived, StreamReset, TrailersReceived
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    HeadersFrame,
    PingFrame,
    RstStreamFrame,
    SettingsFrame,
)
from hypothesis import given
from hypothesis import strategies as st
from memnet import Net
from twisted.internet.task import Clock

from myrtlehub.rpc import framing, metadata, status
from myrtlehub.rpc.channel import READY, WAITING, CallWatcher, Channel
from myrtlehub.rpc.guards import BackOff, TransportBounds
from myrtlehub.rpc.server import Receiver, Server, ServerCall, client_stream, server_stream, unary
from myrtlehub.rpc.status import Code, RpcError, Status


class Heard(CallWatcher):
    def __init__(self) -> None:
        self.first, self.messages, self.status = None, [], None

    def headers(self, meta: tuple) -> None:
        self.first = meta

    def message(self, data: bytes) -> None:
        self.messages.append(data)

    def ended(self, status: Status) -> None:
        assert self.status is None, "a call ended twice"
        self.status = status


class Echo(Receiver):
    calls: list = []

    def __init__(self, call: ServerCall) -> None:
        self.call, self.end = call, None
        Echo.calls.append(self)

    def message(self, data: bytes) -> None:
        self.call.send(data)

    def finished(self) -> None:
        self.call.finish(trailers=[("end-bin", b"\0\xff")])

    def lost(self, code: Code) -> None:
        self.end = code


class Rig:
    def __init__(self, server: TransportBounds | None = None, **more: object) -> None:
        self.clock = Clock()
        self.net = Net(self.clock)
        self.server = Server(self.clock, server or TransportBounds())
        Echo.calls = []
        self.server.add("/t.T/Echo", Echo)
        self.server.add("/t.T/One", unary(lambda call, data: data[::-1]))
        self.server.add("/t.T/Join", client_stream(lambda call, parts: b"".join(parts)))
        self.server.add("/t.T/Count", server_stream(self._count))
        self.server.add("/t.T/Never", lambda call: Echo(call))
        self.net.listen("s", self.server)
        self.channel = Channel(self.clock, self.net.dialer("s"), "s", random=Random(1), **more)

    def _count(self, call: ServerCall, data: bytes) -> None:
        for i in range(int(data)):
            call.send(b"%d" % i)
        call.finish()

    def unary(self, path: str, data: bytes, **more: object) -> object:
        got = []
        self.channel.unary(path, data, **more).addBoth(got.append)
        self.net.run(0.1)
        return got[0] if isinstance(got[0], bytes) else got[0].value.status


# -- framing ------------------------------------------------------------------------------------------


@given(st.lists(st.binary(max_size=300), max_size=8), st.data(), st.booleans())
def test_any_split_gives_the_same_messages(messages: list[bytes], data: st.DataObject, packed: bool) -> None:
    encoding = "gzip" if packed else "identity"
    raw = b"".join(framing.frame(m, encoding) for m in messages)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=10)))
    reader, got = framing.MessageReader(1000, encoding), []
    for a, b in zip([0, *cuts], [*cuts, len(raw)], strict=True):
        got += reader.feed(raw[a:b])
    reader.finish()
    assert got == messages


@given(st.lists(st.binary(max_size=60), max_size=6), st.sampled_from(["identity", "gzip", "br"]))
def test_fuzzed_bytes_end_in_messages_or_a_clean_error(parts: list[bytes], encoding: str) -> None:
    reader = framing.MessageReader(64, encoding)
    try:
        for part in parts:
            assert all(len(m) <= 64 for m in reader.feed(part))
        reader.finish()
    except RpcError as fault:
        assert fault.status.code in (Code.INTERNAL, Code.RESOURCE_EXHAUSTED, Code.UNIMPLEMENTED)


def test_what_framing_refuses() -> None:
    bomb = gzip.compress(b"0" * 10**6)
    for raw, encoding, code in [
        (framing.HEAD.pack(0, 65), "identity", Code.RESOURCE_EXHAUSTED),
        (framing.HEAD.pack(1, len(bomb)) + bomb, "gzip", Code.RESOURCE_EXHAUSTED),
        (framing.HEAD.pack(1, 3) + b"abc", "gzip", Code.INTERNAL),
        (framing.HEAD.pack(1, 3) + b"abc", "identity", Code.INTERNAL),
        (framing.HEAD.pack(2, 0), "identity", Code.INTERNAL),
    ]:
        reader = framing.MessageReader(2000 if "gzip" in encoding else 64, encoding)
        with pytest.raises(RpcError) as caught:
            reader.feed(raw)
        assert caught.value.status.code == code
    reader = framing.MessageReader(64)
    reader.feed(framing.HEAD.pack(0, 5) + b"ab")
    with pytest.raises(RpcError, match="inside a message"):
        reader.finish()


@given(st.floats(0, 1e7))
def test_a_timeout_never_grows_on_its_way(seconds: float) -> None:
    text = status.encode_timeout(seconds)
    assert len(text) <= 9 and status.decode_timeout(text) <= seconds + 1e-6
    assert status.decode_timeout(text) >= seconds * 0.999 - 1e-8


@given(st.text(max_size=50))
def test_messages_survive_percent_encoding(text: str) -> None:
    wire = status.encode_message(text)
    assert wire.isascii() and wire.isprintable() and status.decode_message(wire) == text


def test_timeouts_and_metadata_that_are_malformed() -> None:
    for text in ("", "5", "S", "123456789S", "-1S", "1.5S", "٣S", "5x"):
        with pytest.raises(ValueError):
            status.decode_timeout(text)
    for key, value in (("Upper", "x"), ("grpc-x", "x"), ("te", "x"), ("a b", "x"), ("k", "\n"), ("k", b"x")):
        with pytest.raises(ValueError):
            metadata.encode([(key, value)])
    with pytest.raises(RpcError):
        metadata.decode([("x-bin", "!!")])
    raw = metadata.decode([("x-bin", "AP8,AQ=="), ("k", "v")])
    assert raw == (("x-bin", b"\0\xff"), ("x-bin", b"\1"), ("k", "v"))


# -- both ends ----------------------------------------------------------------------------------------


def test_all_shapes() -> None:
    rig = Rig()
    assert rig.unary("/t.T/One", b"abc") == b"cba"
    got = []
    rig.channel.collect("/t.T/Join", [b"a", b"b", b"c"]).addBoth(got.append)
    rig.channel.collect("/t.T/Count", [b"5"]).addBoth(got.append)
    rig.channel.collect("/t.T/Echo", [b"x", b"", b"y" * 100000]).addBoth(got.append)
    rig.net.run(0.1)
    assert got == [[b"abc"], [b"0", b"1", b"2", b"3", b"4"], [b"x", b"", b"y" * 100000]]


def test_errors_by_status() -> None:
    rig = Rig()

    def crash(call: ServerCall, data: bytes) -> bytes:
        raise KeyError("secret")

    rig.server.add("/t.T/Crash", unary(crash))
    assert rig.unary("/t.T/None", b"").code == Code.UNIMPLEMENTED
    ended = rig.unary("/t.T/Crash", b"")
    assert ended.code == Code.INTERNAL and "secret" not in ended.message
    assert rig.unary("/t.T/One", b"still") == b"llits"


def test_a_deadline_passes_at_both_ends() -> None:
    rig = Rig()
    heard = Heard()
    rig.channel.call("/t.T/Never", heard, timeout=0.5)
    rig.net.run(0.4)
    assert heard.status is None and abs(Echo.calls[0].call.time_left() - 0.1) < 0.01
    rig.net.run(0.2)
    assert heard.status.code == Code.DEADLINE_EXCEEDED
    assert Echo.calls[0].end in (Code.DEADLINE_EXCEEDED, Code.CANCELLED)


def test_a_cancel_reaches_the_other_end() -> None:
    rig = Rig()
    heard, held = Heard(), Heard()
    call = rig.channel.call("/t.T/Never", heard)
    rig.net.run(0.1)
    call.cancel()
    assert heard.status.code == Code.CANCELLED and not heard.status.unprocessed
    rig.net.run(0.1)
    assert Echo.calls[0].end == Code.CANCELLED and not rig.server.calls
    rig.channel.call("/t.T/Never", held).cancel()
    assert held.status.code == Code.CANCELLED and not rig.channel.protocol.streams


def test_a_stream_not_read_holds_up_its_source_and_no_other() -> None:
    rig = Rig(TransportBounds(stream_window=32768), bounds=TransportBounds(stream_window=32768))
    heard, paused, resumed = Heard(), [], []

    class Source:
        def __init__(self, call: ServerCall) -> None:
            self.call, self.on, self.left = call, True, 4000
            call.stream.registerProducer(self, True)
            self.more()

        def more(self) -> None:
            while self.on and self.left:
                self.left -= 1
                self.call.send(b"z" * 1000)

        def pauseProducing(self) -> None:  # noqa: N802
            self.on = False
            paused.append(self)

        def resumeProducing(self) -> None:  # noqa: N802
            self.on = True
            resumed.append(self)
            self.more()

        def stopProducing(self) -> None:  # noqa: N802
            self.on = False

    rig.server.add("/t.T/Pour", lambda call: (Source(call), Receiver())[1])
    call = rig.channel.call("/t.T/Pour", heard)
    call.pauseProducing()
    rig.net.run(0.5)
    stuck = len(heard.messages)
    assert paused and len(rig.server.calls) == 1
    pouring = next(iter(rig.server.calls))
    assert pouring.buffered < 2 * 65536 + 2000
    assert rig.unary("/t.T/One", b"abc") == b"cba" and len(heard.messages) == stuck
    count = len(resumed)
    call.resumeProducing()
    rig.net.run(0.1)
    assert len(heard.messages) == 4000 > stuck and len(resumed) > count
    call.cancel()
    rig.net.run(0.1)
    assert pouring.over


def test_more_streams_than_allowed_wait_their_turn() -> None:
    rig = Rig(TransportBounds(streams=3))
    rig.unary("/t.T/One", b"")
    waiting = [Heard() for _ in range(5)]
    calls = [rig.channel.call("/t.T/Never", h) for h in waiting]
    rig.net.run(0.1)
    assert len(rig.server.calls) == 3
    for call in calls[:2]:
        call.half_close()
    rig.net.run(0.1)
    assert len(rig.server.calls) == 3 and [h.status is not None for h in waiting] == [True] * 2 + [False] * 3


def test_a_drain_lets_running_calls_end_and_new_ones_go_elsewhere() -> None:
    rig = Rig()
    heard, late = Heard(), Heard()
    call = rig.channel.call("/t.T/Never", heard)
    rig.net.run(0.1)
    drained = []
    rig.server.drain().addCallback(drained.append)
    rig.net.hosts.pop("s")  # the port is closed first
    rig.net.run(0.1)
    rig.channel.call("/t.T/One", late)
    rig.net.run(0.5)
    assert late.status.code == Code.UNAVAILABLE and late.status.unprocessed and not drained
    call.send(b"last words")
    call.half_close()
    rig.net.run(0.5)
    assert heard.messages == [b"last words"] and heard.status.code == Code.OK and drained


def test_reconnection_backs_off_and_recovers() -> None:
    rig = Rig()
    rig.unary("/t.T/One", b"")
    heard = Heard()
    rig.channel.call("/t.T/Never", heard)
    rig.net.run(0.1)
    factory = rig.net.hosts["s"]
    rig.net.kill("s")
    rig.net.run(0.01)
    assert heard.status.code == Code.UNAVAILABLE and heard.status.broken and not heard.status.unprocessed
    refused = rig.unary("/t.T/One", b"")
    assert refused.code == Code.UNAVAILABLE and refused.unprocessed
    assert rig.channel.state in (WAITING, "idle")
    rig.net.listen("s", factory)
    rig.net.run(3.0)
    assert rig.unary("/t.T/One", b"ab") == b"ba" and rig.channel.state == READY
    waits = [BackOff(Random(7).random).next() for _ in range(3)]
    back_off = BackOff(Random(7).random, 0.05, 2.0)
    grown = [back_off.next() for _ in range(12)]
    assert 0.04 <= waits[0] <= 0.06 and grown[3] > grown[0] and max(grown) <= 2.4


def test_a_silent_peer_is_found_by_keep_alive() -> None:
    rig = Rig(bounds=TransportBounds(keepalive=5.0, keepalive_timeout=2.0))
    heard = Heard()
    rig.channel.call("/t.T/Never", heard)
    rig.net.run(20.0)
    assert heard.status is None  # an answered ping keeps it
    rig.net.silent.add("s")
    rig.net.run(8.0)
    assert heard.status.code == Code.UNAVAILABLE and heard.status.broken


# -- peers that misbehave -----------------------------------------------------------------------------


class Raw:
    """A hand-driven client beside an honest one."""

    def __init__(self, rig: Rig, preface: bool = True) -> None:
        self.rig, self.got, self.gone = rig, bytearray(), False
        self.h2 = H2Connection(
            H2Configuration(
                client_side=True, validate_outbound_headers=False, normalize_outbound_headers=False
            )
        )
        rig.net.dialer("s", "raw")(self)
        rig.net.run()
        if preface:
            self.h2.initiate_connection()
            self.say(self.h2.data_to_send())

    def buildProtocol(self, addr: None) -> "Raw":  # noqa: N802
        return self

    def connectionMade(self) -> None:  # noqa: N802
        pass

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.got += data

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        self.gone = True

    def say(self, data: bytes) -> list:
        """Send bytes; the events that came back."""
        self.transport.write(data)
        self.rig.net.run(0.3)
        data, self.got = bytes(self.got), bytearray()
        return self.h2.receive_data(data)

    def ask(
        self, path: str = "/t.T/One", drop: str = "", body: bytes | None = b"\0\0\0\0\1x", **more: str
    ) -> dict:
        headers = {
            ":method": "POST",
            ":scheme": "http",
            ":path": path,
            ":authority": "s",
            "te": "trailers",
            "content-type": "application/grpc",
            **{k.replace("_", "-"): v for k, v in more.items()},
        }
        headers.pop(drop, None)
        stream = self.h2.get_next_available_stream_id()
        self.h2.send_headers(stream, list(headers.items()))
        if body is not None:
            self.h2.send_data(stream, body, end_stream=True)
        seen: dict = {}
        for event in self.say(self.h2.data_to_send()):
            if isinstance(event, ResponseReceived | TrailersReceived):
                seen.update((k.decode(), v.decode()) for k, v in event.headers)
            elif isinstance(event, StreamReset):
                seen["reset"] = event.error_code
        return seen


def other_streams_go_on(rig: Rig, heard: Heard, call: object) -> None:
    call.send(b"on")
    rig.net.run(0.1)
    assert heard.messages[-1] == b"on" and heard.status is None


@pytest.mark.parametrize(
    ("send", "want"),
    [
        (lambda raw: b"GET / HTTP/1.1\r\n\r\n" + b"x" * 64, ErrorCodes.PROTOCOL_ERROR),
        (lambda raw: PREFACE + DataFrame(1, b"x" * 40000).serialize(), ErrorCodes.FRAME_SIZE_ERROR),
        (
            lambda raw: PREFACE + b"".join(PingFrame(0, b"12345678").serialize() for _ in range(500)),
            ErrorCodes.ENHANCE_YOUR_CALM,
        ),
        (
            lambda raw: PREFACE + b"".join(SettingsFrame(0, {3: i}).serialize() for i in range(500)),
            ErrorCodes.ENHANCE_YOUR_CALM,
        ),
        (lambda raw: PREFACE + rapid_resets(raw, 2000), ErrorCodes.ENHANCE_YOUR_CALM),
        (lambda raw: PREFACE + continuations(raw, 500), None),
        (lambda raw: PREFACE + big_headers(raw), ErrorCodes.ENHANCE_YOUR_CALM),
        (lambda raw: PREFACE + b"\0\0\1\0\0\0\0\0\0x", ErrorCodes.PROTOCOL_ERROR),
        (lambda raw: PREFACE + b"\xff" * 200, None),
    ],
    ids=["preface", "size", "pings", "settings", "resets", "continuations", "headers", "stream0", "noise"],
)
def test_garbage_closes_its_connection_and_no_other(send: object, want: int | None) -> None:
    rig = Rig()
    heard = Heard()
    call = rig.channel.call("/t.T/Never", heard)
    rig.net.run(0.1)
    raw = Raw(rig, preface=False)
    raw.h2.initiate_connection()
    raw.h2.data_to_send()
    events = raw.say(send(raw))
    rig.net.run(2.0)
    errors = [e.error_code for e in events if isinstance(e, ConnectionTerminated)]
    assert raw.gone and errors and errors[-1] != 0
    assert want is None or errors[-1] == want
    assert len(rig.server.connections) == 1
    other_streams_go_on(rig, heard, call)


PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SettingsFrame(0).serialize()
REQUEST = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/t.T/Never"),
    (b":authority", b"s"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc"),
]


def rapid_resets(raw: Raw, count: int) -> bytes:
    out = []
    for i in range(count):
        out.append(HeadersFrame(2 * i + 1, raw.h2.encoder.encode(REQUEST), flags=["END_HEADERS"]).serialize())
        out.append(RstStreamFrame(2 * i + 1, 8).serialize())
    return b"".join(out)


def continuations(raw: Raw, count: int) -> bytes:
    head = HeadersFrame(1, raw.h2.encoder.encode(REQUEST)).serialize()
    return head + ContinuationFrame(1, b"").serialize() * count


def big_headers(raw: Raw) -> bytes:
    block = raw.h2.encoder.encode(REQUEST + [(b"x-%d" % i, b"v" * 1000) for i in range(60)])
    parts = [block[i : i + 16000] for i in range(0, len(block), 16000)]
    out = HeadersFrame(1, parts[0]).serialize()
    for part in parts[1:-1]:
        out += ContinuationFrame(1, part).serialize()
    return out + ContinuationFrame(1, parts[-1], flags=["END_HEADERS"]).serialize()


def test_requests_that_are_not_grpc() -> None:
    rig = Rig()
    raw = Raw(rig)
    assert raw.ask()["grpc-status"] == "0"
    assert raw.ask(content_type="text/html")[":status"] == "415"
    assert raw.ask(drop="content-type")[":status"] == "415"
    assert raw.ask(**{":method": "GET"})[":status"] == "405"
    assert raw.ask(drop="te")["grpc-status"] == str(int(Code.INTERNAL))
    assert raw.ask(path="/no.Such/Method")["grpc-status"] == str(int(Code.UNIMPLEMENTED))
    assert raw.ask(grpc_timeout="soon")["grpc-status"] == str(int(Code.INTERNAL))
    refused = raw.ask(grpc_encoding="br")
    assert refused["grpc-status"] == str(int(Code.UNIMPLEMENTED))
    assert "gzip" in refused["grpc-accept-encoding"]
    assert raw.ask(body=b"\0\0\0\0\x09x")["grpc-status"] == str(int(Code.INTERNAL))  # truncated
    assert raw.ask(body=b"\0\x7f\0\0\0")["grpc-status"] == str(int(Code.RESOURCE_EXHAUSTED))
    assert raw.ask(body=b"")["grpc-status"] == str(int(Code.UNIMPLEMENTED))  # no message
    assert raw.ask(body=b"\0\0\0\0\0" * 2)["grpc-status"] == str(int(Code.UNIMPLEMENTED))  # two
    assert raw.ask(bad_bin="!")["grpc-status"] == str(int(Code.INTERNAL))
    assert raw.ask()["grpc-status"] == "0" and not raw.gone


def test_a_peer_that_never_says_settings_is_let_go() -> None:
    rig = Rig(TransportBounds(settings_timeout=1.0))
    raw = Raw(rig, preface=False)
    rig.net.run(2.5)
    assert raw.gone
