"""Encoding and incremental decoding of gRPC's length-prefixed messages, without I/O."""

import gzip
import zlib
from struct import Struct

from myrtlehub.rpc.status import Code, RpcError

MESSAGE_PREFIX = Struct(">BI")  # compressed flag, message length
IDENTITY = "identity"
GZIP = "gzip"
ENCODINGS = (IDENTITY, GZIP)
ACCEPTED_ENCODINGS = ",".join(ENCODINGS)
GZIP_LEVEL = 6
GZIP_WINDOW_BITS = 31  # 16 selects the gzip format, 15 is the largest window


def frame(message: bytes, encoding: str = IDENTITY) -> bytes:
    """Encode a message with its prefix."""
    if encoding == GZIP:
        compressed = gzip.compress(message, GZIP_LEVEL, mtime=0)
        return MESSAGE_PREFIX.pack(1, len(compressed)) + compressed
    return MESSAGE_PREFIX.pack(0, len(message)) + message


def _decompress(data: bytes, max_size: int) -> bytes:
    """Decompress a message up to `max_size` bytes; the limit prevents decompression bombs."""
    decompressor = zlib.decompressobj(wbits=GZIP_WINDOW_BITS)
    try:
        message = decompressor.decompress(data, max_size + 1)
    except zlib.error as error:
        raise RpcError(Code.INTERNAL, f"message does not unpack: {error}") from error
    if len(message) > max_size:
        raise RpcError(Code.RESOURCE_EXHAUSTED, f"message unpacks to more than {max_size} bytes")
    if not decompressor.eof or decompressor.unused_data:
        raise RpcError(Code.INTERNAL, "message does not unpack: truncated or trailing data")
    return message


class MessageReader:
    """Incremental decoder of a message stream; the result does not depend on how the bytes are split.

    `max_size` limits the bytes of one message, before and after decompression. Errors are raised as
    `RpcError`: INTERNAL for malformed framing, RESOURCE_EXHAUSTED for a message above the limit, and
    UNIMPLEMENTED for an unsupported encoding.
    """

    def __init__(self, max_size: int, encoding: str = IDENTITY) -> None:
        self._max_size = max_size
        self._encoding = encoding
        self._buffered = (
            bytearray()
        )  # start of an incomplete message; joined, as peers choose the size of parts
        self._needed_bytes = MESSAGE_PREFIX.size  # bytes to buffer before the next message can be complete

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the messages that they complete, in order."""
        if self._buffered:
            self._buffered += data
            if len(self._buffered) < self._needed_bytes:
                return []
            data = bytes(self._buffered)
        messages = []
        position = 0
        size = len(data)
        while size - position >= MESSAGE_PREFIX.size:
            compressed_flag, length = MESSAGE_PREFIX.unpack_from(data, position)
            if compressed_flag > 1 or length > self._max_size:
                self._reject(compressed_flag, length)
            start = position + MESSAGE_PREFIX.size
            if size - start < length:
                self._needed_bytes = MESSAGE_PREFIX.size + length
                break
            position = start + length
            message = data[start:position]
            messages.append(self._decode(message) if compressed_flag else message)
        else:
            self._needed_bytes = MESSAGE_PREFIX.size
        self._buffered = bytearray(data[position:])
        return messages

    def _reject(self, compressed_flag: int, length: int) -> None:
        if compressed_flag > 1:
            raise RpcError(Code.INTERNAL, f"compressed flag is {compressed_flag}, neither 0 nor 1")
        raise RpcError(
            Code.RESOURCE_EXHAUSTED, f"message of {length} bytes is over the limit of {self._max_size}"
        )

    def _decode(self, message: bytes) -> bytes:
        if self._encoding == GZIP:
            return _decompress(message, self._max_size)
        if self._encoding == IDENTITY:
            raise RpcError(Code.INTERNAL, "compressed flag set, but grpc-encoding is identity")
        raise RpcError(Code.UNIMPLEMENTED, f"grpc-encoding {self._encoding} is not supported")

    def finish(self) -> None:
        """Raise INTERNAL if the stream ended inside a message."""
        if self._buffered:
            raise RpcError(Code.INTERNAL, f"stream ended inside a message, {len(self._buffered)} bytes in")
