"""Limits of an HTTP/2 connection: sizes, windows, timeouts and frame rates."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

KIB = 2**10
MIB = 2**20


class FrameKind(StrEnum):
    """Kinds of frames with a limited rate, as they cost CPU time and carry no data."""

    RST_STREAM = "RST_STREAM"
    PING = "PING"
    SETTINGS = "SETTINGS"
    PRIORITY = "PRIORITY"
    EMPTY_DATA = "empty DATA"
    WINDOW_UPDATE = "WINDOW_UPDATE"


class FrameRate(NamedTuple):
    """Parameters of a token bucket: its capacity and its refill rate."""

    burst: float
    per_second: float


def _default_frame_rates() -> dict[FrameKind, FrameRate]:
    """Return limits that prevent HTTP/2 flood attacks (CVE-2023-44487 and similar)."""
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
    max_streams: int = 1000  # MAX_CONCURRENT_STREAMS advertised to the peer
    send_buffer: int = 64 * KIB  # per stream; a producer is suspended above it
    keepalive_interval: float = 20.0  # a ping is sent after this time without a complete frame; 0: never
    keepalive_timeout: float = 10.0  # after a ping; the connection is closed if no frame is completed
    request_timeout: float = 30.0  # for the message of a call that takes one, besides the call's deadline
    settings_timeout: float = 10.0  # for the peer's preface and first SETTINGS frame
    idle_timeout: float = 0.0  # of a connection without streams; 0: none; not enforced yet
    frame_rates: dict[FrameKind, FrameRate] = field(default_factory=_default_frame_rates)
