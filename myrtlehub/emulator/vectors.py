"""What stand-ins answer to batches: a function of the input and the model's version.

So whoever has the question can check each answer for value, order and completeness. The numbers mean nothing.
"""

import struct
from math import sqrt

import xxhash


def vector_of(text: bytes, model: str, dimensions: int, normalise: bool) -> bytes:
    """Packed single-precision numbers from -1 to 1, little-endian."""
    seed = xxhash.xxh3_64_intdigest(text, seed=xxhash.xxh32_intdigest(model.encode()))
    numbers = []
    for _ in range(dimensions):
        seed = (seed * 6364136223846793005 + 1442695040888963407) % 2**64
        numbers.append((seed >> 40) / 2**23 - 1.0)
    if normalise:
        length = sqrt(sum(x * x for x in numbers)) or 1.0
        numbers = [x / length for x in numbers]
    return struct.pack(f"<{dimensions}f", *numbers)


def score_of(query: bytes, document: bytes, model: str) -> float:
    """From 0 to 1, in single precision."""
    seed = xxhash.xxh3_64_intdigest(query + b"\0" + document, seed=xxhash.xxh32_intdigest(model.encode()))
    return struct.unpack("<f", struct.pack("<f", (seed >> 40) / 2**24))[0]
