"""Token ids of emulated engines, and a checksum over them."""

from binascii import crc32
from collections.abc import Iterable

VOCABULARY = 120  # ids of one byte on the wire


def token_id(writer: str, sequence_id: str, attempt: int, index: int) -> int:
    """Return the id of a token: no two answers are alike, so that a mix of two answers is noticed."""
    return crc32(f"{writer} {sequence_id} {attempt} {index}".encode()) % VOCABULARY + 1


def checksum(token_ids: Iterable[int], start: int = 0) -> int:
    """Return a checksum over token ids in their order; `start`: that of the tokens before them."""
    for number in token_ids:
        start = crc32(number.to_bytes(4, "big"), start)
    return start
