"""Settings and load reports of the operators' platform as the types of `routing.contract`.

The simulator adapter and the relay share it. It decides nothing.
"""

from myrtlehub.routing import contract

REPEATS = {
    "idempotent": contract.RetrySemantics.IDEMPOTENT,
    "deduplicated": contract.RetrySemantics.IDEMPOTENCY_KEY,
    "at_most_once": contract.RetrySemantics.AT_MOST_ONCE,
}
LOAD_UNITS = {  # wire name: field, factor
    "x0": ("memory_share", 1.0),
    "x1": ("unread", 1000.0),
    "cpu": ("slot_share", 1.0),
    "waiting": ("waiting", 1.0),
    "avg_ms": ("latency", 0.001),
    "active": ("active", 1.0),
}


def router_config_from_settings(s: dict, seed: int) -> contract.RouterConfig:
    """Read the settings of a node's start; unknown keys are ignored."""
    caps, rules, special = s.get("Caps", {}), s.get("Invariants", {}), s.get("Specifics", {})
    classes, kinds, zones = s["Classes"], s.get("MachineTypes") or [""], s.get("Zones") or [""]
    duties = special.get("DutyByKind") or ["both"] * len(kinds)
    extra = special.get("AimUsPer1000PromptTokens") or [0.0] * len(classes)
    paces = special.get("TokenAimMs") or [0.0] * len(classes)
    traffic = tuple(
        contract.TrafficType(
            REPEATS[c.get("Effect", "at_most_once")],
            c["AimMs"] / 1e3,
            extra[i] / 1e9,
            c["GiveUpMs"] / 1e3,
            paces[i] / 1e3,
            c.get("Credit", 1.0),
            c.get("LateWorth", 0.0),
            c.get("DedupScope", "all"),
            c.get("WindowMs", 0.0) / 1e3,
        )
        for i, c in enumerate(classes)
    )
    mine = s.get("MyZone", "")
    return contract.RouterConfig(
        seed=seed,
        node=s.get("Ordinal", 0),
        node_count=s.get("Balancers", 1),
        zone=zones.index(mine) if mine in zones else 0,
        traffic=traffic,
        reads=tuple(d in ("read", "both") for d in duties),
        writes=tuple(d in ("write", "both") for d in duties),
        memory=tuple(special.get("KvTokens") or [0.0] * len(kinds)),
        quotas=tuple(t.get("QuotaPerS", 0.0) for t in s.get("Orgs") or []),
        writers_can_read=special.get("SelfPrefill", False),
        may_reserve=special.get("HoldsAllowed", False),
        may_cancel=caps.get("Cancel", False),
        may_migrate=special.get("Resume", False),
        may_probe=caps.get("Probing", False),
        may_gossip=caps.get("Peers", False),
        may_hedge=caps.get("SecondCopies", False),
        max_attempts=caps.get("MostTries", 1),
        state_timeout=special.get("LetGoByMs", 0.0) / 1e3,
        drain_grace=rules.get("DrainGraceMs", 0.0) / 1e3,
        cold_share=rules.get("ColdShare", 0.0),
        cold_time=rules.get("ColdMs", 0.0) / 1e3,
        overload_multiple=rules.get("FallMultiple", 0.0),
        overload_window=rules.get("FallMs", 0.0) / 1e3,
        answer_slack=rules.get("AnswerSlackMs", 0.0) / 1e3,
        tick=s.get("PeriodMs", 0.0) / 1e3,
        max_retry_after=caps.get("MaxRetryAfterMs", 0.0) / 1e3 if caps.get("RetryAfter") else 0.0,
        over_quota_utility=s.get("OverShareWorth", 1.0),
        polls_endpoints=s.get("Discovery") == "ask",
        load_by_probe_only=s.get("Report", {}).get("How") == "on_probe",
        connect_timeout=caps.get("ConnectTimeoutMs", 0.0) / 1e3,
        probe_price=s.get("Prices", {}).get("Probe", 0.0),
    )


def load_report_from_platform(report: dict | None) -> contract.LoadReport | None:
    """Turn a load report into our figures, or None where there is none."""
    if not report:
        return None
    known = {LOAD_UNITS[k][0]: v * LOAD_UNITS[k][1] for k, v in report.items() if k in LOAD_UNITS}
    return contract.LoadReport(**known)
