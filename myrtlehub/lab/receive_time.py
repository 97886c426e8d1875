"""When the kernel received data, for processes that read it late."""

import sys
import time

from myrtlehub.http1.tcp_transport import AbortableTransport, tcp_info

# `tcpi_last_data_recv` of Linux's `struct tcp_info`: milliseconds since the latest data was received.
LAST_DATA_RECEIVED = slice(52, 56)


def kernel_receive_time(transport: AbortableTransport) -> float:
    """Return the time of the monotonic clock, in seconds, at which the latest data of a connection arrived.

    It is the present time if the system does not tell.
    """
    now = time.monotonic()
    info = tcp_info(transport, LAST_DATA_RECEIVED.stop)
    if info is None:
        return now
    return now - int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder) / 1e3
