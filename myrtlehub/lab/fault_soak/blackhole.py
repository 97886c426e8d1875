"""An address to which no connection is established, as if its machine were cut off from the network."""

import socket

from myrtlehub.lab.fault_proxy import HOST

QUEUE_FILLERS = 4  # connections that fill the listener's queue; the kernel drops all further ones


class Blackhole:
    """Listens, and never accepts.

    Attributes:
        address: Host and port.
    """

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind((HOST, 0))
        self._listener.listen(0)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._fillers = [self._connect() for _ in range(QUEUE_FILLERS)]

    def _connect(self) -> socket.socket:
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(self.address)
        return filler
