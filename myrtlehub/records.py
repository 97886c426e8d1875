"""Records of what clients and engines sent and received, for the rule checker.

A record is a msgpack array: the time (seconds of the machine's monotonic clock, which all processes share),
the process that wrote it, the event, and the details of the event by name. Records are compressed with
zstandard and flushed one by one, so a process that is killed loses at most the record that it was writing.
"""

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import zstandard

from myrtlehub.clock import Clock

HEAD = b"myrtlehub-records-1\n"


class Record(NamedTuple):
    """An event that a client or an engine observed; the module describes the fields."""

    at: float
    who: str
    what: str
    more: dict[str, Any]


class Recorder:
    """Writes records to a file, or collects them in the list `kept` if there is no path."""

    def __init__(self, who: str, clock: Clock, path: str | Path = "") -> None:
        self.who, self.clock = who, clock
        self.kept: list[Record] = []
        self._file = -1
        if path:
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
            self._pack = zstandard.ZstdCompressor(level=1).compressobj()
            os.write(self._file, HEAD if not os.fstat(self._file).st_size else b"")

    def note(self, what: str, **more: object) -> None:
        """Write one record."""
        record = Record(self.clock.seconds(), self.who, what, more)
        if self._file < 0:
            self.kept.append(record)
            return
        packed = msgspec.msgpack.encode(record)
        data = self._pack.compress(len(packed).to_bytes(4) + packed)
        os.write(self._file, data + self._pack.flush(zstandard.COMPRESSOBJ_FLUSH_BLOCK))

    def close(self) -> None:
        """Write the end of the compressed data, and close the file."""
        if self._file >= 0:
            os.write(self._file, self._pack.flush())
            os.close(self._file)
            self._file = -1


def read(path: str | Path) -> Iterator[Record]:
    """Yield the records of a file, up to the first one that was not written completely.

    Raises:
        ValueError: the file does not begin like a file of records.
    """
    data = Path(path).read_bytes()
    if not data.startswith(HEAD):
        raise ValueError(f"{path}: not a file of records")
    data = data[len(HEAD) :]
    raw = bytearray()
    while data:  # a restarted process appends a compressed frame of its own
        unpacker = zstandard.ZstdDecompressor().decompressobj()
        try:
            raw += unpacker.decompress(data)
        except zstandard.ZstdError:
            break
        data = unpacker.unused_data
    unpack = msgspec.msgpack.Decoder(tuple[float, str, str, dict[str, Any]])
    at = 0
    while at + 4 <= len(raw):
        size = int.from_bytes(raw[at : at + 4])
        if at + 4 + size > len(raw):
            return
        yield Record(*unpack.decode(memoryview(raw)[at + 4 : at + 4 + size]))
        at += 4 + size
