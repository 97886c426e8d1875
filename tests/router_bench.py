"""A made-up fleet, calls against a router, and the trace of what it decided."""

import difflib
from pathlib import Path

from myrtlehub.routing import contract
from myrtlehub.routing.contract import Outcome
from myrtlehub.routing.policy.router import Router
from myrtlehub.routing.records import Sequence

CHAT = contract.TrafficType(contract.RetrySemantics.IDEMPOTENT, 2.0, 4e-5, 10.0, 0.07, 1.0, 0.3)
BOOKING = contract.TrafficType(contract.RetrySemantics.AT_MOST_ONCE, 2.0, 4e-5, 10.0, 0.07, 3.0, 0.3)
KEYED = contract.TrafficType(
    contract.RetrySemantics.IDEMPOTENCY_KEY, 2.0, 4e-5, 10.0, 0.07, 1.0, 0.3, contract.DedupGroup.CELL, 5.0
)
IDEMPOTENT, AT_MOST_ONCE, IDEMPOTENCY_KEY = 0, 1, 2  # their indices
READER, WRITER, BOTH = 0, 1, 2  # kinds of engines
KIND_LETTERS = {"R": READER, "W": WRITER, "B": BOTH}
CONFIG = contract.RouterConfig(
    seed=7,
    node=0,
    node_count=2,
    zone=0,
    traffic=(CHAT, BOOKING, KEYED),
    reads=(True, False, True),
    writes=(False, True, True),
    memory=(200000.0, 100000.0, 150000.0),
    quotas=(),
    writers_can_read=True,
    may_reserve=False,
    may_cancel=True,
    may_migrate=False,
    may_probe=False,
    may_gossip=False,
    may_hedge=True,
    max_attempts=5,
    state_timeout=0.5,
    drain_grace=0.25,
    cold_share=0.25,
    cold_time=12.0,
    overload_multiple=2.5,
    overload_window=1.0,
    answer_slack=0.016,
    tick=0.004,
    max_retry_after=2.0,
    over_quota_utility=0.1,
    polls_endpoints=False,
)
PROBING = {"load_by_probe_only": True, "may_probe": True, "probe_price": 0.002}  # engines tell load to probes
TRACE_VERBS = {  # as the traces under tests/traces name the actions
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
TRACE_FIELDS = {"started_at": "started"}  # of an endpoint update, likewise
ACTION_MARK = "         -> "


def arrival(
    traffic: int = IDEMPOTENT,
    prompt: float = 3000.0,
    time_left: float = 10.0,
    session: int = 0,
    prefix: int = 0,
    shared: float = 0.0,
    tenant: int | None = None,
    **more: float,
) -> contract.Arrival:
    """A sequence as it arrives, with 400 tokens to generate at most."""
    return contract.Arrival(traffic, tenant, prompt, time_left, session, prefix, shared, 400.0, 0.0, **more)


def endpoint(index: int, kind: int, place: int = 0, started_at: float = 0.0) -> contract.EndpointUpdate:
    """A new engine of the endpoint list; zone and cell have the same number."""
    serving = contract.EngineState.SERVING
    hash_seed = index * 2654435761 % 2**32
    return contract.EndpointUpdate(index, True, serving, kind, place, place, started_at, 1.0, hash_seed)


class RouterBench:
    """Calls a router and records, a line each, the calls and what it decided."""

    def __init__(self, engines: str = "R0 R0 W0 R1 W1", **changes: object) -> None:
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
        """Write down a call and its actions."""
        self.lines.append(f"{self.now - 100.0:7.3f}  {call}")
        for action in actions:
            if isinstance(action, contract.ScheduleWakeup):
                continue
            values = [f"{value:g}" if isinstance(value, float) else str(value) for value in action]
            self.lines.append(ACTION_MARK + " ".join([TRACE_VERBS[type(action)], *values]))

    def arrive(self, traffic: int = IDEMPOTENT, prompt: float = 3000.0, **fields: float) -> int:
        """Take a sequence, and return its number."""
        ident = self.count
        self.count += 1
        actions = self.router.arrive(self.now, ident, arrival(traffic, prompt, **fields))
        semantics = CONFIG.traffic[traffic].retry_semantics
        self.record(f"seq {ident} {semantics} prompt {prompt:g}", actions)
        return ident

    def ended(
        self,
        ident: int,
        attempt: int,
        outcome: Outcome,
        cached: float = 0.0,
        is_answered: bool = False,
        load: contract.LoadReport | None = None,
        latency: float = 0.1,
    ) -> None:
        """End an attempt."""
        memory = f" {load.memory_share:g} of memory held" if load else ""
        actions = self.router.ended(self.now, ident, attempt, outcome, latency, is_answered, cached, load)
        self.record(f"seq {ident} attempt {attempt} {outcome} kept {cached:g}{memory}", actions)

    def probe_ended(self, engine: int, load: contract.LoadReport | None) -> None:
        """End a probe; None: it timed out."""
        is_answered = load is not None
        latency = 0.001 if is_answered else 0.25
        actions = self.router.probe_ended(self.now, engine, is_answered, latency, load)
        self.record(f"probe of {engine} {'answered' if is_answered else 'timed out'}", actions)

    def sends(self) -> dict[int, list[int]]:
        """Engines to which each sequence was sent, in order."""
        sent: dict[int, list[int]] = {}
        for line in self.lines:
            if line.startswith(ACTION_MARK + "send "):
                ident, engine = line.split()[2:4]
                sent.setdefault(int(ident), []).append(int(engine))
        return sent

    def sequence(self, ident: int) -> Sequence:
        """The router's record of a sequence."""
        return self.router.sequences[ident]

    def began(self, ident: int, attempt: int) -> None:
        """Begin an answer."""
        actions = self.router.began(self.now, ident, attempt, 0.05)
        self.record(f"seq {ident} attempt {attempt} began", actions)

    def update_endpoint(self, engine: int, **changes: object) -> None:
        """Change one engine of the endpoint list."""
        update = self.listed[engine]._replace(is_new=False, **changes)
        named = {
            TRACE_FIELDS.get(name, name): int(value) if isinstance(value, contract.EngineState) else value
            for name, value in changes.items()
        }
        self.record(f"engine {engine} {named}", self.router.update_endpoints(self.now, [update], False))

    def client_left(self, ident: int) -> None:
        """Have a client leave."""
        self.record(f"seq {ident} client left", self.router.client_left(self.now, ident))

    def send_and_answer(self, **fields: float) -> int:
        """Take a sequence, answer it at once, and return the engine that it went to (-1: none)."""
        ident = self.arrive(**fields)
        attempts = self.sequence(ident).attempts
        if not attempts:
            return -1
        engine = attempts[0].engine.index
        self.began(ident, 0)
        load = contract.LoadReport(memory_share=0.5)
        self.ended(ident, 0, Outcome.GENERATED, is_answered=True, load=load)
        return engine

    def wait(self, seconds: float, step: float = 0.025) -> None:
        """Let time pass, waking the router as it asks."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now = min(until, self.now + step)
            actions = self.router.wake(self.now, 0)
            if any(not isinstance(action, contract.ScheduleWakeup) for action in actions):
                self.record("time", actions)

    def assert_matches_trace(self, name: str) -> None:
        """Compare with the trace that people read."""
        expected = (Path(__file__).parent / "traces" / f"{name}.txt").read_text().splitlines()
        diff = list(difflib.unified_diff(expected, self.lines, "expected", "now", lineterm="", n=2))
        assert not diff, "\n".join(diff)


def benches(nodes: int, engines: str, **changes: object) -> list[RouterBench]:
    """The routers of several nodes, each with a seed of its own."""
    return [RouterBench(engines, node_count=nodes, seed=seed, **changes) for seed in range(nodes)]
