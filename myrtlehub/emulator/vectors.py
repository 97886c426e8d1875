"""The vectors and scores of emulated engines: deterministic functions of the input and the model version.

A client that has the input can therefore check each result for value, order and completeness. The numbers
have no semantic meaning.
"""

import struct
from math import sqrt

import xxhash

# Constants of the linear congruential generator of MMIX (Knuth), modulo 2**64.
LCG_MULTIPLIER = 6364136223846793005
LCG_INCREMENT = 1442695040888963407


def vector_of(text: bytes, model: str, dimensions: int, normalise: bool) -> bytes:
    """Return the vector of a text: single-precision numbers from -1 to 1, packed in little-endian order."""
    seed = xxhash.xxh3_64_intdigest(text, seed=xxhash.xxh32_intdigest(model.encode()))
    numbers = []
    for _ in range(dimensions):
        seed = (seed * LCG_MULTIPLIER + LCG_INCREMENT) % 2**64
        numbers.append((seed >> 40) / 2**23 - 1.0)
    if normalise:
        length = sqrt(sum(number * number for number in numbers)) or 1.0
        numbers = [number / length for number in numbers]
    return struct.pack(f"<{dimensions}f", *numbers)


def score_of(query: bytes, document: bytes, model: str) -> float:
    """Return the relevance of a document to a query: a single-precision number from 0 to 1."""
    digest = xxhash.xxh3_64_intdigest(query + b"\0" + document, seed=xxhash.xxh32_intdigest(model.encode()))
    score: float = struct.unpack("<f", struct.pack("<f", (digest >> 40) / 2**24))[0]
    return score
