"""The fronts of a node and the retry semantics of traffic types, as scenario files name them."""

from myrtlehub.lab.rule_checker.stored_records import RetrySemantics
from myrtlehub.lab.scenario_file import TrafficMix

CHAT_FRONT = "chat"
EMBED_FRONT = "embed"
RANK_FRONT = "rank"


def is_idempotent(traffic: TrafficMix) -> bool:
    """Return whether a client may repeat a request of this type that may have run."""
    return RetrySemantics(traffic.repeats) == RetrySemantics.IDEMPOTENT
