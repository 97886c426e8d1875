"""Settings and load reports of the operators' platform as the types of `routing.contract`.

The simulator adapter and the relay share it. It decides nothing.
"""

from collections.abc import Mapping
from typing import Any

from myrtlehub.routing.contract import LoadReport, RetrySemantics, RouterConfig, TrafficType

Settings = Mapping[str, Any]  # as decoded from JSON

RETRY_SEMANTICS = {
    "idempotent": RetrySemantics.IDEMPOTENT,
    "deduplicated": RetrySemantics.IDEMPOTENCY_KEY,
    "at_most_once": RetrySemantics.AT_MOST_ONCE,
}
LOAD_UNITS = {  # wire name: field, factor
    "x0": ("memory_share", 1.0),
    "x1": ("unread", 1000.0),
    "cpu": ("slot_share", 1.0),
    "waiting": ("waiting", 1.0),
    "avg_ms": ("latency", 0.001),
    "active": ("active", 1.0),
}
READING_DUTIES = ("read", "both")
WRITING_DUTIES = ("write", "both")


def router_config_from_settings(settings: Settings, seed: int) -> RouterConfig:
    """Read the settings of a node's start; unknown keys are ignored."""
    capabilities = settings.get("Caps", {})
    rules = settings.get("Invariants", {})
    specifics = settings.get("Specifics", {})
    traffic = _traffic_types(settings, specifics)
    kinds = settings.get("MachineTypes") or [""]
    duties = specifics.get("DutyByKind") or ["both"] * len(kinds)
    return RouterConfig(
        seed=seed,
        node=settings.get("Ordinal", 0),
        node_count=settings.get("Balancers", 1),
        zone=_zone_index(settings),
        traffic=traffic,
        reads=tuple(duty in READING_DUTIES for duty in duties),
        writes=tuple(duty in WRITING_DUTIES for duty in duties),
        memory=tuple(specifics.get("KvTokens") or [0.0] * len(kinds)),
        quotas=tuple(tenant.get("QuotaPerS", 0.0) for tenant in settings.get("Orgs") or []),
        writers_can_read=specifics.get("SelfPrefill", False),
        may_reserve=specifics.get("HoldsAllowed", False),
        may_cancel=capabilities.get("Cancel", False),
        may_migrate=specifics.get("Resume", False),
        may_probe=capabilities.get("Probing", False),
        may_gossip=capabilities.get("Peers", False),
        may_hedge=capabilities.get("SecondCopies", False),
        max_attempts=capabilities.get("MostTries", 1),
        state_timeout=specifics.get("LetGoByMs", 0.0) / 1e3,
        drain_grace=rules.get("DrainGraceMs", 0.0) / 1e3,
        cold_share=rules.get("ColdShare", 0.0),
        cold_time=rules.get("ColdMs", 0.0) / 1e3,
        overload_multiple=rules.get("FallMultiple", 0.0),
        overload_window=rules.get("FallMs", 0.0) / 1e3,
        answer_slack=rules.get("AnswerSlackMs", 0.0) / 1e3,
        tick=settings.get("PeriodMs", 0.0) / 1e3,
        max_retry_after=_max_retry_after(capabilities),
        over_quota_utility=settings.get("OverShareWorth", 1.0),
        polls_endpoints=settings.get("Discovery") == "ask",
        load_by_probe_only=settings.get("Report", {}).get("How") == "on_probe",
        connect_timeout=capabilities.get("ConnectTimeoutMs", 0.0) / 1e3,
        probe_price=settings.get("Prices", {}).get("Probe", 0.0),
    )


def _traffic_types(settings: Settings, specifics: Settings) -> tuple[TrafficType, ...]:
    classes = settings["Classes"]
    prompt_time = specifics.get("AimUsPer1000PromptTokens") or [0.0] * len(classes)
    token_time = specifics.get("TokenAimMs") or [0.0] * len(classes)
    return tuple(
        TrafficType(
            retry_semantics=RETRY_SEMANTICS[traffic.get("Effect", "at_most_once")],
            latency_slo=traffic["AimMs"] / 1e3,
            slo_per_token=prompt_time[index] / 1e9,
            abandon_time=traffic["GiveUpMs"] / 1e3,
            seconds_per_token=token_time[index] / 1e3,
            utility=traffic.get("Credit", 1.0),
            late_share=traffic.get("LateWorth", 0.0),
            dedup_group=traffic.get("DedupScope", "all"),
            dedup_window=traffic.get("WindowMs", 0.0) / 1e3,
        )
        for index, traffic in enumerate(classes)
    )


def _zone_index(settings: Settings) -> int:
    zones = settings.get("Zones") or [""]
    own_zone = settings.get("MyZone", "")
    return zones.index(own_zone) if own_zone in zones else 0


def _max_retry_after(capabilities: Settings) -> float:
    """Return 0 where clients are given no wait."""
    return capabilities.get("MaxRetryAfterMs", 0.0) / 1e3 if capabilities.get("RetryAfter") else 0.0


def load_report_from_platform(report: Mapping[str, float] | None) -> LoadReport | None:
    """Read a load report, or return None where there is none; unknown figures are ignored."""
    if not report:
        return None
    figures = {}
    for name, value in report.items():
        if name in LOAD_UNITS:
            field, factor = LOAD_UNITS[name]
            figures[field] = value * factor
    return LoadReport(**figures)
