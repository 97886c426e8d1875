"""What this process uses of its machine."""

import resource
from pathlib import Path

PAGE_SIZE = resource.getpagesize()


def resident_memory() -> int:
    """Return the bytes of this process that are resident; 0 where the system does not tell."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_SIZE
    except (OSError, ValueError, IndexError):
        return 0


def cpu_seconds() -> float:
    """Return the processor time that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
