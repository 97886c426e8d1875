"""Memory and CPU time of this process."""

import resource
from pathlib import Path

PAGE_SIZE = resource.getpagesize()  # bytes


def resident_memory() -> int:
    """Return the resident memory of this process in bytes, or 0 if the system does not report it."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_SIZE
    except (OSError, ValueError, IndexError):
        return 0


def cpu_seconds() -> float:
    """Return the CPU time of this process in seconds, user and system."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
