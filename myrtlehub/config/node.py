"""The file of a node, and the checks of its sections against each other."""

from typing import Annotated, Self

from pydantic import Field, model_validator

from myrtlehub.config.batches import BatchConfig
from myrtlehub.config.endpoints import EndpointConfig, EndpointListConfig
from myrtlehub.config.engines import EngineCapabilities, EngineKindConfig, LoadReportConfig
from myrtlehub.config.field_types import Address, Count, CountOrZero, Name, Share, find_duplicates
from myrtlehub.config.limits import LimitsConfig
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.takeover import TakeoverConfig
from myrtlehub.config.traffic import RulesConfig, TenantConfig, TrafficTypeConfig
from myrtlehub.config.units import Duration, Size


class NodeProcessConfig(ConfigModel):
    """The node itself: its identity, addresses and limits."""

    name: Name
    listen: Address  # for clients
    admin: Address | None = None  # for operators' programs
    index: CountOrZero = 0  # index of this node among all `nodes`, which share the quotas of tenants
    nodes: Count = 1
    zone: Name
    seed: int = 0  # of the random generator; has to differ between the nodes
    drain_within: Duration = 10.0  # longest duration of a graceful shutdown
    most_attempts: Count = 5  # per sequence
    max_wait: Duration = 2.0  # longest Retry-After; 0: none is sent
    over_share_utility: Share = 0.1  # utility of sequences that a tenant sends beyond its quota
    tick: Duration = 0.004  # expected lateness of timers; final answers are sent earlier by a multiple of it
    tell_nodes: bool = False  # nodes notify each other of their sends; not implemented
    connect_timeout: Duration = 0.25  # an engine that is not connected after this time counts as unreachable
    most_sequences: Count = 20000  # limit on sequences in flight; further ones are rejected before routing
    prompt_limit: Size = 8 * 2**20  # largest size of one request


class NodeConfig(ConfigModel):
    """The file of a node."""

    node: NodeProcessConfig
    traffic: Annotated[list[TrafficTypeConfig], Field(min_length=1)]
    kinds: Annotated[list[EngineKindConfig], Field(min_length=1)]
    zones: Annotated[list[Name], Field(min_length=1)]
    tenants: list[TenantConfig] = Field(default=[])
    rules: RulesConfig
    engines_may: EngineCapabilities = EngineCapabilities()
    reports: LoadReportConfig = LoadReportConfig()
    batches: BatchConfig = BatchConfig()
    limits: LimitsConfig = LimitsConfig()
    takeover: TakeoverConfig | None = None
    list: EndpointListConfig

    @model_validator(mode="after")
    def _check(self) -> Self:
        self._check_place_in_fleet()
        self._check_names()
        self._check_fronts()
        check_endpoints(self, self.list.engines)
        if self.takeover is not None:
            self.takeover.check_peers(self.node.name)
        if self.list.files and (self.list.engines or self.list.pushed):
            raise ValueError("list.files: the list comes from files alone; drop list.engines and list.pushed")
        self._check_load_reports()
        self._check_capabilities()
        return self

    def _check_place_in_fleet(self) -> None:
        if self.node.zone not in self.zones:
            raise ValueError(f"node.zone {self.node.zone!r} is not among zones: {', '.join(self.zones)}")
        if self.node.index >= self.node.nodes:
            raise ValueError(f"node.index {self.node.index} needs node.nodes above it, not {self.node.nodes}")

    def _check_names(self) -> None:
        for section, names in (
            ("traffic", [traffic.name for traffic in self.traffic]),
            ("kinds", [kind.name for kind in self.kinds]),
            ("zones", self.zones),
            ("tenants", [tenant.name for tenant in self.tenants]),
            ("list.engines", [endpoint.address for endpoint in self.list.engines]),
        ):
            duplicates = find_duplicates(names)
            if duplicates:
                raise ValueError(f"{section}: {', '.join(duplicates)} named more than once")

    def _check_fronts(self) -> None:
        for traffic in self.traffic:
            if not any(kind.serves(traffic.front) for kind in self.kinds):
                raise ValueError(
                    f"traffic {traffic.name}: no kind has work of the front {traffic.front!r}; add one"
                )

    def _check_load_reports(self) -> None:
        """Reject a file that mixes the settings of the two sources of load reports, answers and probes.

        An operator who changes from one to the other may forget a setting; the node would then work without
        load reports, or ignore the setting.
        """
        by_probe = self.reports.how == "probe"
        if by_probe and not self.engines_may.probe:
            raise ValueError("reports.how: probe needs engines_may.probe: yes, or load would never be known")
        if self.engines_may.probe and not by_probe:
            raise ValueError(
                "engines_may.probe: load comes with answers here, so nothing is probed; say no, "
                "or reports.how: probe"
            )
        fields = [name for name in ("probe_price", "probe_timeout") if name in self.reports.model_fields_set]
        if fields and not by_probe:
            raise ValueError(f"reports.{fields[0]}: nothing is probed where reports.how is answers; drop it")
        if by_probe and any(traffic.front != "chat" for traffic in self.traffic):
            raise ValueError(
                "reports.how: batches need load with their answers; drop traffic types to embed "
                "or rank, or say answers"
            )

    def _check_capabilities(self) -> None:
        for capability in ("hold", "resume"):
            if getattr(self.engines_may, capability):
                raise ValueError(f"engines_may.{capability}: engines of myrtlehub.v1 cannot do this; say no")
        if self.node.tell_nodes:
            raise ValueError("node.tell_nodes: nodes have no way to talk to each other yet; say no")


def check_endpoints(config: NodeConfig, endpoints: list[EndpointConfig]) -> None:
    """Check that the kind and zone of each endpoint are in the node's file.

    Raises:
        ValueError: one is not; pydantic reports it as a fault of the settings file.
    """
    kinds = {kind.name for kind in config.kinds}
    for endpoint in endpoints:
        if endpoint.kind not in kinds:
            raise ValueError(
                f"engine {endpoint.address}: kind {endpoint.kind!r} is not among kinds: "
                f"{', '.join(sorted(kinds))}"
            )
        if endpoint.zone not in config.zones:
            raise ValueError(
                f"engine {endpoint.address}: zone {endpoint.zone!r} is not among zones: "
                f"{', '.join(config.zones)}"
            )
