"""Detection of changes to the watched files: by inotify where it is available, and by polling everywhere.

A change is reported once no further change has been seen for the quiet time, because an editor or a program
that writes a file changes it several times.
"""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple, Protocol

from myrtlehub.clock import Clock, Timer
from myrtlehub.membership.snapshot import FileStamp, expand_patterns, stamp_files

MAX_QUIET_WAITS = 20  # quiet times after the first change at which files are read though they still change


class WatchConfig(NamedTuple):
    """Which files are watched, and how.

    Attributes:
        patterns: paths, globs and directories.
        base: the directory that relative patterns start from.
        poll_interval: seconds between polls.
        quiet_time: seconds without a change after which files are read.
        requires_end_mark: whether a file without the line `end: yes` is incomplete.
    """

    patterns: Sequence[str]
    base: Path
    poll_interval: float
    quiet_time: float
    requires_end_mark: bool = False


class WatchDirectories(Protocol):
    """Asks the operating system for notification of changes."""

    def __call__(self, directories: list[str], callback: Callable[[], None], /) -> None:
        """Call `callback` at each change in one of the directories."""


def poll_only(directories: list[str], callback: Callable[[], None], /) -> None:
    """Set up no notification: polling alone detects changes."""


class FileMonitor:
    """Reports that the watched files have changed and have been quiet since."""

    def __init__(
        self,
        config: WatchConfig,
        clock: Clock,
        watch_directories: WatchDirectories,
        on_quiet: Callable[[], None],
    ) -> None:
        """Make a monitor that watches nothing until it is started.

        Args:
            config: the files, the poll interval and the quiet time.
            clock: the node's clock.
            watch_directories: sets up notification by the operating system.
            on_quiet: called once changed files have been quiet, and at the times of `schedule`.
        """
        self.config = config
        self._clock = clock
        self._watch_directories = watch_directories
        self._on_quiet = on_quiet
        self._stamps: tuple[FileStamp, ...] = ()
        self._quiet_timer: Timer | None = None
        self._poll_timer: Timer | None = None
        self._first_change_at: float | None = None  # of the changes that the quiet timer is for

    def record_stamps(self) -> None:
        """Record the files' stamps; the next poll reports what differs from them."""
        self._stamps = self._stamp_files()

    def start(self) -> None:
        """Begin to watch and to poll."""
        self.update_directories()
        self._poll_timer = self._clock.callLater(self.config.poll_interval, self._poll)

    def stop(self) -> None:
        """Cancel the timers."""
        for timer in (self._quiet_timer, self._poll_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def files_changed(self) -> None:
        """Restart the quiet time, unless the files have been changing for too long."""
        now = self._clock.seconds()
        if self._quiet_timer is None:
            self._first_change_at = now
        elif self._quiet_timer.active():
            if self._has_waited_too_long(now):
                # A file that is written more often than once in the quiet time would never be read.
                return
            self._quiet_timer.cancel()
        self._quiet_timer = self._clock.callLater(self.config.quiet_time, self._quiet_time_over)

    def schedule(self, delay: float) -> None:
        """Call `on_quiet` after `delay` seconds, unless a call of it is scheduled already."""
        if self._quiet_timer is None or not self._quiet_timer.active():
            self._quiet_timer = self._clock.callLater(delay, self._quiet_time_over)

    def update_directories(self) -> None:
        """Set up notification for the directories in which files may be added, removed and replaced."""
        patterns = self.config.patterns
        base = self.config.base
        directories = {str(Path(file).parent) for file in expand_patterns(patterns, base)}
        directories |= {str(base / pattern) for pattern in patterns if (base / pattern).is_dir()}
        existing = sorted(directory for directory in directories if Path(directory).is_dir())
        self._watch_directories(existing, self.files_changed)

    def _has_waited_too_long(self, now: float) -> bool:
        longest_wait = MAX_QUIET_WAITS * self.config.quiet_time
        return self._first_change_at is not None and now - self._first_change_at > longest_wait

    def _quiet_time_over(self) -> None:
        self._quiet_timer = None
        self._on_quiet()

    def _poll(self) -> None:
        self._poll_timer = self._clock.callLater(self.config.poll_interval, self._poll)
        stamps = self._stamp_files()
        if stamps != self._stamps:
            self._stamps = stamps
            self.files_changed()

    def _stamp_files(self) -> tuple[FileStamp, ...]:
        return stamp_files(self.config.patterns, self.config.base)
