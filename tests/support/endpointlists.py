"""Endpoint lists for tests: endpoints whose names state their kind, validators, and list files."""

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.engines import EngineKindConfig
from myrtlehub.membership.validation import ListValidator, ValidationConfig

KINDS = {
    "reader": EngineKindConfig(name="reader", reads=True),
    "writer": EngineKindConfig(name="writer", writes=True),
}

DEFAULTS = ValidationConfig()


def make_endpoint(name: str, **fields: object) -> EndpointConfig:
    """Make an endpoint: a reader if its name begins with "r", else a writer."""
    kind = "reader" if name[0] == "r" else "writer"
    return EndpointConfig.model_validate({"address": f"{name}:1", "kind": kind, "zone": "z", **fields})


def make_endpoints(names: str, **fields: object) -> list[EndpointConfig]:
    """Make endpoints from space-separated names."""
    return [make_endpoint(name, **fields) for name in names.split()]


def make_validator(
    max_removed: float = DEFAULTS.max_removed,
    confirm_after: float = DEFAULTS.confirm_after,
    max_flaps: int | None = DEFAULTS.max_flaps,
    flap_window: float = DEFAULTS.flap_window,
    flap_quiet_time: float = DEFAULTS.flap_quiet_time,
) -> ListValidator:
    """Make a validator that knows KINDS."""
    config = ValidationConfig(max_removed, confirm_after, max_flaps, flap_window, flap_quiet_time)
    return ListValidator(config, KINDS, ["z"])


def list_text(names: str, **fields: object) -> str:
    """Return the text of a file that lists these endpoints."""
    lines = [
        f"  - {{address: '{endpoint.address}', kind: {endpoint.kind}, zone: z, cell: {endpoint.cell}, "
        f"weight: {endpoint.weight}}}"
        for endpoint in make_endpoints(names, **fields)
    ]
    return "engines:\n" + "\n".join(lines) + "\n"
