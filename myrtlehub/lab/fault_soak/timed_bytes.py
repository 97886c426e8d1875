"""Bytes that an emulated engine writes at a time of its own."""

from typing import NamedTuple


class TimedBytes(NamedTuple):
    """Bytes that are written at once.

    Attributes:
        data: The bytes, as they are sent.
        pause_s: Seconds before they are written.
        events: Number of events that they complete.
    """

    data: bytes
    pause_s: float
    events: int = 0
