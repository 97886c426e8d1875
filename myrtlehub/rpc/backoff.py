"""Exponential backoff with jitter."""

from collections.abc import Callable


class Backoff:
    """Delays between connection attempts, in seconds, which grow exponentially up to a maximum."""

    def __init__(
        self,
        random: Callable[[], float],
        initial: float = 0.05,
        maximum: float = 2.0,
        multiplier: float = 1.6,
        jitter: float = 0.2,
    ) -> None:
        self._random = random
        self._initial_delay = initial
        self._max_delay = maximum
        self._multiplier = multiplier
        self._jitter = jitter
        self._failed_attempts = 0

    def next(self) -> float:
        """Return the delay before the next attempt, in seconds."""
        delay = min(self._max_delay, self._initial_delay * self._multiplier**self._failed_attempts)
        self._failed_attempts += 1
        return delay * (1.0 + self._jitter * (2.0 * self._random() - 1.0))

    def reset(self) -> None:
        """Return to the initial delay after a connection was established."""
        self._failed_attempts = 0
