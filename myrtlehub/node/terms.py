"""What a node's file says, as the module's Terms."""

from myrtlehub import interface as itf
from myrtlehub.config.sheets import NodeSheet

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


def terms_of(sheet: NodeSheet, front: str = "chat") -> itf.Terms:
    """Terms of one front for `decide.Router`; everything it reads comes from the file."""
    reads, writes = STAGES[front]
    node, rules, may = sheet.node, sheet.rules, sheet.engines_may
    # What is done in one stage is there whole or not at all: its abandon time is what has to be met.
    traffic = tuple(
        itf.TrafficType(
            t.repeats,
            t.latency_slo if t.front == "chat" else t.abandon_time,
            t.slo_per_1000_tokens / 1000.0,
            t.abandon_time,
            t.pace,
            t.utility,
            t.late_share,
            t.dedup_group,
            t.dedup_window,
        )
        for t in sheet.traffic
    )
    return itf.Terms(
        seed=node.seed,
        node=node.index,
        nodes=node.nodes,
        zone=sheet.zones.index(node.zone),
        traffic=traffic,
        reads=tuple(reads(k) for k in sheet.kinds),
        writes=tuple(writes(k) for k in sheet.kinds),
        memory=tuple(k.memory for k in sheet.kinds),
        quotas=tuple(t.quota * (front == "chat") for t in sheet.tenants),
        self_read=may.read_alone or front != "chat",
        may_hold=may.hold,
        may_cancel=may.cancel,
        may_resume=may.resume,
        may_probe=may.probe,
        may_tell=node.tell_nodes,
        second_copies=False,
        most_attempts=node.most_attempts,
        let_go=rules.let_go,
        drain_grace=rules.drain_grace,
        cold_share=rules.cold_share,
        cold_time=rules.cold_time,
        fall_multiple=rules.fall_multiple,
        fall_time=rules.fall_time,
        answer_slack=rules.answer_slack,
        tick=node.tick,
        max_wait=node.max_wait,
        over_share_utility=node.over_share_utility,
        ask_for_list=False,
        report_on_probe=sheet.reports.how == "probe",
        probe_price=sheet.reports.probe_price,
    )
