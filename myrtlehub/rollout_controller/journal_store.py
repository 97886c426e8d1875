"""The journal's file and its lock: one controller at a time, every entry on disk before it counts."""

import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from filelock import FileLock, Timeout

from myrtlehub.rollout.journal_format import (
    JournalEntry,
    JournalFormatError,
    JournalHeader,
    decode_journal,
    encode_line,
)
from myrtlehub.rollout_controller.errors import JournalNotWritableError, RolloutError

BoundaryHook = Callable[[str], None]  # called at each boundary of a write or an action
FILE_MODE = 0o644
CLOSED = -1


def no_boundary_hook(boundary: str) -> None:
    """Do nothing at a boundary; tests end the controller there."""


class JournalStore:
    """The journal of one rollout, open for one controller."""

    def __init__(self, path: Path, on_boundary: BoundaryHook = no_boundary_hook) -> None:
        self.path = path
        self.entries: list[JournalEntry] = []
        self._on_boundary = on_boundary
        self._file = CLOSED
        self._lock = journal_lock(path)

    def open(self, header: JournalHeader, resume: bool) -> int:
        """Begin the journal, or go on with it; return how many bytes of a torn last line were dropped.

        Raises:
            RolloutError: another controller is at work on it, or it is not what the header says.
            JournalNotWritableError: it cannot be read or written.
        """
        try:
            self._lock.acquire(timeout=0)
        except Timeout as error:
            raise RolloutError(f"{self.path}: another controller is at work on it") from error
        try:
            return self._open_locked(header, resume)
        except OSError as error:
            self.close()
            raise JournalNotWritableError(f"{self.path}: {error.strerror}; nothing was done") from error
        except RolloutError:
            self.close()
            raise

    def _open_locked(self, header: JournalHeader, resume: bool) -> int:
        data = self.path.read_bytes() if self.path.exists() else b""
        begun = b"\n" in data  # a first line that was not wholly written began nothing
        if resume and not begun:
            raise RolloutError(f"{self.path}: there is no such journal; begin with hub-rollout run")
        if begun and not resume:
            raise RolloutError(f"{self.path}: is there already; hub-rollout resume goes on with it")
        torn = self._read(header, data) if resume else len(data)
        if torn:
            os.truncate(self.path, len(data) - torn)
        self._file = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)
        if not resume:
            self._write(encode_line(header))
            with _opened_directory(self.path.parent) as directory:
                os.fsync(directory)
        return torn

    def _read(self, header: JournalHeader, data: bytes) -> int:
        """Read the entries; return how many bytes after them are a torn last line."""
        try:
            journal = decode_journal(data)
        except JournalFormatError as error:
            raise RolloutError(f"{self.path}: {error}") from error
        self.entries = journal.entries
        if journal.header.nodes != header.nodes or journal.header.plan != header.plan:
            raise RolloutError(
                f"{self.path}: was written for another plan; give the plan that it was begun with"
            )
        return len(data) - journal.intact_size

    def _write(self, data: bytes) -> None:
        """Write all of it to disk before this returns."""
        self._on_boundary("write")
        written = 0
        while written < len(data):
            written += os.write(self._file, data[written:])
        self._on_boundary("sync")
        os.fsync(self._file)
        self._on_boundary("synced")

    def append(self, entry: JournalEntry) -> None:
        """Append one entry.

        Raises:
            OSError: it may be there or not, and no action may follow.
        """
        self._write(encode_line(entry))
        self.entries.append(entry)

    def close(self) -> None:
        """Let another controller have it."""
        if self._file != CLOSED:
            os.close(self._file)
            self._file = CLOSED
        self._lock.release()


def journal_lock(path: Path) -> FileLock:
    """Return the lock of a journal; who has it is the controller at work."""
    return FileLock(f"{path}.lock")


def rollback_request(path: Path) -> Path:
    """Return the file whose presence asks the controller at work on a journal to roll back."""
    return Path(f"{path}.undo")


@contextmanager
def _opened_directory(path: Path) -> Iterator[int]:
    directory = os.open(path, os.O_RDONLY)
    try:
        yield directory
    finally:
        os.close(directory)
