"""What a node counts of itself since its start, for whoever judges a change: sums by traffic type, nothing of
one sequence. Costs a few additions an answer; read by NodeAdmin.Figures.
"""

import math
import resource
from collections import Counter
from pathlib import Path

from hdrh.histogram import HdrHistogram

from myrtlehub.config.traffic import TrafficTypeConfig
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.sequences import InFlightSequence

LONGEST = 600_000_000  # microseconds that a first token can be kept as having taken
DIGITS = 2  # significant, of a first token's time: 1 in 100 is finer than any guard
PAGE = resource.getpagesize()


class TrafficSums:
    """Of one traffic type."""

    __slots__ = ("answers", "asked", "attempts", "first", "first_log", "served", "utility")

    def __init__(self) -> None:
        self.asked = self.attempts = 0
        self.utility = self.served = 0.0  # of what was asked for by clients that stayed; of that, earned
        self.answers: Counter[str] = Counter()
        self.first = HdrHistogram(1, LONGEST, DIGITS)
        self.first_log = 0.0  # sum of natural logarithms of seconds


class Figures:
    """Of one process, over all settings that it had."""

    def __init__(self) -> None:
        self.by_type: dict[str, TrafficSums] = {}
        self.generated = 0

    def follow(self, executor: ActionExecutor) -> None:
        """Count a executor's answers."""
        executor.on_answered = lambda held: self._answered(executor, held)

    def of(self, name: str) -> TrafficSums:
        """The sums of a traffic type."""
        sums = self.by_type.get(name)
        if sums is None:
            sums = self.by_type[name] = TrafficSums()
        return sums

    def turned_away(self, row: TrafficTypeConfig) -> None:
        """Refused at the door: nothing was taken, and it counts all the same."""
        sums = self.of(row.name)
        sums.asked += 1
        sums.utility += row.utility
        sums.answers["rejected"] += 1

    def _answered(self, executor: ActionExecutor, held: InFlightSequence) -> None:
        row, answer = executor.decoder.rows[held.arrival.traffic], held.answer.state
        sums = self.of(row.name)
        sums.asked += 1
        sums.answers[answer] += 1
        sums.attempts += len(held.attempts)
        if answer == "left":
            return  # nobody waited for it: no utility was there to earn
        sums.utility += row.utility
        if held.first_token_at:
            took = max(1e-6, held.first_token_at - held.accepted_at)
            sums.first.record_value(min(LONGEST, max(1, int(took * 1e6))))
            sums.first_log += math.log(took)
        if answer == "generated":
            self.generated += 1
            slo = row.latency_slo + row.slo_per_1000_tokens * held.arrival.prompt_tokens / 1000.0
            in_time = held.first_token_at - held.accepted_at <= slo
            sums.served += row.utility * (1.0 if in_time else row.late_share)


def memory() -> int:
    """Bytes of this process that are resident; 0 where the system does not say."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE
    except (OSError, ValueError, IndexError):
        return 0


def processor() -> float:
    """Seconds of processor that this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
