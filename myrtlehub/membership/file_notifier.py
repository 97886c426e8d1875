"""File change notification through Twisted's inotify support.

On systems without inotify there are no notifications, and only polling detects changes.
"""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

from twisted.internet.interfaces import IReactorFDSet
from twisted.python.filepath import FilePath

try:
    from twisted.internet import inotify
except ImportError:  # the operating system is not Linux
    HAS_INOTIFY = False
else:
    HAS_INOTIFY = True

ChangeCallback = Callable[[], None]


class _Inotify(Protocol):
    """The methods of Twisted's `INotify`, which has no annotations."""

    def startReading(self) -> None:  # noqa: N802
        """Start to deliver events."""

    def watch(
        self,
        path: FilePath[bytes],
        *,
        mask: int,
        callbacks: Iterable[Callable[[object, FilePath[bytes], int], None]],
    ) -> object:
        """Call `callbacks` on each event in a directory that `mask` selects."""


def _open_inotify(reactor: IReactorFDSet) -> _Inotify | None:
    """Return an active inotify instance; None if inotify is missing or its limit of instances is reached."""
    if not HAS_INOTIFY:
        return None
    try:
        # Twisted's inotify module has no annotations.
        instance: _Inotify = inotify.INotify(reactor)  # type: ignore[no-untyped-call]
        instance.startReading()
    except OSError:
        return None
    return instance


def _change_mask() -> int:
    """Return the mask of the events for changed, added and removed files in a directory."""
    return (
        inotify.IN_MODIFY
        | inotify.IN_ATTRIB
        | inotify.IN_CLOSE_WRITE
        | inotify.IN_MOVED_TO
        | inotify.IN_MOVED_FROM
        | inotify.IN_CREATE
        | inotify.IN_DELETE
        | inotify.IN_DELETE_SELF
    )


class FileNotifier:
    """Watches directories for added, changed, replaced and removed files; one instance per reactor."""

    def __init__(self, reactor: IReactorFDSet) -> None:
        self._inotify = _open_inotify(reactor)
        self._watched: set[str] = set()  # directories

    def watch(self, directories: list[str], callback: ChangeCallback) -> None:
        """Call `callback` on each change in these directories; directories of earlier calls stay watched."""
        if self._inotify is None:
            return
        event_callback = partial(self._handle_event, callback)
        for directory in directories:
            if directory in self._watched:
                continue
            try:
                self._inotify.watch(
                    FilePath(directory.encode()), mask=_change_mask(), callbacks=[event_callback]
                )
            except (OSError, inotify.INotifyError):
                continue  # the directory was removed, or the limit of watches is reached
            self._watched.add(directory)

    def _handle_event(
        self, callback: ChangeCallback, ignored: object, path: FilePath[bytes], event: int
    ) -> None:
        if event & (inotify.IN_DELETE_SELF | inotify.IN_IGNORED):
            # The watch has ended; a directory that is created later under the same path needs a new one.
            self._watched.discard(path.path.decode() if isinstance(path.path, bytes) else path.path)
        callback()
