"""Settings of a router that the routing tests and the decision benchmark have in common.

They are plain values, because the benchmark also builds the configuration of earlier trees from them.
"""

from typing import Any

ROUTER_SETTINGS: dict[str, Any] = {
    "seed": 7,
    "node": 0,
    "zone": 0,
    "quotas": (),
    "writers_can_read": True,
    "may_reserve": False,
    "may_cancel": True,
    "may_migrate": False,
    "may_probe": False,
    "may_gossip": False,
    "max_attempts": 5,
    "state_timeout": 0.5,
    "drain_grace": 0.25,
    "cold_share": 0.25,
    "cold_time": 12.0,
    "overload_multiple": 2.5,
    "overload_window": 1.0,
    "answer_slack": 0.016,
    "tick": 0.004,
    "max_retry_after": 2.0,
    "over_quota_utility": 0.1,
    "polls_endpoints": False,
}
