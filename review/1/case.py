"""Case 1: bad clients send bodies of 60 MB in small chunks; usual clients get no answer in time."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import stand_ins
import usual_clients
from stand_ins import Node, Record, Request
from usual_clients import LANE, Tally

FOLDER = Path(__file__).resolve().parent
CASE_LIMIT_S = 90.0
BAD_CLIENT_COUNT = 60
QUIET_BEFORE_S = 3.0
BAD_CLIENTS_S = 12.0
QUIET_AFTER_S = 3.0
FIRST_TOKEN_S = 0.05


async def answer_request(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answer as a healthy writer: the first token soon, then the rest of a short stream."""
    if request.method != "POST":
        writer.write(stand_ins.plain_response("204 No Content"))
        return
    await asyncio.sleep(FIRST_TOKEN_S)
    writer.write(stand_ins.STREAM_HEAD + stand_ins.chunk(stand_ins.token_event("abcd")))
    await asyncio.sleep(FIRST_TOKEN_S)
    writer.write(stand_ins.chunk(stand_ins.end_events(300)) + stand_ins.LAST_CHUNK)


def start_bad_clients(node: Node) -> subprocess.Popen[bytes]:
    """Start the bad clients as a process of their own, so that they don't delay the usual ones."""
    program = FOLDER / "bad_clients.py"
    arguments = [node.address, LANE, str(BAD_CLIENT_COUNT), str(BAD_CLIENTS_S)]
    return subprocess.Popen([sys.executable, str(program), *arguments])


async def play(node: Node, record: Record) -> Tally:
    """Let usual clients send all the time, and bad clients in the middle."""
    tally = Tally()
    end_at = time.monotonic() + QUIET_BEFORE_S + BAD_CLIENTS_S + QUIET_AFTER_S
    usual = asyncio.create_task(usual_clients.send_until(end_at, node, tally, record))
    bad: subprocess.Popen[bytes] | None = None
    try:
        await asyncio.sleep(QUIET_BEFORE_S)
        if stand_ins.has_trouble():
            record(f"trouble: {BAD_CLIENT_COUNT} bad clients connect and send bodies of 60 MB")
            bad = start_bad_clients(node)
        await usual
    finally:
        if bad is not None:
            bad.kill()
            bad.wait()
    return tally


async def case(record: Record) -> bool:
    """Play the case, and return whether each usual client got its final answer in time."""
    node = await usual_clients.make_node(answer_request, record)
    try:
        await node.start()
        tally = await play(node, record)
        record(f"node: exited {node.has_exited()}, peak memory {node.peak_memory_mb():.0f} MB")
    finally:
        node.end()
    tally.report(record)
    return not tally.lost


if __name__ == "__main__":
    stand_ins.run_case(FOLDER, case, CASE_LIMIT_S)
