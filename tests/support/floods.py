"""Peers that send without end, as fast as the node reads."""

import selectors
import socket
import threading

from socketpeers import HOST, TIMEOUT_S


class Flood:
    """`count` clients that connect, send `head`, and then repeat `piece` until the node closes.

    Attributes:
        sent_bytes: Bytes sent by all clients.
    """

    def __init__(self, address: str, count: int, head: bytes, piece: bytes) -> None:
        self.sent_bytes = 0
        self._piece = piece
        self._is_stopped = False
        self._selector = selectors.DefaultSelector()
        self._unsent: dict[socket.socket, bytes] = {}  # rest of the piece that is being sent
        self._sockets = [self._connect(address, head) for _ in range(count)]
        self._thread = threading.Thread(target=self._send_repeatedly, daemon=True)
        self._thread.start()

    def _connect(self, address: str, head: bytes) -> socket.socket:
        sock = socket.create_connection((HOST, int(address.rpartition(":")[2])), TIMEOUT_S)
        sock.sendall(head)
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_WRITE)
        return sock

    def _send_repeatedly(self) -> None:
        while not self._is_stopped and self._selector.get_map():
            for key, _ in self._selector.select(0.05):
                self._send_to(key.fileobj)  # type: ignore[arg-type] # a socket, as registered

    def _send_to(self, sock: socket.socket) -> None:
        data = self._unsent.get(sock) or self._piece
        try:
            sent = sock.send(data)
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(sock)
            return
        self._unsent[sock] = data[sent:]
        self.sent_bytes += sent

    def close(self) -> None:
        """Stop sending, and close all connections."""
        self._is_stopped = True
        self._thread.join()
        for sock in self._sockets:
            sock.close()
