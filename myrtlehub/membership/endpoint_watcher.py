"""The source of an endpoint list that is read from watched files.

A snapshot is used only if no file was being written while it was read. This is assumed if all files parse,
two consecutive snapshots have the same bytes, and no change was detected for the quiet time between them.
"""

from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Protocol

from myrtlehub.clock import Clock
from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.membership.background import RunInBackground, run_synchronously
from myrtlehub.membership.endpoint_source import (
    EndpointListener,
    EndpointListUpdate,
    VersionId,
    ignore_update,
)
from myrtlehub.membership.file_monitor import FileMonitor, WatchConfig, WatchDirectories, poll_only
from myrtlehub.membership.list_version import ListVersion
from myrtlehub.membership.snapshot import Snapshot, read_snapshot
from myrtlehub.membership.validation import (
    Accepted,
    Deferred,
    ListValidator,
    Rejected,
    Unchanged,
    Verdict,
)
from myrtlehub.membership.version_saver import VersionSaver
from myrtlehub.membership.version_store import StoredVersion, VersionStore

SOURCE_NAME = "files"  # `source` of the versions and rejections of this source


class SnapshotReader(Protocol):
    """Reads a snapshot of the files, synchronously or in the background."""

    def __call__(
        self,
        patterns: Iterable[str],
        base: Path,
        requires_end_mark: bool,
        callback: Callable[[Snapshot], None],
        /,
    ) -> None:
        """Read the files and pass the snapshot to `callback`. For the other arguments see `read_snapshot`."""


def _read_synchronously(
    patterns: Iterable[str],
    base: Path,
    requires_end_mark: bool,
    callback: Callable[[Snapshot], None],
    /,
) -> None:
    callback(read_snapshot(patterns, base, requires_end_mark))


class EndpointWatcher:
    """A source of the endpoint list that watches files."""

    def __init__(
        self,
        config: WatchConfig,
        validator: ListValidator,
        clock: Clock,
        store: VersionStore | None = None,
        log: Log = no_log,
        watch_directories: WatchDirectories = poll_only,
        unresponsive_addresses: Callable[[], frozenset[str]] = frozenset,
        reader: SnapshotReader | None = None,
        run_in_background: RunInBackground = run_synchronously,
    ) -> None:
        """Create a watcher, which does nothing until `follow` is called.

        Args:
            config: the watched files and the timing.
            validator: validates snapshots, and turns accepted ones into versions.
            clock: the node's clock.
            store: preserves accepted versions across restarts. None: versions are not stored.
            log: the node's log.
            watch_directories: sets up change notification by the operating system.
            unresponsive_addresses: returns the addresses of endpoints that currently do not respond to this
                node.
            reader: reads snapshots without blocking the event loop, because a list of thousands of endpoints
                takes seconds to parse. None: snapshots are read in the event loop.
            run_in_background: runs disk operations that may block.
        """
        self.config = config
        self.validator = validator
        self.clock = clock
        self.log = log
        self.unresponsive_addresses = unresponsive_addresses
        self.reader = reader or _read_synchronously
        self._saver = VersionSaver(store, run_in_background, log) if store is not None else None
        self._monitor = FileMonitor(config, clock, watch_directories, self._read)
        self._listener: EndpointListener = ignore_update
        self._is_busy = False  # from a read request until the verdict on its snapshot is handled
        self._must_read_again = False  # a read was requested while the watcher was busy
        self._last_digest: str | None = None  # of the bytes of the last snapshot

    def subscribe(self, listener: EndpointListener) -> None:
        """Read the files now, then watch them; use the stored version if they are missing or invalid."""
        self._listener = listener
        stored = self._saver.load_latest() if self._saver is not None else None
        if stored is not None:
            self.validator.last_number = stored.number  # version numbers keep increasing across restarts
        snapshot = read_snapshot(self.config.patterns, self.config.base, self.config.requires_end_mark)
        self._monitor.record_stamps()
        self._last_digest = snapshot.digest
        self._handle_verdict(self._validate(snapshot, frozenset()))
        if self.validator.version is None and stored is not None:
            self._use_stored_version(stored)
        self._monitor.start()

    def republish(self) -> None:
        """Send the complete list to the listener again, if there is a version."""
        if self.validator.version is not None:
            self._publish_complete(self.validator.version)

    def endpoints(self, replacement: Sequence[EndpointConfig] | None = None) -> list[EndpointConfig]:
        """Return the current list. `replacement` is ignored: only the files can change the list."""
        version = self.validator.version
        return list(version.endpoints.values()) if version is not None else []

    def stop(self) -> None:
        """Stop watching the files."""
        self._monitor.stop()

    def files_changed(self) -> None:
        """Read the files once they have not changed for the quiet time."""
        self._monitor.files_changed()

    def _use_stored_version(self, stored: StoredVersion) -> None:
        source = f"store, version {stored.number} from {stored.source}"
        now = self.clock.seconds()
        self._handle_verdict(self.validator.validate(now, stored.endpoints, source, is_from_store=True))

    # -- reading ----------------------------------------------------------------------------------

    def _read(self) -> None:
        if self._is_busy:
            self._must_read_again = True
            return
        self._is_busy = True
        config = self.config
        self.reader(config.patterns, config.base, config.requires_end_mark, self._handle_snapshot)

    def _handle_snapshot(self, snapshot: Snapshot) -> None:
        must_read_again = self._must_read_again
        self._must_read_again = False
        self._is_busy = False
        if snapshot.digest != self._last_digest:
            # The bytes differ from those of the last snapshot, so a program may still be writing a
            # file. Only a second snapshot with the same bytes, read after the quiet time, is validated.
            self._last_digest = snapshot.digest
            must_read_again = True
        else:
            self._is_busy = True
            verdict = self._validate(snapshot, self.unresponsive_addresses())
            # Validating and applying a long list are both slow, so each has its own event loop iteration.
            self.clock.callLater(0, self._finish_validation, verdict)
        if must_read_again:
            self._monitor.schedule(self.config.quiet_time)

    def _finish_validation(self, verdict: Verdict) -> None:
        self._is_busy = False
        self._handle_verdict(verdict)
        self._monitor.update_directories()
        if self._must_read_again:
            self._monitor.schedule(self.config.quiet_time)

    # -- validation and publishing ----------------------------------------------------------------

    def _validate(self, snapshot: Snapshot, unresponsive: frozenset[str]) -> Verdict:
        now = self.clock.seconds()
        faults = "; ".join(snapshot.faults)
        if snapshot.is_missing:
            patterns = ", ".join(self.config.patterns)
            no_files_reason = f"no file exists for {patterns}; the last list stays in use"
            return self.validator.reject_lost_source(now, SOURCE_NAME, faults or no_files_reason)
        if faults:
            return self.validator.reject(now, SOURCE_NAME, faults)
        return self.validator.validate(
            now,
            snapshot.endpoints,
            SOURCE_NAME,
            unresponsive=unresponsive,
            digest=snapshot.content_digest,
        )

    def _handle_verdict(self, verdict: Verdict) -> None:
        match verdict:
            case Rejected(reason):
                self._log_not_accepted(LogEvent.ENDPOINT_LIST_REJECTED, reason)
            case Deferred(reason, recheck_at):
                self._schedule_recheck(recheck_at)
                self._log_not_accepted(LogEvent.ENDPOINT_LIST_DEFERRED, reason)
            case Accepted():
                self._schedule_recheck(verdict.recheck_at)
                self._accept(verdict)
            case Unchanged(recheck_at):
                self._schedule_recheck(recheck_at)

    def _schedule_recheck(self, recheck_at: float | None) -> None:
        if recheck_at is not None:
            self._monitor.schedule(max(self.config.quiet_time, recheck_at - self.clock.seconds()))

    def _log_not_accepted(self, event: LogEvent, reason: str) -> None:
        current = self.validator.version
        self.log(event, reason=reason, list_version=current.number if current else 0)

    def _accept(self, accepted: Accepted) -> None:
        version = accepted.version
        difference = accepted.difference
        self.log(
            LogEvent.ENDPOINT_LIST_ACCEPTED,
            list_version=version.number,
            digest=version.digest,
            engines=len(version.endpoints),
            added=len(difference.added),
            removed=len(difference.removed),
            from_store=version.is_from_store,
        )
        if difference:
            self._publish(version, difference.updates(), is_complete=False)
        else:
            self._publish_complete(version)
        if self._saver is not None and not version.is_from_store:
            self._saver.save(version)

    def _publish_complete(self, version: ListVersion) -> None:
        self._publish(version, list(version.endpoints.values()), is_complete=True)

    def _publish(self, version: ListVersion, endpoints: list[EndpointConfig], is_complete: bool) -> None:
        version_id = VersionId(version.number, version.digest)
        self._listener(EndpointListUpdate(endpoints, is_complete, version_id))
