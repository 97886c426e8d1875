"""Bad clients: each sends a request with a body of 60 MB in small chunks, again and again."""

import asyncio
import contextlib
import sys
import time

import stand_ins

BAD_BODY_BYTES = 60_000_000  # "bodies of 60 MB"
CHUNK_BYTES = 16  # of such a body; chunks are a form of HTTP/1.1
CHUNKS_PER_WRITE = 2000


async def send_body(writer: asyncio.StreamWriter) -> None:
    """Send a body of 60 MB at full speed."""
    piece = stand_ins.chunk(b"x" * CHUNK_BYTES) * CHUNKS_PER_WRITE
    for _ in range(BAD_BODY_BYTES // (CHUNK_BYTES * CHUNKS_PER_WRITE)):
        writer.write(piece)
        await writer.drain()
    writer.write(stand_ins.LAST_CHUNK)


async def bad_client(address: str, lane: str, number: int, end_at: float) -> None:
    """Send a request with a huge body, and the same again as soon as it is turned away."""
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
        f"X-Txn: bad{number}\r\nX-Lane: {lane}\r\nX-Remaining-Ms: 3000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    while time.monotonic() < end_at:
        with contextlib.suppress(OSError):
            reader, writer = await stand_ins.connect(address)
            writer.write(head.encode())
            sending = asyncio.create_task(send_body(writer))
            # It reads what it is sent, until the node closes.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(), max(0.1, end_at - time.monotonic()))
            sending.cancel()
            writer.close()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await sending


async def play(address: str, lane: str, count: int, duration_s: float) -> None:
    """Run all bad clients for some seconds."""
    end_at = time.monotonic() + duration_s
    await asyncio.gather(*(bad_client(address, lane, number, end_at) for number in range(count)))


if __name__ == "__main__":
    asyncio.run(play(sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4])))
