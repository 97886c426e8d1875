"""The batches that clients of a scenario request, planned before it begins."""

from random import Random
from typing import NamedTuple

from myrtlehub.lab.scenario_file import Scenario, TrafficMix
from myrtlehub.lab.simulated_clients.traffic import CHAT_FRONT, RANK_FRONT, is_idempotent

MAX_UNDIVIDED = 200  # items of a batch that is not idempotent, which one engine must process undivided
INPUT_SKEW = 0.6  # shape of the Pareto distribution of inputs: a few of them are very frequent
MAX_INPUT = 10**7  # highest index of a distinct input
STREAMED_SHARE = 0.4
TOP_SHARE = 0.3  # fraction of rerank batches that request only the best documents
MAX_TOP = 10
MAX_DISCONNECT_DELAY = 0.3  # seconds from the request to the disconnect


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
    """One batch that a client will request; times in seconds."""

    at: float  # from the start of the traffic
    traffic: TrafficMix
    idempotency_key: str
    inputs: tuple[BatchInput, ...]
    is_streamed: bool
    top: int | None  # how many of the best documents are requested; None: all
    disconnects_after: float | None  # from the request; None: the client waits for its answer


def plan_batches(scenario: Scenario, rate: float, random: Random) -> list[PlannedBatch]:
    """Return all batches of a scenario, by the time of their arrival."""
    batch_traffic = [traffic for traffic in scenario.traffic if traffic.front != CHAT_FRONT]
    shares = [traffic.share for traffic in batch_traffic]
    planned: list[PlannedBatch] = []
    at = 0.0
    while batch_traffic and rate:
        at += random.expovariate(rate)
        if at >= scenario.length:
            break
        traffic = random.choices(batch_traffic, shares)[0]
        planned.append(_plan_batch(scenario, at, len(planned), traffic, random))
    return planned


def _plan_batch(
    scenario: Scenario, at: float, number: int, traffic: TrafficMix, random: Random
) -> PlannedBatch:
    """Draw one batch. The order of the draws is fixed, as a seed must always give the same load."""
    inputs = _draw_inputs(traffic, random)
    is_streamed = random.random() < STREAMED_SHARE
    wants_top = traffic.front == RANK_FRONT and random.random() < TOP_SHARE
    top = random.randint(1, MAX_TOP) if wants_top else None
    disconnects = random.random() < scenario.clients.leave
    return PlannedBatch(
        at=at,
        traffic=traffic,
        idempotency_key=f"b{number}",
        inputs=inputs,
        is_streamed=is_streamed,
        top=top,
        disconnects_after=MAX_DISCONNECT_DELAY * random.random() if disconnects else None,
    )


def _draw_inputs(traffic: TrafficMix, random: Random) -> tuple[BatchInput, ...]:
    size = random.choices(SIZES, [size.share for size in SIZES])[0]
    count = random.randint(size.fewest, size.most)
    if not is_idempotent(traffic):
        count = min(count, MAX_UNDIVIDED)
    return tuple(_draw_input(traffic, random) for _ in range(count))


def _draw_input(traffic: TrafficMix, random: Random) -> BatchInput:
    """Draw a text; its number of tokens is a function of the text."""
    text = f"{traffic.name}-{min(int(random.paretovariate(INPUT_SKEW)), MAX_INPUT)}".encode()
    fewest, most = traffic.prompt
    random.randint(fewest, most)  # unused draw; without it, stored seeds would give another load
    return BatchInput(text, fewest + sum(text) % (most - fewest + 1))
