"""The endpoint list from watched files: notified by inotify where there is one, polled everywhere.

A file that is being written is told from a finished one by three things together: all files parse, their
bytes are the same in two snapshots, and nothing was changed for the quiet time between.
"""

from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import NamedTuple, Protocol

from myrtlehub.clock import Clock, Timer
from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.membership.endpoint_source import EndpointListener, ignore_endpoints
from myrtlehub.membership.flap_damping import NEVER
from myrtlehub.membership.interfaces import RunInBackground, run_now
from myrtlehub.membership.list_version import ListVersion
from myrtlehub.membership.snapshot import FileStamp, Snapshot, expand_patterns, read_snapshot, stamp_files
from myrtlehub.membership.validation import ListValidator, ValidationOutcome, Verdict
from myrtlehub.membership.version_store import StoredVersion, VersionStore, VersionStoreError

SOURCE = "files"  # as versions and rejections name it
MAX_QUIET_WAITS = 20  # quiet times after which files that never are quiet are read all the same


class WatchConfig(NamedTuple):
    """Which files are watched, and how."""

    patterns: Sequence[str]
    base: Path
    poll_interval: float  # seconds
    quiet_time: float  # seconds without a change after which files are read
    end_marked: bool = False  # a file is finished only with "end: yes"


class SnapshotReader(Protocol):
    """Reads a snapshot, at once or later."""

    def __call__(
        self, patterns: Iterable[str], base: Path, end_marked: bool, callback: Callable[[Snapshot], None], /
    ) -> None:
        """Read, and pass the snapshot to `callback`."""


class WatchDirectories(Protocol):
    """Asks the system to notify of changes."""

    def __call__(self, directories: list[str], callback: Callable[[], None], /) -> None:
        """Call `callback` at each change in one of the directories."""


def _read_here(
    patterns: Iterable[str], base: Path, end_marked: bool, callback: Callable[[Snapshot], None], /
) -> None:
    callback(read_snapshot(patterns, base, end_marked))


def poll_only(directories: list[str], callback: Callable[[], None], /) -> None:
    """Notify of nothing."""


class EndpointWatcher:
    """A source of the endpoint list that follows files."""

    def __init__(
        self,
        config: WatchConfig,
        validator: ListValidator,
        clock: Clock,
        store: VersionStore | None = None,
        log: Log = no_log,
        notify: WatchDirectories = poll_only,
        unresponsive: Callable[[], frozenset[str]] = frozenset,
        reader: SnapshotReader | None = None,
        run_in_background: RunInBackground = run_now,
    ) -> None:
        """`unresponsive` gives the addresses that do not answer this node.

        To read a list of thousands takes seconds: `reader` may do it where it does not hold up the node.
        """
        self.config = config
        self.validator = validator
        self.clock = clock
        self.store = store
        self.log = log
        self.notify = notify
        self.unresponsive = unresponsive
        self.reader = reader or _read_here
        self.run_in_background = run_in_background
        self._listener: EndpointListener = ignore_endpoints
        self._busy = False  # reading, or validating what was read
        self._read_again = False  # files changed meanwhile
        self._storing = False
        self._to_store: ListVersion | None = None
        self._stamps: tuple[FileStamp, ...] = ()
        self._last_digest = ""
        self._read_timer: Timer | None = None
        self._poll_timer: Timer | None = None
        self._first_change_at = 0.0

    def follow(self, listener: EndpointListener) -> None:
        """Read now; where the files are absent or bad, begin with the stored version."""
        self._listener = listener
        stored = self._load_stored()
        if stored is not None:
            self.validator.number = stored.number  # numbers go on over restarts
        snapshot = read_snapshot(self.config.patterns, self.config.base, self.config.end_marked)
        self._stamps = self._stamp_files()
        self._last_digest = snapshot.digest
        self._act_on(self._validate(snapshot, frozenset()))
        if self.validator.version is None and stored is not None:
            source = f"store, version {stored.number} from {stored.source}"
            now = self.clock.seconds()
            self._act_on(self.validator.validate(now, stored.endpoints, source, from_store=True))
        self.notify(self._directories(), self.files_changed)
        self._poll_timer = self.clock.callLater(self.config.poll_interval, self._poll)

    def republish(self) -> None:
        """Pass on the complete list again."""
        if self.validator.version is not None:
            self._publish_complete(self.validator.version)

    def endpoints(self, replacement: Sequence[EndpointConfig] | None = None) -> list[EndpointConfig]:
        """Return the current list; the files alone say what it is, so nothing replaces it."""
        version = self.validator.version
        return list(version.endpoints.values()) if version is not None else []

    def stop(self) -> None:
        """Follow the files no longer."""
        for timer in (self._read_timer, self._poll_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def files_changed(self) -> None:
        """Read the files once they have been quiet."""
        now = self.clock.seconds()
        if self._read_timer is None:
            self._first_change_at = now
        elif self._read_timer.active():
            if now - self._first_change_at > MAX_QUIET_WAITS * self.config.quiet_time:
                return  # guards against files that are never quiet
            self._read_timer.cancel()
        self._read_timer = self.clock.callLater(self.config.quiet_time, self._read)

    def _stamp_files(self) -> tuple[FileStamp, ...]:
        return stamp_files(self.config.patterns, self.config.base)

    def _poll(self) -> None:
        self._poll_timer = self.clock.callLater(self.config.poll_interval, self._poll)
        stamps = self._stamp_files()
        if stamps != self._stamps:
            self._stamps = stamps
            self.files_changed()

    def _read(self) -> None:
        self._read_timer = None
        if self._busy:
            self._read_again = True
            return
        self._busy = True
        self.reader(self.config.patterns, self.config.base, self.config.end_marked, self._snapshot_read)

    def _snapshot_read(self, snapshot: Snapshot) -> None:
        read_again = self._read_again
        self._read_again = False
        self._busy = False
        if snapshot.digest != self._last_digest:
            # Not the same as in the last snapshot: it may be half-written. Read again after the quiet time.
            self._last_digest = snapshot.digest
            read_again = True
        else:
            self._busy = True
            verdict = self._validate(snapshot, self.unresponsive())
            self.clock.callLater(0, self._validated, verdict)  # a turn of its own: long lists take long
        self._schedule_read(read_again)

    def _validated(self, verdict: Verdict) -> None:
        self._busy = False
        self._act_on(verdict)
        self.notify(self._directories(), self.files_changed)
        self._schedule_read(self._read_again)

    def _schedule_read(self, wanted: bool) -> None:
        if wanted and (self._read_timer is None or not self._read_timer.active()):
            self._read_timer = self.clock.callLater(self.config.quiet_time, self._read)

    def _directories(self) -> list[str]:
        """Return the directories to be notified of: names come, go and are replaced in them."""
        patterns = self.config.patterns
        base = self.config.base
        directories = {str(Path(file).parent) for file in expand_patterns(patterns, base)}
        directories |= {str(base / pattern) for pattern in patterns if (base / pattern).is_dir()}
        return sorted(directory for directory in directories if Path(directory).is_dir())

    def _validate(self, snapshot: Snapshot, unresponsive: frozenset[str]) -> Verdict:
        now = self.clock.seconds()
        faults = "; ".join(snapshot.faults)
        if snapshot.missing:
            absent = f"no file is there for {', '.join(self.config.patterns)}; the last list stays"
            return self.validator.source_lost(now, SOURCE, faults or absent)
        if faults:
            return self.validator.reject(now, SOURCE, faults)
        return self.validator.validate(
            now, snapshot.endpoints, SOURCE, unresponsive=unresponsive, digest=snapshot.content_digest
        )

    def _act_on(self, verdict: Verdict) -> None:
        if verdict.recheck_at < NEVER and self._read_timer is None:
            wait = max(self.config.quiet_time, verdict.recheck_at - self.clock.seconds())
            self._read_timer = self.clock.callLater(wait, self._read)
        match verdict.outcome:
            case ValidationOutcome.REJECTED:
                self._log_not_accepted(LogEvent.ENDPOINT_LIST_REJECTED, verdict)
            case ValidationOutcome.DEFERRED:
                self._log_not_accepted(LogEvent.ENDPOINT_LIST_DEFERRED, verdict)
            case ValidationOutcome.ACCEPTED:
                self._accept(verdict)
            case ValidationOutcome.UNCHANGED:
                pass

    def _log_not_accepted(self, event: LogEvent, verdict: Verdict) -> None:
        current = self.validator.version
        self.log(event, reason=verdict.reason, list_version=current.number if current else 0)

    def _accept(self, verdict: Verdict) -> None:
        version = verdict.version
        difference = verdict.difference
        self.log(
            LogEvent.ENDPOINT_LIST_ACCEPTED,
            list_version=version.number,
            digest=version.digest,
            engines=len(version.endpoints),
            added=len(difference.added),
            removed=len(difference.removed),
            from_store=version.from_store,
        )
        if difference:
            self._listener(difference.updates(), False, version.number, version.digest)
        else:
            self._publish_complete(version)
        if self.store is not None and not version.from_store:
            self._to_store = version
            self._store_next()

    def _publish_complete(self, version: ListVersion) -> None:
        self._listener(list(version.endpoints.values()), True, version.number, version.digest)

    def _store_next(self) -> None:
        """Store in the background, one version at a time; of those that wait the newest will do."""
        if self._storing or self._to_store is None:
            return
        version = self._to_store
        self._to_store = None
        self._storing = True
        self.run_in_background(lambda: self._save(version), self._saved)

    def _save(self, version: ListVersion) -> VersionStoreError | None:
        try:
            self.store.save(version)
        except VersionStoreError as error:
            return error
        return None

    def _saved(self, error: VersionStoreError | None) -> None:
        self._storing = False
        if error is not None:
            self.log(LogEvent.VERSION_STORE_WRITE_FAILED, reason=str(error))
        self._store_next()

    def _load_stored(self) -> StoredVersion | None:
        try:
            return self.store.load_latest() if self.store is not None else None
        except VersionStoreError as error:
            self.log(LogEvent.VERSION_STORE_READ_FAILED, reason=str(error))
            return None
