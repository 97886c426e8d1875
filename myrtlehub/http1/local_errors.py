"""Connection errors caused by this machine rather than by the peer."""

import errno

# Errors of socket(2) and connect(2) that report a missing local resource, permission or network.
LOCAL_ERRORS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EACCES,
        errno.EPERM,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENETUNREACH,
        errno.ENETDOWN,
    )
)


def is_local_error(failure: object) -> bool:
    """Return whether a connection attempt failed because of a local error.

    Args:
        failure: The `twisted.python.failure.Failure` of the attempt.
    """
    return getattr(getattr(failure, "value", None), "osError", None) in LOCAL_ERRORS
