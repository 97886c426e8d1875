"""Validates staged settings, which replace those of a running node."""

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.loader import parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.membership.list_faults import find_list_faults

RESTART_FIELDS = ("name", "listen", "admin", "zone")  # fields of `node` that only a restart can change


class SettingsChangeError(Exception):
    """The node cannot route with the staged settings, or cannot change to them without a restart."""


def parse_settings(text: str) -> NodeConfig:
    """Parse a node's settings file.

    Raises:
        ConfigError: The settings are invalid; the message has a line for each error.
    """
    return parse_config(text, NodeConfig, "staged")


def validate_change(current: NodeConfig, staged: NodeConfig, endpoints: list[EndpointConfig]) -> None:
    """Check that a node with this endpoint list can change to the staged settings without a restart.

    Raises:
        SettingsChangeError: It cannot; the message says why.
    """
    _check_restart_fields(current, staged)
    _check_list_source(current, staged)
    if not (staged.list.files or staged.list.pushed):
        endpoints = staged.list.engines
    faults = _routing_faults(staged, endpoints)
    if faults:
        raise SettingsChangeError("; ".join(faults))


def _check_restart_fields(current: NodeConfig, staged: NodeConfig) -> None:
    for name in RESTART_FIELDS:
        before = getattr(current.node, name)
        after = getattr(staged.node, name)
        if before != after:
            raise SettingsChangeError(
                f"node.{name}: cannot change from {before!r} to {after!r} in place; roll the program"
            )


def _check_list_source(current: NodeConfig, staged: NodeConfig) -> None:
    if bool(current.list.files) != bool(staged.list.files) or current.list.pushed != staged.list.pushed:
        raise SettingsChangeError("list: where the list comes from cannot change in place; roll the program")
    if current.list.files and (
        current.list != staged.list or current.kinds != staged.kinds or current.zones != staged.zones
    ):
        raise SettingsChangeError(
            "list, kinds, zones: what watched files are read by cannot change in place; roll the program"
        )


def _routing_faults(staged: NodeConfig, endpoints: list[EndpointConfig]) -> list[str]:
    """Return the reasons why a node cannot route to these endpoints with the staged settings."""
    kinds = {kind.name: kind for kind in staged.kinds}
    faults = find_list_faults(endpoints, kinds, staged.zones, staged.engines_may.read_alone)
    serving_kinds = [
        kinds[endpoint.kind]
        for endpoint in endpoints
        if endpoint.state == "serving" and endpoint.weight > 0.0 and endpoint.kind in kinds
    ]
    for traffic_type in staged.traffic:
        is_chat = traffic_type.front == "chat"
        if not any(kind.writes if is_chat else kind.serves(traffic_type.front) for kind in serving_kinds):
            faults.append(f"no engine on the list could end a sequence of {traffic_type.name!r}")
    return faults
