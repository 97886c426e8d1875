"""Token bucket of working time: limits the share of a process's time that one kind of work takes."""

from myrtlehub.clock import Clock


class TimeBucket:
    """Limits the share of the time that one kind of work takes, however long a single piece of it takes.

    Work may begin while the bucket is not empty, and takes its duration out of it; the bucket can become
    negative. So all other work of the event loop, such as reading from sockets and deadlines, waits for
    `capacity` and one piece of work at most.

    Args:
        clock: The clock of the process.
        share: Seconds that are added to the bucket per second, from 0 to 1.
        capacity: Most seconds in the bucket.

    Attributes:
        refused_count: How often work was not allowed to begin.
    """

    def __init__(self, clock: Clock, share: float, capacity: float) -> None:
        self._clock = clock
        self._share = share
        self._capacity = capacity
        self._seconds = capacity
        self.refused_count = 0
        self._updated_at = self._began_at = clock.seconds()

    def try_begin(self) -> bool:
        """Return whether work may begin now; if so, its time counts until `end`."""
        self._refill()
        if self._seconds <= 0.0:
            self.refused_count += 1
            return False
        self._began_at = self._updated_at
        return True

    def end(self) -> None:
        """Take the time since the last `try_begin` out of the bucket."""
        self._seconds -= self._clock.seconds() - self._began_at
        self._refill()

    def _refill(self) -> None:
        now = self._clock.seconds()
        self._seconds = min(self._capacity, self._seconds + self._share * (now - self._updated_at))
        self._updated_at = now
