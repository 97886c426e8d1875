"""Case 8: engines hang for 4.7 s in their streams and go on; the node has cut the streams off."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import platform_standins as standins  # noqa: E402 - the folder of the stand-ins is on the path only now

READERS, WRITERS, HANGING = 2, 4, 2  # 2 of 6 engines hang
HANG_S = 4.7
HANGS_AT_S = (6.0, 20.0)
END_AT_S = 32.0
EVENT_S = 0.1
EVENTS = 30
WAIT_LIMIT_S = 5.0  # for which a client may be left waiting after an engine's last event
REQUEST_INTERVAL_S = 0.15
PROMPT_TOKENS = 200  # few enough that a writer reads the prompt itself


class Hang:
    """One time in which the engines hang."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.ended_at = began_at


def is_lost(attempt: standins.Attempt, hangs: list[Hang]) -> bool:
    """Return whether the node gave up this stream although its next event came within the limit.

    The last event was written at most EVENT_S before the hang, and the next one comes at its end.
    """
    return (
        attempt.began
        and attempt.end == "given up"
        and any(
            attempt.ended_at is not None
            and hang.began_at < attempt.ended_at
            and hang.ended_at - hang.began_at + EVENT_S < WAIT_LIMIT_S
            and attempt.ended_at < hang.ended_at
            for hang in hangs
        )
    )


async def main(stage: standins.Stage) -> int:
    """Play the case."""
    record = stage.record
    world = standins.World(record)
    readers = [standins.Engine(world, f"r{number}", True) for number in range(READERS)]
    writers = [standins.Engine(world, f"w{number}", False) for number in range(WRITERS)]
    for engine in [*readers, *writers]:
        engine.events, engine.event_s = EVENTS, EVENT_S
        await engine.start()
    discovery = standins.Discovery(record, [*readers, *writers])
    await discovery.start()
    node = await stage.start_node(standins.settings(), discovery)
    hangs: list[Hang] = []
    began_at = record.now()
    asked: list[asyncio.Task[standins.Answer]] = []
    while (passed := record.now() - began_at) < END_AT_S:
        should_hang = standins.trouble_is_on() and any(at <= passed < at + HANG_S for at in HANGS_AT_S)
        if should_hang != writers[0].hangs:
            for engine in writers[:HANGING]:
                engine.set_hang(should_hang)
            if should_hang:
                hangs.append(Hang(record.now()))
            else:
                hangs[-1].ended_at = record.now()
        if int(passed / REQUEST_INTERVAL_S) >= len(asked):
            lane = "post" if len(asked) % 4 == 0 else "ask"
            request = standins.Request(f"q{len(asked):05d}-{lane}", lane, 10000, PROMPT_TOKENS)
            asked.append(asyncio.ensure_future(standins.ask(node.address, request, record)))
        await asyncio.sleep(0.005)
    answers = await asyncio.gather(*asked)
    cut = {answer.request_id for answer in answers if answer.status == 200 and not answer.is_whole}
    breaks = [
        f"lost: the node cut off the stream of {attempt.request_id} at {attempt.engine}, which went on"
        for attempt in world.attempts
        if attempt.request_id in cut and is_lost(attempt, hangs)
    ]
    served = sum(answer.status == 200 and answer.is_whole for answer in answers)
    lengths = ", ".join(f"{hang.ended_at - hang.began_at:.2f} s" for hang in hangs)
    return standins.verdict(record, breaks, f"{len(answers)} requests, {served} served, hangs: {lengths}")


if __name__ == "__main__":
    sys.exit(standins.run_case(main, FOLDER))
