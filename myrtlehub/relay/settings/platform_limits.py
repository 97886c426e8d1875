"""Limits of the platform for connections, in-flight sequences and shutdown."""

from typing import NamedTuple

from myrtlehub.platform_settings import earliest_kill_delay
from myrtlehub.relay.errors import SettingsError
from myrtlehub.relay.settings.node_settings import NodeSettings

DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_KEEPALIVE_MS = 30000.0
DEFAULT_MAX_IN_FLIGHT = 20000  # sequences


class PlatformLimits(NamedTuple):
    """Limits of the platform.

    Attributes:
        connect_timeout: Time in seconds within which a connection to an engine has to be established.
        keepalive: Time in seconds after which engines close idle connections.
        max_in_flight: Maximum number of in-flight sequences.
        earliest_kill_delay: Time in seconds from SIGTERM to the earliest SIGKILL.
    """

    connect_timeout: float
    keepalive: float
    max_in_flight: int
    earliest_kill_delay: float


def platform_limits_of(settings: NodeSettings) -> PlatformLimits:
    """Return the limits from the platform's settings, with defaults for those that are absent.

    Raises:
        SettingsError: A limit is not a number above 0.
    """
    capabilities = settings.platform_settings.get("Caps", {})
    limits = {
        "ConnectTimeoutMs": DEFAULT_CONNECT_TIMEOUT_MS,
        "KeepaliveMs": DEFAULT_KEEPALIVE_MS,
        "MostHeld": DEFAULT_MAX_IN_FLIGHT,
    }
    for key in limits:
        value = limits[key] = capabilities.get(key, limits[key])
        if not isinstance(value, (int, float)) or value <= 0:
            raise SettingsError(
                f"settings.Caps.{key}: {value!r} is not a number above 0; use a positive number"
            )
    return PlatformLimits(
        connect_timeout=limits["ConnectTimeoutMs"] / 1e3,
        keepalive=limits["KeepaliveMs"] / 1e3,
        max_in_flight=int(limits["MostHeld"]),
        earliest_kill_delay=earliest_kill_delay(settings.platform_settings),
    )
