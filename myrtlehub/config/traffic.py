"""Traffic types, tenants, and the facts of the fleet that the five rules depend on."""

from typing import Literal, Self

from pydantic import model_validator

from myrtlehub.config.field_types import Name, NotNegative, Positive, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration

Front = Literal["chat", "embed", "rank"]


class TrafficTypeConfig(ConfigModel):
    """One traffic type: its latency objective, its utility and the effect of a second execution."""

    name: Name
    front: Front = "chat"
    repeats: Literal["repeatable", "tokened", "once-only"]
    latency_slo: Duration  # latency objective of the first token
    slo_per_1000_tokens: Duration = 0.0  # added to `latency_slo` per 1,000 prompt tokens
    abandon_time: Duration  # deadline of the first token
    pace: Duration = 0.05  # time per generated token that clients expect
    utility: Positive = 1.0  # priority weight
    late_share: Share = 0.3  # fraction of the utility of an answer after its latency objective
    dedup_group: Literal["all", "zone", "cell"] = "all"  # engines that share a memory of idempotency keys
    dedup_window: Duration = 0.0  # time for which engines remember a key

    @model_validator(mode="after")
    def _check_times(self) -> Self:
        if self.abandon_time <= self.latency_slo:
            raise ValueError("abandon_time has to be longer than latency_slo")
        if self.repeats == "tokened" and not self.dedup_window:
            raise ValueError("a tokened traffic type needs dedup_window, as long as engines remember marks")
        return self


class TenantConfig(ConfigModel):
    """One tenant and its quota, in sequences per second over all nodes; 0: no quota."""

    name: Name
    quota: NotNegative = 0.0


class RulesConfig(ConfigModel):
    """Facts of the fleet that the five rules depend on; they are not objectives."""

    answer_slack: Duration = 0.016  # time before the deadline at which a final answer is sent
    drain_grace: Duration  # time from the notification that an engine is draining to the last send to it
    let_go: Duration  # time to fetch or release a read state (KV cache of a prompt) with no attempt in flight
    cold_share: Share  # capacity of an engine right after its start, as a fraction of its warm capacity
    cold_time: Duration  # time from the start of an engine until it is warm
    fall_multiple: Positive  # ratio of received work to cold capacity above which a cold engine crashes
    fall_time: Duration  # window over which `fall_multiple` is measured
