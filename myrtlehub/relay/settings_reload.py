"""Reload of the node settings on SIGHUP."""

from collections.abc import Callable

from myrtlehub.log_events import Log, LogEvent
from myrtlehub.relay.errors import SettingsError
from myrtlehub.relay.node_settings import NodeSettings, read_node_settings


def reload_settings(
    path: str, current: NodeSettings, move_discovery: Callable[[str], None], log: Log
) -> None:
    """Follow the discovery that the file names; a file that can't be used changes nothing.

    All but discovery's address needs a restart: the log names what differs from `current`.
    """
    try:
        settings = read_node_settings(path)
    except SettingsError as error:
        log(LogEvent.SETTINGS_RELOAD_FAILED, reason=str(error))
        return
    changed = {
        "name": settings.name != current.name,
        "listen": settings.listen != current.listen,
        "limits": settings.descriptors != current.descriptors,
        "settings": settings.platform != current.platform,
    }
    log(
        LogEvent.SETTINGS_RELOADED,
        discovery=settings.discovery,
        not_applied=sorted(key for key, differs in changed.items() if differs),
    )
    move_discovery(settings.discovery)
