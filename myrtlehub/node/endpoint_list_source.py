"""Makes the source of a node's endpoint list: static, pushed over the admin service, or read from files."""

from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple

from myrtlehub.clock import Clock
from myrtlehub.config.node import NodeConfig
from myrtlehub.log_events import Log
from myrtlehub.membership.background import RunInBackground, run_now
from myrtlehub.membership.endpoint_source import StaticEndpointSource
from myrtlehub.membership.endpoint_watcher import EndpointWatcher, SnapshotReader
from myrtlehub.membership.file_monitor import WatchConfig, WatchDirectories, poll_only
from myrtlehub.membership.validation import ANY_REMOVED, ListValidator, ValidationConfig
from myrtlehub.membership.version_store import VersionStore

ANY_SHARE: Final = "any"  # `list.confirm.most_removed`: no removal needs confirmation
NO_DAMPING: Final = "off"  # `list.damp.flaps`: endpoints are never damped


class FileAccess(NamedTuple):
    """How the files of an endpoint list are read."""

    base: Path = Path()  # folder that relative paths of the settings start from
    notify: WatchDirectories = poll_only  # notifies of changes in folders
    reader: SnapshotReader | None = None  # None: files are read in the event loop
    run_in_background: RunInBackground = run_now  # runs what may block


def make_endpoint_source(
    sheet: NodeConfig,
    access: FileAccess,
    clock: Clock,
    log: Log,
    unresponsive: Callable[[], frozenset[str]],
) -> StaticEndpointSource | EndpointWatcher:
    """Return the source of a node's endpoint list; `unresponsive` returns unreachable addresses."""
    settings = sheet.list
    if not settings.files:
        return StaticEndpointSource(settings.engines)
    store = VersionStore(access.base / settings.store) if settings.store else None
    return EndpointWatcher(
        WatchConfig(tuple(settings.files), access.base, settings.poll, settings.quiet, settings.end_marked),
        _make_validator(sheet),
        clock,
        store=store,
        log=log,
        notify=access.notify,
        unresponsive=unresponsive,
        reader=access.reader,
        run_in_background=access.run_in_background,
    )


def _make_validator(sheet: NodeConfig) -> ListValidator:
    confirm, damp = sheet.list.confirm, sheet.list.damp
    max_removed = ANY_REMOVED if confirm.most_removed == ANY_SHARE else confirm.most_removed
    max_flaps = None if damp.flaps == NO_DAMPING else damp.flaps
    return ListValidator(
        ValidationConfig(max_removed, confirm.after, max_flaps, damp.within, damp.quiet_for),
        {kind.name: kind for kind in sheet.kinds},
        sheet.zones,
        sheet.engines_may.read_alone,
    )
