"""What the stages of an engine model share: the machine, its memory, its faults and its warm-up."""

from collections import deque
from typing import NamedTuple

from myrtlehub.emulator.faults import InjectedFaults
from myrtlehub.emulator.machine import Machine
from myrtlehub.emulator.prefix_cache import PrefixCache

SHORTEST_COLD_TIME = 1e-9  # seconds; a divisor


class _ReceivedWork(NamedTuple):
    at: float
    slot_seconds: float


class WarmUp:
    """How much of its work a machine can do after its start, and whether it was sent too much for that."""

    def __init__(self, machine: Machine, started: float | None) -> None:
        """Begin at a cold start, or with None as a machine that has run for long."""
        self._machine = machine
        self._started = started
        self._recent: deque[_ReceivedWork] = deque()
        self._recent_sum = 0.0

    def capacity(self, now: float) -> float:
        """Return the share of its work that it can do now: 1 once warm."""
        if self._started is None:
            return 1.0
        cold_share = self._machine.cold_share
        age = max(0.0, now - self._started) / max(self._machine.cold_time, SHORTEST_COLD_TIME)
        return min(1.0, cold_share + (1.0 - cold_share) * age)

    def is_overloaded_by(self, now: float, slot_seconds: float) -> bool:
        """Count received work; return whether it is more than a cold machine survives."""
        self._recent.append(_ReceivedWork(now, slot_seconds))
        self._recent_sum += slot_seconds
        while self._recent and self._recent[0].at <= now - self._machine.fall_time:
            self._recent_sum -= self._recent.popleft().slot_seconds
        capacity = self.capacity(now)
        sustainable = self._machine.slots * capacity * self._machine.fall_time
        return capacity < 1.0 and self._recent_sum > self._machine.fall_multiple * sustainable


class Resources:
    """The shared part of one engine model."""

    def __init__(self, machine: Machine, started: float | None) -> None:
        self.machine = machine
        self.warm_up = WarmUp(machine, started)
        self.faults = InjectedFaults()
        self.prefix_cache = PrefixCache(machine.kept)
        self.used_memory = 0.0  # tokens

    def slots(self, now: float) -> int:
        """Return how many slots can be used now."""
        return max(1, int(self.machine.slots * self.warm_up.capacity(now)))

    def read_seconds(self, tokens: float) -> float:
        """Return how long it takes to read so many tokens."""
        return tokens / self.machine.read_rate * self.faults.slowdown
