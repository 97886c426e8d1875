"""Detection of changes to the watched files: by inotify where it is available, and by polling everywhere.

A change is reported once no further change has been detected for the quiet time, because programs that write
a file usually change it several times in a row.
"""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple, Protocol

from myrtlehub.clock import Clock, Timer
from myrtlehub.membership.snapshot import FileStamp, expand_patterns, stamp_files

MAX_QUIET_WAITS = 20  # longest wait for files that keep changing, as a multiple of the quiet time


class WatchConfig(NamedTuple):
    """The watched files and the timing.

    Attributes:
        patterns: paths, globs and directories.
        base: the directory that relative patterns are resolved against.
        poll_interval: seconds between polls.
        quiet_time: seconds without a change that must pass before files are read.
        requires_end_mark: whether a file without the line `end: yes` counts as incomplete.
    """

    patterns: Sequence[str]
    base: Path
    poll_interval: float
    quiet_time: float
    requires_end_mark: bool = False


class WatchDirectories(Protocol):
    """Sets up change notification by the operating system."""

    def __call__(self, directories: list[str], callback: Callable[[], None], /) -> None:
        """Call `callback` at each change in one of the directories."""


def poll_only(directories: list[str], callback: Callable[[], None], /) -> None:
    """Set up no notification, so that only polling detects changes."""


class FileMonitor:
    """Calls back once the watched files have changed and then not changed again for the quiet time."""

    def __init__(
        self,
        config: WatchConfig,
        clock: Clock,
        watch_directories: WatchDirectories,
        on_quiet: Callable[[], None],
    ) -> None:
        """Make a monitor; it watches nothing until `start` is called.

        Args:
            config: the files, the poll interval and the quiet time.
            clock: the node's clock.
            watch_directories: sets up change notification by the operating system.
            on_quiet: called when the quiet time after a change is over, and at times set by `schedule`.
        """
        self.config = config
        self._clock = clock
        self._watch_directories = watch_directories
        self._on_quiet = on_quiet
        self._stamps: tuple[FileStamp, ...] = ()
        self._quiet_timer: Timer | None = None
        self._poll_timer: Timer | None = None
        self._first_change_at: float | None = None  # the last change that found no quiet timer set

    def record_stamps(self) -> None:
        """Record the stamps of the files, with which the next poll compares."""
        self._stamps = self._stamp_files()

    def start(self) -> None:
        """Start notification and polling."""
        self.update_directories()
        self._poll_timer = self._clock.callLater(self.config.poll_interval, self._poll)

    def stop(self) -> None:
        """Cancel the timers."""
        for timer in (self._quiet_timer, self._poll_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def files_changed(self) -> None:
        """Restart the quiet time, unless the files have kept changing for too long."""
        now = self._clock.seconds()
        if self._quiet_timer is None:
            self._first_change_at = now
        elif self._quiet_timer.active():
            if self._has_waited_too_long(now):
                # Let the timer fire. Otherwise files that keep changing would never be read.
                return
            self._quiet_timer.cancel()
        self._quiet_timer = self._clock.callLater(self.config.quiet_time, self._quiet_time_over)

    def schedule(self, delay: float) -> None:
        """Call `on_quiet` after `delay` seconds, unless a call is already scheduled."""
        if self._quiet_timer is None or not self._quiet_timer.active():
            self._quiet_timer = self._clock.callLater(delay, self._quiet_time_over)

    def update_directories(self) -> None:
        """Set up notification for the directories that contain watched files or may get new ones."""
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
