"""Notification of file changes by inotify, by way of Twisted. Without inotify the poll alone finds them."""

from collections.abc import Callable

try:
    from twisted.internet import inotify
except ImportError:  # not Linux
    inotify = None
from twisted.internet.interfaces import IReactorFDSet
from twisted.python.filepath import FilePath

ChangeCallback = Callable[[], None]


class FileNotifier:
    """Watches directories, as names come, go and are replaced in them; one for a reactor."""

    def __init__(self, reactor: IReactorFDSet) -> None:
        self._notifier = None
        self._watched: set[str] = set()
        if inotify is not None:
            try:
                self._notifier = inotify.INotify(reactor)
                self._notifier.startReading()
            except OSError:  # no inotify instance is left: the poll goes on
                self._notifier = None

    def watch(self, directories: list[str], callback: ChangeCallback) -> None:
        """Call `callback` at each change in these directories; may be called again with others."""
        if self._notifier is None:
            return
        mask = (
            inotify.IN_MODIFY
            | inotify.IN_ATTRIB
            | inotify.IN_CLOSE_WRITE
            | inotify.IN_MOVED_TO
            | inotify.IN_MOVED_FROM
            | inotify.IN_CREATE
            | inotify.IN_DELETE
            | inotify.IN_DELETE_SELF
        )

        def on_event(ignored: inotify.INotify, path: FilePath, event: int) -> None:
            if event & (inotify.IN_DELETE_SELF | inotify.IN_IGNORED):
                self._watched.discard(path.path.decode() if isinstance(path.path, bytes) else path.path)
            callback()

        for directory in directories:
            if directory in self._watched:
                continue
            try:
                self._notifier.watch(FilePath(directory.encode()), mask=mask, callbacks=[on_event])
            except (OSError, inotify.INotifyError):
                continue
            self._watched.add(directory)
