"""Reload of the node settings on SIGHUP."""

from collections.abc import Callable

from myrtlehub.log_events import Log, LogEvent
from myrtlehub.relay.errors import SettingsError
from myrtlehub.relay.settings.node_settings import NodeSettings, read_node_settings


def reload_settings(
    path: str, current: NodeSettings, follow_discovery_at: Callable[[str], None], log: Log
) -> None:
    """Read the settings file again, and apply the address of discovery if the file is valid.

    Other settings take effect only at the next start of the node. Those of them that differ from `current`
    are logged.

    Args:
        path: The settings file.
        current: The settings that the node was started with.
        follow_discovery_at: Called with the HOST:PORT of the discovery service.
        log: The event log.
    """
    try:
        settings = read_node_settings(path)
    except SettingsError as error:
        log(LogEvent.SETTINGS_RELOAD_FAILED, reason=str(error))
        return
    is_changed = {
        "name": settings.name != current.name,
        "listen": settings.listen != current.listen,
        "limits": settings.descriptors != current.descriptors,
        "settings": settings.platform != current.platform,
    }
    log(
        LogEvent.SETTINGS_RELOADED,
        discovery=settings.discovery,
        not_applied=sorted(key for key, differs in is_changed.items() if differs),
    )
    follow_discovery_at(settings.discovery)
