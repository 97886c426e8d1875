"""Non-blocking log output: lines that cannot be written are dropped and counted."""

import os
import select
import stat
from typing import Protocol

MAX_BUFFERED_BYTES = 256 * 1024
# A pipe that poll() reports as writable accepts this many bytes without blocking (PIPE_BUF of POSIX).
MAX_WRITE_BYTES = select.PIPE_BUF
DROP_NOTICE = b'{"event":"log_lines_dropped","count":%d}\n'  # LogEvent.LOG_LINES_DROPPED as JSON


class Poll(Protocol):
    """The methods of `select.poll()` objects that are used here."""

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Wait up to `timeout` milliseconds and return pairs of a descriptor and its event mask."""


class LogWriter:
    """Writes lines to a file descriptor without blocking and without raising.

    A full device, or a pipe that is closed or not read, must not delay answers to clients. Lines are buffered
    until the descriptor accepts them. While the bounded buffer is full, further lines are dropped; a notice
    with their number is written once the buffer is empty again.

    Attributes:
        dropped_count: Number of dropped lines since the start.
    """

    def __init__(self, descriptor: int, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._unreported_drops = 0
        self.dropped_count = 0
        self._poll = self._make_poll(descriptor)

    @staticmethod
    def _make_poll(descriptor: int) -> Poll | None:
        """Return a poll object for the descriptor; None if writes to it never block."""
        try:
            if stat.S_ISREG(os.fstat(descriptor).st_mode):
                return None
        except OSError:
            return None  # the descriptor is closed, so writes fail immediately
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        return poll

    def write_line(self, line: bytes) -> None:
        """Write or buffer a line, which must end with a line feed; drop it if the buffer is full."""
        self.flush()
        if self._unreported_drops and not self._buffer:
            self._buffer += DROP_NOTICE % self._unreported_drops
            self._unreported_drops = 0
        if len(self._buffer) + len(line) > self._max_bytes:
            self._unreported_drops += 1
            self.dropped_count += 1
            return
        self._buffer += line
        self.flush()

    def flush(self, timeout: float = 0.0) -> None:
        """Write buffered lines, waiting up to `timeout` seconds before each write for the descriptor."""
        try:
            while self._buffer and self._is_writable(timeout):
                written = os.write(self._descriptor, bytes(self._buffer[:MAX_WRITE_BYTES]))
                del self._buffer[:written]
        except OSError:
            pass  # full device or closed reader: retried with the next line

    def _is_writable(self, timeout: float) -> bool:
        if self._poll is None:
            return True
        return any(mask & select.POLLOUT for _, mask in self._poll.poll(timeout * 1000))
