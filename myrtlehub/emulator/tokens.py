"""The token ids that emulated engines generate, and a checksum over them."""

from binascii import crc32
from collections.abc import Iterable

VOCABULARY_SIZE = 120  # number of token ids; small enough for each to take one byte on the wire


def token_id(writer: str, sequence_id: str, attempt: int, index: int) -> int:
    """Return the id of a token; it depends on writer and attempt, so that mixed-up answers are detectable."""
    return crc32(f"{writer} {sequence_id} {attempt} {index}".encode()) % VOCABULARY_SIZE + 1


def checksum(token_ids: Iterable[int], start: int = 0) -> int:
    """Return a checksum over token ids in order; `start` is the checksum of the preceding tokens."""
    result = start
    for token in token_ids:
        result = crc32(token.to_bytes(4, "big"), result)
    return result
