"""Random changes to the fleet of a driven scenario, and the endpoint list updates that follow them."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from fleet_shape import DRAINING, GONE, SERVING, Engine, FleetShape, Sequence
from router_dialects import Dialect

SPAN_BETWEEN_CHANGES = 0.7  # seconds between changes of the fleet


class ChangedScenario(Protocol):
    """The scenario whose fleet changes: its clock, its router and what it counts."""

    dialect: Dialect
    random: Random
    shape: FleetShape
    now: float
    left_to_arrive: int
    sequences: dict[int, Sequence]  # in flight, by number
    counts: Counter[str]

    def at(self, delay: float, what: Callable[..., None], *arguments: Any) -> None:  # noqa: ANN401
        """Schedule a call after a delay in simulated seconds."""

    def call(self, name: str, *arguments: Any) -> None:  # noqa: ANN401
        """Call the router, and execute its actions."""


class EndpointChanges:
    """Changes the engines of a scenario: drains, losses, cold restarts, reused indices."""

    def __init__(self, scenario: ChangedScenario) -> None:
        self.scenario = scenario
        self.shape = scenario.shape
        self.random = scenario.random
        self.engines = [
            self.shape.new_engine(index, scenario.now) for index in range(self.shape.engine_count)
        ]

    def start(self) -> None:
        """Send the router the first endpoint list, and schedule the first change of the fleet."""
        self.send_list(self.engines, is_complete=True, is_new=True)
        if self.shape.changes:
            self.scenario.at(SPAN_BETWEEN_CHANGES, self.change_fleet)

    def send_list(self, engines: list[Engine], is_complete: bool, is_new: bool = False) -> None:
        """Send the router an endpoint list of these engines: the complete list, or only changes."""
        updates = [
            self.scenario.dialect.make(
                "EndpointUpdate",
                engine=engine.index,
                is_new=is_new,
                state=engine.state,
                kind=engine.kind,
                zone=engine.zone,
                cell=engine.cell,
                started_at=engine.started_at,
                weight=1.0,
                hash_seed=engine.hash_seed,
            )
            for engine in engines
        ]
        self.scenario.call("update_endpoints", updates, is_complete)

    def change_fleet(self) -> None:
        """Make one random change of the fleet, and schedule the next."""
        draw = self.random
        change = draw.choice(
            ("drain", "die", "return", "reuse", "add", "resend", "fail", "mend", "cell", "omit", "other")
        )
        self.scenario.counts[f"change {change}"] += 1
        getattr(self, f"_change_{change}")(draw.choice(self.engines))
        if self.scenario.left_to_arrive or self.scenario.sequences:
            self.scenario.at(draw.expovariate(self.shape.changes / SPAN_BETWEEN_CHANGES), self.change_fleet)

    def _change_drain(self, engine: Engine) -> None:
        if engine.state == SERVING:
            engine.state = DRAINING
            self.send_list([engine], is_complete=False)
            self.scenario.at(self.random.expovariate(0.5), self._gone, engine)

    def _gone(self, engine: Engine) -> None:
        if engine.state == DRAINING:
            engine.state = GONE
            self.send_list([engine], is_complete=False)

    def _change_die(self, engine: Engine) -> None:
        engine.state = GONE  # the endpoint list shows it only later
        self.scenario.at(self.random.random() * 3.0, self._return_cold, engine)

    def _return_cold(self, engine: Engine) -> None:
        engine.state, engine.started_at, engine.work, engine.work_at = (
            SERVING,
            self.scenario.now,
            0.0,
            self.scenario.now,
        )
        engine.is_silent = False
        self.send_list([engine], is_complete=False)

    def _change_return(self, engine: Engine) -> None:
        gone = [one for one in self.engines if one.state != SERVING]
        for one in gone[: 1 + self.random.randrange(4)]:
            self._return_cold(one)

    def _change_reuse(self, engine: Engine) -> None:
        free = [one for one in self.engines if one.state == GONE]
        in_use = {index for one in self.scenario.sequences.values() for index in one.attempts}
        for old in free[:2]:
            if old.index not in in_use:
                new = self.shape.new_engine(old.index, self.scenario.now)
                new.started_at = self.random.choice((0.0, self.scenario.now))
                self.engines[old.index] = new
                self.send_list([new], is_complete=False, is_new=True)

    def _change_add(self, engine: Engine) -> None:
        if len(self.engines) < 2 * self.shape.engine_count:
            new = self.shape.new_engine(len(self.engines), self.scenario.now)
            new.started_at = self.scenario.now
            self.engines.append(new)
            self.send_list([new], is_complete=False, is_new=True)

    def _change_resend(self, engine: Engine) -> None:
        self.send_list(self.engines, is_complete=True)

    def _change_omit(self, engine: Engine) -> None:
        if self.random.random() < 0.3:
            self.send_list([one for one in self.engines if one is not engine], is_complete=True)

    def _change_fail(self, engine: Engine) -> None:
        engine.fault_share = self.random.choice((0.5, 1.0))
        engine.is_silent = self.random.random() < 0.3
        engine.slowness = self.random.choice((1.0, 6.0))

    def _change_mend(self, engine: Engine) -> None:
        for one in self.engines:
            one.fault_share, one.full_share = self.shape.fault_share, self.shape.full_share
            one.is_silent, one.slowness = False, 1.0

    def _change_cell(self, engine: Engine) -> None:
        for one in self.engines:
            if one.cell == engine.cell and self.random.random() < 0.5:
                self._change_die(one)

    def _change_other(self, engine: Engine) -> None:
        self.scenario.call("endpoint_list_failed")
        self.scenario.call("gossip_received", 1, "payload")
        self.scenario.call("reservation_answered", 0, 0, engine.index, True)
        self.scenario.call("client_left", -1)
