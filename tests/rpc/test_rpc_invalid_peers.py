"""Peers that violate the protocol, flood the connection with frames, or do not respond."""

from collections.abc import Callable

import pytest
from h2.errors import ErrorCodes
from h2.events import ConnectionTerminated, ResponseReceived
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    HeadersFrame,
    PingFrame,
    RstStreamFrame,
    SettingsFrame,
)
from rpc_rig import RawClient, RecordingWatcher, RpcRig

from myrtlehub.rpc.client_call import ClientCall
from myrtlehub.rpc.status import Code
from myrtlehub.rpc.transport_limits import TransportLimits

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SettingsFrame(0).serialize()
REQUEST_HEADERS = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/t.T/Never"),
    (b":authority", b"s"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc"),
]


def rapid_resets(raw: RawClient, count: int) -> bytes:
    frames = []
    for i in range(count):
        frames.append(
            HeadersFrame(2 * i + 1, raw.h2.encoder.encode(REQUEST_HEADERS), flags=["END_HEADERS"]).serialize()
        )
        frames.append(RstStreamFrame(2 * i + 1, 8).serialize())
    return b"".join(frames)


def continuation_flood(raw: RawClient, count: int) -> bytes:
    first_frame = HeadersFrame(1, raw.h2.encoder.encode(REQUEST_HEADERS)).serialize()
    return first_frame + ContinuationFrame(1, b"").serialize() * count


def oversized_headers(raw: RawClient) -> bytes:
    block = raw.h2.encoder.encode(REQUEST_HEADERS + [(b"x-%d" % i, b"v" * 1000) for i in range(60)])
    parts = [block[i : i + 16000] for i in range(0, len(block), 16000)]
    frames = HeadersFrame(1, parts[0]).serialize()
    for part in parts[1:-1]:
        frames += ContinuationFrame(1, part).serialize()
    return frames + ContinuationFrame(1, parts[-1], flags=["END_HEADERS"]).serialize()


def assert_call_still_works(rig: RpcRig, watcher: RecordingWatcher, call: ClientCall) -> None:
    call.send(b"on")
    rig.net.run(0.1)
    assert watcher.messages[-1] == b"on" and watcher.status is None


@pytest.mark.parametrize(
    ("make_bytes", "error"),
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
        (lambda raw: PREFACE + continuation_flood(raw, 500), None),
        (lambda raw: PREFACE + oversized_headers(raw), ErrorCodes.ENHANCE_YOUR_CALM),
        (lambda raw: PREFACE + b"\0\0\1\0\0\0\0\0\0x", ErrorCodes.PROTOCOL_ERROR),
        (lambda raw: PREFACE + b"\xff" * 200, None),
    ],
    ids=["preface", "size", "pings", "settings", "resets", "continuations", "headers", "stream0", "garbage"],
)
def test_invalid_frames_close_only_their_connection(
    make_bytes: Callable[[RawClient], bytes], error: int | None
) -> None:
    rig = RpcRig()
    watcher = RecordingWatcher()
    call = rig.channel.call("/t.T/Never", watcher)
    rig.net.run(0.1)
    raw = RawClient(rig, sends_preface=False)
    raw.h2.initiate_connection()
    raw.h2.data_to_send()
    events = raw.exchange(make_bytes(raw))
    rig.net.run(2.0)
    errors = [event.error_code for event in events if isinstance(event, ConnectionTerminated)]
    assert raw.is_lost and errors and errors[-1] != 0
    assert error is None or errors[-1] == error
    assert len(rig.server.connections) == 1
    assert_call_still_works(rig, watcher, call)


def test_invalid_requests_are_rejected() -> None:
    rig = RpcRig()
    raw = RawClient(rig)
    assert raw.request()["grpc-status"] == "0"
    assert raw.request(content_type="text/html")[":status"] == "415"
    assert raw.request(drop="content-type")[":status"] == "415"
    assert raw.request(**{":method": "GET"})[":status"] == "405"
    assert raw.request(drop="te")["grpc-status"] == str(int(Code.INTERNAL))
    assert raw.request(path="/no.Such/Method")["grpc-status"] == str(int(Code.UNIMPLEMENTED))
    assert raw.request(grpc_timeout="soon")["grpc-status"] == str(int(Code.INTERNAL))
    rejected = raw.request(grpc_encoding="br")
    assert rejected["grpc-status"] == str(int(Code.UNIMPLEMENTED))
    assert "gzip" in rejected["grpc-accept-encoding"]
    assert raw.request(body=b"\0\0\0\0\x09x")["grpc-status"] == str(int(Code.INTERNAL))  # truncated message
    assert raw.request(body=b"\0\x7f\0\0\0")["grpc-status"] == str(int(Code.RESOURCE_EXHAUSTED))
    assert raw.request(body=b"")["grpc-status"] == str(int(Code.UNIMPLEMENTED))  # no message
    assert raw.request(body=b"\0\0\0\0\0" * 2)["grpc-status"] == str(int(Code.UNIMPLEMENTED))  # two messages
    assert raw.request(bad_bin="!")["grpc-status"] == str(int(Code.INTERNAL))
    assert raw.request()["grpc-status"] == "0" and not raw.is_lost


def test_peer_without_settings_is_disconnected() -> None:
    rig = RpcRig(TransportLimits(settings_timeout=1.0))
    raw = RawClient(rig, sends_preface=False)
    rig.net.run(2.5)
    assert raw.is_lost


# Guards against a frame that never ends, each byte of which counted as a sign of life.
def test_a_connection_whose_frame_never_ends_is_closed() -> None:
    rig = RpcRig(server_limits=TransportLimits(keepalive_interval=5.0, keepalive_timeout=2.0))
    raw = RawClient(rig)
    raw.request("/t.T/Never")
    raw.transport.write(DataFrame(1, b"x" * 1000).serialize()[:20])
    for _ in range(75):
        raw.transport.write(b"x")
        rig.net.run(0.1)
    assert raw.is_lost


# Guards against a request that never ends, on a connection that is alive and a call without a deadline.
def test_a_request_that_is_not_complete_in_time_ends_its_call() -> None:
    rig = RpcRig(server_limits=TransportLimits(request_timeout=5.0))
    raw = RawClient(rig)
    raw.h2.send_headers(1, [*REQUEST_HEADERS[:2], (b":path", b"/t.T/One"), *REQUEST_HEADERS[3:]])
    raw.h2.send_data(1, b"\0\0\0\xff\xff")
    raw.exchange(raw.h2.data_to_send())
    trailers: list[tuple[bytes, bytes]] = []
    for _ in range(17):
        if not trailers:
            raw.h2.send_data(1, b"x")
        for event in raw.exchange(raw.h2.data_to_send()):
            trailers += event.headers if isinstance(event, ResponseReceived) else []
    assert dict(trailers)[b"grpc-status"] == b"%d" % Code.DEADLINE_EXCEEDED
