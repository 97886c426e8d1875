"""How an emulated engine writes one stream: its framing, its pieces and pauses, and its end."""

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from myrtlehub.http1.framing import Framing
from myrtlehub.lab.fault_soak.endless_streams import EndlessKind, draw_body, draw_sound_body
from myrtlehub.lab.fault_soak.engine_responses import (
    COMMENT,
    DONE,
    DONE_COMMENT,
    ERROR_EVENT,
    EVENT,
    LAST_CHUNK,
    STREAM_HEAD_BY_FRAMING,
    TRUNCATED_EVENT,
    USAGE,
    chunk,
)
from myrtlehub.lab.fault_soak.timed_bytes import TimedBytes

EVENT_INTERVAL_S = (0.01, 0.12)
EVENT_COUNT = (2, 8)
SLOW_PIECE_BYTES = 12
SLOW_PIECE_INTERVAL_S = (0.3, 0.9)  # so that one event takes 2 to 7 s
COMMENT_COUNT = (2, 20)
COMMENT_INTERVAL_S = (0.1, 0.5)
ENDLESS_SHARE = 0.5  # of the streams that begin while an engine claims or trickles
TRUNCATED_SHARE = 0.5  # of the streams that begin while an engine truncates them


class Ending(StrEnum):
    """What an engine does after the last piece of a stream."""

    KEEP = "keep"  # it keeps the connection open
    CLOSE = "close"
    RESET = "reset"


class StreamPlan(NamedTuple):
    """One stream.

    Attributes:
        head: The head of the response.
        pieces: The pieces of its body.
        is_complete: Whether the stream is complete after its last piece.
        has_framing_end: Whether its framing has ended then.
        ending: What follows the last piece.
        endless_from: Position of the piece from which on something never ends; None if there is none.
    """

    head: bytes
    pieces: list[TimedBytes]
    is_complete: bool
    has_framing_end: bool
    ending: Ending
    endless_from: int | None = None


@dataclass(slots=True)
class StreamFaults:
    """The faults of the streams that begin now.

    Attributes:
        truncates: Some of them end before they are complete.
        writes_slowly: One event of each is written in small pieces.
        delays: Comments come for seconds before the first event.
        claims: Chunks of some of them claim gigabytes; the others are in one large chunk.
        trickles: A part of the framing of some of them never ends; the others have long size lines.
    """

    truncates: bool = False
    writes_slowly: bool = False
    delays: bool = False
    claims: bool = False
    trickles: bool = False

    @property
    def endless_kinds(self) -> list[EndlessKind]:
        """What never ends in some of the streams."""
        return [EndlessKind.CLAIM] * self.claims + [EndlessKind.FRAMING] * self.trickles


class Truncation(NamedTuple):
    """A form of a stream that is not complete.

    Attributes:
        parts: What follows its events.
        has_framing_end: Whether the end of its framing follows.
    """

    parts: tuple[bytes, ...]
    has_framing_end: bool


TRUNCATIONS = (
    Truncation((), True),
    Truncation((USAGE,), True),
    Truncation((EVENT[:30],), True),
    Truncation((TRUNCATED_EVENT, DONE), True),
    Truncation((ERROR_EVENT, DONE), True),
    Truncation((DONE_COMMENT,), True),
    Truncation((DONE, EVENT), True),
    Truncation((USAGE, DONE.rstrip(b"\n")), True),
    Truncation((), False),
    Truncation((USAGE, DONE), False),
)


def draw_plan(draw: random.Random, faults: StreamFaults) -> StreamPlan:
    """Draw the plan of one stream."""
    if faults.endless_kinds:
        return _draw_endless(draw, draw.choice(faults.endless_kinds))
    framing = Framing.CHUNKED
    truncation = None
    if faults.truncates:
        framing = draw.choice(list(Framing))
        truncation = draw.choice(TRUNCATIONS) if draw.random() < TRUNCATED_SHARE else None
    parts = [EVENT] * draw.randint(*EVENT_COUNT)
    parts += (USAGE, DONE) if truncation is None else truncation.parts
    has_framing_end = truncation is None or truncation.has_framing_end
    pieces = _comments(draw, framing) if faults.delays else []
    slow_part = draw.randrange(1, len(parts)) if faults.writes_slowly else None
    for position, part in enumerate(parts):
        pieces += _pieces_of(draw, part, framing, position == slow_part)
    if framing is Framing.CHUNKED and has_framing_end:
        pieces.append(TimedBytes(LAST_CHUNK, 0.0))
    # A length that is too long by a byte is the missing end of that framing.
    length = sum(len(piece.data) for piece in pieces) + (not has_framing_end)
    head = STREAM_HEAD_BY_FRAMING[framing]
    return StreamPlan(
        head % length if framing is Framing.LENGTH else head,
        pieces,
        truncation is None,
        has_framing_end,
        _draw_ending(draw, framing, has_framing_end),
    )


def _draw_endless(draw: random.Random, kind: EndlessKind) -> StreamPlan:
    is_endless = draw.random() < ENDLESS_SHARE
    body = draw_body(draw, kind) if is_endless else draw_sound_body(draw, kind)
    return StreamPlan(
        STREAM_HEAD_BY_FRAMING[Framing.CHUNKED],
        body.pieces,
        not is_endless,
        not is_endless,
        Ending.KEEP,
        body.endless_from,
    )


def _draw_ending(draw: random.Random, framing: Framing, has_framing_end: bool) -> Ending:
    if framing is Framing.CONNECTION:
        return Ending.CLOSE if has_framing_end else Ending.RESET
    return draw.choice(list(Ending)) if not has_framing_end else draw.choice((Ending.KEEP, Ending.CLOSE))


def _comments(draw: random.Random, framing: Framing) -> list[TimedBytes]:
    data = _encode(COMMENT, framing)
    return [TimedBytes(data, draw.uniform(*COMMENT_INTERVAL_S)) for _ in range(draw.randint(*COMMENT_COUNT))]


def _pieces_of(draw: random.Random, part: bytes, framing: Framing, is_slow: bool) -> list[TimedBytes]:
    data = _encode(part, framing)
    events = part.endswith(b"\n\n") and part.startswith(b"data: ")
    if not is_slow:
        return [TimedBytes(data, draw.uniform(*EVENT_INTERVAL_S), events)]
    interval = draw.uniform(*SLOW_PIECE_INTERVAL_S)
    small = [data[start : start + SLOW_PIECE_BYTES] for start in range(0, len(data), SLOW_PIECE_BYTES)]
    return [TimedBytes(each, interval, events and each is small[-1]) for each in small]


def _encode(part: bytes, framing: Framing) -> bytes:
    return chunk(part) if framing is Framing.CHUNKED else part
