"""Where a node's endpoint list comes from, by its settings: fixed, pushed, or followed in files."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from myrtlehub.clock import Clock
from myrtlehub.config.node import NodeConfig
from myrtlehub.log_events import Log
from myrtlehub.membership.endpoint_source import StaticEndpointSource
from myrtlehub.membership.endpoint_watcher import (
    EndpointWatcher,
    SnapshotReader,
    WatchConfig,
    WatchDirectories,
)
from myrtlehub.membership.flap_damping import NEVER_DAMPED
from myrtlehub.membership.interfaces import RunInBackground
from myrtlehub.membership.validation import ANY_REMOVED, ListValidator, ValidationConfig
from myrtlehub.membership.version_store import VersionStore

ANY_SHARE = "any"  # `list.confirm.most_removed`
NO_DAMPING = "off"  # `list.damp.flaps`


class FileAccess(NamedTuple):
    """How the files of an endpoint list are read."""

    base: Path  # that relative paths of the settings start from
    notify: WatchDirectories
    reader: SnapshotReader | None
    run_in_background: RunInBackground


def make_endpoint_source(
    sheet: NodeConfig,
    access: FileAccess,
    clock: Clock,
    log: Log,
    unresponsive: Callable[[], frozenset[str]],
) -> StaticEndpointSource | EndpointWatcher:
    """Return the source of a node's endpoint list; `unresponsive` gives engines that cannot be reached."""
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
    max_flaps = NEVER_DAMPED if damp.flaps == NO_DAMPING else damp.flaps
    return ListValidator(
        ValidationConfig(max_removed, confirm.after, max_flaps, damp.within, damp.quiet_for),
        {kind.name: kind for kind in sheet.kinds},
        sheet.zones,
        sheet.engines_may.read_alone,
    )
