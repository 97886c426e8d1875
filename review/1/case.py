"""Case 1: bad clients send bodies of 60 MB in small chunks; the node is killed over its memory limit."""

import asyncio
import contextlib
import random
import subprocess
import sys
import time
from pathlib import Path

import stand_ins
import usual_clients
from stand_ins import Node, Record, Request
from usual_clients import LANE, Tally

FOLDER = Path(__file__).resolve().parent
CASE_LIMIT_S = 115.0
MEMORY_MB = 128  # the operators' bench gives this node 112 to 128 MB on days with many bad clients
BAD_CLIENT_COUNT = 300  # of 1,024 descriptors; "clients hold at most a third of the descriptors for requests"
QUIET_BEFORE_S = 3.0
BAD_CLIENTS_S = 75.0  # at most: the case ends once the node is killed
FIRST_TOKEN_S = 0.05
USUAL_AFTER_S = 3.0  # for which usual clients go on sending beside the bad ones
SAMPLE_PERIOD_S = 0.01
RECORD_STEP_MB = 10.0


async def answer_request(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answer as a healthy writer: the first token soon, then the rest of a short stream."""
    if request.method != "POST":
        writer.write(stand_ins.plain_response("204 No Content"))
        return
    await asyncio.sleep(FIRST_TOKEN_S)
    writer.write(stand_ins.STREAM_HEAD + stand_ins.chunk(stand_ins.token_event("abcd")))
    await asyncio.sleep(FIRST_TOKEN_S)
    writer.write(stand_ins.chunk(stand_ins.end_events(300)) + stand_ins.LAST_CHUNK)


async def watch_memory(node: Node, end_at: float, record: Record) -> bool:
    """Kill the node when it is over its limit, as the platform does; return whether it stayed below."""
    recorded_mb = peak_mb = 0.0
    while time.monotonic() < end_at:
        memory_mb = node.anonymous_memory_mb()
        peak_mb = max(peak_mb, memory_mb)
        if memory_mb > recorded_mb + RECORD_STEP_MB:
            recorded_mb = memory_mb
            record(f"platform: the node has {memory_mb:.1f} MB, files not counted")
        if memory_mb > MEMORY_MB:
            record(f"CRASH: {memory_mb:.1f} MB of {MEMORY_MB} MB, the platform kills the node")
            node.kill()
            return False
        if node.has_exited():
            record("CRASH: the node has exited")
            return False
        await asyncio.sleep(SAMPLE_PERIOD_S)
    record(f"platform: peak {peak_mb:.1f} MB of {MEMORY_MB} MB")
    return True


async def send_usual(end_at: float, node: Node, tally: Tally, record: Record) -> None:
    """Let usual clients send until a time, and wait for their answers or for the end of the node."""
    draw = random.Random(5)
    usual: list[asyncio.Task[None]] = []
    while time.monotonic() < end_at and not node.has_exited():
        tally.sent += 1
        usual.append(asyncio.create_task(usual_clients.usual_client(node, tally.sent, tally, record, draw)))
        await asyncio.sleep(usual_clients.USUAL_PERIOD_S)
    for result in await asyncio.gather(*usual, return_exceptions=True):
        if isinstance(result, OSError):
            tally.by_status[0] = tally.by_status.get(0, 0) + 1


async def play(node: Node, record: Record) -> bool:
    """Let usual clients send, then bad ones too; return whether the node stayed below its limit."""
    tally = Tally()
    begin_at = time.monotonic()
    # Without the disruption the same time is watched that it takes until the kill, and more.
    watched_s = QUIET_BEFORE_S + (BAD_CLIENTS_S if stand_ins.has_trouble() else 30.0)
    usual_end_at = begin_at + QUIET_BEFORE_S + USUAL_AFTER_S
    usual = asyncio.create_task(send_usual(usual_end_at, node, tally, record))
    memory = asyncio.create_task(watch_memory(node, begin_at + watched_s, record))
    bad: subprocess.Popen[bytes] | None = None
    try:
        await asyncio.sleep(QUIET_BEFORE_S)
        if stand_ins.has_trouble():
            record(f"trouble: {BAD_CLIENT_COUNT} bad clients connect and send bodies of 60 MB")
            arguments = [node.address, LANE, str(BAD_CLIENT_COUNT), str(BAD_CLIENTS_S)]
            bad = subprocess.Popen([sys.executable, str(FOLDER / "bad_clients.py"), *arguments])
        has_held = await memory
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(usual, usual_clients.WAIT_FOR_ANSWER_S)
    finally:
        if bad is not None:
            bad.kill()
            bad.wait()
    record(f"usual requests {tally.sent}, by status {tally.by_status} (0: none)")
    return has_held


async def case(record: Record) -> bool:
    """Play the case, and return whether the node was not killed."""
    node = await usual_clients.make_node(answer_request, record, MEMORY_MB)
    try:
        await node.start()
        return await play(node, record)
    finally:
        node.end()


if __name__ == "__main__":
    stand_ins.run_case(FOLDER, case, CASE_LIMIT_S)
