"""The common part of the cases in which a node does not hear that an engine drains."""

import asyncio
import json
from collections.abc import Callable

import platform_standins as standins

TROUBLE_FROM_S = 5.0
LEAVING_AT_S = {"w0": 13.0, "w1": 18.0}
ENDS_AFTER_S = (
    12.0  # an engine that leaves ends that long after discovery had it, over thrice its longest stream
)
END_AT_S = 36.0
EVENTS, EVENT_S = 30, 0.1  # of a stream
TOLD_WITHIN_S = 6.0  # a change counts as told that long after discovery had it, at the latest
DRAIN_GRACE_S = 0.25
REQUEST_INTERVAL_S = 0.05


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


class Drains:
    """The engines that leave: when discovery had it, and when they ended."""

    def __init__(self, discovery: standins.Discovery, engines: list[standins.Engine]) -> None:
        self.discovery = discovery
        self.record = discovery.record
        self.engines = {engine.name: engine for engine in engines if engine.name in LEAVING_AT_S}
        self.had_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}

    async def advance(self, passed: float) -> None:
        """Let discovery tell of the engines that leave now, and end those whose work is done long since."""
        for name, engine in self.engines.items():
            if passed > LEAVING_AT_S[name] and name not in self.had_at:
                self.discovery.tell(engine, "leaving")
                self.had_at[name] = self.record.now()
            if passed > LEAVING_AT_S[name] + ENDS_AFTER_S and name not in self.ended_at:
                self.ended_at[name] = self.record.now()
                self.record.write(f"ends      {name}")
                self.discovery.tell(engine, "left")
                await engine.stop()

    def late_sends(self, attempts: list[standins.Attempt]) -> list[standins.Attempt]:
        """Return the attempts that an engine got too long after discovery had that it leaves."""
        limit = TOLD_WITHIN_S + DRAIN_GRACE_S + standins.SLACK_S
        return [
            attempt
            for attempt in attempts
            if attempt.engine in self.had_at and attempt.first_byte_at > self.had_at[attempt.engine] + limit
        ]


async def play(
    stage: standins.Stage, begin_trouble: Callable[[standins.Discovery], None], trouble: str
) -> int:
    """Play the case; `begin_trouble` disturbs discovery."""
    record = stage.record
    world = standins.World(record)
    engines = [standins.Engine(world, f"r{number}", True) for number in range(2)]
    engines += [standins.Engine(world, f"w{number}", False) for number in range(4)]
    for engine in engines:
        engine.events, engine.event_s = EVENTS, EVENT_S
        await engine.start()
    discovery = standins.Discovery(record, engines)
    await discovery.start()
    node = await stage.start_node(standins.settings(), discovery)
    watcher = asyncio.ensure_future(_watch(discovery, record))
    drains = Drains(discovery, engines)
    began_at, is_disturbed = record.now(), False
    asked: list[asyncio.Task[standins.Answer]] = []
    while (passed := record.now() - began_at) < END_AT_S:
        if standins.trouble_is_on() and passed > TROUBLE_FROM_S and not is_disturbed:
            is_disturbed = True
            record.write(f"trouble   {trouble} from now on")
            begin_trouble(discovery)
        await drains.advance(passed)
        lane = "post" if len(asked) % 4 == 0 else "ask"
        request = standins.Request(f"q{len(asked):05d}-{lane}", lane, 8000, 200)
        asked.append(asyncio.ensure_future(standins.ask(node.address, request, record)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    answers = await asyncio.gather(*asked)
    watcher.cancel()
    late = drains.late_sends(world.attempts)
    broken_off = {answer.request_id for answer in answers if answer.status == 200 and not answer.is_whole}
    breaks = [
        f"drain: {attempt.request_id} was sent to {attempt.engine} "
        f"{attempt.first_byte_at - drains.had_at[attempt.engine]:.2f} s after discovery had that it leaves"
        + ("; its work is lost: the stream broke off when the engine ended" * is_lost)
        for attempt in late
        for is_lost in [attempt.request_id in broken_off]
    ]
    lost = len(broken_off & {attempt.request_id for attempt in late})
    served = sum(answer.status == 200 and answer.is_whole for answer in answers)
    counts = f"{len(answers)} requests, {served} served, {len(late)} sent too late, {lost} of them lost"
    return standins.verdict(record, breaks, counts)
