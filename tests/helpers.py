"""A made-up fleet, calls against a router, and the trace of what it decided."""

import difflib
from pathlib import Path

from myrtlehub.routing import contract
from myrtlehub.routing.router import Router
from myrtlehub.state.lives import Step, Table


def changed(table: Table, **steps: Step) -> Table:
    """A table with some results changed; keys are state__event."""
    new = dict(table.steps)
    for key, step in steps.items():
        state, event = key.split("__")
        assert new[state, event] != step
        new[state, event] = step
    return table._replace(steps=new)


CHAT = contract.TrafficType(contract.RetrySemantics.IDEMPOTENT, 2.0, 4e-5, 10.0, 0.07, 1.0, 0.3)
BOOK = contract.TrafficType(contract.RetrySemantics.AT_MOST_ONCE, 2.0, 4e-5, 10.0, 0.07, 3.0, 0.3)
MARK = contract.TrafficType(
    contract.RetrySemantics.IDEMPOTENCY_KEY, 2.0, 4e-5, 10.0, 0.07, 1.0, 0.3, contract.DedupGroup.CELL, 5.0
)
TERMS = contract.RouterConfig(
    seed=7,
    node=0,
    node_count=2,
    zone=0,
    traffic=(CHAT, BOOK, MARK),
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
READER, WRITER, BOTH = 0, 1, 2
TRACE_WORDS = {  # as the traces under tests/traces name the actions
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
TRACE_FIELDS = {"started_at": "started"}  # of an engine's entry, likewise


class Bench:
    """Calls a router and writes down, a line each, what was said to it and what it decided."""

    def __init__(self, engines: str = "R0 R0 W0 R1 W1", **terms: object) -> None:
        self.router, self.lines, self.now, self.count = Router(TERMS._replace(**terms)), [], 100.0, 0
        self.router.start(self.now)
        kinds = {"R": READER, "W": WRITER, "B": BOTH}
        self.listed = [
            contract.EndpointUpdate(
                i,
                True,
                contract.EngineState.SERVING,
                kinds[e[0]],
                int(e[1]),
                int(e[1]),
                0.0,
                1.0,
                i * 2654435761 % 2**32,
            )
            for i, e in enumerate(engines.split())
        ]
        self.say("engines " + engines, self.router.update_endpoints(self.now, self.listed, True))

    def say(self, what: str, results: list[contract.Action]) -> None:
        self.lines.append(f"{self.now - 100.0:7.3f}  {what}")
        self.lines.extend(
            "         -> "
            + " ".join([TRACE_WORDS[type(r)], *(f"{x:g}" if isinstance(x, float) else str(x) for x in r)])
            for r in results
            if not isinstance(r, contract.ScheduleWakeup)
        )

    def take(
        self,
        traffic: int = 0,
        prompt: float = 3000.0,
        left: float = 10.0,
        session: int = 0,
        prefix: int = 0,
        shared: float = 0.0,
    ) -> int:
        seq, self.count = self.count, self.count + 1
        a = contract.Arrival(traffic, -1, prompt, left, session, prefix, shared, 400.0, 0.0)
        self.say(
            f"seq {seq} {TERMS.traffic[traffic].retry_semantics} prompt {prompt:g}",
            self.router.arrive(self.now, seq, a),
        )
        return seq

    def ended(
        self,
        seq: int,
        attempt: int,
        outcome: str,
        kept: float = 0.0,
        settled: bool = False,
        load: contract.LoadReport | None = None,
        latency: float = 0.1,
    ) -> None:
        told = f" {load.memory_share:g} of memory held" if load else ""
        self.say(
            f"seq {seq} attempt {attempt} {outcome} kept {kept:g}{told}",
            self.router.ended(self.now, seq, attempt, outcome, latency, settled, kept, load),
        )

    def probed(self, engine: int, load: contract.LoadReport | None) -> None:
        """An answer to a probe; None: it timed out."""
        self.say(
            f"probe of {engine} {'answered' if load else 'timed out'}",
            self.router.probe_ended(self.now, engine, load is not None, 0.001 if load else 0.25, load),
        )

    def sends(self) -> dict[int, list[int]]:
        """Engines to which each sequence was sent, in order."""
        sent: dict[int, list[int]] = {}
        for line in self.lines:
            if line.startswith("         -> send "):
                seq, engine = line.split()[2:4]
                sent.setdefault(int(seq), []).append(int(engine))
        return sent

    def began(self, seq: int, attempt: int) -> None:
        self.say(f"seq {seq} attempt {attempt} began", self.router.began(self.now, seq, attempt, 0.05))

    def list(self, engine: int, **change: object) -> None:
        entry = self.listed[engine]._replace(is_new=False, **change)
        named = {
            TRACE_FIELDS.get(k, k): int(v) if isinstance(v, contract.EngineState) else v
            for k, v in change.items()
        }
        self.say(f"engine {engine} {named}", self.router.update_endpoints(self.now, [entry], False))

    def left(self, seq: int) -> None:
        self.say(f"seq {seq} client left", self.router.client_left(self.now, seq))

    def wait(self, seconds: float, step: float = 0.025) -> None:
        """Let time pass, waking the router as it asks."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now = min(until, self.now + step)
            results = self.router.wake(self.now, 0)
            if any(not isinstance(r, contract.ScheduleWakeup) for r in results):
                self.say("time", results)

    def check(self, name: str) -> None:
        """Compare with the trace that people read."""
        kept = (Path(__file__).parent / "traces" / f"{name}.txt").read_text().splitlines()
        diff = list(difflib.unified_diff(kept, self.lines, "kept", "now", lineterm="", n=2))
        assert not diff, "\n".join(diff)
