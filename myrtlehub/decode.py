"""The platform's word as the module's types: settings as `Terms`, load reports as `Load`. Decides nothing.

The simulator's adapter and the node that runs as `relay` both read by it.
"""

from myrtlehub import interface as itf

REPEATS = {"idempotent": itf.REPEATABLE, "deduplicated": itf.TOKENED, "at_most_once": itf.ONCE_ONLY}
LOAD_UNITS = {  # wire name: field, factor
    "x0": ("memory_share", 1.0),
    "x1": ("unread", 1000.0),
    "cpu": ("slot_share", 1.0),
    "waiting": ("waiting", 1.0),
    "avg_ms": ("latency", 0.001),
    "active": ("active", 1.0),
}


def decode_terms(s: dict, seed: int) -> itf.Terms:
    """Read the settings of a node's start; unknown keys are ignored."""
    caps, rules, special = s.get("Caps", {}), s.get("Invariants", {}), s.get("Specifics", {})
    classes, kinds, zones = s["Classes"], s.get("MachineTypes") or [""], s.get("Zones") or [""]
    duties = special.get("DutyByKind") or ["both"] * len(kinds)
    extra = special.get("AimUsPer1000PromptTokens") or [0.0] * len(classes)
    paces = special.get("TokenAimMs") or [0.0] * len(classes)
    traffic = tuple(
        itf.TrafficType(
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
    return itf.Terms(
        seed=seed,
        node=s.get("Ordinal", 0),
        nodes=s.get("Balancers", 1),
        zone=zones.index(mine) if mine in zones else 0,
        traffic=traffic,
        reads=tuple(d in ("read", "both") for d in duties),
        writes=tuple(d in ("write", "both") for d in duties),
        memory=tuple(special.get("KvTokens") or [0.0] * len(kinds)),
        quotas=tuple(t.get("QuotaPerS", 0.0) for t in s.get("Orgs") or []),
        self_read=special.get("SelfPrefill", False),
        may_hold=special.get("HoldsAllowed", False),
        may_cancel=caps.get("Cancel", False),
        may_resume=special.get("Resume", False),
        may_probe=caps.get("Probing", False),
        may_tell=caps.get("Peers", False),
        second_copies=caps.get("SecondCopies", False),
        most_attempts=caps.get("MostTries", 1),
        let_go=special.get("LetGoByMs", 0.0) / 1e3,
        drain_grace=rules.get("DrainGraceMs", 0.0) / 1e3,
        cold_share=rules.get("ColdShare", 0.0),
        cold_time=rules.get("ColdMs", 0.0) / 1e3,
        fall_multiple=rules.get("FallMultiple", 0.0),
        fall_time=rules.get("FallMs", 0.0) / 1e3,
        answer_slack=rules.get("AnswerSlackMs", 0.0) / 1e3,
        tick=s.get("PeriodMs", 0.0) / 1e3,
        max_wait=caps.get("MaxRetryAfterMs", 0.0) / 1e3 if caps.get("RetryAfter") else 0.0,
        over_share_utility=s.get("OverShareWorth", 1.0),
        ask_for_list=s.get("Discovery") == "ask",
        report_on_probe=s.get("Report", {}).get("How") == "on_probe",
        connect_time=caps.get("ConnectTimeoutMs", 0.0) / 1e3,
        probe_price=s.get("Prices", {}).get("Probe", 0.0),
    )


def decode_load(report: dict | None) -> itf.Load | None:
    """Turn a load report into our figures, or None where there is none."""
    if not report:
        return None
    known = {LOAD_UNITS[k][0]: v * LOAD_UNITS[k][1] for k, v in report.items() if k in LOAD_UNITS}
    return itf.Load(**known)
