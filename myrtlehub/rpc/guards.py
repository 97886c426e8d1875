"""What a peer may do to a connection before it is closed: pure, driven by the times it is handed."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class TransportBounds:
    """Bounds of one HTTP/2 connection. Sizes are bytes, times seconds, rates a second."""

    message: int = 16 * 2**20
    header_list: int = 16 * 2**10
    frame: int = 16 * 2**10
    stream_window: int = 256 * 2**10
    connection_window: int = 16 * 2**20
    streams: int = 1000  # MAX_CONCURRENT_STREAMS that we announce
    send_buffer: int = 64 * 2**10  # by stream, past which its producer is paused
    keepalive: float = 20.0  # between pings of ours on a connection with nothing received; 0: none
    keepalive_timeout: float = 10.0
    settings_timeout: float = 10.0  # for the peer's preface and first SETTINGS
    idle_streamless: float = 0.0  # a server closes a connection without streams after this; 0: never
    # Guards against peers that make us work for nothing (CVE-2023-44487 and its kin): (burst, rate).
    abuse: dict[str, tuple[float, float]] = field(
        default_factory=lambda: {
            "RST_STREAM": (400.0, 200.0),
            "PING": (20.0, 2.0),
            "SETTINGS": (20.0, 1.0),
            "PRIORITY": (400.0, 100.0),
            "empty DATA": (200.0, 50.0),
            "WINDOW_UPDATE": (20000.0, 20000.0),
        }
    )


class AbuseMeter:
    """Token buckets, one a kind of frame."""

    def __init__(self, bounds: TransportBounds) -> None:
        self._rules = bounds.abuse
        self._level: dict[str, tuple[float, float]] = {}

    def count(self, kind: str, now: float) -> bool:
        """Count one frame of this kind; False once the peer has sent too many too fast."""
        burst, rate = self._rules[kind]
        level, at = self._level.get(kind, (burst, now))
        level = min(burst, level + (now - at) * rate) - 1.0
        self._level[kind] = (level, now)
        return level >= 0.0


class BackOff:
    """Waits between tries to connect: growing, jittered, reset by success."""

    def __init__(
        self, random: object, least: float = 0.05, most: float = 2.0, factor: float = 1.6, jitter: float = 0.2
    ) -> None:
        self._random, self._least, self._most = random, least, most
        self._factor, self._jitter, self._tries = factor, jitter, 0

    def next(self) -> float:
        """Seconds until the next try."""
        wait = min(self._most, self._least * self._factor**self._tries)
        self._tries += 1
        return wait * (1.0 + self._jitter * (2.0 * self._random() - 1.0))

    def reset(self) -> None:
        """A connection stood."""
        self._tries = 0
