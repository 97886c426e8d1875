"""Creates the source of a node's endpoint list: static, pushed to the admin service, or read from files."""

from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple

from myrtlehub.clock import Clock
from myrtlehub.config.node import NodeConfig
from myrtlehub.log_events import Log
from myrtlehub.membership.background import RunInBackground, run_synchronously
from myrtlehub.membership.endpoint_source import StaticEndpointSource
from myrtlehub.membership.endpoint_watcher import EndpointWatcher, SnapshotReader
from myrtlehub.membership.file_monitor import WatchConfig, WatchDirectories, poll_only
from myrtlehub.membership.validation import ANY_REMOVED, ListValidator, ValidationConfig
from myrtlehub.membership.version_store import VersionStore

# Special values of settings.
NO_REMOVAL_LIMIT: Final = "any"  # `list.confirm.most_removed`: no removal needs confirmation
NO_DAMPING: Final = "off"  # `list.damp.flaps`: no flap damping


class FileAccess(NamedTuple):
    """How the files of an endpoint list are read."""

    base: Path = Path()  # directory to which relative paths in the settings refer
    notify: WatchDirectories = poll_only  # watches directories for changes
    reader: SnapshotReader | None = None  # None: files are read in the event loop
    run_in_background: RunInBackground = run_synchronously  # runs blocking calls


def make_endpoint_source(
    settings: NodeConfig,
    access: FileAccess,
    clock: Clock,
    log: Log,
    unresponsive: Callable[[], frozenset[str]],
) -> StaticEndpointSource | EndpointWatcher:
    """Return the source of a node's endpoint list.

    Args:
        settings: The settings of the node.
        access: How the files of the list are read.
        clock: The clock of the node.
        log: Writes log events.
        unresponsive: Returns the addresses of engines that the node cannot reach.
    """
    source = settings.list
    if not source.files:
        return StaticEndpointSource(source.engines)
    store = VersionStore(access.base / source.store) if source.store else None
    return EndpointWatcher(
        WatchConfig(tuple(source.files), access.base, source.poll, source.quiet, source.end_marked),
        _make_validator(settings),
        clock,
        store=store,
        log=log,
        watch_directories=access.notify,
        unresponsive_addresses=unresponsive,
        reader=access.reader,
        run_in_background=access.run_in_background,
    )


def _make_validator(settings: NodeConfig) -> ListValidator:
    confirm, damp = settings.list.confirm, settings.list.damp
    max_removed = ANY_REMOVED if confirm.most_removed == NO_REMOVAL_LIMIT else confirm.most_removed
    max_flaps = None if damp.flaps == NO_DAMPING else damp.flaps
    return ListValidator(
        ValidationConfig(max_removed, confirm.after, max_flaps, damp.within, damp.quiet_for),
        {kind.name: kind for kind in settings.kinds},
        settings.zones,
        settings.engines_may.read_alone,
    )
