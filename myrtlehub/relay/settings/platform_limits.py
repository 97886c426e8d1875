"""What the platform allows of connections and sequences."""

from typing import NamedTuple

from myrtlehub.relay.errors import SettingsError
from myrtlehub.relay.settings.node_settings import NodeSettings

DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_KEEPALIVE_MS = 30000.0
DEFAULT_MAX_IN_FLIGHT = 20000  # sequences that a node accepts, unless the settings say fewer


class PlatformLimits(NamedTuple):
    """Limits of the platform; times in seconds.

    Attributes:
        connect_timeout: For a connection to an engine to be made.
        keepalive: After which engines close idle connections.
        max_in_flight: Sequences that are in flight at most.
    """

    connect_timeout: float
    keepalive: float
    max_in_flight: int


def platform_limits_of(settings: NodeSettings) -> PlatformLimits:
    """Read the limits; SettingsError names the one that is no number above 0."""
    caps = settings.platform.get("Caps", {})
    limits = {
        "ConnectTimeoutMs": DEFAULT_CONNECT_TIMEOUT_MS,
        "KeepaliveMs": DEFAULT_KEEPALIVE_MS,
        "MostHeld": DEFAULT_MAX_IN_FLIGHT,
    }
    for key in limits:
        value = limits[key] = caps.get(key, limits[key])
        if not isinstance(value, (int, float)) or value <= 0:
            raise SettingsError(f"settings.Caps.{key}: {value!r} is no number above 0; write one")
    return PlatformLimits(
        limits["ConnectTimeoutMs"] / 1e3, limits["KeepaliveMs"] / 1e3, int(limits["MostHeld"])
    )
