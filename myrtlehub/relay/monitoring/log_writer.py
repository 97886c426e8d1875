"""Non-blocking output of log lines: lines that cannot be written are dropped and counted."""

import os
import select
import stat
from typing import Protocol

MAX_BUFFERED_BYTES = 256 * 1024
# A pipe that poll() reports as writable accepts this many bytes without blocking (POSIX, PIPE_BUF).
MAX_WRITE_BYTES = select.PIPE_BUF
DROP_NOTICE = b'{"event":"log_lines_dropped","count":%d}\n'  # LogEvent.LOG_LINES_DROPPED as JSON


class Poll(Protocol):
    """The part of `select.poll()` objects that is used here."""

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Return pairs of a descriptor and its event mask, after waiting up to `timeout` milliseconds."""


class LogWriter:
    """Writes lines to a file descriptor without blocking and without raising.

    Answers to clients must not be delayed by a full device, or by a pipe that is closed or not read. Lines
    are buffered until the descriptor accepts them. If the bounded buffer is full, further lines are dropped,
    and a notice with their number is written once the buffer is empty again.

    Attributes:
        dropped_count: Number of lines dropped so far.
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
            return None  # the descriptor is closed: writes fail at once
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
        """Write as much of the buffer as the descriptor accepts within `timeout` seconds per write."""
        try:
            while self._buffer and self._is_writable(timeout):
                written = os.write(self._descriptor, bytes(self._buffer[:MAX_WRITE_BYTES]))
                del self._buffer[:written]
        except OSError:
            pass  # full device or closed reader; the next line causes another try

    def _is_writable(self, timeout: float) -> bool:
        if self._poll is None:
            return True
        return any(mask & select.POLLOUT for _, mask in self._poll.poll(timeout * 1000))
