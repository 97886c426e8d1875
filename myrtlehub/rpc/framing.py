"""Length-prefixed messages: sans-I/O, any split of bytes gives the same messages."""

import gzip
import zlib
from struct import Struct

from myrtlehub.rpc.status import Code, RpcError

HEAD = Struct(">BI")
ENCODINGS = ("identity", "gzip")


def frame(message: bytes, encoding: str = "identity") -> bytes:
    """One message with its five-byte head."""
    if encoding == "gzip":
        packed = gzip.compress(message, 6, mtime=0)
        return HEAD.pack(1, len(packed)) + packed
    return HEAD.pack(0, len(message)) + message


def _inflate(data: bytes, limit: int) -> bytes:
    # Guards against a small message that unpacks to fill memory: no more than the limit is ever produced.
    unpacker = zlib.decompressobj(wbits=31)
    try:
        message = unpacker.decompress(data, limit + 1)
    except zlib.error as fault:
        raise RpcError(Code.INTERNAL, f"message does not unpack: {fault}") from fault
    if len(message) > limit:
        raise RpcError(Code.RESOURCE_EXHAUSTED, f"message unpacks to more than {limit} bytes")
    if not unpacker.eof or unpacker.unused_data:
        raise RpcError(Code.INTERNAL, "message does not unpack: truncated or trailing data")
    return message


class MessageReader:
    """Collects bytes and gives whole messages.

    `limit` is the most bytes of one message, before and after unpacking. Errors are `RpcError`: INTERNAL for
    malformed framing, RESOURCE_EXHAUSTED for size, UNIMPLEMENTED for an encoding not known here.
    """

    def __init__(self, limit: int, encoding: str = "identity") -> None:
        self.limit, self.encoding = limit, encoding
        self._parts: list[bytes] = []
        self._size = 0
        self._need = HEAD.size

    def feed(self, data: bytes) -> list[bytes]:
        """Messages completed by these bytes, in order."""
        if self._parts:
            # Parts are joined only when enough is there: a long message costs one copy, not one a frame.
            self._parts.append(data)
            self._size += len(data)
            if self._size < self._need:
                return []
            data = b"".join(self._parts)
            self._parts.clear()
        messages, at, size = [], 0, len(data)
        while size - at >= HEAD.size:
            packed, length = HEAD.unpack_from(data, at)
            if packed > 1:
                raise RpcError(Code.INTERNAL, f"compressed flag is {packed}, neither 0 nor 1")
            if length > self.limit:
                raise RpcError(
                    Code.RESOURCE_EXHAUSTED, f"message of {length} bytes is over the limit of {self.limit}"
                )
            if size - at - HEAD.size < length:
                self._need = HEAD.size + length
                break
            at += HEAD.size
            message = data[at : at + length]
            at += length
            messages.append(self._unpack(message) if packed else message)
        else:
            self._need = HEAD.size
        rest = data[at:]
        self._size = len(rest)
        if rest:
            self._parts.append(rest)
        return messages

    def _unpack(self, message: bytes) -> bytes:
        if self.encoding == "gzip":
            return _inflate(message, self.limit)
        if self.encoding == "identity":
            raise RpcError(Code.INTERNAL, "compressed flag set, but grpc-encoding is identity")
        raise RpcError(Code.UNIMPLEMENTED, f"grpc-encoding {self.encoding} is not supported")

    def finish(self) -> None:
        """Say that the stream ended; INTERNAL if it ended inside a message."""
        if self._size:
            raise RpcError(Code.INTERNAL, f"stream ended inside a message, {self._size} bytes in")
