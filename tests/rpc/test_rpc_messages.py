"""Encoding and decoding of messages, metadata and status without a connection."""

import gzip
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.rpc import framing, metadata, status
from myrtlehub.rpc.status import Code, RpcError
from myrtlehub.rpc.stream import Stream
from myrtlehub.rpc.transport_limits import TransportLimits

MESSAGE_BYTES = 200_000


@given(st.lists(st.binary(max_size=300), max_size=8), st.data(), st.booleans())
def test_decoded_messages_do_not_depend_on_the_split(
    messages: list[bytes], data: st.DataObject, is_compressed: bool
) -> None:
    encoding = "gzip" if is_compressed else "identity"
    raw = b"".join(framing.frame(message, encoding) for message in messages)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=10)))
    reader, decoded = framing.MessageReader(1000, encoding), []
    for start, end in zip([0, *cuts], [*cuts, len(raw)], strict=True):
        decoded += reader.feed(raw[start:end])
    reader.finish()
    assert decoded == messages


@given(st.lists(st.binary(max_size=60), max_size=6), st.sampled_from(["identity", "gzip", "br"]))
def test_fuzzed_bytes_result_in_messages_or_an_rpc_error(parts: list[bytes], encoding: str) -> None:
    reader = framing.MessageReader(64, encoding)
    code = None
    try:
        for part in parts:
            assert all(len(message) <= 64 for message in reader.feed(part))
        reader.finish()
    except RpcError as error:
        code = error.status.code
    assert code in (None, Code.INTERNAL, Code.RESOURCE_EXHAUSTED, Code.UNIMPLEMENTED)


def test_malformed_and_oversized_messages_are_rejected() -> None:
    decompression_bomb = gzip.compress(b"0" * 10**6)
    for raw, encoding, code in [
        (framing.MESSAGE_PREFIX.pack(0, 65), "identity", Code.RESOURCE_EXHAUSTED),
        (
            framing.MESSAGE_PREFIX.pack(1, len(decompression_bomb)) + decompression_bomb,
            "gzip",
            Code.RESOURCE_EXHAUSTED,
        ),
        (framing.MESSAGE_PREFIX.pack(1, 3) + b"abc", "gzip", Code.INTERNAL),
        (framing.MESSAGE_PREFIX.pack(1, 3) + b"abc", "identity", Code.INTERNAL),
        (framing.MESSAGE_PREFIX.pack(2, 0), "identity", Code.INTERNAL),
    ]:
        reader = framing.MessageReader(2000 if "gzip" in encoding else 64, encoding)
        with pytest.raises(RpcError) as caught:
            reader.feed(raw)
        assert caught.value.status.code == code
    reader = framing.MessageReader(64)
    reader.feed(framing.MESSAGE_PREFIX.pack(0, 5) + b"ab")
    with pytest.raises(RpcError, match="inside a message"):
        reader.finish()


@given(st.floats(0, 1e7))
def test_encoding_never_extends_a_timeout(seconds: float) -> None:
    text = status.encode_timeout(seconds)
    assert len(text) <= 9 and status.decode_timeout(text) <= seconds + 1e-6
    assert status.decode_timeout(text) >= seconds * 0.999 - 1e-8


@given(st.text(max_size=50))
def test_status_messages_are_restored_after_percent_encoding(text: str) -> None:
    encoded = status.encode_message(text)
    assert encoded.isascii() and encoded.isprintable() and status.decode_message(encoded) == text


def test_malformed_timeouts_and_metadata_are_rejected() -> None:
    for text in ("", "5", "S", "123456789S", "-1S", "1.5S", "٣S", "5x"):
        with pytest.raises(ValueError, match="grpc-timeout"):
            status.decode_timeout(text)
    for key, value in (("Upper", "x"), ("grpc-x", "x"), ("te", "x"), ("a b", "x"), ("k", "\n"), ("k", b"x")):
        with pytest.raises(ValueError, match="metadata"):
            metadata.encode([(key, value)])
    with pytest.raises(RpcError):
        metadata.decode([("x-bin", "!!")])
    raw = metadata.decode([("x-bin", "AP8,AQ=="), ("k", "v")])
    assert raw == (("x-bin", b"\0\xff"), ("x-bin", b"\1"), ("k", "v"))


def memory_of_tiny_parts(receive: Callable[[bytes], object]) -> int:
    """Return the memory that is held after MESSAGE_BYTES bytes were received in parts of two bytes."""
    text = bytes(range(256)) * (MESSAGE_BYTES // 256)
    tracemalloc.start()
    for position in range(0, len(text), 2):
        receive(b"%c%c" % (text[position], text[position]))  # an object of its own, as one from a socket
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held


def test_a_message_in_tiny_parts_takes_little_more_memory_than_its_size() -> None:
    """Guards against an object for each part: a peer may send a message in tiny DATA frames."""
    reader = framing.MessageReader(MESSAGE_BYTES * 2)
    reader.feed(framing.MESSAGE_PREFIX.pack(0, MESSAGE_BYTES * 2))
    assert memory_of_tiny_parts(reader.feed) < 2 * MESSAGE_BYTES


def test_data_in_tiny_parts_for_a_paused_stream_takes_little_more_memory_than_its_size() -> None:
    """Guards against an object for each DATA frame of a stream whose consumer is paused."""
    connection = SimpleNamespace(limits=TransportLimits(stream_window=4 * MESSAGE_BYTES), writer=None)
    stream = Stream(cast(Any, connection), 1)
    received: list[bytes] = []
    stream.on_data = received.append
    stream.pauseProducing()
    assert memory_of_tiny_parts(lambda data: stream.receive(data, len(data))) < 2 * MESSAGE_BYTES
    stream.resumeProducing()
    assert sum(map(len, received)) == MESSAGE_BYTES // 256 * 256
