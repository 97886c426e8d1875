"""Limits the rate of received frames with one token bucket per kind of frame."""

from collections.abc import Mapping
from typing import NamedTuple

from myrtlehub.rpc.transport_limits import FrameKind, FrameRate


class _Bucket(NamedTuple):
    tokens: float
    updated_at: float


class FrameRateLimiter:
    """The token buckets of one connection."""

    def __init__(self, rates: Mapping[FrameKind, FrameRate]) -> None:
        self._rates = rates
        self._buckets: dict[FrameKind, _Bucket] = {}

    def allow(self, kind: FrameKind, now: float) -> bool:
        """Take a token for one frame; return False if the bucket of this kind is empty."""
        burst, per_second = self._rates[kind]
        tokens, updated_at = self._buckets.get(kind, (burst, now))
        tokens = min(burst, tokens + (now - updated_at) * per_second) - 1.0
        self._buckets[kind] = _Bucket(tokens, now)
        return tokens >= 0.0
