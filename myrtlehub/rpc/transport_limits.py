"""Limits of one HTTP/2 connection: sizes, windows, times, and frames that a peer may send."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

KIB = 2**10
MIB = 2**20


class FrameKind(StrEnum):
    """Frames of which a peer may send a limited number, as each makes work and carries no data."""

    RST_STREAM = "RST_STREAM"
    PING = "PING"
    SETTINGS = "SETTINGS"
    PRIORITY = "PRIORITY"
    EMPTY_DATA = "empty DATA"
    WINDOW_UPDATE = "WINDOW_UPDATE"


class FrameRate(NamedTuple):
    """How many frames of a kind a peer may send."""

    burst: float
    per_second: float


def _default_frame_rates() -> dict[FrameKind, FrameRate]:
    """Return limits against floods (CVE-2023-44487 and similar)."""
    return {
        FrameKind.RST_STREAM: FrameRate(400.0, 200.0),
        FrameKind.PING: FrameRate(20.0, 2.0),
        FrameKind.SETTINGS: FrameRate(20.0, 1.0),
        FrameKind.PRIORITY: FrameRate(400.0, 100.0),
        FrameKind.EMPTY_DATA: FrameRate(200.0, 50.0),
        FrameKind.WINDOW_UPDATE: FrameRate(20000.0, 20000.0),
    }


@dataclass(frozen=True)
class TransportLimits:
    """Limits of one HTTP/2 connection. Sizes are bytes, times seconds."""

    max_message: int = 16 * MIB
    max_header_list: int = 16 * KIB
    max_frame: int = 16 * KIB
    stream_window: int = 256 * KIB
    connection_window: int = 16 * MIB
    max_streams: int = 1000  # MAX_CONCURRENT_STREAMS that we announce
    send_buffer: int = 64 * KIB  # by stream, beyond which its producer is paused
    keepalive_interval: float = 20.0  # of our pings, on a connection that receives nothing; 0: none
    keepalive_timeout: float = 10.0
    settings_timeout: float = 10.0  # for the peer's preface and first SETTINGS
    idle_timeout: float = 0.0  # after which a server closes a connection without streams; 0: never
    frame_rates: dict[FrameKind, FrameRate] = field(default_factory=_default_frame_rates)
