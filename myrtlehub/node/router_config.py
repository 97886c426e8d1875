"""A node's settings as the configuration of its routers."""

from collections.abc import Callable
from typing import NamedTuple

from myrtlehub.config.engines import EngineKindConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.config.traffic import Front, TrafficTypeConfig
from myrtlehub.routing import contract


class FrontStages(NamedTuple):
    """The kinds of engines that read for a front, and those that write."""

    reads: Callable[[EngineKindConfig], bool]
    writes: Callable[[EngineKindConfig], bool]


# The single stage of embeddings and rerank counts as the write.
STAGES_BY_FRONT: dict[Front, FrontStages] = {
    "chat": FrontStages(lambda kind: kind.reads, lambda kind: kind.writes),
    "embed": FrontStages(lambda kind: False, lambda kind: kind.embeds),
    "rank": FrontStages(lambda kind: False, lambda kind: kind.ranks),
}


def fronts_of(sheet: NodeConfig) -> list[Front]:
    """List the fronts that have a traffic type, chat first."""
    used = {row.front for row in sheet.traffic}
    return [front for front in STAGES_BY_FRONT if front in used]


def traffic_type_of(row: TrafficTypeConfig) -> contract.TrafficType:
    """Return a row of the settings as the router's traffic type."""
    return contract.TrafficType(
        retry_semantics=contract.RetrySemantics(row.repeats),
        # The results of a single stage arrive all at once, so only the abandon time matters.
        latency_slo=row.latency_slo if row.front == "chat" else row.abandon_time,
        slo_per_token=row.slo_per_1000_tokens / 1000.0,
        abandon_time=row.abandon_time,
        seconds_per_token=row.pace,
        utility=row.utility,
        late_share=row.late_share,
        dedup_group=contract.DedupGroup(row.dedup_group),
        dedup_window=row.dedup_window,
    )


def router_config_of(sheet: NodeConfig, front: Front = "chat") -> contract.RouterConfig:
    """Return the configuration of the router for one front, taken from the settings alone."""
    stages = STAGES_BY_FRONT[front]
    is_chat = front == "chat"
    node, rules, may = sheet.node, sheet.rules, sheet.engines_may
    return contract.RouterConfig(
        seed=node.seed,
        node=node.index,
        node_count=node.nodes,
        zone=sheet.zones.index(node.zone),
        traffic=tuple(traffic_type_of(row) for row in sheet.traffic),
        reads=tuple(stages.reads(kind) for kind in sheet.kinds),
        writes=tuple(stages.writes(kind) for kind in sheet.kinds),
        memory=tuple(kind.memory for kind in sheet.kinds),
        quotas=tuple(tenant.quota * is_chat for tenant in sheet.tenants),
        writers_can_read=may.read_alone or not is_chat,
        may_reserve=may.hold,
        may_cancel=may.cancel,
        may_migrate=may.resume,
        may_probe=may.probe,
        may_gossip=node.tell_nodes,
        may_hedge=False,
        max_attempts=node.most_attempts,
        state_timeout=rules.let_go,
        drain_grace=rules.drain_grace,
        cold_share=rules.cold_share,
        cold_time=rules.cold_time,
        overload_multiple=rules.fall_multiple,
        overload_window=rules.fall_time,
        answer_slack=rules.answer_slack,
        tick=node.tick,
        max_retry_after=node.max_wait,
        over_quota_utility=node.over_share_utility,
        polls_endpoints=False,
        load_by_probe_only=sheet.reports.how == "probe",
        probe_price=sheet.reports.probe_price,
    )
