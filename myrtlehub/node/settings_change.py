"""Validation of settings that are to replace those of a running node."""

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.loader import parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.membership.list_faults import find_list_faults

FIXED_FIELDS = ("name", "listen", "admin", "zone")  # fields of `node` that only a restart can change


class SettingsChangeError(Exception):
    """The node could not route with these settings, or cannot change to them in place."""


def parse_settings(text: str) -> NodeConfig:
    """Parse a node's settings file.

    Raises:
        ConfigError: the settings are invalid; the message has a line for each error.
    """
    return parse_config(text, NodeConfig, "staged")


def validate_change(current: NodeConfig, staged: NodeConfig, rows: list[EndpointConfig]) -> None:
    """Check that a node whose endpoint list has these rows can change to the staged settings in place.

    Raises:
        SettingsChangeError: it cannot.
    """
    _check_fixed_fields(current, staged)
    _check_list_source(current, staged)
    if not (staged.list.files or staged.list.pushed):
        rows = staged.list.engines
    faults = _routing_faults(staged, rows)
    if faults:
        raise SettingsChangeError("; ".join(faults))


def _check_fixed_fields(current: NodeConfig, staged: NodeConfig) -> None:
    for name in FIXED_FIELDS:
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


def _routing_faults(staged: NodeConfig, rows: list[EndpointConfig]) -> list[str]:
    """Return the reasons why a node could not route to these endpoints with the staged settings."""
    kinds = {kind.name: kind for kind in staged.kinds}
    faults = find_list_faults(rows, kinds, staged.zones, staged.engines_may.read_alone)
    serving = [
        kinds[row.kind] for row in rows if row.state == "serving" and row.weight > 0.0 and row.kind in kinds
    ]
    for traffic in staged.traffic:
        chat = traffic.front == "chat"
        if not any(kind.writes if chat else kind.serves(traffic.front) for kind in serving):
            faults.append(f"no engine on the list could end a sequence of {traffic.name!r}")
    return faults
