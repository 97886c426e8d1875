"""The journal file and its lock: one controller at a time, and each entry on disk before it takes effect."""

import errno
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

BoundaryHook = Callable[[str], None]  # called with a name before and after each write, sync and action
FILE_MODE = 0o644


def no_boundary_hook(boundary: str) -> None:
    """Do nothing. Tests pass another hook, which stops the controller at a boundary."""


class JournalStore:
    """The journal of one rollout, opened by one controller."""

    def __init__(self, path: Path, on_boundary: BoundaryHook = no_boundary_hook) -> None:
        """Create a store that is not open yet.

        Args:
            path: path of the journal file.
            on_boundary: called before and after each write and sync.
        """
        self.path = path
        self.entries: list[JournalEntry] = []
        self._on_boundary = on_boundary
        self._file: int | None = None  # descriptor; None while the journal is not open
        self._lock = journal_lock(path)

    def open(self, header: JournalHeader, resume: bool) -> int:
        """Lock the journal, and create it or read its entries.

        Args:
            header: the header of this rollout.
            resume: whether the journal has to exist already; if False, it must not exist yet.

        Returns:
            The size in bytes of an incomplete last line that was dropped.

        Raises:
            RolloutError: another controller has the lock, or the journal does not fit the arguments.
            JournalNotWritableError: the file cannot be read or written.
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
        has_begun = b"\n" in data  # with an incomplete first line, no rollout has begun
        if resume and not has_begun:
            raise RolloutError(f"{self.path}: there is no such journal; begin with hub-rollout run")
        if has_begun and not resume:
            raise RolloutError(f"{self.path}: is there already; hub-rollout resume goes on with it")
        torn_size = self._read(header, data) if resume else len(data)
        if torn_size:
            os.truncate(self.path, len(data) - torn_size)
        self._file = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)
        if not resume:
            self._write(self._file, encode_line(header))
            with _opened_directory(self.path.parent) as directory:
                os.fsync(directory)
        return torn_size

    def _read(self, header: JournalHeader, data: bytes) -> int:
        """Read the entries; return the size in bytes of an incomplete last line."""
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

    def _write(self, file: int, data: bytes) -> None:
        """Write data and wait until it is on disk."""
        self._on_boundary("write")
        written = 0
        while written < len(data):
            written += os.write(file, data[written:])
        self._on_boundary("sync")
        os.fsync(file)
        self._on_boundary("synced")

    def append(self, entry: JournalEntry) -> None:
        """Append an entry, and return after it is on disk.

        Raises:
            OSError: the write failed or the journal is closed. The entry may be on disk or not, and no action
                may follow from it.
        """
        if self._file is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        self._write(self._file, encode_line(entry))
        self.entries.append(entry)

    def close(self) -> None:
        """Close the file and release the lock."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
        self._lock.release()


def journal_lock(path: Path) -> FileLock:
    """Return the lock of a journal, which the running controller holds."""
    return FileLock(f"{path}.lock")


def rollback_request(path: Path) -> Path:
    """Return the path of a file by whose existence the operator requests a rollback.

    Args:
        path: path of the journal file.
    """
    return Path(f"{path}.undo")


@contextmanager
def _opened_directory(path: Path) -> Iterator[int]:
    directory = os.open(path, os.O_RDONLY)
    try:
        yield directory
    finally:
        os.close(directory)
