"""Saving of accepted versions in the background, so that disk writes do not block the event loop."""

from functools import partial

from myrtlehub.log_events import Log, LogEvent
from myrtlehub.membership.background import RunInBackground
from myrtlehub.membership.list_version import ListVersion
from myrtlehub.membership.version_store import StoredVersion, VersionStore, VersionStoreError


class VersionSaver:
    """Saves one version at a time. Store errors are logged, and the node runs without the store."""

    def __init__(self, store: VersionStore, run_in_background: RunInBackground, log: Log) -> None:
        self._store = store
        self._run_in_background = run_in_background
        self._log = log
        self._is_saving = False
        self._pending: ListVersion | None = None  # the version to save next; a newer one replaces it

    def load_latest(self) -> StoredVersion | None:
        """Return the latest stored version; None if there is none or the store cannot be used."""
        try:
            return self._store.load_latest()
        except VersionStoreError as error:
            self._log(LogEvent.VERSION_STORE_READ_FAILED, reason=str(error))
            return None

    def save(self, version: ListVersion) -> None:
        """Save a version, after the save in progress if there is one."""
        self._pending = version
        self._save_next()

    def _save_next(self) -> None:
        if self._is_saving or self._pending is None:
            return
        version = self._pending
        self._pending = None
        self._is_saving = True
        self._run_in_background(partial(self._save, version), self._handle_save_result)

    def _save(self, version: ListVersion) -> VersionStoreError | None:
        try:
            self._store.save(version)
        except VersionStoreError as error:
            return error
        return None

    def _handle_save_result(self, error: VersionStoreError | None) -> None:
        self._is_saving = False
        if error is not None:
            self._log(LogEvent.VERSION_STORE_WRITE_FAILED, reason=str(error))
        self._save_next()
