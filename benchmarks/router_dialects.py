"""One interface to the routers of different commits, which differ only in names.

Up to dbd88ee the router was `myrtlehub/decide.py`, with its types in `myrtlehub/interface.py` and actions
as plain tuples; since then it is in `myrtlehub/routing`, with typed actions. `open_dialect` imports whichever
of them is on `sys.path`. Actions of both are returned as (name of the action's class, fields...).
"""

import importlib
from collections.abc import Iterable, Mapping
from types import ModuleType
from typing import Any

ROUTER_MODULES = ("myrtlehub.routing.policy.router", "myrtlehub.routing.router", "myrtlehub.decide")
CONTRACT_MODULES = ("myrtlehub.routing.contract", "myrtlehub.interface")

# First item of a plain tuple: class of the typed action. The fields and their order are the same.
ACTION_CLASSES = {
    "send": "Send",
    "hold": "Reserve",
    "release": "Release",
    "cancel": "CancelAttempt",
    "reject": "Reject",
    "abort": "Abort",
    "move": "Migrate",
    "wake": "ScheduleWakeup",
    "probe": "Probe",
    "close": "CloseIdle",
    "tell": "Gossip",
    "watch": "WatchEndpoints",
    "relist": "PollEndpoints",
    "note": "LogNote",
    "done": "Forget",
}
# Present name: name before dbd88ee, if it differs.
CALLS = {
    "update_endpoints": "engines",
    "endpoint_list_failed": "list_failed",
    "reservation_answered": "hold_answered",
    "client_left": "left",
    "probe_ended": "probed",
    "gossip_received": "heard",
}
TYPES = {"RouterConfig": "Terms", "EndpointUpdate": "Listing", "LoadReport": "Load"}
FIELDS = {
    "RouterConfig": {
        "node_count": "nodes",
        "writers_can_read": "self_read",
        "may_reserve": "may_hold",
        "may_migrate": "may_resume",
        "may_gossip": "may_tell",
        "may_hedge": "second_copies",
        "max_attempts": "most_attempts",
        "state_timeout": "let_go",
        "overload_multiple": "fall_multiple",
        "overload_window": "fall_time",
        "max_retry_after": "max_wait",
        "over_quota_utility": "over_share_utility",
        "polls_endpoints": "ask_for_list",
        "load_by_probe_only": "report_on_probe",
        "connect_timeout": "connect_time",
    },
    "TrafficType": {"retry_semantics": "repeats", "seconds_per_token": "pace"},
    "EndpointUpdate": {"is_new": "fresh", "started_at": "started", "hash_seed": "mark"},
    "Arrival": {
        "prompt_tokens": "prompt",
        "shared_tokens": "shared",
        "max_output_tokens": "most_output",
        "expected_seconds": "expected",
        "is_resumed": "resumed",
        "is_retry": "repeated",
        "state_engine": "held_at",
        "may_have_run_at": "ran_at",
        "may_have_run_ago": "ran_ago",
    },
    "LoadReport": {},
}
# Present field name: earlier name in the typed interface.
FORMER_FIELDS = {"Arrival": {"state_engine": "state_held_by"}}
# Fields whose values are enumerations in the typed interface; the older interface takes plain values.
ENUMERATIONS = {
    "retry_semantics": "RetrySemantics",
    "dedup_group": "DedupGroup",
    "state": "EngineState",
}


class UnknownTreeError(Exception):
    """The tree has no router under any known name."""


class Dialect:
    """Adapts the router of one tree, and the types of its interface, to the present names."""

    def __init__(self, router: ModuleType, contract: ModuleType) -> None:
        self._router_class = router.Router
        self._contract = contract
        self.is_typed = contract.__name__ == CONTRACT_MODULES[0]
        # Up to 6dda3f4 an absent tenant or engine of an arrival was -1.
        self._absent_index = -1 if -1 in contract.Arrival._field_defaults.values() else None

    def make(self, type_name: str, **fields: Any) -> Any:  # noqa: ANN401 - of whichever tree
        """Build a value of a type of the router's interface, given by present names."""
        if type_name == "Arrival" and fields["tenant"] is None:
            fields["tenant"] = self._absent_index
        if self.is_typed:
            kind = getattr(self._contract, type_name)
            former = FORMER_FIELDS.get(type_name, {})
            typed_fields = self._enumerated(fields).items()
            return kind(
                **{name if name in kind._fields else former[name]: value for name, value in typed_fields}
            )
        renamed = FIELDS[type_name]
        kind = getattr(self._contract, TYPES.get(type_name, type_name))
        return kind(**{renamed.get(name, name): value for name, value in fields.items()})

    def _enumerated(self, fields: Mapping[str, Any]) -> dict[str, Any]:
        return {
            name: getattr(self._contract, ENUMERATIONS[name])(value) if name in ENUMERATIONS else value
            for name, value in fields.items()
        }

    def outcome(self, word: str) -> str:
        """Return the tree's own value for an outcome."""
        return self._contract.Outcome(word) if self.is_typed else word

    def router(self, config: Any) -> Any:  # noqa: ANN401 - of whichever tree
        """Return a router with a configuration."""
        return self._router_class(config)

    def call(self, router: Any, name: str, *arguments: Any) -> list[tuple[Any, ...]]:  # noqa: ANN401
        """Call a method of the router by its present name; return actions in the common form."""
        method = getattr(router, name if self.is_typed else CALLS.get(name, name))
        return [self._normalised(action) for action in method(*arguments)]

    def _normalised(self, action: tuple[Any, ...]) -> tuple[Any, ...]:
        if self.is_typed:
            return (type(action).__name__, *action)
        return (ACTION_CLASSES[action[0]], *action[1:])


def _first_of(names: Iterable[str]) -> ModuleType:
    for name in names:
        try:
            return importlib.import_module(name)
        except ModuleNotFoundError as error:
            if error.name is None or not name.startswith(error.name):
                raise
    raise UnknownTreeError(f"none of {', '.join(names)} is there")


def open_dialect() -> Dialect:
    """Return the dialect of the tree that is first on `sys.path`."""
    return Dialect(_first_of(ROUTER_MODULES), _first_of(CONTRACT_MODULES))
