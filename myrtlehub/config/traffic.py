"""Traffic types, tenants and the rules for all of them."""

from typing import Literal, Self

from pydantic import model_validator

from myrtlehub.config.field_types import Name, NotNegative, Positive, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration

Front = Literal["chat", "embed", "rank"]


class TrafficTypeConfig(ConfigModel):
    """One traffic type."""

    name: Name
    front: Front = "chat"
    repeats: Literal["repeatable", "tokened", "once-only"]
    latency_slo: Duration
    slo_per_1000_tokens: Duration = 0.0
    abandon_time: Duration
    pace: Duration = 0.05
    utility: Positive = 1.0
    late_share: Share = 0.3
    dedup_group: Literal["all", "zone", "cell"] = "all"
    dedup_window: Duration = 0.0

    @model_validator(mode="after")
    def _check_times(self) -> Self:
        if self.abandon_time <= self.latency_slo:
            raise ValueError("abandon_time has to be longer than latency_slo")
        if self.repeats == "tokened" and not self.dedup_window:
            raise ValueError("a tokened traffic type needs dedup_window, as long as engines remember marks")
        return self


class TenantConfig(ConfigModel):
    """One tenant and its quota, in sequences a second over all nodes; 0: none."""

    name: Name
    quota: NotNegative = 0.0


class RulesConfig(ConfigModel):
    """Figures of the five rules."""

    answer_slack: Duration = 0.016
    drain_grace: Duration
    let_go: Duration
    cold_share: Share
    cold_time: Duration
    fall_multiple: Positive
    fall_time: Duration
