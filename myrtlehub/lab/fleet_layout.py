"""Names, addresses and cells of a scenario's processes."""

from dataclasses import dataclass

from myrtlehub.lab.processes import HOST, free_ports
from myrtlehub.lab.scenario_file import ENGINE_KINDS, Scenario

NODE_PREFIX = "node"
ZONE = "north"  # of all processes


def kind_of(name: str) -> str:
    """Return the kind of a process by its name, for example `reader` for `reader-1`."""
    return name.split("-")[0]


@dataclass(frozen=True, slots=True)
class FleetLayout:
    """Addresses and cells of all processes, by name."""

    addresses: dict[str, str]
    admin_addresses: dict[str, str]  # of nodes
    engines: list[str]
    cells: dict[str, int]  # of engines

    @property
    def nodes(self) -> list[str]:
        """The nodes, in the order of their names."""
        return sorted(self.admin_addresses)

    def is_node(self, name: str) -> bool:
        """Return whether a process is a node."""
        return name in self.admin_addresses

    def recorded_name(self, name: str) -> str:
        """Return the name of a process in records: the name of a node, the address of an engine."""
        return name if self.is_node(name) else self.addresses[name]


def make_layout(scenario: Scenario) -> FleetLayout:
    """Choose free ports for all processes, and assign the engines of each kind to the cells in turn."""
    names = scenario.names()
    ports = free_ports(2 * len(names))
    addresses = {name: f"{HOST}:{port}" for name, port in zip(names, ports, strict=False)}
    admin_ports = zip(names, ports[len(names) :], strict=True)
    admin = {name: f"{HOST}:{port}" for name, port in admin_ports if name.startswith(NODE_PREFIX)}
    cells = {}
    for kind in ENGINE_KINDS:
        for index, name in enumerate(name for name in names if name.startswith(kind)):
            cells[name] = index % scenario.fleet.cells
    return FleetLayout(addresses, admin, [name for name in names if name not in admin], cells)
