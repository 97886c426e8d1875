"""A node's settings as the configuration of its router."""

from myrtlehub.config.sheets import NodeSheet
from myrtlehub.routing import contract

# By front: which kinds read for it, which write. What has a single stage is written, with nothing to read.
STAGES = {
    "chat": (lambda kind: kind.reads, lambda kind: kind.writes),
    "embed": (lambda kind: False, lambda kind: kind.embeds),
    "rank": (lambda kind: False, lambda kind: kind.ranks),
}


def fronts_of(sheet: NodeSheet) -> list[str]:
    """Fronts that have a traffic type, chat first."""
    used = {t.front for t in sheet.traffic}
    return [f for f in STAGES if f in used]


def router_config_of(sheet: NodeSheet, front: str = "chat") -> contract.RouterConfig:
    """The router's configuration for one front; everything it reads comes from the file."""
    reads, writes = STAGES[front]
    node, rules, may = sheet.node, sheet.rules, sheet.engines_may
    # What is done in one stage is there whole or not at all: its abandon time is what has to be met.
    traffic = tuple(
        contract.TrafficType(
            contract.RetrySemantics(t.repeats),
            t.latency_slo if t.front == "chat" else t.abandon_time,
            t.slo_per_1000_tokens / 1000.0,
            t.abandon_time,
            t.pace,
            t.utility,
            t.late_share,
            contract.DedupGroup(t.dedup_group),
            t.dedup_window,
        )
        for t in sheet.traffic
    )
    return contract.RouterConfig(
        seed=node.seed,
        node=node.index,
        node_count=node.nodes,
        zone=sheet.zones.index(node.zone),
        traffic=traffic,
        reads=tuple(reads(k) for k in sheet.kinds),
        writes=tuple(writes(k) for k in sheet.kinds),
        memory=tuple(k.memory for k in sheet.kinds),
        quotas=tuple(t.quota * (front == "chat") for t in sheet.tenants),
        writers_can_read=may.read_alone or front != "chat",
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
