"""The times at which sequences are due, which the router keeps in a heap."""

from random import Random

import pytest
from router_bench import AT_MOST_ONCE, IDEMPOTENT, RouterBench

from myrtlehub.routing.contract import Outcome
from myrtlehub.routing.policy.router import Router
from myrtlehub.routing.records import Sequence

OUTCOMES = (Outcome.READ, Outcome.FULL, Outcome.RESET, Outcome.UNREACHED, Outcome.ERROR)


def earliest_by_search(router: Router) -> float | None:
    """Return when the next sequence is due, by a search through all of them."""
    return min(
        (
            sequence.next_due_at
            for sequence in router.sequences.values()
            if not sequence.is_over and not sequence.has_begun
        ),
        default=None,
    )


def random_event(bench: RouterBench, draw: Random) -> None:
    """Pass one event to the router."""
    running = [
        (sequence.id, number)
        for sequence in bench.router.sequences.values()
        for number in sequence.running_attempts()
    ]
    kind = draw.random()
    if kind < 0.3 or not running:
        traffic = draw.choice((IDEMPOTENT, AT_MOST_ONCE))
        bench.arrive(traffic, draw.choice((300.0, 3000.0)), time_left=draw.uniform(0.1, 3.0))
        return
    sequence_id, attempt = draw.choice(running)
    if kind < 0.7:
        bench.ended(sequence_id, attempt, draw.choice(OUTCOMES))
    elif kind < 0.8:
        bench.began(sequence_id, attempt)
    elif kind < 0.85:
        bench.client_left(sequence_id)
    else:
        bench.wait(draw.choice((0.01, 0.3)))


def test_the_next_due_time_is_that_of_a_search_through_all_sequences() -> None:
    for seed in range(10):
        bench, draw = RouterBench("R0 R0 W0 R1 W1 W1", seed=seed), Random(seed)
        for _ in range(300):
            random_event(bench, draw)
            assert bench.router._next_due_at() == earliest_by_search(bench.router)


# Guards against a call whose cost grows with the number of sequences that the node has accepted.
def test_a_call_looks_at_few_of_the_sequences_in_flight(monkeypatch: pytest.MonkeyPatch) -> None:
    bench = RouterBench("R0 W0")
    for _ in range(1000):
        bench.arrive(prompt=300.0)
    assert len(bench.router.sequences) == 1000
    looked_at: list[Sequence] = []
    next_due_at = Sequence.next_due_at.fget

    def record_look(sequence: Sequence) -> float:
        looked_at.append(sequence)
        return next_due_at(sequence)

    monkeypatch.setattr(Sequence, "next_due_at", property(record_look))
    bench.arrive(prompt=300.0)
    bench.client_left(7)
    assert 0 < len(looked_at) <= 6
