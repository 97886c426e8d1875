"""Writes lines to a descriptor without blocking or raising; what cannot be written is dropped and counted."""

import os
import select
import stat
from typing import Protocol

MAX_BUFFERED_BYTES = 256 * 1024
# A pipe that polls as writable takes so many bytes without blocking (POSIX, PIPE_BUF).
MAX_WRITE_BYTES = select.PIPE_BUF
DROP_NOTICE = b'{"event":"log_lines_dropped","count":%d}\n'  # LogEvent.LOG_LINES_DROPPED, encoded beforehand


class Poll(Protocol):
    """A poll object of the system's."""

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Return descriptors with their events, after so many milliseconds at most."""


class LogWriter:
    """Writes to one descriptor.

    A full device, a closed reader or a pipe that nobody drains costs lines, never time: a node that waits for
    its log would answer nobody. Lines wait in a bounded buffer until the descriptor takes them; a notice says
    how many were dropped before.

    Attributes:
        dropped_count: Lines dropped so far.
    """

    def __init__(self, descriptor: int, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._unreported = 0
        self.dropped_count = 0
        self._poll = self._make_poll(descriptor)

    @staticmethod
    def _make_poll(descriptor: int) -> "Poll | None":
        """Return what tells whether a write would block; None for a regular file, which never does."""
        try:
            if stat.S_ISREG(os.fstat(descriptor).st_mode):
                return None
        except OSError:
            return None  # it is closed: writes fail at once
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        return poll

    def write_line(self, line: bytes) -> None:
        """Write a line that ends in a line feed, or keep it for later, or drop it."""
        self.flush()
        if self._unreported and not self._buffer:
            self._buffer += DROP_NOTICE % self._unreported
            self._unreported = 0
        if len(self._buffer) + len(line) > self._max_bytes:
            self._unreported += 1
            self.dropped_count += 1
            return
        self._buffer += line
        self.flush()

    def flush(self, patience: float = 0.0) -> None:
        """Write what waits as far as the descriptor takes it, waiting `patience` seconds for it at most."""
        try:
            while self._buffer and self._is_writable(patience):
                written = os.write(self._descriptor, bytes(self._buffer[:MAX_WRITE_BYTES]))
                del self._buffer[:written]
        except OSError:
            pass  # a full device, a closed reader: what waits is tried again with the next line

    def _is_writable(self, patience: float) -> bool:
        if self._poll is None:
            return True
        return any(mask & select.POLLOUT for _, mask in self._poll.poll(patience * 1000))
