"""The framing of a message's body."""

from collections.abc import Mapping
from enum import StrEnum


class Framing(StrEnum):
    """What shows the end of a response's body (RFC 9112, section 6.3); the values are logged."""

    CHUNKED = "chunked"  # the last chunk
    LENGTH = "length"  # the number of its bytes
    CONNECTION = "connection"  # the end of the connection, which may also cut it off


def framing_of(fields: Mapping[bytes, bytes]) -> Framing:
    """Return the framing that header fields declare; their names are in lower case."""
    if b"transfer-encoding" in fields:
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in fields else Framing.CONNECTION
