"""The batches that clients of a scenario ask for, drawn ahead."""

from random import Random
from typing import NamedTuple

from myrtlehub.lab.scenario_file import Scenario, TrafficMix
from myrtlehub.lab.simulated_clients.sequence_plan import CHAT_FRONT, STAYS

RANK_FRONT = "rank"
IDEMPOTENT = "repeatable"
MAX_UNDIVIDED = 200  # items of a batch that goes whole to one engine, as it is not idempotent
INPUT_SKEW = 0.6  # of the Pareto distribution by which inputs are drawn: some come again and again
MAX_INPUT = 10**7
STREAMED_SHARE = 0.4
TOP_SHARE = 0.3  # of rerank batches, that want the best few alone
MAX_TOP = 10
LEAVE_WITHIN = 0.3  # seconds


class _Size(NamedTuple):
    """A class of batches by their number of items."""

    share: float
    fewest: int
    most: int


SIZES = (_Size(0.5, 1, 4), _Size(0.35, 5, 80), _Size(0.15, 100, 600))


class BatchInput(NamedTuple):
    """One input of a batch."""

    text: bytes
    tokens: int


class PlannedBatch(NamedTuple):
    """One batch that a client will ask for."""

    at: float
    traffic: TrafficMix
    idempotency_key: str
    inputs: tuple[BatchInput, ...]
    is_streamed: bool
    top: int  # how many of the best are wanted; 0: all
    leaves_after: float  # seconds after asking; STAYS: not at all


def plan_batches(scenario: Scenario, rate: float, random: Random) -> list[PlannedBatch]:
    """Draw all batches of a scenario, by the time of their arrival."""
    batch_traffic = [traffic for traffic in scenario.traffic if traffic.front != CHAT_FRONT]
    shares = [traffic.share for traffic in batch_traffic]
    planned: list[PlannedBatch] = []
    at = 0.0
    while batch_traffic and rate:
        at += random.expovariate(rate)
        if at >= scenario.length:
            break
        traffic = random.choices(batch_traffic, shares)[0]
        inputs = _draw_inputs(traffic, random)
        is_streamed = random.random() < STREAMED_SHARE
        wants_top = traffic.front == RANK_FRONT and random.random() < TOP_SHARE
        planned.append(
            PlannedBatch(
                at,
                traffic,
                f"b{len(planned)}",
                inputs,
                is_streamed,
                random.randint(1, MAX_TOP) if wants_top else 0,
                LEAVE_WITHIN * random.random() if random.random() < scenario.clients.leave else STAYS,
            )
        )
    return planned


def _draw_inputs(traffic: TrafficMix, random: Random) -> tuple[BatchInput, ...]:
    size = random.choices(SIZES, [size.share for size in SIZES])[0]
    count = random.randint(size.fewest, size.most)
    if traffic.repeats != IDEMPOTENT:
        count = min(count, MAX_UNDIVIDED)
    return tuple(_draw_input(traffic, random) for _ in range(count))


def _draw_input(traffic: TrafficMix, random: Random) -> BatchInput:
    """Draw a text; its tokens are a function of it."""
    text = f"{traffic.name}-{min(int(random.paretovariate(INPUT_SKEW)), MAX_INPUT)}".encode()
    fewest, most = traffic.prompt
    random.randint(fewest, most)  # not used; later draws of a seed stay what they were
    return BatchInput(text, fewest + sum(text) % (most - fewest + 1))
