"""A seeded fleet of modelled engines and clients that drives one router on a simulated clock.

`python benchmarks/driven_fleet.py TREE --seed S --sequences N` plays scenarios against the router of the tree
and prints each of its actions on a line. All random draws come from the seed, and all events follow from the
actions, so two routers that decide alike print the same lines; the first difference shows where they diverge.
"""

import argparse
import heapq
import random as random_module
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from endpoint_changes import EndpointChanges
from fleet_shape import GONE, WRITES, Engine, FleetShape, Sequence
from router_dialects import Dialect, open_dialect

START = 100.0  # seconds on the clock
SEQUENCES_EACH = (200, 500)  # lowest and highest number of sequences of a scenario
FAULTS = ("error", "reset", "timeout", "unreached", "full", "unsent")
LONGEST_SEQUENCE = 60.0  # seconds from the last arrival to the end of a scenario
READ_RATE = 12000.0  # tokens per second


class Scenario:
    """One random fleet and configuration, run for a number of sequences."""

    def __init__(self, dialect: Dialect, seed: str, sequences: int, emit: Callable[[str], Any]) -> None:
        self.dialect = dialect
        self.random = Random(seed)
        self.emit = emit
        self.left_to_arrive = sequences
        self.last_arrival_by = START
        self.now = START
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.queued = 0
        self.events = 0
        self.counts: Counter[str] = Counter()
        self.sequences: dict[int, Sequence] = {}
        self.next_sequence = 0
        self.shape = FleetShape(dialect, self.random)
        self.changes = EndpointChanges(self)
        self.engines = self.changes.engines
        self.router = dialect.router(self.shape.config())

    # -- the clock and the router -----------------------------------------------------------------

    def at(self, delay: float, what: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401
        """Schedule a call after a delay in simulated seconds."""
        self.queued += 1
        heapq.heappush(self.queue, (self.now + delay, self.queued, what, arguments))

    def call(self, name: str, *arguments: Any) -> None:  # noqa: ANN401
        """Call the router, print its actions and execute them."""
        self.events += 1
        self.counts[f"call {name}"] += 1
        for action in self.dialect.call(self.router, name, self.now, *arguments):
            self.counts[action[0]] += 1
            self.emit(f"{self.events} {self.now!r} {name} -> {' '.join(map(str, action))}\n")
            self._execute(*action)

    def play(self) -> None:
        """Run events until all sequences have ended, or LONGEST_SEQUENCE seconds after the last arrival."""
        self.call("start")
        self.changes.start()
        self.at(0.0, self._arrive)
        while self.queue and (self.left_to_arrive or self.sequences):
            self.now, _, what, arguments = heapq.heappop(self.queue)
            if self.left_to_arrive:
                self.last_arrival_by = self.now
            elif self.now > self.last_arrival_by + LONGEST_SEQUENCE:
                break
            what(*arguments)
        self.emit(f"{self.events} {self.now!r} scenario over, {len(self.sequences)} sequences left\n")

    # -- clients ----------------------------------------------------------------------------------

    def _arrive(self) -> None:
        if not self.left_to_arrive:
            return
        self._take(self.shape.request(len(self.engines)))
        burst = self.random.random() < 0.02
        self.at(0.0 if burst else self.random.expovariate(self.shape.rate), self._arrive)

    def _take(self, fields: dict[str, Any]) -> None:
        if not self.left_to_arrive:
            return
        self.left_to_arrive -= 1
        ident, self.next_sequence = self.next_sequence, self.next_sequence + 1
        self.sequences[ident] = Sequence(ident, fields)
        if self.random.random() < 0.04:
            self.at(self.random.expovariate(1.0), self._leave, ident)
        self.call("arrive", ident, self.dialect.make("Arrival", **fields))

    def _leave(self, ident: int) -> None:
        if ident in self.sequences or self.random.random() < 0.1:
            self.call("client_left", ident)

    def _come_again(self, sequence: Sequence, wait: float) -> None:
        if self.random.random() < 0.3:
            again = dict(sequence.fields, is_retry=True)
            again["time_left"] = max(0.02, again["time_left"] * 0.6)
            self.at(wait + self.random.random(), self._take, again)

    # -- actions ----------------------------------------------------------------------------------

    def _execute(self, name: str, *fields: Any) -> None:  # noqa: ANN401
        execute = getattr(self, f"_execute_{name}", None)
        if execute is not None:
            execute(*fields)

    def _execute_ScheduleWakeup(self, delay: float, token: int) -> None:  # noqa: N802 - named by the action
        self.at(delay, self.call, "wake", token)

    def _execute_Probe(self, index: int) -> None:  # noqa: N802
        engine = self.engines[index]
        if engine.state == GONE or engine.is_silent or self.random.random() < 0.05:
            self.at(0.5, self.call, "probe_ended", index, False, 0.5, None)
            return
        took = self.random.expovariate(60.0)
        self.at(took, self._probe_answered, index, took)

    def _probe_answered(self, index: int, took: float) -> None:
        self.call("probe_ended", index, True, took, self._load(self.engines[index], by_probe=True))

    def _execute_Reject(self, ident: int, retry_after: float) -> None:  # noqa: N802
        self._come_again(self.sequences[ident], retry_after)

    def _execute_Abort(self, ident: int) -> None:  # noqa: N802
        self._come_again(self.sequences[ident], 0.0)

    def _execute_Forget(self, ident: int) -> None:  # noqa: N802
        self.sequences.pop(ident).is_over = True

    def _execute_CancelAttempt(self, ident: int, attempt: int) -> None:  # noqa: N802
        self.at(0.001, self._end, self.sequences[ident], attempt, "cancelled", 0.0, False)

    def _execute_Send(self, ident: int, index: int, timeout: float) -> None:  # noqa: N802
        sequence, engine = self.sequences[ident], self.engines[index]
        attempt = len(sequence.attempts)
        sequence.attempts.append(index)
        sequence.running.add(attempt)
        fault = self._fault(engine)
        if fault:
            self.at(self._fault_delay(fault, timeout), self._end, sequence, attempt, fault, 0.0, False)
            return
        took = self._work_time(engine, sequence)
        if timeout and took > timeout:
            self.at(timeout, self._end, sequence, attempt, "timeout", timeout, False)
        elif not WRITES[engine.kind]:
            self.at(took, self._end, sequence, attempt, "read", took, False)
        else:
            self.at(took, self._begin, sequence, attempt, took)

    # -- engines ----------------------------------------------------------------------------------

    def _fault(self, engine: Engine) -> str:
        draw = self.random
        if engine.state == GONE:
            return draw.choice(("unreached", "reset"))
        if engine.is_silent:
            return "timeout"
        if draw.random() < engine.fault_share:
            return draw.choice(FAULTS)
        return "full" if draw.random() < engine.full_share or engine.streams > 40 else ""

    def _fault_delay(self, fault: str, timeout: float) -> float:
        if fault == "timeout":
            return timeout or 1.5
        return self.random.random() * (0.01 if fault in ("full", "unsent", "unreached") else 0.3)

    def _work_time(self, engine: Engine, sequence: Sequence) -> float:
        passed = self.now - engine.work_at
        rate = READ_RATE / engine.slowness
        engine.work = max(0.0, engine.work - rate * passed) + sequence.fields["prompt_tokens"]
        engine.work_at = self.now
        return engine.work / rate + self.random.expovariate(50.0)

    def _begin(self, sequence: Sequence, attempt: int, took: float) -> None:
        if attempt not in sequence.running:
            return
        engine, draw = self.engines[sequence.attempts[attempt]], self.random
        engine.streams += 1
        self.call("began", sequence.ident, attempt, took)
        tokens = draw.random() * sequence.fields["max_output_tokens"]
        length = min(8.0, 0.03 * engine.slowness * tokens)
        outcome = "reset" if draw.random() < engine.fault_share / 2 else "generated"
        self.at(length, self._end, sequence, attempt, outcome, took + length, True)

    def _end(self, sequence: Sequence, attempt: int, outcome: str, latency: float, has_begun: bool) -> None:
        if attempt not in sequence.running:
            return
        sequence.running.discard(attempt)
        engine, draw = self.engines[sequence.attempts[attempt]], self.random
        if has_begun:
            engine.streams -= 1
        is_answered = outcome == "generated" or (has_begun and draw.random() < 0.8)
        cached = 0.0
        if outcome in ("generated", "read"):
            cached = float(int(sequence.fields["prompt_tokens"] * draw.choice((0.0, 0.3, 1.0))))
        elif outcome == "full" and draw.random() < 0.2:
            cached = 1.0  # the engine no longer has the read state
        load = None
        if outcome in ("generated", "read", "full", "error") and not self.shape.load_by_probe_only:
            load = self._load(engine)
        self.counts[f"outcome {outcome}"] += 1
        self.call(
            "ended",
            sequence.ident,
            attempt,
            self.dialect.outcome(outcome),
            latency,
            is_answered,
            cached,
            load,
        )
        if draw.random() < 0.01:  # a duplicate, or an event of an attempt that does not exist
            self.call("began", sequence.ident, attempt + draw.randrange(3), latency)

    def _load(self, engine: Engine, by_probe: bool = False) -> Any:  # noqa: ANN401
        if self.shape.reports == "none" and not by_probe:
            return None
        fields = {
            "memory_share": min(1.0, engine.streams * 2500.0 / self.shape.memory),
            "unread": engine.work,
            "waiting": float(engine.streams // 4),
        }
        if self.shape.reports in ("memory", "unread", "waiting"):
            name = {"memory": "memory_share"}.get(self.shape.reports, self.shape.reports)
            fields = {name: fields[name]}
        return self.dialect.make("LoadReport", **fields)


def _skip_draw(number: int) -> None:
    """Plant a fault: each random generator created from now on skips the draw of this number."""

    class Skipping(Random):
        drawn = 0

        def random(self) -> float:
            self.drawn += 1
            if self.drawn == number:
                super().random()
            return super().random()

    random_module.Random = Skipping  # type: ignore[misc] # the planted fault


def main() -> None:
    """Run scenarios until the requested number of sequences has arrived."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("tree", type=Path)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--sequences", type=int, required=True)
    parser.add_argument("--skip-draw", type=int, default=0)
    options = parser.parse_args()
    sys.path.insert(0, str(options.tree.resolve()))
    if options.skip_draw:
        _skip_draw(options.skip_draw)
    dialect = open_dialect()
    sizes, left, number = Random(options.seed), options.sequences, 0
    total: Counter[str] = Counter()
    while left > 0:
        count = min(left, sizes.randint(*SEQUENCES_EACH))
        sys.stdout.write(f"0 scenario {number}, {count} sequences\n")
        scenario = Scenario(dialect, f"{options.seed} {number}", count, sys.stdout.write)
        scenario.play()
        total.update(scenario.counts)
        total["events"] += scenario.events
        left -= count
        number += 1
    total["scenarios"] = number
    sys.stdout.write(f"# {dict(sorted(total.items()))}\n")


if __name__ == "__main__":
    main()
