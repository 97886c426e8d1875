"""The common part of the cases in which a node does not hear that an engine drains."""

import asyncio
import json
from collections.abc import Callable

import platform_standins as standins

TROUBLE_FROM_S = 5.0
LEAVING_AT_S = 13.0
END_AT_S = 35.0
TOLD_WITHIN_S = 6.0  # a change counts as told that long after discovery had it, at the latest
DRAIN_GRACE_S = 0.25
REQUEST_INTERVAL_S = 0.05
DRAINED = "w0"


async def _watch(discovery: standins.Discovery, record: standins.Record) -> None:
    """Follow the list as a patient watcher would, and record when it hears of a change."""
    seq = discovery.seq
    while True:
        reader, writer = await asyncio.open_connection(standins.HOST, discovery.port)
        target = f"/discovery/hosts?since={seq}&timeout_ms=2000"
        head = f"GET {target} HTTP/1.1\r\nHost: discovery\r\nConnection: close\r\n\r\n"
        writer.write(head.encode())
        headers = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = headers.partition("content-length:")[2].split()
        answer = json.loads(await (reader.readexactly(int(length[0])) if length else reader.read()))
        writer.transport.abort()
        seq = answer["seq"]
        for host in answer["hosts"]:
            record.write(f"watcher   has heard that {host['host']} is {host['health']}")


async def play(
    stage: standins.Stage, begin_trouble: Callable[[standins.Discovery], None], trouble: str
) -> int:
    """Play the case; `begin_trouble` disturbs discovery."""
    record = stage.record
    world = standins.World(record)
    engines = [standins.Engine(world, f"r{number}", True) for number in range(2)]
    engines += [standins.Engine(world, f"w{number}", False) for number in range(4)]
    for engine in engines:
        await engine.start()
    discovery = standins.Discovery(record, engines)
    await discovery.start()
    node = await stage.start_node(standins.settings(), discovery)
    watcher = asyncio.ensure_future(_watch(discovery, record))
    drained = next(engine for engine in engines if engine.name == DRAINED)
    began_at, had_at, is_disturbed = record.now(), 0.0, False
    asked: list[asyncio.Task[standins.Answer]] = []
    while (passed := record.now() - began_at) < END_AT_S:
        if standins.trouble_is_on() and passed > TROUBLE_FROM_S and not is_disturbed:
            is_disturbed = True
            record.write(f"trouble   {trouble} from now on")
            begin_trouble(discovery)
        if passed > LEAVING_AT_S and not had_at:
            discovery.tell(drained, "leaving")
            had_at = record.now()
        request = standins.Request(f"q{len(asked):05d}", "ask", 8000, 200)
        asked.append(asyncio.ensure_future(standins.ask(node.address, request, record)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    answers = await asyncio.gather(*asked)
    watcher.cancel()
    limit = had_at + TOLD_WITHIN_S + DRAIN_GRACE_S + standins.SLACK_S
    sends = [attempt for attempt in world.attempts if attempt.engine == DRAINED]
    breaks = [
        f"drain: {attempt.request_id} was sent to {DRAINED} {attempt.first_byte_at - had_at:.2f} s after "
        "discovery had its drain"
        for attempt in sends
        if attempt.first_byte_at > limit
    ]
    served = sum(answer.status == 200 and answer.is_whole for answer in answers)
    last = max((attempt.first_byte_at - had_at for attempt in sends), default=0.0)
    counts = f"{len(answers)} requests, {served} served, last send to {DRAINED} at {last:+.2f} s"
    return standins.verdict(record, breaks, counts)
