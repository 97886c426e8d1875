"""Reloads the node settings on SIGHUP."""

from collections.abc import Callable

from myrtlehub.log_events import Log, LogEvent
from myrtlehub.relay.errors import SettingsError
from myrtlehub.relay.settings.node_settings import NodeSettings, read_node_settings


def reload_settings(
    path: str, current: NodeSettings, set_discovery_address: Callable[[str], None], log: Log
) -> None:
    """Read the settings file again, and apply the discovery address if the file is valid.

    Other settings take effect at the next start of the node; those that differ from `current` are logged.

    Args:
        path: The settings file.
        current: The settings with which the node was started.
        set_discovery_address: Called with the HOST:PORT of the discovery service.
        log: The event log.
    """
    try:
        settings = read_node_settings(path)
    except SettingsError as error:
        log(LogEvent.SETTINGS_RELOAD_FAILED, reason=str(error))
        return
    changes = {
        "name": settings.name != current.name,
        "listen": settings.listen_address != current.listen_address,
        "limits": settings.max_descriptors != current.max_descriptors,
        "settings": settings.platform_settings != current.platform_settings,
    }
    log(
        LogEvent.SETTINGS_RELOADED,
        discovery=settings.discovery_address,
        not_applied=sorted(key for key, is_changed in changes.items() if is_changed),
    )
    set_discovery_address(settings.discovery_address)
