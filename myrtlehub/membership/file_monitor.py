"""Detection of changes to the watched files: by polling, and also by inotify where it is available.

Changes are debounced, because a program that writes a file usually changes it several times in a row: a
change is reported once no further change has been detected for the quiet time.
"""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple, Protocol

from myrtlehub.clock import Clock, Timer
from myrtlehub.membership.snapshot import FileStamp, expand_patterns, stamp_files

MAX_WAIT_IN_QUIET_TIMES = 20  # maximum wait while the files keep changing, as a multiple of the quiet time


class WatchConfig(NamedTuple):
    """The watched files and the timing.

    Attributes:
        patterns: paths, globs and directories.
        base: the directory that relative patterns are resolved against.
        poll_interval: seconds between polls.
        quiet_time: seconds without a change after which the files are read.
        requires_end_mark: whether a file without the line `end: yes` is considered incomplete.
    """

    patterns: Sequence[str]
    base: Path
    poll_interval: float
    quiet_time: float
    requires_end_mark: bool = False


class WatchDirectories(Protocol):
    """Sets up change notification by the operating system."""

    def __call__(self, directories: list[str], callback: Callable[[], None], /) -> None:
        """Call `callback` on each change in one of the directories."""


def poll_only(directories: list[str], callback: Callable[[], None], /) -> None:
    """Set up no change notification, so that only polling detects changes."""


class FileMonitor:
    """Calls back once a change of the watched files was followed by the quiet time without changes."""

    def __init__(
        self,
        config: WatchConfig,
        clock: Clock,
        watch_directories: WatchDirectories,
        on_quiet: Callable[[], None],
    ) -> None:
        """Create a monitor, which watches nothing until `start` is called.

        Args:
            config: the files, the poll interval and the quiet time.
            clock: the node's clock.
            watch_directories: sets up change notification by the operating system.
            on_quiet: called when the quiet time after a change has elapsed, and at times set by `schedule`.
        """
        self.config = config
        self._clock = clock
        self._watch_directories = watch_directories
        self._on_quiet = on_quiet
        self._stamps: tuple[FileStamp, ...] = ()
        self._quiet_timer: Timer | None = None
        self._poll_timer: Timer | None = None
        self._burst_started_at: float | None = None  # time of the last change that found no timer running

    def record_stamps(self) -> None:
        """Record the stamps of the files, which the next poll compares with the new ones."""
        self._stamps = self._stamp_files()

    def start(self) -> None:
        """Start change notification and polling."""
        self.update_directories()
        self._poll_timer = self._clock.callLater(self.config.poll_interval, self._poll)

    def stop(self) -> None:
        """Cancel the timers."""
        for timer in (self._quiet_timer, self._poll_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def files_changed(self) -> None:
        """Restart the quiet time, unless the files have kept changing for longer than the maximum delay."""
        now = self._clock.seconds()
        if self._quiet_timer is None:
            self._burst_started_at = now
        elif self._quiet_timer.active():
            if self._has_exceeded_max_wait(now):
                # Let the running timer fire; files that keep changing would otherwise never be read.
                return
            self._quiet_timer.cancel()
        self._quiet_timer = self._clock.callLater(self.config.quiet_time, self._quiet_time_elapsed)

    def schedule(self, delay: float) -> None:
        """Call `on_quiet` after `delay` seconds, unless a call is already scheduled."""
        if self._quiet_timer is None or not self._quiet_timer.active():
            self._quiet_timer = self._clock.callLater(delay, self._quiet_time_elapsed)

    def update_directories(self) -> None:
        """Set up notification for the directories that contain watched files or may receive new ones."""
        patterns = self.config.patterns
        base = self.config.base
        directories = {str(Path(file).parent) for file in expand_patterns(patterns, base)}
        directories |= {str(base / pattern) for pattern in patterns if (base / pattern).is_dir()}
        existing = sorted(directory for directory in directories if Path(directory).is_dir())
        self._watch_directories(existing, self.files_changed)

    def _has_exceeded_max_wait(self, now: float) -> bool:
        max_wait = MAX_WAIT_IN_QUIET_TIMES * self.config.quiet_time
        return self._burst_started_at is not None and now - self._burst_started_at > max_wait

    def _quiet_time_elapsed(self) -> None:
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
