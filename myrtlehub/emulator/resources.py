"""The resources that the stages of an engine model share: machine, memory, faults, cache, slow start."""

from collections import deque
from typing import NamedTuple

from myrtlehub.emulator.faults import InjectedFaults
from myrtlehub.emulator.machine import Machine
from myrtlehub.emulator.prefix_cache import PrefixCache

MIN_COLD_TIME = 1e-9  # seconds; prevents a division by zero if the setting is 0


class _ReceivedWork(NamedTuple):
    received_at: float
    slot_seconds: float


class WarmUp:
    """The slow start of a machine: its capacity after a cold start, and the overload that crashes it."""

    def __init__(self, machine: Machine, started_at: float | None) -> None:
        """Start cold at the time `started_at`; None stands for a warm machine."""
        self._machine = machine
        self._started_at = started_at
        self._recent: deque[_ReceivedWork] = deque()
        self._recent_slot_seconds = 0.0

    def capacity(self, now: float) -> float:
        """Return the fraction of the full capacity that is available now; 1 when warm."""
        if self._started_at is None:
            return 1.0
        cold_share = self._machine.cold_share
        warm_fraction = max(0.0, now - self._started_at) / max(self._machine.cold_time, MIN_COLD_TIME)
        return min(1.0, cold_share + (1.0 - cold_share) * warm_fraction)

    def is_overloaded_after(self, now: float, slot_seconds: float) -> bool:
        """Add received work; return whether it overloads a machine in slow start, which then crashes."""
        self._recent.append(_ReceivedWork(now, slot_seconds))
        self._recent_slot_seconds += slot_seconds
        while self._recent and self._recent[0].received_at <= now - self._machine.fall_time:
            self._recent_slot_seconds -= self._recent.popleft().slot_seconds
        capacity = self.capacity(now)
        sustainable_slot_seconds = self._machine.slots * capacity * self._machine.fall_time
        return (
            capacity < 1.0
            and self._recent_slot_seconds > self._machine.fall_multiple * sustainable_slot_seconds
        )


class Resources:
    """The resources of one engine model."""

    def __init__(self, machine: Machine, started_at: float | None) -> None:
        self.machine = machine
        self.warm_up = WarmUp(machine, started_at)
        self.faults = InjectedFaults()
        self.prefix_cache = PrefixCache(machine.kept)
        self.used_memory = 0.0  # tokens

    def slots(self, now: float) -> int:
        """Return the number of usable slots."""
        return max(1, int(self.machine.slots * self.warm_up.capacity(now)))

    def read_seconds(self, tokens: float) -> float:
        """Return the duration of reading this number of tokens, in seconds."""
        return tokens / self.machine.read_rate * self.faults.slowdown
