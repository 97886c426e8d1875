"""Detection of faults for which the router cannot use an endpoint list, described for operators."""

from collections.abc import Iterable

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.engines import EngineKindConfig
from myrtlehub.membership.endpoint import is_serving


def find_list_faults(
    endpoints: Iterable[EndpointConfig],
    kinds: dict[str, EngineKindConfig],
    zones: Iterable[str],
    writers_can_read: bool = True,
) -> list[str]:
    """Return a message per fault of a complete list; no messages if the router can use the list.

    Args:
        endpoints: the complete list.
        kinds: the engine kinds of the settings, by name.
        zones: the zones of the settings.
        writers_can_read: whether writers can read prompts themselves, so that a list needs no readers.
    """
    endpoints = list(endpoints)
    zones = set(zones)
    faults = []
    seen: dict[str, EndpointConfig] = {}
    for endpoint in endpoints:
        faults += _find_endpoint_faults(endpoint, seen.get(endpoint.address), kinds, zones)
        seen[endpoint.address] = endpoint
    serving = [
        endpoint
        for endpoint in endpoints
        if is_serving(endpoint) and endpoint.weight > 0.0 and endpoint.kind in kinds
    ]
    return (
        faults + _find_missing_tasks(serving, kinds) + _find_missing_roles(serving, kinds, writers_can_read)
    )


def _find_endpoint_faults(
    endpoint: EndpointConfig,
    duplicate: EndpointConfig | None,
    kinds: dict[str, EngineKindConfig],
    zones: set[str],
) -> list[str]:
    faults = []
    if duplicate is not None:
        comparison = "the same" if duplicate == endpoint else "different"
        faults.append(f"engine {endpoint.address} is listed twice, with {comparison} figures; keep one")
    if endpoint.kind not in kinds:
        faults.append(
            f"engine {endpoint.address}: kind {endpoint.kind!r} is not among kinds: "
            f"{', '.join(sorted(kinds))}; mend the name, or add the kind"
        )
    if endpoint.zone not in zones:
        faults.append(
            f"engine {endpoint.address}: zone {endpoint.zone!r} is not among zones: "
            f"{', '.join(sorted(zones))}; mend the name, or add the zone"
        )
    return faults


def _find_missing_tasks(serving: list[EndpointConfig], kinds: dict[str, EngineKindConfig]) -> list[str]:
    capable_kinds = {
        "embeds": {name for name, kind in kinds.items() if kind.embeds},
        "ranks": {name for name, kind in kinds.items() if kind.ranks},
    }
    return [
        f"no engine that serves {task}; list at least one"
        for task, names in capable_kinds.items()
        if names and not any(endpoint.kind in names for endpoint in serving)
    ]


def _find_missing_roles(
    serving: list[EndpointConfig], kinds: dict[str, EngineKindConfig], writers_can_read: bool
) -> list[str]:
    writer_cells = {endpoint.cell for endpoint in serving if kinds[endpoint.kind].writes}
    reader_cells = {endpoint.cell for endpoint in serving if kinds[endpoint.kind].reads}
    needs_writers = any(kind.writes for kind in kinds.values())
    needs_readers = any(kind.reads for kind in kinds.values())
    faults = []
    if not writer_cells and needs_writers:
        faults.append("no engine that serves can write; list at least one")
    if not reader_cells and not writers_can_read and needs_writers:
        faults.append("no engine that serves can read, and writers cannot; list at least one")
    elif not reader_cells and needs_readers:
        faults.append("no engine that serves can read; list at least one reader")
    faults += [
        f"cell {cell} has readers and no writer; list one, or move the readers"
        for cell in sorted(reader_cells - writer_cells)
    ]
    return faults
