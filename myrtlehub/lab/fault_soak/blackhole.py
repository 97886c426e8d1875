"""An address to which no connection comes up, as to a machine that is cut off."""

import socket

from myrtlehub.lab.fault_proxy import HOST

FILLERS = 4  # connections that fill the queue of the listener: the system drops what comes beyond


class Blackhole:
    """Listens, and never accepts."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind((HOST, 0))
        self._listener.listen(0)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._fillers = [self._fill() for _ in range(FILLERS)]

    def _fill(self) -> socket.socket:
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(self.address)
        return filler
