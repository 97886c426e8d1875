"""Exponential backoff with jitter."""

from collections.abc import Callable


class Backoff:
    """Delays between attempts to connect, in seconds; each is longer than the last, up to a maximum."""

    def __init__(
        self,
        random: Callable[[], float],
        initial: float = 0.05,
        maximum: float = 2.0,
        multiplier: float = 1.6,
        jitter: float = 0.2,
    ) -> None:
        self._random = random
        self._initial = initial
        self._maximum = maximum
        self._multiplier = multiplier
        self._jitter = jitter
        self._failed_attempts = 0

    def next(self) -> float:
        """Return the seconds until the next attempt."""
        delay = min(self._maximum, self._initial * self._multiplier**self._failed_attempts)
        self._failed_attempts += 1
        return delay * (1.0 + self._jitter * (2.0 * self._random() - 1.0))

    def reset(self) -> None:
        """Start again with the initial delay, after a connection was established."""
        self._failed_attempts = 0
