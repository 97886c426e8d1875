"""A test bench: calls a router for a fictitious fleet, and compares traces of its decisions."""

import difflib
from typing import TypedDict, Unpack

from paths import TESTS
from router_settings import KIND_MEMORY, ROUTER_SETTINGS, TRAFFIC_SETTINGS, new_endpoint

from myrtlehub.routing import contract
from myrtlehub.routing.contract import Outcome
from myrtlehub.routing.policy.router import Router
from myrtlehub.routing.records import Sequence

CHAT = contract.TrafficType(
    **TRAFFIC_SETTINGS,
    retry_semantics=contract.RetrySemantics.IDEMPOTENT,
    seconds_per_token=0.07,
    utility=1.0,
)
BOOKING = CHAT._replace(retry_semantics=contract.RetrySemantics.AT_MOST_ONCE, utility=3.0)
KEYED = CHAT._replace(
    retry_semantics=contract.RetrySemantics.IDEMPOTENCY_KEY,
    dedup_group=contract.DedupGroup.CELL,
    dedup_window=5.0,
)
IDEMPOTENT, AT_MOST_ONCE, IDEMPOTENCY_KEY = 0, 1, 2  # indices of these traffic types
READER, WRITER, BOTH = 0, 1, 2  # kinds of engines
KIND_LETTERS = {"R": READER, "W": WRITER, "B": BOTH}
CONFIG = contract.RouterConfig(
    **ROUTER_SETTINGS,
    node_count=2,
    traffic=(CHAT, BOOKING, KEYED),
    reads=(True, False, True),
    writes=(False, True, True),
    memory=KIND_MEMORY,
    may_hedge=True,
)
TRACE_VERBS = {  # names of the actions in the files under tests/traces
    contract.Send: "send",
    contract.Release: "release",
    contract.CancelAttempt: "cancel",
    contract.Reject: "reject",
    contract.Abort: "abort",
    contract.Probe: "probe",
    contract.CloseIdle: "close",
    contract.WatchEndpoints: "watch",
    contract.Forget: "done",
}
TRACE_FIELDS = {"started_at": "started"}  # names of an endpoint update's fields in those files, if different
ACTION_MARK = "         -> "


class TakeoverFields(TypedDict, total=False):
    """Fields of the arrival of a sequence that this node takes over from another."""

    is_resumed: bool
    is_retry: bool
    state_engine: int | None
    may_have_run_at: int | None
    may_have_run_ago: float


class ArrivalFields(TakeoverFields, total=False):
    """The optional arguments of `arrival`, without the first two."""

    time_left: float
    session: int
    prefix: int
    shared: float
    tenant: int | None


class SequenceFields(ArrivalFields, total=False):
    """All optional arguments of `arrival`."""

    traffic: int
    prompt: float


class EndpointChanges(TypedDict, total=False):
    """Fields of the endpoint list that change while an engine is listed."""

    state: contract.EngineState
    started_at: float
    zone: int
    cell: int
    weight: float


class ConfigChanges(TypedDict, total=False):
    """Settings of the router that tests change."""

    seed: int
    node: int
    node_count: int
    quotas: tuple[float, ...]
    writers_can_read: bool
    may_reserve: bool
    may_cancel: bool
    may_migrate: bool
    may_probe: bool
    may_gossip: bool
    may_hedge: bool
    max_attempts: int
    cold_share: float
    cold_time: float
    overload_multiple: float
    overload_window: float
    polls_endpoints: bool
    load_by_probe_only: bool
    connect_timeout: float
    probe_price: float
    tick: float
    traffic: tuple[contract.TrafficType, ...]


PROBING = ConfigChanges(load_by_probe_only=True, may_probe=True, probe_price=0.002)


def arrival(
    traffic: int = IDEMPOTENT,
    prompt: float = 3000.0,
    time_left: float = 10.0,
    session: int = 0,
    prefix: int = 0,
    shared: float = 0.0,
    tenant: int | None = None,
    **fields: Unpack[TakeoverFields],
) -> contract.Arrival:
    """Return an arriving sequence with at most 400 output tokens."""
    return contract.Arrival(traffic, tenant, prompt, time_left, session, prefix, shared, 400.0, 0.0, **fields)


def endpoint(index: int, kind: int, place: int = 0, started_at: float = 0.0) -> contract.EndpointUpdate:
    """Return a new engine of the endpoint list, whose zone and cell have the same number."""
    update = contract.EndpointUpdate(
        **new_endpoint(index, kind, zone=place, cell=place), state=contract.EngineState.SERVING
    )
    return update._replace(started_at=started_at)


class RouterBench:
    """Calls a router, and records each call and each action as a line of a trace."""

    def __init__(self, engines: str = "R0 R0 W0 R1 W1", **changes: Unpack[ConfigChanges]) -> None:
        self.router = Router(CONFIG._replace(**changes))
        self.lines: list[str] = []
        self.now = 100.0
        self.count = 0
        self.router.start(self.now)
        self.listed = [
            endpoint(index, KIND_LETTERS[name[0]], int(name[1])) for index, name in enumerate(engines.split())
        ]
        self.record("engines " + engines, self.router.update_endpoints(self.now, self.listed, True))

    def record(self, call: str, actions: list[contract.Action]) -> None:
        """Record a call and its actions, other than wake-ups."""
        self.lines.append(f"{self.now - 100.0:7.3f}  {call}")
        for action in actions:
            if isinstance(action, contract.ScheduleWakeup):
                continue
            values = [f"{value:g}" if isinstance(value, float) else str(value) for value in action]
            self.lines.append(ACTION_MARK + " ".join([TRACE_VERBS[type(action)], *values]))

    def arrive(
        self, traffic: int = IDEMPOTENT, prompt: float = 3000.0, **fields: Unpack[ArrivalFields]
    ) -> int:
        """Pass a new sequence to the router, and return its number."""
        sequence_id = self.count
        self.count += 1
        actions = self.router.arrive(self.now, sequence_id, arrival(traffic, prompt, **fields))
        semantics = CONFIG.traffic[traffic].retry_semantics
        self.record(f"seq {sequence_id} {semantics} prompt {prompt:g}", actions)
        return sequence_id

    def ended(
        self,
        sequence_id: int,
        attempt: int,
        outcome: Outcome,
        cached: float = 0.0,
        is_answered: bool = False,
        load: contract.LoadReport | None = None,
        latency: float = 0.1,
    ) -> None:
        """Notify the router that an attempt has ended."""
        memory = f" {load.memory_share:g} of memory held" if load else ""
        actions = self.router.ended(
            self.now, sequence_id, attempt, outcome, latency, is_answered, cached, load
        )
        self.record(f"seq {sequence_id} attempt {attempt} {outcome} kept {cached:g}{memory}", actions)

    def probe_ended(self, engine: int, load: contract.LoadReport | None) -> None:
        """Notify the router of the end of a health check; a load of None means that it timed out."""
        is_answered = load is not None
        latency = 0.001 if is_answered else 0.25
        actions = self.router.probe_ended(self.now, engine, is_answered, latency, load)
        self.record(f"probe of {engine} {'answered' if is_answered else 'timed out'}", actions)

    def sends(self) -> dict[int, list[int]]:
        """Return the engines to which each sequence was sent, in order."""
        sent: dict[int, list[int]] = {}
        for line in self.lines:
            if line.startswith(ACTION_MARK + "send "):
                sequence_id, engine = line.split()[2:4]
                sent.setdefault(int(sequence_id), []).append(int(engine))
        return sent

    def sequence(self, sequence_id: int) -> Sequence:
        """Return the router's record of a sequence."""
        return self.router.sequences[sequence_id]

    def began(self, sequence_id: int, attempt: int) -> None:
        """Notify the router that an answer has begun."""
        actions = self.router.began(self.now, sequence_id, attempt, 0.05)
        self.record(f"seq {sequence_id} attempt {attempt} began", actions)

    def update_endpoint(self, engine: int, **changes: Unpack[EndpointChanges]) -> None:
        """Change one engine of the endpoint list."""
        update = self.listed[engine]._replace(is_new=False, **changes)
        named = {
            TRACE_FIELDS.get(name, name): int(value) if isinstance(value, contract.EngineState) else value
            for name, value in changes.items()
        }
        self.record(f"engine {engine} {named}", self.router.update_endpoints(self.now, [update], False))

    def client_left(self, sequence_id: int) -> None:
        """Notify the router that a client has disconnected."""
        self.record(f"seq {sequence_id} client left", self.router.client_left(self.now, sequence_id))

    def send_and_answer(self, **fields: Unpack[SequenceFields]) -> int | None:
        """Pass a new sequence to the router, answer it, and return its engine; None if it was not sent."""
        sequence_id = self.arrive(**fields)
        attempts = self.sequence(sequence_id).attempts
        if not attempts:
            return None
        engine = attempts[0].engine.index
        self.began(sequence_id, 0)
        load = contract.LoadReport(memory_share=0.5)
        self.ended(sequence_id, 0, Outcome.GENERATED, is_answered=True, load=load)
        return engine

    def wait(self, seconds: float, step: float = 0.025) -> None:
        """Advance the clock in steps, and wake up the router at each."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now = min(until, self.now + step)
            actions = self.router.wake(self.now, 0)
            if any(not isinstance(action, contract.ScheduleWakeup) for action in actions):
                self.record("time", actions)

    def assert_matches_trace(self, name: str) -> None:
        """Compare the recorded lines with a file under tests/traces."""
        expected = (TESTS / "traces" / f"{name}.txt").read_text().splitlines()
        diff = list(difflib.unified_diff(expected, self.lines, "expected", "now", lineterm="", n=2))
        assert not diff, "\n".join(diff)


def benches(nodes: int, engines: str) -> list[RouterBench]:
    """Return a bench for each of several nodes, with different seeds."""
    return [RouterBench(engines, node_count=nodes, seed=seed) for seed in range(nodes)]
