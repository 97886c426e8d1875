"""Patience at the start of the process: a lack of resources for a moment is no reason to end."""

import errno
import time
from collections.abc import Callable
from typing import TypeVar

PATIENCE_S = 5.0  # a node is to be ready in 10 s
RETRY_DELAY_S = 0.05
SHORT_RESOURCES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR)
)
Made = TypeVar("Made")


def lacks_resources(error: BaseException) -> bool:
    """Return whether an error, or what it was raised for, is a lack of resources of this machine."""
    causes = (error, error.__cause__, getattr(error, "socketError", None))
    return any(isinstance(cause, OSError) and cause.errno in SHORT_RESOURCES for cause in causes)


def with_patience(make: Callable[[], Made]) -> Made:
    """Make something; again and again for a while, where this machine lacks the resources.

    Raises:
        Exception: what `make` raised last.
    """
    until = time.monotonic() + PATIENCE_S
    while True:
        try:
            return make()
        except Exception as error:
            if not lacks_resources(error) or time.monotonic() >= until:
                raise
        time.sleep(RETRY_DELAY_S)
