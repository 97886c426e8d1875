"""Shrinking of a failing schedule to the faults that it takes for the failure."""

from collections.abc import Callable

import msgspec

from myrtlehub.lab.fault_soak.schedule import Schedule


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Remove faults as long as the run still fails: first half of them at a time, in the end single ones.

    Args:
        schedule: A schedule whose run fails.
        fails: Plays a schedule, and returns whether the run failed in the same way.
    """
    size = max(1, len(schedule.faults) // 2)
    while True:
        position = 0
        while position < len(schedule.faults):
            remaining = schedule.faults[:position] + schedule.faults[position + size :]
            smaller = msgspec.structs.replace(schedule, faults=remaining)
            if fails(smaller):
                schedule = smaller
            else:
                position += size
        if size == 1:
            return schedule
        size = max(1, size // 2)
