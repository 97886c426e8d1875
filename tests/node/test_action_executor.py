"""The action executor: equivalence with the simulator, order of execution, observers."""

from collections.abc import Callable
from typing import NamedTuple

import pytest
from fleet import Fleet

from myrtlehub import platform_settings, simulator
from myrtlehub.log_events import LogEvent
from myrtlehub.node.action_executor import ActionExecutor, ContractViolationError
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.router_config import router_config_of
from myrtlehub.node.router_driver import NoEnginePoolsError
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.routing import contract
from myrtlehub.routing.policy.router import Router

WIRE_OUTCOMES = {internal: wire for wire, internal in simulator.OUTCOME_BY_CODE.items()}
WIRE_RETRY_SEMANTICS = {internal: wire for wire, internal in platform_settings.RETRY_SEMANTICS.items()}
WIRE_ENGINE_STATES = {internal: wire for wire, internal in simulator.STATE_BY_NAME.items()}
WIRE_LOAD_VALUES = {
    internal: (wire, factor) for wire, (internal, factor) in platform_settings.LOAD_VALUES.items()
}
MS_PER_SECOND = 1e3


class RecordedCall(NamedTuple):
    """A router call and the actions that it returned."""

    now: float
    name: str
    arguments: tuple
    actions: list[contract.Action]


class RecordingObserver(ExecutorObserver):
    """An observer that appends its name and each notification to a list, which observers may share."""

    def __init__(self, name: str, notifications: list[tuple[str, str]]) -> None:
        self.name = name
        self.notifications = notifications

    def attempt_started(self, attempt: Attempt) -> None:
        self.notifications.append((self.name, "attempt_started"))

    def attempt_ended(self, attempt: Attempt) -> None:
        self.notifications.append((self.name, "attempt_ended"))

    def answer_started(self, sequence: InFlightSequence) -> None:
        self.notifications.append((self.name, "answer_started"))

    def answered(self, sequence: InFlightSequence) -> None:
        self.notifications.append((self.name, "answered"))

    def sequence_forgotten(self, sequence: InFlightSequence) -> None:
        self.notifications.append((self.name, "sequence_forgotten"))

    def executor_idle(self) -> None:
        self.notifications.append((self.name, "executor_idle"))


class RecordingRouter:
    """A router that records its calls."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.calls: list[RecordedCall] = []

    def __getattr__(self, name: str) -> Callable[..., list[contract.Action]]:
        def call(now: float, *arguments: object) -> list[contract.Action]:
            actions = getattr(self.router, name)(now, *arguments)
            self.calls.append(RecordedCall(now, name, arguments, list(actions)))
            return actions

        return call


class RecordingExecutor(ActionExecutor):
    """An executor whose router records its calls."""

    def __init__(self, router: Router, *arguments: object) -> None:
        super().__init__(RecordingRouter(router), *arguments)


def platform_settings_of(config: contract.RouterConfig) -> dict:
    """Return a router configuration as settings of the platform."""
    return {
        "Balancers": config.node_count,
        "Ordinal": config.node,
        "Zones": ["z"],
        "MyZone": "z",
        "PeriodMs": config.tick * MS_PER_SECOND,
        "MachineTypes": [f"k{i}" for i in range(len(config.reads))],
        "OverShareWorth": config.over_quota_utility,
        "Classes": [
            {
                "Name": f"t{i}",
                "Effect": WIRE_RETRY_SEMANTICS[t.retry_semantics],
                "AimMs": t.latency_slo * MS_PER_SECOND,
                "GiveUpMs": t.abandon_time * MS_PER_SECOND,
                "Credit": t.utility,
                "LateWorth": t.late_share,
                "DedupScope": t.dedup_group,
                "WindowMs": t.dedup_window * MS_PER_SECOND,
            }
            for i, t in enumerate(config.traffic)
        ],
        "Caps": {
            "Cancel": config.may_cancel,
            "MostTries": config.max_attempts,
            "RetryAfter": True,
            "MaxRetryAfterMs": config.max_retry_after * MS_PER_SECOND,
        },
        "Invariants": {
            "AnswerSlackMs": config.answer_slack * MS_PER_SECOND,
            "ColdMs": config.cold_time * MS_PER_SECOND,
            "ColdShare": config.cold_share,
            "DrainGraceMs": config.drain_grace * MS_PER_SECOND,
            "FallMs": config.overload_window * MS_PER_SECOND,
            "FallMultiple": config.overload_multiple,
        },
        "Specifics": {
            "DutyByKind": ["read" if r else "write" for r in config.reads],
            "KvTokens": list(config.memory),
            "LetGoByMs": config.state_timeout * MS_PER_SECOND,
            "SelfPrefill": config.writers_can_read,
            "TokenAimMs": [t.seconds_per_token * MS_PER_SECOND for t in config.traffic],
        },
    }


def endpoint_list_event(
    updates: list[contract.EndpointUpdate], is_complete: bool, engine_names: dict[int, str]
) -> dict:
    """Return a change of the endpoint list in the wire format; new engines are given a name."""
    entries = [
        {
            "Engine": engine_names.setdefault(update.engine, f"e{update.engine}"),
            "Type": f"k{update.kind}",
            "State": WIRE_ENGINE_STATES[update.state],
            "Dc": "z",
            "Cluster": update.cell,
            "StartTimeMs": update.started_at * MS_PER_SECOND,
            "Heft": update.weight,
        }
        for update in updates
    ]
    return {"verb": "MEMBERS", "Mode": "FULL" if is_complete else "INCREMENTAL", "Entries": entries}


def request_event(arrival: contract.Arrival) -> dict:
    """Return an arrival in the wire format."""
    return {
        "verb": "REQ",
        "InputLen": arrival.prompt_tokens,
        "TimeBudgetMs": arrival.time_left * MS_PER_SECOND,
        "Chat": arrival.session,
        "Prefix": arrival.prefix,
        "SharedLen": arrival.shared_tokens,
        "MaxTokens": arrival.max_output_tokens,
        "Grade": f"t{arrival.traffic}",
        "Options": 2 * arrival.is_retry,
    }


def response_event(
    attempt: int,
    outcome: contract.Outcome,
    latency: float,
    is_answered: bool,
    cached_tokens: float,
    load: contract.LoadReport | None,
) -> dict:
    """Return the end of an attempt in the wire format."""
    report = None
    if load is not None:
        reported = {field: value for field, value in load._asdict().items() if value is not None}
        report = {WIRE_LOAD_VALUES[f][0]: value / WIRE_LOAD_VALUES[f][1] for f, value in reported.items()}
    return {
        "verb": "RESPONSE",
        "Copy": attempt,
        "StateCode": WIRE_OUTCOMES[outcome],
        "LatencyMs": latency * MS_PER_SECOND,
        "Settled": is_answered,
        "Info": cached_tokens,
        "Telemetry": report,
    }


def wire_event_of(call: RecordedCall, engine_names: dict[int, str]) -> dict:
    """Return one of the executor's router calls in the wire format."""
    name, arguments = call.name, call.arguments
    if name == "update_endpoints":
        return endpoint_list_event(*arguments, engine_names)
    if name == "wake":
        return {"verb": "WAKEUP", "Name": str(arguments[0])}
    sequence, *rest = arguments
    if name == "arrive":
        event = request_event(*rest)
    elif name == "client_left":
        event = {"verb": "DROPPED"}
    elif name == "began":
        event = {"verb": "ESTABLISHED", "Copy": rest[0], "LatencyMs": rest[1] * MS_PER_SECOND}
    else:
        event = response_event(*rest)
    return {"Rid": f"r{sequence}", **event}


def round_floats(actions: list[contract.Action]) -> list[tuple]:
    return [tuple(round(x, 6) if isinstance(x, float) else x for x in action) for action in actions]


def run_with_faults() -> Fleet:
    """Run a small fleet through rejections, a disconnection, a killed engine, a restart and a drain."""
    fleet = Fleet("R0 R1 W0 W0 W1", executor_class=RecordingExecutor, slots=3)
    for i in range(60):
        fleet.generate(
            ("ask", "post", "note")[i % 3],
            prompt=100 + 997 * (i % 5),
            output=60,
            session=f"s{i % 9}",
            shared_prefix=f"p{i % 4}",
            shared_tokens=90,
            time_left=1.0 + (i % 4),
        )
        fleet.run(0.04)
        if i == 15:
            fleet.inject_fault("W0c", "refuse", 0.7, seconds=0.6)
        if i == 20:
            disconnecting_call = fleet.generate(prompt=3000)
            fleet.run(0.02)
            fleet.cancel(disconnecting_call)
            fleet.kill("W0d")
        if i == 30:
            fleet.push_list_event("W0d", "gone")
            fleet.inject_fault("W1e", "error", 0.4)
        if i == 35:
            fleet.start_engine("W0d", cold=True)
            fleet.push_list_event("W0d", "serving", age=0.01)
        if i == 45:
            fleet.inject_fault("R1b", "hang", seconds=2.0)
            fleet.push_list_event("R0a", "draining")
    fleet.run(8.0)
    return fleet


def use_hash_seeds_of(calls: list[RecordedCall], router: Router) -> None:
    """Make a router use the hash seeds of recorded calls.

    The executor derives the seeds from the engines' addresses, and the simulator has other names for the
    engines.
    """
    hash_seeds = {
        update.engine: update.hash_seed
        for call in calls
        if call.name == "update_endpoints"
        for update in call.arguments[0]
    }
    update_endpoints = router.update_endpoints

    def with_hash_seeds(
        now: float, updates: list[contract.EndpointUpdate], is_complete: bool
    ) -> list[contract.Action]:
        updates_with_seeds = [update._replace(hash_seed=hash_seeds[update.engine]) for update in updates]
        return update_endpoints(now, updates_with_seeds, is_complete)

    router.update_endpoints = with_hash_seeds


def test_executor_and_simulator_get_the_same_actions() -> None:
    fleet = run_with_faults()
    calls = fleet.nodes["n0"].executor.router.calls
    config = router_config_of(fleet.nodes["n0"].settings)
    settings = platform_settings_of(config)
    assert platform_settings.router_config_from_settings(settings, config.seed) == config
    adapter = simulator.Node("n0", {"Settings": settings, "Entropy": config.seed}, calls[0].now)
    adapter.router = Router(config)
    use_hash_seeds_of(calls, adapter.router)
    engine_names: dict[int, str] = {}
    action_types, engine_of_attempt = set(), {}
    for call in calls[1:]:
        event = wire_event_of(call, engine_names)
        if event["verb"] == "RESPONSE":
            event["Engine"] = engine_names[engine_of_attempt[call.arguments[0], call.arguments[1]]]
        assert round_floats(adapter.handle_event(event, call.now)) == round_floats(call.actions), call
        for action in call.actions:
            adapter.encode_action(action)
            action_types.add(type(action))
            if isinstance(action, contract.Send):
                number = sum(sequence == action.sequence for sequence, _ in engine_of_attempt)
                engine_of_attempt[action.sequence, number] = action.engine
    expected = {
        contract.Send,
        contract.Release,
        contract.ScheduleWakeup,
        contract.Forget,
        contract.CancelAttempt,
    }
    assert expected <= action_types and len(calls) > 150
    assert {call.name for call in calls} == {
        "start",
        "update_endpoints",
        "arrive",
        "began",
        "ended",
        "client_left",
        "wake",
    }


@pytest.mark.parametrize(
    "action",
    [contract.Reserve(0, 0), contract.Migrate(0), contract.Probe(0), contract.Gossip(0, "")],
    ids=lambda action: type(action).__name__,
)
def test_an_action_that_the_configuration_rules_out_raises(action: contract.Action) -> None:
    executor = Fleet().nodes["n0"].executor
    executor.router.wake = lambda now, token: [action]
    with pytest.raises(ContractViolationError, match="its configuration does not allow") as raised:
        executor.wake(0)
    assert raised.value.action == action


def test_actions_are_executed_in_order_and_router_calls_never_nest() -> None:
    executor, events, active_calls = Fleet().nodes["n0"].executor, [], []

    class ScriptedRouter:
        def wake(self, now: float, token: int) -> list[contract.Action]:
            assert not active_calls, "nested router call"
            active_calls.append(1)
            events.append(token)
            active_calls.pop()
            return [contract.LogNote(f"{token}a"), contract.LogNote(f"{token}b")]

    def log(event: LogEvent, text: str) -> None:
        assert event is LogEvent.ROUTER_NOTE
        events.append(text)
        if text == "1a":
            executor.wake(2)

    executor.router = ScriptedRouter()
    executor.log = log
    executor.wake(1)
    assert events == [1, "1a", "1b", 2, "2a", "2b"]


def test_observers_are_notified_in_order_of_addition_until_removed() -> None:
    fleet = Fleet("R0 W0")
    executor = fleet.nodes["n0"].executor
    notifications: list[tuple[str, str]] = []
    first, second = (RecordingObserver(name, notifications) for name in ("first", "second"))
    executor.add_observer(first)
    executor.add_observer(second)
    assert fleet.generate(prompt=3000) is not None
    fleet.run(3.0)
    assert {name for name, _ in notifications[0::2]} == {"first"}
    assert {name for name, _ in notifications[1::2]} == {"second"}
    events = [event for name, event in notifications if name == "second"]
    assert events == [event for name, event in notifications if name == "first"]
    assert events.count("attempt_started") == events.count("attempt_ended") >= 1
    assert all(events.count(event) == 1 for event in ("answer_started", "answered", "sequence_forgotten"))
    assert events.index("answer_started") < events.index("answered") < events.index("sequence_forgotten")
    assert events[-2:] == ["executor_idle", "attempt_ended"]  # the router is notified before the observers
    executor.remove_observer(first)
    del notifications[:]
    fleet.generate(prompt=100)
    fleet.run(3.0)
    assert {name for name, _ in notifications} == {"second"}


def test_a_router_without_engine_pools_has_none_to_close() -> None:
    executor = Fleet().nodes["n0"].executor
    with pytest.raises(NoEnginePoolsError):
        executor.set_pool_closed(0, True)
