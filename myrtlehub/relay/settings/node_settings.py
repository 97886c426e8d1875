"""Node settings: parses and validates the JSON file named by $RELAY_CONFIG."""

from pathlib import Path
from typing import Any, NamedTuple

from myrtlehub.platform_settings import router_config_from_settings
from myrtlehub.relay.errors import MalformedJsonError, SettingsError
from myrtlehub.relay.parsing import SocketAddress, parse_address, parse_json
from myrtlehub.routing import contract

MIN_DESCRIPTORS = 96  # with fewer file descriptors, too few are left for clients and engines
DEFAULT_DESCRIPTORS = 1024
SEED_RADIX = 16  # the seed is a hexadecimal string
REQUIRED_KEYS = ("listen", "discovery", "settings")


class NodeSettings(NamedTuple):
    """The node settings.

    Attributes:
        name: Name of the node.
        listen_address: Address on which the node listens for clients.
        discovery_address: HOST:PORT of the discovery service.
        seed: Seed of the node's random number generators.
        max_descriptors: Maximum number of open file descriptors of the process.
        max_memory_mb: Memory in MB over which the platform kills the process; None if it states no limit.
        platform_settings: The platform's settings, with the keys of the simulator's first message.
        fallback_list: Endpoint list to use if discovery does not answer at start-up, or None.
    """

    name: str
    listen_address: SocketAddress
    discovery_address: str
    seed: int
    max_descriptors: int
    platform_settings: dict[str, Any]
    fallback_list: dict[str, Any] | None
    max_memory_mb: float | None = None


def read_node_settings(path: str) -> NodeSettings:
    """Read and validate the settings file.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    fields = _read_object(path)
    for key in REQUIRED_KEYS:
        if key not in fields:
            raise SettingsError(f"{key}: required key is missing; add it")
    limits = fields.get("limits") or {}
    for key, value in (("settings", fields["settings"]), ("limits", limits)):
        if not isinstance(value, dict):
            raise SettingsError(f"{key}: is not an object; use the platform's format")
    _parse_address(fields, "discovery")
    seed = _parse_seed(fields)
    max_descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if not isinstance(max_descriptors, int) or max_descriptors < MIN_DESCRIPTORS:
        raise SettingsError(
            f"limits.sockets: {max_descriptors!r} is not an integer of at least {MIN_DESCRIPTORS}; correct it"
        )
    max_memory_mb = limits.get("memory_mb")
    if max_memory_mb is not None and not _is_positive_number(max_memory_mb):
        raise SettingsError(f"limits.memory_mb: {max_memory_mb!r} is not a number above 0; correct it")
    fallback_list = fields.get("known")
    return NodeSettings(
        name=str(fields.get("name", "")),
        listen_address=_parse_address(fields, "listen"),
        discovery_address=fields["discovery"],
        seed=seed,
        max_descriptors=max_descriptors,
        platform_settings=fields["settings"],
        fallback_list=fallback_list if isinstance(fallback_list, dict) else None,
        max_memory_mb=max_memory_mb,
    )


def _is_positive_number(value: Any) -> bool:  # noqa: ANN401
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value > 0


def _read_object(path: str) -> dict[str, Any]:
    try:
        fields = parse_json(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(
            f"RELAY_CONFIG: cannot be read: {error.strerror}; name a readable file"
        ) from error
    except MalformedJsonError as error:
        raise SettingsError(f"RELAY_CONFIG: {error}; write one complete JSON object") from error
    if not isinstance(fields, dict):
        raise SettingsError("RELAY_CONFIG: is not a JSON object; write one")
    return fields


def _parse_address(fields: dict[str, Any], key: str) -> SocketAddress:
    address = parse_address(fields[key])
    if address is None:
        raise SettingsError(f"{key}: {fields[key]!r} is not a valid address; use HOST:PORT")
    return address


def _parse_seed(fields: dict[str, Any]) -> int:
    try:
        return int(str(fields.get("seed", "0")), SEED_RADIX)
    except ValueError as error:
        raise SettingsError(f"seed: {fields['seed']!r} is not a hexadecimal number; correct it") from error


def router_config_of(settings: NodeSettings) -> contract.RouterConfig:
    """Return the router configuration from the platform's settings.

    Raises:
        SettingsError: A required key is missing, or a value has the wrong type.
    """
    platform_settings = settings.platform_settings
    for key in ("Caps", "Invariants", "Specifics"):
        if not isinstance(platform_settings.get(key, {}), dict):
            raise SettingsError(f"settings.{key}: is not an object; use the platform's format")
    for key in ("Classes", "Orgs"):
        if not _is_list_of_named_objects(platform_settings.get(key) or []):
            raise SettingsError(f"settings.{key}: is not a list of objects that have a Name; correct it")
    try:
        return router_config_from_settings(platform_settings, settings.seed)._replace(may_check_arrival=True)
    except KeyError as error:
        raise SettingsError(f"settings: {error.args[0]} is missing or unknown; add or correct it") from error
    except (TypeError, AttributeError, ValueError, IndexError) as error:
        raise SettingsError(f"settings: {error}; use the platform's format") from error


def _is_list_of_named_objects(items: Any) -> bool:  # noqa: ANN401
    return isinstance(items, list) and all(
        isinstance(item, dict) and isinstance(item.get("Name"), str) for item in items
    )
