"""The journal file and its lock. One controller writes it at a time and syncs each entry before using it."""

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

# Called with the name of a boundary before and after each write, sync and action.
BoundaryHook = Callable[[str], None]
JOURNAL_FILE_MODE = 0o644


def no_boundary_hook(boundary: str) -> None:
    """Do nothing; tests pass a hook that kills the controller at a boundary."""


class JournalStore:
    """The journal of one rollout, opened by one controller."""

    def __init__(self, path: Path, on_boundary: BoundaryHook = no_boundary_hook) -> None:
        """Create a store; `open` has to be called before the first `append`.

        Args:
            path: path of the journal file.
            on_boundary: called before and after each write and sync.
        """
        self.path = path
        self.entries: list[JournalEntry] = []
        self._on_boundary = on_boundary
        self._file_descriptor: int | None = None  # None while the journal is not open
        self._lock = journal_lock(path)

    def open(self, header: JournalHeader, resume: bool) -> int:
        """Lock the journal, and create it or read its entries.

        Args:
            header: the header of this rollout.
            resume: whether to read an existing journal; if False, the journal must not exist yet.

        Returns:
            The size in bytes of the incomplete last line that was dropped; 0 if the last line was complete.

        Raises:
            RolloutError: another controller has the lock, or the journal does not fit the arguments.
            JournalNotWritableError: the file cannot be read or written.
        """
        try:
            self._lock.acquire(timeout=0)
        except Timeout as error:
            raise RolloutError(f"{self.path}: another controller has locked this journal") from error
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
        has_begun = b"\n" in data  # no rollout has begun if not even the first line is complete
        if resume and not has_begun:
            raise RolloutError(f"{self.path}: no such journal; start the rollout with hub-rollout run")
        if has_begun and not resume:
            raise RolloutError(
                f"{self.path}: journal already exists; continue its rollout with hub-rollout resume"
            )
        torn_size = self._read_entries(header, data) if resume else len(data)
        if torn_size:
            os.truncate(self.path, len(data) - torn_size)
        self._file_descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, JOURNAL_FILE_MODE)
        if not resume:
            self._write_and_sync(self._file_descriptor, encode_line(header))
            with _opened_directory(self.path.parent) as directory_descriptor:
                os.fsync(directory_descriptor)
        return torn_size

    def _read_entries(self, header: JournalHeader, data: bytes) -> int:
        """Read the entries; return the size in bytes of the incomplete last line, or 0."""
        try:
            journal = decode_journal(data)
        except JournalFormatError as error:
            raise RolloutError(f"{self.path}: {error}") from error
        self.entries = journal.entries
        if journal.header.nodes != header.nodes or journal.header.plan != header.plan:
            raise RolloutError(
                f"{self.path}: was written for another plan; use the plan that the rollout was started with"
            )
        return len(data) - journal.intact_size

    def _write_and_sync(self, file_descriptor: int, data: bytes) -> None:
        """Write data, and return after it is on disk."""
        self._on_boundary("write")
        written = 0
        while written < len(data):
            written += os.write(file_descriptor, data[written:])
        self._on_boundary("sync")
        os.fsync(file_descriptor)
        self._on_boundary("synced")

    def append(self, entry: JournalEntry) -> None:
        """Append an entry, and return after it is on disk.

        Raises:
            OSError: the write failed or the journal is closed. The entry may or may not be on disk, so the
                actions that it requires must not be executed.
        """
        if self._file_descriptor is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        self._write_and_sync(self._file_descriptor, encode_line(entry))
        self.entries.append(entry)

    def close(self) -> None:
        """Close the file and release the lock."""
        if self._file_descriptor is not None:
            os.close(self._file_descriptor)
            self._file_descriptor = None
        self._lock.release()


def journal_lock(path: Path) -> FileLock:
    """Return the lock of a journal; the running controller holds it."""
    return FileLock(f"{path}.lock")


def rollback_request(path: Path) -> Path:
    """Return the path of the file that requests a rollback by its existence.

    Args:
        path: path of the journal file.
    """
    return Path(f"{path}.undo")


@contextmanager
def _opened_directory(path: Path) -> Iterator[int]:
    directory_descriptor = os.open(path, os.O_RDONLY)
    try:
        yield directory_descriptor
    finally:
        os.close(directory_descriptor)
