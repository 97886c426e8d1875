"""The set-up of a router that the routing tests and the decision benchmark have in common.

It consists of plain values, by the present names of the fields, because the benchmark also builds the router
of earlier trees from them (`router_dialects.py`). So this module must import nothing of myrtlehub.
"""

from typing import Any, TypedDict

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
TRAFFIC_SETTINGS: dict[str, Any] = {  # of a traffic type
    "latency_slo": 2.0,
    "slo_per_token": 4e-5,
    "abandon_time": 10.0,
    "late_share": 0.3,
}
KIND_MEMORY = (200000.0, 100000.0, 150000.0)  # tokens; of a reader, a writer and an engine that does both


class NewEndpoint(TypedDict):
    """The plain fields of an engine that is new in the endpoint list."""

    engine: int
    is_new: bool
    kind: int
    zone: int
    cell: int
    started_at: float
    weight: float
    hash_seed: int


def new_endpoint(engine: int, kind: int, zone: int, cell: int) -> NewEndpoint:
    """Return the fields of a new engine, without its state, whose type differs between trees."""
    return NewEndpoint(
        engine=engine,
        is_new=True,
        kind=kind,
        zone=zone,
        cell=cell,
        started_at=0.0,
        weight=1.0,
        hash_seed=engine * 2654435761 % 2**32,
    )
