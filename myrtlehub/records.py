"""Files of records of what clients and engines sent and received, for the rule checker.

A record is a msgpack array of four elements: the time (seconds of the machine's monotonic clock, which all
processes share), the name of the process that wrote it, the event, and the event's details by name. Each
record is preceded by its length. Records are compressed with zstandard and flushed one by one, so a process
that is killed loses at most the record that it was writing.
"""

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import zstandard

from myrtlehub.clock import Clock

FILE_SIGNATURE = b"myrtlehub-records-1\n"


class Record(NamedTuple):
    """An event that a process observed."""

    at: float  # seconds of the machine's monotonic clock
    who: str  # the process that wrote the record
    what: str  # the event
    more: dict[str, Any]  # details of the event, by name


class Recorder:
    """Appends records to a file, or to a list if there is no path.

    Attributes:
        who: Name of the process, written to each record.
        clock: Gives the time of each record.
        kept: The records, if there is no path.
    """

    def __init__(self, who: str, clock: Clock, path: str | Path = "") -> None:
        self.who, self.clock = who, clock
        self.kept: list[Record] = []
        self._file = -1
        if path:
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
            self._compressor = zstandard.ZstdCompressor(level=1).compressobj()
            os.write(self._file, FILE_SIGNATURE if not os.fstat(self._file).st_size else b"")

    def note(self, what: str, **more: object) -> None:
        """Write one record of the event `what` with the details `more`."""
        record = Record(self.clock.seconds(), self.who, what, more)
        if self._file < 0:
            self.kept.append(record)
            return
        encoded = msgspec.msgpack.encode(record)
        data = self._compressor.compress(len(encoded).to_bytes(4) + encoded)
        os.write(self._file, data + self._compressor.flush(zstandard.COMPRESSOBJ_FLUSH_BLOCK))

    def close(self) -> None:
        """End the compressed frame and close the file."""
        if self._file >= 0:
            os.write(self._file, self._compressor.flush())
            os.close(self._file)
            self._file = -1


def read(path: str | Path) -> Iterator[Record]:
    """Yield the records of a file, up to the first one that is incomplete.

    Raises:
        ValueError: The file does not begin with the signature of a record file.
    """
    data = Path(path).read_bytes()
    if not data.startswith(FILE_SIGNATURE):
        raise ValueError(f"{path}: not a record file: it does not begin with its signature")
    data = data[len(FILE_SIGNATURE) :]
    decompressed = bytearray()
    while data:  # a restarted process appends a further compressed frame
        decompressor = zstandard.ZstdDecompressor().decompressobj()
        try:
            decompressed += decompressor.decompress(data)
        except zstandard.ZstdError:
            break
        data = decompressor.unused_data
    decoder = msgspec.msgpack.Decoder(tuple[float, str, str, dict[str, Any]])
    offset = 0
    while offset + 4 <= len(decompressed):
        size = int.from_bytes(decompressed[offset : offset + 4])
        if offset + 4 + size > len(decompressed):
            return
        yield Record(*decoder.decode(memoryview(decompressed)[offset + 4 : offset + 4 + size]))
        offset += 4 + size
