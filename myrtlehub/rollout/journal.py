"""The journal of a change: what happened, a line each, every line with its own sum. Pure; `cli/roller`
writes.

The course is made of the journal alone: whoever takes its events once more stands where the writer stood. A
line is on disk before the acts that follow from it. A last line that was not wholly written is dropped; any
other that is not whole is a fault, as nothing after it can be trusted.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from myrtlehub.rollout.orders import FORMAT


class JournalBroken(Exception):
    """The journal cannot be gone on from; the text says why."""


class Entry(msgspec.Struct, omit_defaults=True):
    """One line. `at` is the wall clock's, for people: nothing is reckoned from it."""

    at: float
    event: str
    who: int = -1  # a node's index; -1: the whole change
    why: str = ""
    more: dict = {}


class Head(msgspec.Struct):
    """The first line: which change this is. Unknown fields of later versions are passed over."""

    format: int
    plan: str  # digest of the plan's text
    nodes: list[str]  # names, in the order of their indices


def pack(entry: Entry | Head) -> bytes:
    """A line."""
    body = msgspec.json.encode(entry)
    return xxhash.xxh3_64_hexdigest(body).encode() + b" " + body + b"\n"


def unpack(data: bytes) -> tuple[Head, list[Entry], int]:
    """Head, entries, and how many bytes of the data are whole: what comes after them is a torn tail.

    Raises JournalBroken: no journal, of a later format, or broken before its end.
    """
    head, entries, whole = None, [], 0
    lines = data.split(b"\n")
    for i, line in enumerate(lines[:-1]):
        total, _, body = line.partition(b" ")
        if xxhash.xxh3_64_hexdigest(body).encode() != total:
            if i == len(lines) - 2:
                break  # the last line, cut within by a page that was not written: dropped like a shorter one
            raise JournalBroken(f"line {i + 1} is not whole, and others follow it; nothing after it is sure")
        if head is None:
            head = _head(body)
        else:
            entries.append(msgspec.json.decode(body, type=Entry))
        whole += len(line) + 1
    if head is None:
        raise JournalBroken("it has no first line that is whole")
    return head, entries, whole


def _head(body: bytes) -> Head:
    try:
        head = msgspec.json.decode(body, type=Head)
    except msgspec.DecodeError as fault:
        raise JournalBroken(f"its first line is not one of ours: {fault}") from fault
    if head.format > FORMAT:
        raise JournalBroken(
            f"it is in format {head.format}, and this version knows formats up to {FORMAT}; "
            "go on with the version that wrote it"
        )
    return head


def generations(entries: Iterable[Entry]) -> int:
    """The highest generation that a controller of this journal has used."""
    return max((int(e.more.get("generation", 0)) for e in entries if e.event == "controller"), default=0)
