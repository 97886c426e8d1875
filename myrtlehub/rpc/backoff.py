"""Exponential backoff with jitter."""

from collections.abc import Callable


class Backoff:
    """Waits between tries to connect: each is longer than the last, until one succeeds."""

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
        self._tries = 0

    def next(self) -> float:
        """Return the seconds until the next try."""
        wait = min(self._maximum, self._initial * self._multiplier**self._tries)
        self._tries += 1
        return wait * (1.0 + self._jitter * (2.0 * self._random() - 1.0))

    def reset(self) -> None:
        """Begin anew, as a connection was established."""
        self._tries = 0
