"""Case 2: one answer in four is spoilt and never ends; requests at healthy engines get no answer in time."""

import asyncio
import time
from pathlib import Path

import stand_ins
import usual_clients
from stand_ins import Record, Request
from usual_clients import Tally

FOLDER = Path(__file__).resolve().parent
CASE_LIMIT_S = 90.0
DURATION_S = 18.0
QUIET_BEFORE_S = 3.0
QUIET_AFTER_S = 3.0
SPOILT_PERIOD = 4  # one answer in so many is spoilt
CHUNK_BYTES = 4  # of an event that never ends
CHUNKS_PER_WRITE = 2000
FIRST_TOKEN_S = 0.05


class Engines:
    """All engines, which answer alike.

    Attributes:
        spoilt: Ids of the requests whose streams are spoilt.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._started_at = time.monotonic()
        self._stream_count = 0
        self.spoilt: set[str] = set()

    def _is_spoilt(self) -> bool:
        self._stream_count += 1
        elapsed = time.monotonic() - self._started_at
        is_in_trouble = QUIET_BEFORE_S < elapsed < DURATION_S - QUIET_AFTER_S
        return stand_ins.has_trouble() and is_in_trouble and self._stream_count % SPOILT_PERIOD == 0

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer with a short stream; a spoilt one has an event that keeps coming and never ends."""
        if request.method != "POST":
            writer.write(stand_ins.plain_response("204 No Content"))
            return
        await asyncio.sleep(FIRST_TOKEN_S)
        writer.write(stand_ins.STREAM_HEAD + stand_ins.chunk(stand_ins.token_event("abcd")))
        await asyncio.sleep(FIRST_TOKEN_S)
        if self._is_spoilt():
            self.spoilt.add(request.id)
            self._record(f"trouble: the stream of {request.id} is spoilt")
            writer.write(stand_ins.chunk(b"data: "))
            piece = stand_ins.chunk(b"x" * CHUNK_BYTES) * CHUNKS_PER_WRITE
            while True:  # until the node closes the connection
                writer.write(piece)
                await writer.drain()
        writer.write(stand_ins.chunk(stand_ins.end_events(300)) + stand_ins.LAST_CHUNK)


async def case(record: Record) -> bool:
    """Play the case, and return whether each request got its final answer or its first token in time."""
    engines = Engines(record)
    node = await usual_clients.make_node(engines.answer, record)
    tally = Tally()
    try:
        await node.start()
        end_at = time.monotonic() + DURATION_S
        await usual_clients.send_until(end_at, node, tally, record)
        record(f"node: exited {node.has_exited()}, peak memory {node.peak_memory_mb():.0f} MB")
    finally:
        node.end()
    spoilt_lost = engines.spoilt & set(tally.lost)
    record(
        f"spoilt streams {len(engines.spoilt)}, not judged; {len(spoilt_lost)} of them counted as lost below"
    )
    tally.report(record)
    return not set(tally.lost) - engines.spoilt


if __name__ == "__main__":
    stand_ins.run_case(FOLDER, case, CASE_LIMIT_S)
