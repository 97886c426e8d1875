"""Conversion of the operators' platform settings and load reports to the types of `routing.contract`.

The simulator adapter and the relay share these functions. The names of keys are those of the platform.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, TypedDict

from myrtlehub.routing.contract import LoadReport, RetrySemantics, RouterConfig, TrafficType

Settings = Mapping[str, Any]  # a JSON object; values have any JSON type

MS_PER_SECOND = 1e3
US_PER_1000_SECONDS = 1e9  # divisor from microseconds per 1000 tokens to seconds per token
RETRY_SEMANTICS = {
    "idempotent": RetrySemantics.IDEMPOTENT,
    "deduplicated": RetrySemantics.IDEMPOTENCY_KEY,
    "at_most_once": RetrySemantics.AT_MOST_ONCE,
}
READER_DUTIES = ("read", "both")
WRITER_DUTIES = ("write", "both")


class LoadValue(NamedTuple):
    """The `LoadReport` field for a reported value, and the factor that converts the value to its unit."""

    field: str
    factor: float


# The platform may send SIGKILL as early as the longest deadline of the deployment, capped at
# MAX_COUNTED_DEADLINE_S, plus KILL_MARGIN_S after SIGTERM. A request that arrives later than KILL_MARGIN_S
# after SIGTERM must be answered completely by then.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7

LOAD_VALUES = {  # by name on the wire
    "x0": LoadValue("memory_share", 1.0),
    "x1": LoadValue("unread", 1000.0),  # thousands of tokens
    "cpu": LoadValue("slot_share", 1.0),
    "waiting": LoadValue("waiting", 1.0),
    "avg_ms": LoadValue("latency", 0.001),
    "active": LoadValue("active", 1.0),
}


def router_config_from_settings(settings: Settings, seed: int) -> RouterConfig:
    """Convert the settings that a node receives on startup to the configuration of its router.

    Unknown keys are ignored. An absent key stands for the platform's default.
    """
    rules = settings.get("Invariants", {})
    specifics = settings.get("Specifics", {})
    return RouterConfig(
        seed=seed,
        node=settings.get("Ordinal", 0),
        node_count=settings.get("Balancers", 1),
        zone=_zone_index(settings),
        traffic=_traffic_types(settings, specifics),
        quotas=tuple(tenant.get("QuotaPerS", 0.0) for tenant in settings.get("Orgs") or []),
        writers_can_read=specifics.get("SelfPrefill", False),
        state_timeout=_seconds(specifics, "LetGoByMs"),
        drain_grace=_seconds(rules, "DrainGraceMs"),
        cold_share=rules.get("ColdShare", 0.0),
        cold_time=_seconds(rules, "ColdMs"),
        overload_multiple=rules.get("FallMultiple", 0.0),
        overload_window=_seconds(rules, "FallMs"),
        answer_slack=_seconds(rules, "AnswerSlackMs"),
        tick=_seconds(settings, "PeriodMs"),
        over_quota_utility=settings.get("OverShareWorth", 1.0),
        polls_endpoints=settings.get("Discovery") == "ask",
        load_by_probe_only=settings.get("Report", {}).get("How") == "on_probe",
        probe_price=settings.get("Prices", {}).get("Probe", 0.0),
        **_engine_kinds(settings, specifics),
        **_capabilities(settings.get("Caps", {}), specifics),
    )


def earliest_kill_delay(settings: Settings) -> float:
    """Return the seconds from SIGTERM to the earliest SIGKILL of a node with these settings."""
    deadlines = [_seconds(traffic, "GiveUpMs") for traffic in settings.get("Classes") or []]
    return min(MAX_COUNTED_DEADLINE_S, max(deadlines, default=MAX_COUNTED_DEADLINE_S)) + KILL_MARGIN_S


class _EngineKinds(TypedDict):
    """The fields of `RouterConfig` that have one value per kind of engine."""

    reads: tuple[bool, ...]
    writes: tuple[bool, ...]
    memory: tuple[float, ...]  # tokens


def _engine_kinds(settings: Settings, specifics: Settings) -> _EngineKinds:
    kind_count = len(settings.get("MachineTypes") or [""])
    duties = specifics.get("DutyByKind") or ["both"] * kind_count
    return _EngineKinds(
        reads=tuple(duty in READER_DUTIES for duty in duties),
        writes=tuple(duty in WRITER_DUTIES for duty in duties),
        memory=tuple(specifics.get("KvTokens") or [0.0] * kind_count),
    )


class _Capabilities(TypedDict):
    """The fields of `RouterConfig` for the operations that the platform permits, and for their limits."""

    may_reserve: bool
    may_cancel: bool
    may_migrate: bool
    may_probe: bool
    may_gossip: bool
    may_hedge: bool
    max_attempts: int
    max_retry_after: float  # seconds
    connect_timeout: float  # seconds


def _capabilities(capabilities: Settings, specifics: Settings) -> _Capabilities:
    sends_retry_after = capabilities.get("RetryAfter")
    return _Capabilities(
        may_reserve=specifics.get("HoldsAllowed", False),
        may_cancel=capabilities.get("Cancel", False),
        may_migrate=specifics.get("Resume", False),
        may_probe=capabilities.get("Probing", False),
        may_gossip=capabilities.get("Peers", False),
        may_hedge=capabilities.get("SecondCopies", False),
        max_attempts=capabilities.get("MostTries", 1),
        max_retry_after=_seconds(capabilities, "MaxRetryAfterMs") if sends_retry_after else 0.0,
        connect_timeout=_seconds(capabilities, "ConnectTimeoutMs"),
    )


def _seconds(settings: Settings, key: str) -> float:
    """Return a duration that the settings give in milliseconds, in seconds; 0.0 if it is absent."""
    milliseconds: float = settings.get(key, 0.0)
    return milliseconds / MS_PER_SECOND


def _traffic_types(settings: Settings, specifics: Settings) -> tuple[TrafficType, ...]:
    classes = settings["Classes"]
    slo_per_1000_tokens = specifics.get("AimUsPer1000PromptTokens") or [0.0] * len(classes)
    token_intervals = specifics.get("TokenAimMs") or [0.0] * len(classes)
    return tuple(
        TrafficType(
            retry_semantics=RETRY_SEMANTICS[traffic.get("Effect", "at_most_once")],
            latency_slo=traffic["AimMs"] / MS_PER_SECOND,
            slo_per_token=slo_per_1000_tokens[index] / US_PER_1000_SECONDS,
            abandon_time=traffic["GiveUpMs"] / MS_PER_SECOND,
            seconds_per_token=token_intervals[index] / MS_PER_SECOND,
            utility=traffic.get("Credit", 1.0),
            late_share=traffic.get("LateWorth", 0.0),
            dedup_group=traffic.get("DedupScope", "all"),
            dedup_window=_seconds(traffic, "WindowMs"),
        )
        for index, traffic in enumerate(classes)
    )


def _zone_index(settings: Settings) -> int:
    """Return the index of the node's zone, or 0 if it is not among the listed zones."""
    zones: list[str] = settings.get("Zones") or [""]
    own_zone = settings.get("MyZone", "")
    return zones.index(own_zone) if own_zone in zones else 0


def load_report_from_platform(report: Mapping[str, float] | None) -> LoadReport | None:
    """Convert a load report of the platform to a `LoadReport`; return None if there is none.

    Values with unknown names are ignored.
    """
    if not report:
        return None
    values = {}
    for name, value in report.items():
        if name in LOAD_VALUES:
            field, factor = LOAD_VALUES[name]
            values[field] = value * factor
    return LoadReport(**values)
