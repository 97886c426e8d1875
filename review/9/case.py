"""Case 9: engines hang, all connections to engines are in use, and read states are released too late."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import platform_standins as standins  # noqa: E402 - the folder of the stand-ins is on the path only now

SOCKETS = 256
MAX_OPEN = 85  # requests at once: a third of the descriptors
RATE = 35.0  # requests a second
READERS, WRITERS = 2, 6
HANGING = 4  # of the 8 engines
HANGS_AT_S = (6.0, 30.0)
HANG_S = 8.0
END_AT_S = 52.0
HOLD_LIMIT_S = 0.5 + 0.3 + standins.SLACK_S  # LetGoByMs, 300 ms more, and the slack on sockets
PROMPT_TOKENS = 2000


class Clients:
    """Clients that have at most MAX_OPEN requests open, and wait 5 to 10 s for a first token."""

    def __init__(self, node: standins.Node, record: standins.Record, seed: int) -> None:
        self.node = node
        self.record = record
        self.random = random.Random(seed)
        self.open = 0
        self.most_open = 0
        self.asked: list[asyncio.Task[standins.Answer]] = []

    def arrive(self) -> None:
        """Send a request, unless as many are open as there may be."""
        if self.open < MAX_OPEN:
            lane = self.random.choice(("ask", "ask", "ask", "ask", "post"))
            remaining_ms = self.random.randint(5000, 10000)
            request = standins.Request(f"q{len(self.asked):05d}", lane, remaining_ms, PROMPT_TOKENS)
            self.asked.append(asyncio.ensure_future(self._ask(request)))

    async def _ask(self, request: standins.Request) -> standins.Answer:
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            return await standins.ask(self.node.address, request, self.record)
        finally:
            self.open -= 1


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
    writers = [standins.Engine(world, f"w{number}", False) for number in range(WRITERS)]
    for engine in [*readers, *writers]:
        engine.read_s, engine.events, engine.event_s = 0.15, 10, 0.12
        await engine.start()
    discovery = standins.Discovery(record, [*readers, *writers])
    await discovery.start()
    node = await stage.start_node(standins.settings(), discovery, SOCKETS)
    clients = Clients(node, record, 1)
    began_at = record.now()
    while (passed := record.now() - began_at) < END_AT_S:
        should_hang = standins.trouble_is_on() and any(at <= passed < at + HANG_S for at in HANGS_AT_S)
        if should_hang != writers[0].hangs:
            for engine in writers[:HANGING]:
                engine.set_hang(should_hang)
        clients.arrive()
        await asyncio.sleep(clients.random.expovariate(RATE))
    answers = await asyncio.gather(*clients.asked)
    served = sum(answer.status == 200 and answer.is_whole for answer in answers)
    counts = f"{len(answers)} requests, {served} served, {clients.most_open} open at once at most"
    return standins.verdict(record, judge(world), counts)


if __name__ == "__main__":
    sys.exit(standins.run_case(main, FOLDER))
