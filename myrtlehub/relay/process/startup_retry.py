"""Retries of start-up steps that fail because the machine temporarily lacks a resource."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

RETRY_PERIOD_S = 5.0  # longest time for the retries of a step; a node has to be ready within 10 s
RETRY_DELAY_S = 0.05
RESOURCE_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR)
)
Result = TypeVar("Result")


def is_resource_shortage(error: BaseException) -> bool:
    """Return whether an error or its cause reports a shortage of an operating-system resource."""
    causes = (error, error.__cause__, getattr(error, "socketError", None))
    return any(isinstance(cause, OSError) and cause.errno in RESOURCE_ERRORS for cause in causes)


def retry_on_resource_shortage(step: Callable[[], Result]) -> Result:
    """Call `step` and return its result; retry for RETRY_PERIOD_S while the machine lacks a resource.

    It blocks between attempts, so it may be used only before the reactor runs.

    Raises:
        Exception: The error of the last attempt.
    """
    until = time.monotonic() + RETRY_PERIOD_S
    while True:
        try:
            return step()
        except Exception as error:
            if not is_resource_shortage(error) or time.monotonic() >= until:
                raise
        time.sleep(RETRY_DELAY_S)
