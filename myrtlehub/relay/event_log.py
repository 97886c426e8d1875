"""The log that the relay's parts write to."""

from typing import Any, Protocol


class Log(Protocol):
    """Writes one event with its fields."""

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401
        """Write it."""


def no_log(event: str, **fields: Any) -> None:  # noqa: ANN401
    """Write nothing."""
