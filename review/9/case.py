"""Case 9: writers are full, all connections to engines are in use, and read states are released too late."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import platform_standins as standins  # noqa: E402 - the folder of the stand-ins is on the path only now

SOCKETS = 256
CLIENTS = 85  # with one request open each: a third of the descriptors
READERS, WRITERS = 2, 4
FULL = 2  # writers that are full at a time
FULL_FROM_S, FULL_S, TURN_S = 10.0, 30.0, 3.0
END_AT_S = 44.0
EVENT_S, EVENTS = 0.5, (26, 44)  # streams of 13 to 22 s: 190 to 320 tokens, one every 70 ms
HOLD_LIMIT_S = 0.5 + 0.3 + standins.SLACK_S  # LetGoByMs, 300 ms more, and the slack on sockets
PAUSE_S = (0.1, 0.5)  # of a client between its requests
PROMPT_TOKENS = 2000


class Writer(standins.Engine):
    """A writer whose streams differ in length."""

    async def _stream(self, attempt: standins.Attempt, writer: asyncio.StreamWriter) -> None:
        self.events = random.Random(attempt.request_id).randint(*EVENTS)
        await super()._stream(attempt, writer)


async def client(
    number: int, node: standins.Node, record: standins.Record, answers: list[standins.Answer], end_at: float
) -> None:
    """Send one request after another, each on a new connection."""
    draw = random.Random(number)
    count = 0
    while record.now() < end_at:
        await asyncio.sleep(draw.uniform(*PAUSE_S))
        count += 1
        lane = "post" if draw.random() < 0.2 else "ask"
        request = standins.Request(f"q{number:02d}-{count:03d}", lane, 10000, PROMPT_TOKENS)
        answers.append(await standins.ask(node.address, request, record))


def unattended(hold: standins.Hold, attempts: list[standins.Attempt]) -> float:
    """Return the longest time for which a state was held while no attempt of its request was out."""
    longest, since = 0.0, hold.held_at
    for attempt in sorted(attempts, key=lambda each: each.arrived_at):
        ended_at = hold.freed_at if attempt.ended_at is None else attempt.ended_at
        if ended_at > hold.held_at and attempt.arrived_at < hold.freed_at:
            longest = max(longest, attempt.arrived_at - since)
            since = max(since, ended_at)
    return max(longest, hold.freed_at - since)


def judge(world: standins.World) -> list[str]:
    """Return the states that were held longer than the limit while no attempt was out."""
    by_id: dict[str, list[standins.Attempt]] = {}
    for attempt in world.attempts:
        by_id.setdefault(attempt.request_id, []).append(attempt)
    now = world.record.now()
    holds = [*world.holds, *(standins.Hold(each, since, now) for each, since in world.states.items())]
    times = {hold: unattended(hold, by_id[hold.request_id]) for hold in holds}
    return [
        f"pinned: the state of {hold.request_id}, held from {hold.held_at:.3f} to {hold.freed_at:.3f}, was "
        f"neither taken nor released for {seconds:.2f} s"
        for hold, seconds in times.items()
        if seconds > HOLD_LIMIT_S
    ]


async def main(stage: standins.Stage) -> int:
    """Play the case."""
    record = stage.record
    world = standins.World(record)
    readers = [standins.Engine(world, f"r{number}", True) for number in range(READERS)]
    writers = [Writer(world, f"w{number}", False) for number in range(WRITERS)]
    for engine in [*readers, *writers]:
        engine.read_s, engine.first_event_s, engine.event_s = 0.2, 0.2, EVENT_S
        await engine.start()
    discovery = standins.Discovery(record, [*readers, *writers])
    await discovery.start()
    node = await stage.start_node(standins.settings(), discovery, SOCKETS)
    answers: list[standins.Answer] = []
    began_at = record.now()
    clients = [
        asyncio.ensure_future(client(number, node, record, answers, began_at + END_AT_S))
        for number in range(CLIENTS)
    ]
    while (passed := record.now() - began_at) < END_AT_S:
        turn = int((passed - FULL_FROM_S) / TURN_S) % WRITERS
        is_on = standins.trouble_is_on() and 0 <= passed - FULL_FROM_S < FULL_S
        full = {writers[(turn + each) % WRITERS].name for each in range(FULL)} if is_on else set()
        for engine in writers:
            engine.slots = 0 if engine.name in full else 1000
        await asyncio.sleep(0.05)
    await asyncio.gather(*clients)
    served = sum(answer.status == 200 and answer.is_whole for answer in answers)
    return standins.verdict(record, judge(world), f"{len(answers)} requests, {served} served")


if __name__ == "__main__":
    sys.exit(standins.run_case(main, FOLDER))
