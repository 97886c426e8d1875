"""The journal's entries on disk: what happened, one line each, every line with its own checksum.

The progress of a rollout is made of its journal alone: whoever takes its events once more stands where the
writer stood. A line is on disk before the actions that follow from it. A last line that was not wholly
written is dropped; any other damaged line is an error, as nothing after it can be trusted.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

import msgspec
import xxhash

from myrtlehub.rollout.node_orders import FORMAT_VERSION


class JournalFormatError(Exception):
    """The journal cannot be resumed from; the text says why."""


class BookkeepingEvent(StrEnum):
    """Entries that move neither a node nor the rollout."""

    CONTROLLER = "controller"  # another controller goes on, with a higher generation
    REVISION = "revision"  # what the new program turned out to show
    PROCESS = "process"  # another process answers for a node


class JournalEntry(msgspec.Struct, omit_defaults=True):
    """One line. `wall_time` is for people: nothing is computed from it."""

    wall_time: float = msgspec.field(name="at")
    event: str
    node: int = msgspec.field(name="who", default=-1)  # a node's index; -1: the whole rollout
    reason: str = msgspec.field(name="why", default="")
    details: dict = msgspec.field(name="more", default_factory=dict)


class JournalHeader(msgspec.Struct):
    """The first line: which rollout this is. Unknown fields of later versions are ignored."""

    format: int
    plan: str  # digest of the plan's text
    nodes: list[str]  # names, in the order of their indices


class DecodedJournal(NamedTuple):
    """What a journal's file holds."""

    header: JournalHeader
    entries: list[JournalEntry]
    intact_size: int  # bytes; what comes after them is a torn last line


def encode_line(entry: JournalEntry | JournalHeader) -> bytes:
    """Return the line of an entry or of the header."""
    body = msgspec.json.encode(entry)
    return _checksum(body) + b" " + body + b"\n"


def decode_journal(data: bytes) -> DecodedJournal:
    """Decode a journal's file as far as it is intact.

    Raises:
        JournalFormatError: it is no journal, of a later format, or damaged before its last line.
    """
    header: JournalHeader | None = None
    entries: list[JournalEntry] = []
    intact_size = 0
    lines = data.split(b"\n")
    for number, line in enumerate(lines[:-1], 1):
        checksum, _, body = line.partition(b" ")
        if _checksum(body) != checksum:
            if number == len(lines) - 1:
                break  # the last line, torn by a page that was not written: dropped like a shorter one
            raise JournalFormatError(
                f"line {number} is not whole, and others follow it; nothing after it is sure"
            )
        if header is None:
            header = _decode_header(body)
        else:
            entries.append(msgspec.json.decode(body, type=JournalEntry))
        intact_size += len(line) + 1
    if header is None:
        raise JournalFormatError("it has no first line that is whole")
    return DecodedJournal(header, entries, intact_size)


def last_generation(entries: Iterable[JournalEntry]) -> int:
    """Return the highest generation that a controller of this journal has used; 0 where there was none."""
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
        raise JournalFormatError(f"its first line is not one of ours: {error}") from error
    if header.format > FORMAT_VERSION:
        raise JournalFormatError(
            f"it is in format {header.format}, and this version knows formats up to {FORMAT_VERSION}; "
            "go on with the version that wrote it"
        )
    return header
