"""A node's connection to its discovery agent."""

from collections.abc import Callable

import h11
import msgspec

from myrtlehub.lab.fault_soak.endpoint_list import EndpointListMessage
from myrtlehub.lab.fault_soak.tcp_peer import TcpPeer


class AgentConnection(TcpPeer):
    """Reads requests, and sends endpoint lists.

    Args:
        on_request: Called with the connection and the target of each request.
    """

    def __init__(self, on_request: "Callable[[AgentConnection, str], None]") -> None:
        self._on_request = on_request
        self._http = h11.Connection(h11.SERVER)
        self._is_lost = False
        self._target = ""

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Send nothing any more."""
        self._is_lost = True

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests, one at a time."""
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._target = event.target.decode()
            elif isinstance(event, h11.EndOfMessage):
                self._http = h11.Connection(h11.SERVER)
                self._on_request(self, self._target)
                return
            else:
                return

    def send(self, message: EndpointListMessage, is_truncated: bool) -> None:
        """Send a response; if `is_truncated`, only half of it, and close the connection."""
        if self._is_lost:
            return
        body = msgspec.json.encode(message)
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if is_truncated:
            self.transport.write(data[: len(data) // 2])
            self.transport.loseConnection()
        else:
            self.transport.write(data)
