"""Told of changes by the system: inotify by way of Twisted. Without it the poll alone finds them."""

from collections.abc import Callable

try:
    from twisted.internet import inotify
except ImportError:  # not Linux
    inotify = None
from twisted.python.filepath import FilePath


class Notifier:
    """Watches directories, as names come, go and are replaced in them; one for a reactor."""

    def __init__(self, reactor: object) -> None:
        self._notifier = None
        self._watched: set[str] = set()
        if inotify is not None:
            try:
                self._notifier = inotify.INotify(reactor)
                self._notifier.startReading()
            except OSError:  # no watches left to be had: the poll goes on
                self._notifier = None

    def watch(self, paths: list[str], changed: Callable[[], None]) -> None:
        """Call `changed` whenever something in these directories does; may be called again with others."""
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

        def on_event(ignored: object, path: FilePath, what: int) -> None:
            if what & (inotify.IN_DELETE_SELF | inotify.IN_IGNORED):
                self._watched.discard(path.path.decode() if isinstance(path.path, bytes) else path.path)
            changed()

        for path in paths:
            if path in self._watched:
                continue
            try:
                self._notifier.watch(FilePath(path.encode()), mask=mask, callbacks=[on_event])
                self._watched.add(path)
            except (OSError, inotify.INotifyError):
                continue
