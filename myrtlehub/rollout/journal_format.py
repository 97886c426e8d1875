"""The format of the journal file: one entry per line, each line with its own checksum.

Replaying the events of a journal restores the state of its rollout. Each line is on disk before the actions
that it requires are executed. An incomplete last line is dropped. Any other damaged line is an error, because
the entries after it cannot be trusted either.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec
import xxhash

from myrtlehub.rollout.node_orders import FORMAT_VERSION
from myrtlehub.rollout.rollout_state import FLEET

JsonObject = dict[str, Any]


class JournalFormatError(Exception):
    """The rollout cannot be resumed from this journal; the message gives the reason."""


class BookkeepingEvent(StrEnum):
    """Events of entries that change neither the state of a node nor that of the rollout."""

    CONTROLLER = "controller"  # a controller begins or resumes the rollout, with a higher generation
    REVISION = "revision"  # the revision that the new program reports
    PROCESS = "process"  # another process runs as a node


class JournalEntry(msgspec.Struct, omit_defaults=True):
    """One line of the journal. `wall_time` is for information only; nothing is computed from it."""

    wall_time: float = msgspec.field(name="at")
    event: str
    node: int = msgspec.field(name="who", default=FLEET)
    reason: str = msgspec.field(name="why", default="")
    details: JsonObject = msgspec.field(name="more", default_factory=dict)


class JournalHeader(msgspec.Struct):
    """The first line, which identifies the rollout. Unknown fields of later versions are ignored."""

    format: int
    plan: str  # digest of the plan's text
    nodes: list[str]  # names of the nodes, by index


class DecodedJournal(NamedTuple):
    """The contents of a journal file."""

    header: JournalHeader
    entries: list[JournalEntry]
    intact_size: int  # bytes; the rest of the file is an incomplete last line


def encode_line(entry: JournalEntry | JournalHeader) -> bytes:
    """Return the line of an entry or of the header."""
    body = msgspec.json.encode(entry)
    return _checksum(body) + b" " + body + b"\n"


def decode_journal(data: bytes) -> DecodedJournal:
    """Decode the intact part of a journal file.

    Raises:
        JournalFormatError: the file is not a journal, has a newer format, or is damaged before its last line.
    """
    header: JournalHeader | None = None
    entries: list[JournalEntry] = []
    intact_size = 0
    lines = data.split(b"\n")
    for number, line in enumerate(lines[:-1], 1):
        checksum, _, body = line.partition(b" ")
        if _checksum(body) != checksum:
            if number == len(lines) - 1:
                # After a power failure, a file can have its new length although a page of its last line was
                # not written. The line is dropped like an incomplete one
                # (test_a_journal_cut_at_any_byte_gives_its_complete_lines).
                break
            raise JournalFormatError(
                f"line {number} is damaged and is not the last one; the entries after it cannot be trusted"
            )
        if header is None:
            header = _decode_header(body)
        else:
            entries.append(msgspec.json.decode(body, type=JournalEntry))
        intact_size += len(line) + 1
    if header is None:
        raise JournalFormatError("the header line is missing or incomplete")
    return DecodedJournal(header, entries, intact_size)


def last_generation(entries: Iterable[JournalEntry]) -> int:
    """Return the highest controller generation in these entries; 0 if there is none."""
    return max(
        (
            int(entry.details.get("generation", 0))
            for entry in entries
            if entry.event == BookkeepingEvent.CONTROLLER
        ),
        default=0,
    )


def _checksum(body: bytes) -> bytes:
    return xxhash.xxh3_64_hexdigest(body).encode()


def _decode_header(body: bytes) -> JournalHeader:
    try:
        header = msgspec.json.decode(body, type=JournalHeader)
    except msgspec.DecodeError as error:
        raise JournalFormatError(f"the first line is not a journal header: {error}") from error
    if header.format > FORMAT_VERSION:
        raise JournalFormatError(
            f"the journal has format {header.format}, but this version supports formats up to "
            f"{FORMAT_VERSION}; resume the rollout with the version that wrote it"
        )
    return header
