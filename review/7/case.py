"""Case 7: in a large fleet a burst of traffic takes all of the node's time, and answers come too late."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import platform_standins as standins  # noqa: E402 - the folder of the stand-ins is on the path only now

ENGINES = 3200  # entries of the list, half of them readers and half writers
BLOCK = 16
LISTENERS = 8  # of each role; the entries of a role share them
CALIBRATION_RATE, CALIBRATION_S = 10.0, 8.0  # requests a second, and seconds, to learn what a request costs
USUAL_LOAD = 0.6  # of one core, in usual traffic
MAX_RATE = 40.0  # requests a second in usual traffic
BURST = 2.1  # the multiple of usual traffic in a burst
BURSTS_AT_S, BURST_S = (14.0, 34.0, 54.0), 8.0
END_AT_S = 68.0
AIM_MS, GIVE_UP_MS = 800.0, 2000  # a try is given up after 50 to 100% of it
LATE_LIMIT_S = 0.5 + standins.SLACK_S  # after the time of a request
PROMPT_TOKENS = 2000


class LargeFleet(standins.Discovery):
    """Discovery of a fleet whose engines share a few listeners."""

    def whole(self) -> dict[str, object]:
        """Return the whole list."""
        hosts = [
            {
                **self.engines[number % len(self.engines)].entry(),
                "host": f"s-{number:04d}",
                "block": number // BLOCK,
            }
            for number in range(ENGINES)
        ]
        return {"seq": self.seq, "whole": True, "hosts": hosts}


class Clients:
    """Clients that wait for half to all of the time of a class."""

    def __init__(self, node: standins.Node, record: standins.Record) -> None:
        self.node = node
        self.record = record
        self.random = random.Random(3)
        self.asked: list[asyncio.Task[standins.Answer]] = []
        self.remaining_ms: dict[str, int] = {}

    def arrive(self) -> None:
        """Send a request."""
        request_id = f"q{len(self.asked):05d}"
        time_ms = self.remaining_ms[request_id] = self.random.randint(GIVE_UP_MS // 2, GIVE_UP_MS)
        request = standins.Request(request_id, "ask", time_ms, PROMPT_TOKENS)
        self.asked.append(asyncio.ensure_future(standins.ask(self.node.address, request, self.record)))

    async def pause(self, rate: float) -> None:
        """Wait for the next arrival."""
        await asyncio.sleep(self.random.expovariate(rate))


def cpu_seconds(node: standins.Node) -> float:
    """Return the processor time that the node has used."""
    if node.process is None:
        raise standins.CaseNotRunError("the node does not run")
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def main(stage: standins.Stage) -> int:
    """Play the case."""
    record = stage.record
    world = standins.World(record)
    readers = [standins.Engine(world, f"r{number}", True) for number in range(LISTENERS)]
    writers = [standins.Engine(world, f"w{number}", False) for number in range(LISTENERS)]
    for engine in [*readers, *writers]:
        engine.read_s, engine.events, engine.event_s = 0.15, 5, 0.07
        await engine.start()
    pairs = [engine for pair in zip(readers, writers, strict=True) for engine in pair]
    discovery = LargeFleet(record, pairs)
    await discovery.start()
    settings = standins.settings()
    settings["Classes"] = [{**row, "AimMs": AIM_MS, "GiveUpMs": GIVE_UP_MS} for row in standins.CLASSES]
    node = await stage.start_node(settings, discovery)
    clients = Clients(node, record)
    rate, spent_s = CALIBRATION_RATE, cpu_seconds(node)
    began_at = record.now()
    while (passed := record.now() - began_at) < END_AT_S:
        if rate == CALIBRATION_RATE and passed > CALIBRATION_S:
            cost_s = (cpu_seconds(node) - spent_s) / len(clients.asked)
            rate = min(MAX_RATE, USUAL_LOAD / cost_s)
            record.write(
                f"usual     {rate:.1f} requests a second, of {1000 * cost_s:.1f} ms of processor time"
            )
        is_burst = any(at <= passed < at + BURST_S for at in BURSTS_AT_S)
        clients.arrive()
        await clients.pause(rate * (BURST if is_burst and standins.trouble_is_on() else 1.0))
    asked, remaining_ms = clients.asked, clients.remaining_ms
    answers = await asyncio.gather(*asked)
    breaks = []
    for answer in answers:
        late_s = answer.after_s - remaining_ms[answer.request_id] / 1000
        if answer.status != 200 and late_s > LATE_LIMIT_S:
            breaks.append(
                f"lost: {answer.request_id} had {remaining_ms[answer.request_id]} ms and was answered "
                f"{answer.status} {late_s:.2f} s after its time"
            )
    by_status = dict.fromkeys(sorted({answer.status for answer in answers}), 0)
    for answer in answers:
        by_status[answer.status] += 1
    return standins.verdict(record, breaks, f"{len(answers)} requests, by status {by_status}")


if __name__ == "__main__":
    sys.exit(standins.run_case(main, FOLDER))
