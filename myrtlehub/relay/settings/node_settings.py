"""The node settings: the JSON file named by $RELAY_CONFIG, parsed and validated."""

from pathlib import Path
from typing import Any, NamedTuple

from myrtlehub.platform_settings import router_config_from_settings
from myrtlehub.relay.errors import MalformedJsonError, SettingsError
from myrtlehub.relay.parsing import SocketAddress, parse_address, parse_json
from myrtlehub.routing import contract

MIN_DESCRIPTORS = 96  # fewer file descriptors would leave too few for clients and engines
DEFAULT_DESCRIPTORS = 1024
SEED_BASE = 16  # the seed is written in hexadecimal
REQUIRED_KEYS = ("listen", "discovery", "settings")


class NodeSettings(NamedTuple):
    """The node settings.

    Attributes:
        name: Name of the node.
        listen: Address on which the node listens for clients.
        discovery: HOST:PORT of the discovery service.
        seed: Seed of the node's random generators.
        descriptors: Number of file descriptors that the process may use.
        platform: The platform's settings, in the form of the simulator's first message.
        fallback_list: The endpoint list to use if discovery does not answer at the start, or None.
    """

    name: str
    listen: SocketAddress
    discovery: str
    seed: int
    descriptors: int
    platform: dict[str, Any]
    fallback_list: dict[str, Any] | None


def read_node_settings(path: str) -> NodeSettings:
    """Read and validate the settings file.

    Raises:
        SettingsError: The file is unreadable or invalid.
    """
    fields = _read_object(path)
    for key in REQUIRED_KEYS:
        if key not in fields:
            raise SettingsError(f"{key}: is missing; add it")
    limits = fields.get("limits") or {}
    for key, value in (("settings", fields["settings"]), ("limits", limits)):
        if not isinstance(value, dict):
            raise SettingsError(f"{key}: is no object; write it as the platform does")
    _parse_address(fields, "discovery")
    seed = _parse_seed(fields)
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if not isinstance(descriptors, int) or descriptors < MIN_DESCRIPTORS:
        raise SettingsError(
            f"limits.sockets: {descriptors!r} is no number, or too few; allow {MIN_DESCRIPTORS}"
        )
    fallback_list = fields.get("known")
    return NodeSettings(
        name=str(fields.get("name", "")),
        listen=_parse_address(fields, "listen"),
        discovery=fields["discovery"],
        seed=seed,
        descriptors=descriptors,
        platform=fields["settings"],
        fallback_list=fallback_list if isinstance(fallback_list, dict) else None,
    )


def _read_object(path: str) -> dict[str, Any]:
    try:
        fields = parse_json(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"RELAY_CONFIG: {error.strerror}; name a file that can be read") from error
    except MalformedJsonError as error:
        raise SettingsError(f"RELAY_CONFIG: {error}; write it whole, as one JSON object") from error
    if not isinstance(fields, dict):
        raise SettingsError("RELAY_CONFIG: is no JSON object; write it as one")
    return fields


def _parse_address(fields: dict[str, Any], key: str) -> SocketAddress:
    address = parse_address(fields[key])
    if address is None:
        raise SettingsError(f"{key}: {fields[key]!r} is no address; write it as HOST:PORT")
    return address


def _parse_seed(fields: dict[str, Any]) -> int:
    try:
        return int(str(fields.get("seed", "0")), SEED_BASE)
    except ValueError as error:
        raise SettingsError(f"seed: {fields['seed']!r} is no number; write it in hexadecimal") from error


def router_config_of(settings: NodeSettings) -> contract.RouterConfig:
    """Return the router configuration that the platform's settings describe.

    Raises:
        SettingsError: The settings lack a required key or have one of the wrong type.
    """
    platform = settings.platform
    for key in ("Caps", "Invariants", "Specifics"):
        if not isinstance(platform.get(key, {}), dict):
            raise SettingsError(f"settings.{key}: is no object; write it as the platform does")
    for key in ("Classes", "Orgs"):
        if not _is_list_of_named_objects(platform.get(key) or []):
            raise SettingsError(f"settings.{key}: is no list of objects with a Name; write it as one")
    try:
        return router_config_from_settings(platform, settings.seed)._replace(may_check_arrival=True)
    except KeyError as error:
        raise SettingsError(f"settings: {error.args[0]} is missing or unknown; add it or mend it") from error
    except (TypeError, AttributeError, ValueError, IndexError) as error:
        raise SettingsError(f"settings: {error}; write them as the platform does") from error


def _is_list_of_named_objects(rows: Any) -> bool:  # noqa: ANN401
    return isinstance(rows, list) and all(
        isinstance(row, dict) and isinstance(row.get("Name"), str) for row in rows
    )
