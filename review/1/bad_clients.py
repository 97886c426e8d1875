"""Bad clients: hundreds of requests at once, each with a body of 60 MB in small chunks."""

import asyncio
import contextlib
import sys
import time

import stand_ins

BAD_BODY_BYTES = 60_000_000  # "bodies of 60 MB"
CHUNK_BYTES = 2  # of such a body; chunks are a form of HTTP/1.1
CHUNKS_PER_WRITE = 9400


PIECE = stand_ins.chunk(b"x" * CHUNK_BYTES) * CHUNKS_PER_WRITE


async def send_body(writer: asyncio.StreamWriter) -> None:
    """Send a body of 60 MB at full speed, after its first piece."""
    with contextlib.suppress(OSError):
        for _ in range(BAD_BODY_BYTES // (CHUNK_BYTES * CHUNKS_PER_WRITE) - 1):
            await writer.drain()
            writer.write(PIECE)
        writer.write(stand_ins.LAST_CHUNK)


async def finish_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, end_at: float) -> None:
    """Send the rest of a request, and read what comes until the node closes."""
    sending = asyncio.create_task(send_body(writer))
    with contextlib.suppress(TimeoutError, OSError):
        await asyncio.wait_for(reader.read(), max(0.1, end_at - time.monotonic()))
    sending.cancel()
    writer.close()
    with contextlib.suppress(OSError, asyncio.CancelledError):
        await sending


async def play(address: str, lane: str, count: int, duration_s: float) -> None:
    """Send all requests at once, and again as soon as all were turned away."""
    end_at = time.monotonic() + duration_s
    number = 0
    while time.monotonic() < end_at:
        with contextlib.suppress(OSError):
            all_streams = await asyncio.gather(*(stand_ins.connect(address) for _ in range(count)))
            for _, writer in all_streams:
                number += 1
                head = (
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
                    f"X-Txn: bad{number}\r\nX-Lane: {lane}\r\nX-Remaining-Ms: 3000\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                )
                writer.write(head.encode() + PIECE)
            await asyncio.gather(*(finish_request(*streams, end_at) for streams in all_streams))


if __name__ == "__main__":
    asyncio.run(play(sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4])))
