"""The reader process, which reads endpoint files: `python -m myrtlehub.membership.reader_worker`.

Parsing the YAML of thousands of endpoints takes seconds of CPU time. A thread would compete with the event
loop for the global interpreter lock: with 200 endpoints, an event loop iteration took up to 61 ms.
The process reads requests from its standard input and writes replies to its standard output until the input
ends. Each message is a msgpack array, preceded by its length in four bytes.
"""

import sys
from pathlib import Path
from typing import BinaryIO

import msgspec

from myrtlehub.membership.endpoint import EndpointFields
from myrtlehub.membership.list_version import content_digest
from myrtlehub.membership.snapshot import read_snapshot

LENGTH_BYTES = 4  # size of the big-endian length prefix of each message


class ReadRequest(msgspec.Struct, array_like=True):
    """A request for a snapshot; the fields are the arguments of `read_snapshot`."""

    patterns: list[str]
    base: str
    requires_end_mark: bool


class ReadReply(msgspec.Struct, array_like=True):
    """A snapshot, with each endpoint as its field values in the order of `EndpointConfig.FIELD_NAMES`."""

    endpoints: list[EndpointFields]
    files: list[str]
    faults: list[str]
    digest: str
    is_missing: bool
    content_digest: str  # empty if there are faults


def encode_message(message: msgspec.Struct) -> bytes:
    """Return the encoded message with its length prefix."""
    data = msgspec.msgpack.encode(message)
    return len(data).to_bytes(LENGTH_BYTES) + data


def handle_request(request: ReadRequest) -> ReadReply:
    """Read the requested files and return the reply."""
    snapshot = read_snapshot(request.patterns, Path(request.base), request.requires_end_mark)
    return ReadReply(
        [endpoint.field_values for endpoint in snapshot.endpoints],
        list(snapshot.files),
        list(snapshot.faults),
        snapshot.digest or "",
        snapshot.is_missing,
        content_digest(snapshot.endpoints) if not snapshot.faults else "",
    )


def serve(requests: BinaryIO, replies: BinaryIO) -> None:
    """Handle requests one at a time until the input ends."""
    decode = msgspec.msgpack.Decoder(ReadRequest).decode
    while len(header := requests.read(LENGTH_BYTES)) == LENGTH_BYTES:
        request = decode(requests.read(int.from_bytes(header)))
        replies.write(encode_message(handle_request(request)))
        replies.flush()


if __name__ == "__main__":
    serve(sys.stdin.buffer, sys.stdout.buffer)
