"""Budget of memory: the limits for clients' requests that follow from the limit of the process."""

from myrtlehub.http1.request_memory import RequestMemoryLimits

BYTES_PER_MB = 1_000_000
# Fractions of the process's memory. The rest is for the program itself, and for the second copy of an open
# request while it is sent to an engine.
INCOMPLETE_FRACTION = 1 / 8
OPEN_FRACTION = 1 / 4


def request_memory_limits(max_memory_mb: float | None) -> RequestMemoryLimits:
    """Return the limits for a process, with defaults if it has no stated limit of memory."""
    if max_memory_mb is None:
        return RequestMemoryLimits()
    max_bytes = max_memory_mb * BYTES_PER_MB
    return RequestMemoryLimits(int(INCOMPLETE_FRACTION * max_bytes), int(OPEN_FRACTION * max_bytes))
