"""TCP transports: interfaces of the reactor's transports, a protocol base class, and the abortive close."""

import fcntl
import socket as socket_module
import sys
import termios
from collections.abc import Callable
from contextlib import suppress
from socket import IPPROTO_TCP, SHUT_WR, socket
from typing import Protocol

from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from myrtlehub.clock import Clock

TCP_INFO: int | None = getattr(socket_module, "TCP_INFO", None)  # absent on some systems
C_INT_BYTES = 4  # size of the integer by which `ioctl` returns a number of bytes
# States in the first byte of Linux's `struct tcp_info` after the peer has reset or closed the connection.
TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8


class AbortableTransport(Protocol):
    """A transport that can be closed without sending its queued data."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection; data that was written but not sent yet is discarded."""


class Producer(Protocol):
    """A push or pull producer of a transport; see `twisted.internet.interfaces`."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Produce more data."""

    def stopProducing(self) -> None:  # noqa: N802
        """Stop permanently, because the connection is lost."""


class Transport(AbortableTransport, Protocol):
    """The part of a TCP transport that is used; see `twisted.internet.interfaces.ITCPTransport`."""

    def write(self, data: bytes, /) -> None:
        """Queue data to be sent."""

    def registerProducer(self, producer: Producer, streaming: bool, /) -> None:  # noqa: N802
        """Attach a push producer if `streaming`, otherwise a pull producer."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Detach the producer, if any."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the socket."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Read from the socket again."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Shut down the sending side once all queued data has been sent."""


class TcpProtocol(protocol.Protocol):
    """Protocol whose TCP transport sends small writes without delay."""

    transport: Transport  # type: ignore[assignment]  # zope's ITransport declares methods without `self`

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm; in-memory transports have no such option."""
        set_no_delay: Callable[[bool], None] | None = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay is not None:
            set_no_delay(True)


def is_orderly_close(reason: object) -> bool:
    """Return whether the peer closed the connection after all of its data, rather than by a reset.

    Args:
        reason: The argument of `connectionLost`.
    """
    return isinstance(reason, Failure) and isinstance(reason.value, ConnectionDone)


def unacknowledged_bytes(transport: AbortableTransport) -> int:
    """Return how many sent bytes the peer's kernel has not acknowledged; 0 if that is unknown."""
    return _queued_bytes(transport, termios.TIOCOUTQ)


def unread_bytes(transport: AbortableTransport) -> int:
    """Return how many bytes have arrived and are not read yet; 0 if that is unknown."""
    return _queued_bytes(transport, termios.FIONREAD)


def is_closed_by_peer(transport: AbortableTransport) -> bool:
    """Return whether the end of the connection was received, even behind unread data; False if unknown."""
    info = tcp_info(transport, 1)
    return info is not None and info[0] in (TCP_CLOSE, TCP_CLOSE_WAIT)


def tcp_info(transport: AbortableTransport, size: int) -> bytes | None:
    """Return the first `size` bytes of Linux's `struct tcp_info` of a connection; None if it is unknown."""
    get_handle: Callable[[], socket] | None = getattr(transport, "getHandle", None)
    if get_handle is None or TCP_INFO is None:
        return None
    try:
        return get_handle().getsockopt(IPPROTO_TCP, TCP_INFO, size)
    except OSError:
        return None


def _queued_bytes(transport: AbortableTransport, query: int) -> int:
    get_handle: Callable[[], socket] | None = getattr(transport, "getHandle", None)
    if get_handle is None:
        return 0
    try:
        size = fcntl.ioctl(get_handle().fileno(), query, bytes(C_INT_BYTES))
    except OSError:
        return 0
    return int.from_bytes(size, sys.byteorder)


def abort_once_written(transport: AbortableTransport, clock: Clock) -> None:
    """Abort a connection two reactor turns later.

    The poll in between writes what was passed on in this turn; `abortConnection` alone would discard it.
    Test: `test_an_http_1_0_client_gets_what_its_stream_had_before_it_broke`.
    """
    clock.callLater(0.0, clock.callLater, 0.0, transport.abortConnection)


def abortive_close(transport: AbortableTransport) -> None:
    """Close a connection so that its peer sees the end before data written later on other connections.

    `abortConnection` alone closes the socket one reactor turn later. Data written on other connections in the
    meantime could arrive first, and an engine would receive the next request while it still executes the
    cancelled one.
    Test: `test_a_peer_sees_an_abortive_close_before_data_written_later`.
    """
    get_handle: Callable[[], socket] | None = getattr(transport, "getHandle", None)
    if get_handle is not None:
        with suppress(OSError):  # the socket may already be closed
            get_handle().shutdown(SHUT_WR)
    transport.abortConnection()
