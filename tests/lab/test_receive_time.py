"""The time at which the kernel received data, although the process reads it late."""

import socket
import time

from myrtlehub.lab.receive_time import kernel_receive_time

LATE_S = 0.2
TOLERANCE_S = 0.02  # of the kernel's clock


class SocketTransport:
    """A transport that only provides its socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def getHandle(self) -> socket.socket:  # noqa: N802
        """Return the socket."""
        return self._sock

    def abortConnection(self) -> None:  # noqa: N802
        """Close the socket."""
        self._sock.close()


def test_data_that_is_accepted_and_read_late_has_the_time_of_its_arrival() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        before = time.monotonic()
        client.sendall(b"x")
        after = time.monotonic()
        time.sleep(LATE_S)  # how late the data is read is the input of this test
        accepted, _ = server.accept()
        received_at = kernel_receive_time(SocketTransport(accepted))
        assert before - TOLERANCE_S < received_at < after + TOLERANCE_S
        client.close()
        accepted.close()


def test_without_a_socket_it_is_the_present_time() -> None:
    class OtherTransport:
        def abortConnection(self) -> None:  # noqa: N802
            """Do nothing."""

    before = time.monotonic()
    assert before <= kernel_receive_time(OtherTransport()) <= time.monotonic()
