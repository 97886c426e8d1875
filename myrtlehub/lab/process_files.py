"""The settings files of a scenario's nodes and emulated engines."""

from pathlib import Path
from typing import Any, TypeAlias

from ruamel.yaml import YAML

from myrtlehub.config.traffic import RulesConfig
from myrtlehub.lab.endpoint_publisher import EndpointPublisher
from myrtlehub.lab.fleet_layout import ZONE, FleetLayout, kind_of
from myrtlehub.lab.scenario_file import ENGINE_KINDS, MachineConfig, Scenario

NODE_PROGRAM = "myrtlehub.cli.node"
EXPONENTS_FROM = 1e6  # tokens; from here on :g would write an exponent
SCENARIO_FIELDS = {"share", "prompt", "output", "prefixes", "shared", "turns"}  # of traffic; nodes have none
TRAFFIC_DURATIONS = ("latency_slo", "slo_per_1000_tokens", "abandon_time", "pace", "dedup_window")
RULE_DURATIONS = ("answer_slack", "drain_grace", "let_go", "cold_time", "fall_time")
MACHINE_DURATIONS = ("step", "begin", "batch_base")
MACHINE_TOKENS = ("memory", "kept")

SettingsTree: TypeAlias = dict[str, Any]  # a settings file, or a group of it, before it is written as YAML


def with_units(
    group: MachineConfig | RulesConfig, durations: tuple[str, ...], tokens: tuple[str, ...] = ()
) -> SettingsTree:
    """Return the fields of a group with the units that settings files require."""
    fields = group.model_dump()
    for name in durations:
        fields[name] = f"{fields[name]:.9f}s"
    for name in tokens:
        value = fields[name]
        fields[name] = f"{value:g} tokens" if value < EXPONENTS_FROM else f"{value:.0f} tokens"
    return fields


class ProcessFiles:
    """Makes the settings of each process, and writes them to files."""

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        layout: FleetLayout,
        publisher: EndpointPublisher,
        seed: int,
    ) -> None:
        self.traffic = [traffic.model_dump(exclude=SCENARIO_FIELDS) for traffic in scenario.traffic]
        self._scenario = scenario
        self._folder = folder
        self._layout = layout
        self._publisher = publisher
        self._seed = seed

    def write(self, name: str, tree: SettingsTree) -> Path:
        """Write a file; return its path."""
        path = self._folder / f"{name}.yaml"
        with path.open("w") as file:
            YAML(typ="safe").dump(tree, file)
        return path

    def engine_file(self, name: str, incarnation: int, is_cold: bool) -> SettingsTree:
        """Return the settings of an emulated engine."""
        kind = kind_of(name)
        rules = self._scenario.rules
        return {
            "name": name,
            "listen": self._layout.addresses[name],
            **ENGINE_KINDS[kind],
            "model": self._publisher.models[name],
            "cold": is_cold,
            "cold_share": rules.cold_share,
            "cold_time": f"{rules.cold_time}s",
            "fall_multiple": rules.fall_multiple,
            "fall_time": f"{rules.fall_time}s",
            "seed": self._seed * 1000 + self._layout.engines.index(name),
            "records": str(self._folder / f"{name}.{incarnation}.rec"),
            **with_units(self._scenario.machine(kind), MACHINE_DURATIONS, MACHINE_TOKENS),
        }

    def node_file(self, name: str) -> SettingsTree:
        """Return the settings of a node."""
        index = int(name.split("-")[1]) - 1
        return {
            "node": {
                "name": name,
                "listen": self._layout.addresses[name],
                "admin": self._layout.admin_addresses[name],
                "index": index,
                "nodes": self._scenario.fleet.nodes,
                "zone": ZONE,
                "seed": self._seed * 100 + index,
            },
            "traffic": [_traffic_row(traffic) for traffic in self.traffic],
            "zones": [ZONE],
            "tenants": [tenant.model_dump() for tenant in self._scenario.tenants],
            "kinds": self._engine_kinds(),
            "rules": with_units(self._scenario.rules, RULE_DURATIONS),
            "list": self._list_group(name),
        }

    def _engine_kinds(self) -> list[SettingsTree]:
        present = {kind_of(engine) for engine in self._layout.engines}
        return [
            {"name": kind, **does, "memory": f"{self._scenario.machine(kind).memory:.0f} tokens"}
            for kind, does in ENGINE_KINDS.items()
            if kind in present
        ]

    def _list_group(self, node: str) -> SettingsTree:
        files = self._scenario.list_files
        if files is None:
            return {"pushed": True, "engines": self._publisher.rows()}
        return {
            "files": [f"list-{node}"],
            "quiet": f"{files.quiet}s",
            "poll": f"{files.poll}s",
            "confirm": {"most_removed": files.most_removed, "after": "1s"},
            "damp": {"flaps": "off"},
            "end_marked": True,
            **({"store": f"{node}.db"} if files.store else {}),
        }


def _traffic_row(traffic: SettingsTree) -> SettingsTree:
    durations = {name: f"{traffic[name]:.9f}s" for name in TRAFFIC_DURATIONS}
    return {**traffic, **durations}
