"""Reads endpoint files in a process of its own: `python -m myrtlehub.membership.reader_worker`.

YAML of thousands of endpoints takes seconds of processor time. A thread would share the interpreter's lock
with the node: each turn of its event loop then waits for the lock again and again (a turn of 61 ms at 200
endpoints was seen). The process takes requests on its standard input and answers on its standard output, each
as four bytes of length and a msgpack array, until its input ends.
"""

import sys
from pathlib import Path
from typing import BinaryIO

import msgspec

from myrtlehub.membership.endpoint import EndpointFields
from myrtlehub.membership.list_version import content_digest
from myrtlehub.membership.snapshot import read_snapshot

LENGTH_BYTES = 4  # of the length before each message


class ReadRequest(msgspec.Struct, array_like=True):
    """Read these files; relative patterns are taken from `base`."""

    patterns: list[str]
    base: str
    end_marked: bool


class ReadReply(msgspec.Struct, array_like=True):
    """A `Snapshot`; its endpoints as fields, in the order of `EndpointConfig.FIELD_NAMES`."""

    endpoints: list[EndpointFields]
    files: list[str]
    faults: list[str]
    digest: str
    missing: bool
    content_digest: str


def encode_message(message: msgspec.Struct) -> bytes:
    """Return a message as it goes over the pipe."""
    data = msgspec.msgpack.encode(message)
    return len(data).to_bytes(LENGTH_BYTES) + data


def answer(request: ReadRequest) -> ReadReply:
    """Read the files that are asked for."""
    snapshot = read_snapshot(request.patterns, Path(request.base), request.end_marked)
    return ReadReply(
        [endpoint.field_values for endpoint in snapshot.endpoints],
        list(snapshot.files),
        list(snapshot.faults),
        snapshot.digest,
        snapshot.missing,
        content_digest(snapshot.endpoints) if not snapshot.faults else "",
    )


def serve(requests: BinaryIO, replies: BinaryIO) -> None:
    """Answer requests until the input ends."""
    decode = msgspec.msgpack.Decoder(ReadRequest).decode
    while len(head := requests.read(LENGTH_BYTES)) == LENGTH_BYTES:
        request = decode(requests.read(int.from_bytes(head)))
        replies.write(encode_message(answer(request)))
        replies.flush()


if __name__ == "__main__":
    serve(sys.stdin.buffer, sys.stdout.buffer)
