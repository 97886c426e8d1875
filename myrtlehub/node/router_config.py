"""Derives the configuration of routers from the settings of a node."""

from collections.abc import Callable
from typing import NamedTuple

from myrtlehub.config.engines import EngineKindConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.config.traffic import Front, TrafficTypeConfig
from myrtlehub.routing import contract


class FrontStages(NamedTuple):
    """Which kinds of engines read and which write the sequences of a front."""

    reads: Callable[[EngineKindConfig], bool]
    writes: Callable[[EngineKindConfig], bool]


# Embeddings and reranking have a single stage, which counts as the write.
STAGES_BY_FRONT: dict[Front, FrontStages] = {
    "chat": FrontStages(lambda kind: kind.reads, lambda kind: kind.writes),
    "embed": FrontStages(lambda kind: False, lambda kind: kind.embeds),
    "rank": FrontStages(lambda kind: False, lambda kind: kind.ranks),
}


def fronts_of(settings: NodeConfig) -> list[Front]:
    """Return the fronts that have a traffic type, chat first."""
    used_fronts = {traffic_type.front for traffic_type in settings.traffic}
    return [front for front in STAGES_BY_FRONT if front in used_fronts]


def traffic_type_of(settings: TrafficTypeConfig) -> contract.TrafficType:
    """Return the router's configuration of a traffic type."""
    return contract.TrafficType(
        retry_semantics=contract.RetrySemantics(settings.repeats),
        # The results of embeddings and reranking arrive all at once, so only the abandon time matters.
        latency_slo=settings.latency_slo if settings.front == "chat" else settings.abandon_time,
        slo_per_token=settings.slo_per_1000_tokens / 1000.0,
        abandon_time=settings.abandon_time,
        seconds_per_token=settings.pace,
        utility=settings.utility,
        late_share=settings.late_share,
        dedup_group=contract.DedupGroup(settings.dedup_group),
        dedup_window=settings.dedup_window,
    )


def router_config_of(settings: NodeConfig, front: Front = "chat") -> contract.RouterConfig:
    """Return the configuration of the router for one front."""
    stages = STAGES_BY_FRONT[front]
    is_chat = front == "chat"
    node, rules, engines_may = settings.node, settings.rules, settings.engines_may
    return contract.RouterConfig(
        seed=node.seed,
        node=node.index,
        node_count=node.nodes,
        zone=settings.zones.index(node.zone),
        traffic=tuple(traffic_type_of(traffic_type) for traffic_type in settings.traffic),
        reads=tuple(stages.reads(kind) for kind in settings.kinds),
        writes=tuple(stages.writes(kind) for kind in settings.kinds),
        memory=tuple(kind.memory for kind in settings.kinds),
        quotas=tuple(tenant.quota * is_chat for tenant in settings.tenants),
        writers_can_read=engines_may.read_alone or not is_chat,
        may_reserve=engines_may.hold,
        may_cancel=engines_may.cancel,
        may_migrate=engines_may.resume,
        may_probe=engines_may.probe,
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
        load_by_probe_only=settings.reports.how == "probe",
        probe_price=settings.reports.probe_price,
    )
