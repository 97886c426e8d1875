"""Length-prefixed messages of gRPC, without I/O: the messages do not depend on how the bytes are split."""

import gzip
import zlib
from struct import Struct

from myrtlehub.rpc.status import Code, RpcError

MESSAGE_PREFIX = Struct(">BI")  # compressed flag, length
IDENTITY = "identity"
GZIP = "gzip"
ENCODINGS = (IDENTITY, GZIP)
ACCEPTED_ENCODINGS = ",".join(ENCODINGS)
GZIP_LEVEL = 6
GZIP_WINDOW_BITS = 31  # zlib's code for the gzip format with the largest window


def frame(message: bytes, encoding: str = IDENTITY) -> bytes:
    """Return a message with its prefix."""
    if encoding == GZIP:
        packed = gzip.compress(message, GZIP_LEVEL, mtime=0)
        return MESSAGE_PREFIX.pack(1, len(packed)) + packed
    return MESSAGE_PREFIX.pack(0, len(message)) + message


def _decompress(data: bytes, max_size: int) -> bytes:
    """Decompress a message to at most `max_size` bytes, as a small one could otherwise exhaust the memory."""
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
    """Collects bytes and returns complete messages.

    `max_size` is the limit on the bytes of one message, before and after decompression. Errors are
    `RpcError`: INTERNAL for malformed framing, RESOURCE_EXHAUSTED for size, UNIMPLEMENTED for an
    unknown encoding.
    """

    def __init__(self, max_size: int, encoding: str = IDENTITY) -> None:
        self._max_size = max_size
        self._encoding = encoding
        self._parts: list[bytes] = []
        self._size = 0
        self._needed = MESSAGE_PREFIX.size  # bytes to collect before a message can be complete

    def feed(self, data: bytes) -> list[bytes]:
        """Return the messages that these bytes complete, in order."""
        if self._parts:
            # Parts are joined only once a message is complete: a long one is copied once, not once per frame.
            self._parts.append(data)
            self._size += len(data)
            if self._size < self._needed:
                return []
            data = b"".join(self._parts)
            self._parts.clear()
        messages = []
        position = 0
        size = len(data)
        while size - position >= MESSAGE_PREFIX.size:
            compressed_flag, length = MESSAGE_PREFIX.unpack_from(data, position)
            if compressed_flag > 1 or length > self._max_size:
                self._reject(compressed_flag, length)
            begin = position + MESSAGE_PREFIX.size
            if size - begin < length:
                self._needed = MESSAGE_PREFIX.size + length
                break
            position = begin + length
            message = data[begin:position]
            messages.append(self._decode(message) if compressed_flag else message)
        else:
            self._needed = MESSAGE_PREFIX.size
        rest = data[position:]
        self._size = len(rest)
        if rest:
            self._parts.append(rest)
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
        """Check at the end of the stream that no message is incomplete; raise INTERNAL otherwise."""
        if self._size:
            raise RpcError(Code.INTERNAL, f"stream ended inside a message, {self._size} bytes in")
