"""When the kernel received data, for processes that read it late."""

import sys
import time
from collections.abc import Callable
from socket import IPPROTO_TCP, socket

from myrtlehub.http1.tcp_transport import TCP_INFO, AbortableTransport

# `tcpi_last_data_recv` of Linux's `struct tcp_info`: milliseconds since the latest data was received.
LAST_DATA_RECEIVED = slice(52, 56)


def kernel_receive_time(transport: AbortableTransport) -> float:
    """Return the time of the monotonic clock, in seconds, at which the latest data of a connection arrived.

    It is the present time if the system does not tell.
    """
    now = time.monotonic()
    get_handle: Callable[[], socket] | None = getattr(transport, "getHandle", None)
    if get_handle is None or TCP_INFO is None:
        return now
    try:
        info = get_handle().getsockopt(IPPROTO_TCP, TCP_INFO, LAST_DATA_RECEIVED.stop)
    except OSError:
        return now
    return now - int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder) / 1e3
