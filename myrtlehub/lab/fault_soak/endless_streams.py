"""Streams of which something never ends: a chunk that claims too much, or a part of the framing.

Beside them there are sound streams that look alike: their content in one chunk, or behind long size lines.
"""

import random
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from myrtlehub.lab.fault_soak.engine_responses import COMMENT, DONE, EVENT, LAST_CHUNK, USAGE, chunk
from myrtlehub.lab.fault_soak.timed_bytes import TimedBytes

CLAIMED_SIZES = (
    b"40000000",
    b"c0000000",
    b"ffffffff",
    b"000000000c0000000",
    b"7fffffffffffffff",
    b"c0000000;name=value",
)
ENDLESS_S = 20.0  # for which an engine goes on; longer than any bound of a node
EVENT_INTERVAL_S = (0.05, 0.3)
TRICKLE_INTERVAL_S = (0.1, 0.6)
EVENTS_BEFORE = (0, 4)
SOUND_EVENT_COUNT = (2, 30)
MAX_EXTENSION_BYTES = 400


class EndlessKind(StrEnum):
    """What never ends."""

    CLAIM = "claim"
    FRAMING = "framing"


class EndlessBody(NamedTuple):
    """The body of a chunked response.

    Attributes:
        pieces: What is written.
        endless_from: Position of the piece from which on something never ends; None if the body is sound.
    """

    pieces: list[TimedBytes]
    endless_from: int | None = None


def draw_body(draw: random.Random, kind: EndlessKind) -> EndlessBody:
    """Draw a body that never ends."""
    sound = [
        TimedBytes(chunk(EVENT), draw.uniform(*EVENT_INTERVAL_S), 1)
        for _ in range(draw.randint(*EVENTS_BEFORE))
    ]
    endless = _claim(draw) if kind is EndlessKind.CLAIM else draw.choice(_FRAMINGS)(draw)
    return EndlessBody([*sound, *endless], len(sound))


def draw_sound_body(draw: random.Random, kind: EndlessKind) -> EndlessBody:
    """Draw a sound body that looks like one that never ends."""
    events = [EVENT] * draw.randint(*SOUND_EVENT_COUNT)
    if kind is EndlessKind.CLAIM:
        size_line = b"%x\r\n" % (len(EVENT) * len(events) + len(USAGE + DONE))
        pieces = [TimedBytes(size_line, 0.0)]
        pieces += [TimedBytes(event, draw.uniform(*EVENT_INTERVAL_S), 1) for event in events]
        pieces.append(TimedBytes(USAGE + DONE + b"\r\n", draw.uniform(*EVENT_INTERVAL_S), 2))
    else:
        pieces = [
            TimedBytes(_extended_chunk(draw, event), draw.uniform(*EVENT_INTERVAL_S), 1)
            for event in [*events, USAGE, DONE]
        ]
    return EndlessBody([*pieces, TimedBytes(LAST_CHUNK, 0.0)])


def _extended_chunk(draw: random.Random, event: bytes) -> bytes:
    extension = b"x" * draw.randint(1, MAX_EXTENSION_BYTES)
    return b"%s%x;%s\r\n%s\r\n" % (b"0" * draw.randint(0, 10), len(event), extension, event)


def _claim(draw: random.Random) -> list[TimedBytes]:
    filler = draw.choice((TimedBytes(EVENT, 0.0, 1), TimedBytes(COMMENT, 0.0), TimedBytes(b"data: {", 0.0)))
    size_line = TimedBytes(draw.choice(CLAIMED_SIZES) + b"\r\n", draw.uniform(*EVENT_INTERVAL_S))
    return [size_line, *_repeated(draw, filler, EVENT_INTERVAL_S)]


def _size_line(draw: random.Random) -> list[TimedBytes]:
    start = draw.choice((b"0", b"4d", b"4d;name=", b'4d;name="', b"0;"))
    return _trickled(draw, start, b"0" if start == b"0" else b" " if start == b"4d" else b"x")


def _trailer(draw: random.Random) -> list[TimedBytes]:
    end = draw.choice((b"", USAGE + DONE))
    start = (chunk(end) if end else b"") + LAST_CHUNK[:3] + b"Digest: "
    return [TimedBytes(start, 0.0, 2 if end else 0), *_trickled(draw, b"", b"x")]


def _line_ends(draw: random.Random) -> list[TimedBytes]:
    line_end = TimedBytes(chunk(draw.choice((b"\n", b"\r\n", b"\n\n", b"\r"))), 0.0)
    return _repeated(draw, line_end, TRICKLE_INTERVAL_S)


_FRAMINGS: tuple[Callable[[random.Random], list[TimedBytes]], ...] = (_size_line, _trailer, _line_ends)


def _trickled(draw: random.Random, start: bytes, filler: bytes) -> list[TimedBytes]:
    first = [TimedBytes(bytes((byte,)), draw.uniform(*TRICKLE_INTERVAL_S)) for byte in start]
    return [*first, *_repeated(draw, TimedBytes(filler, 0.0), TRICKLE_INTERVAL_S)]


def _repeated(draw: random.Random, piece: TimedBytes, interval_s: tuple[float, float]) -> list[TimedBytes]:
    pause_s = draw.uniform(*interval_s)
    return [piece._replace(pause_s=pause_s)] * round(ENDLESS_S / pause_s)
