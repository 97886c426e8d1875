"""Reads files of engines in a process of its own: `python -m myrtlehub.membership.reader`.

YAML of thousands of engines takes seconds of processor. A thread would share the interpreter's lock with the
node: each of its turns then waits for the lock again and again (a turn of 61 ms at 200 engines was seen). The
process takes requests on its standard input and answers on its standard output, each as four bytes of length
and a msgpack array, until its input ends.
"""

import sys
from pathlib import Path
from typing import BinaryIO

import msgspec

from myrtlehub.membership import files
from myrtlehub.membership.store import Figures
from myrtlehub.membership.version import digest_of


class Request(msgspec.Struct, array_like=True):
    """Read these, from here."""

    patterns: list[str]
    base: str
    end_marked: bool


class Reply(msgspec.Struct, array_like=True):
    """A `files.Reading`; rows as `EngineRow.figures`."""

    rows: list[Figures]
    files: list[str]
    faults: list[str]
    digest: str
    missing: bool
    content: str


def pack(message: msgspec.Struct) -> bytes:
    """As it goes over the pipe."""
    data = msgspec.msgpack.encode(message)
    return len(data).to_bytes(4) + data


def answer(request: Request) -> Reply:
    """Read, and say what is there."""
    r = files.read(request.patterns, Path(request.base), request.end_marked)
    content = digest_of(r.rows) if not r.faults else ""
    return Reply([row.figures for row in r.rows], list(r.files), list(r.faults), r.digest, r.missing, content)


def serve(requests: BinaryIO, replies: BinaryIO) -> None:
    """Until the input ends."""
    decode = msgspec.msgpack.Decoder(Request).decode
    while len(head := requests.read(4)) == 4:
        replies.write(pack(answer(decode(requests.read(int.from_bytes(head))))))
        replies.flush()


if __name__ == "__main__":
    serve(sys.stdin.buffer, sys.stdout.buffer)
