"""Retries of start-up steps that fail for a temporary shortage of an operating-system resource."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

MAX_RETRY_TIME_S = 5.0  # for the retries of one step; a node has to be ready within 10 s
RETRY_DELAY_S = 0.05
RESOURCE_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR)
)
Result = TypeVar("Result")


def is_resource_shortage(error: BaseException) -> bool:
    """Return whether an error or its cause is a shortage of an operating-system resource."""
    causes = (error, error.__cause__, getattr(error, "socketError", None))
    return any(isinstance(cause, OSError) and cause.errno in RESOURCE_ERRORS for cause in causes)


def retry_on_resource_shortage(step: Callable[[], Result]) -> Result:
    """Call `step` and return its result; retry for up to MAX_RETRY_TIME_S on a resource shortage.

    It blocks between attempts, so it may only be used before the reactor runs.

    Raises:
        Exception: The error of the last attempt.
    """
    give_up_at = time.monotonic() + MAX_RETRY_TIME_S
    while True:
        try:
            return step()
        except Exception as error:
            if not is_resource_shortage(error) or time.monotonic() >= give_up_at:
                raise
        time.sleep(RETRY_DELAY_S)
