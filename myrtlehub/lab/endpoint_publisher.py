"""The endpoint list of a scenario, and its changes, which are pushed to the nodes."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred

from myrtlehub.lab.endpoint_row import EndpointRow, EngineState
from myrtlehub.lab.fleet_layout import ZONE, FleetLayout, kind_of
from myrtlehub.lab.scenario_file import ENGINE_KINDS, Scenario
from myrtlehub.node.clock import MonotonicClock
from myrtlehub.proto import admin_pb2
from myrtlehub.records import Recorder

FIRST_MODEL = "m1"
PUSH_METHOD = "/myrtlehub.v1.NodeAdmin/PushList"


class _PublishedState(NamedTuple):
    """What the endpoint list says of an engine."""

    state: EngineState
    started_at: float | None  # seconds of the scenario's clock; None: before the scenario


class EndpointPublisher:
    """Has the endpoint list, and pushes changes to the nodes unless they read it from files."""

    def __init__(
        self,
        scenario: Scenario,
        layout: FleetLayout,
        clock: MonotonicClock,
        random: Random,
        recorder: Recorder,
        call_admin: Callable[[str, str, bytes], Deferred[bytes]],
        is_running: Callable[[str], bool],
    ) -> None:
        """Make a publisher; `call_admin(node, method, request)` calls a node."""
        self.models = dict.fromkeys(layout.engines, FIRST_MODEL)  # model version, by engine
        self._states = dict.fromkeys(layout.engines, _PublishedState(EngineState.SERVING, None))
        self._scenario = scenario
        self._layout = layout
        self._clock = clock
        self._random = random
        self._recorder = recorder
        self._call_admin = call_admin
        self._is_running = is_running

    def rows(self) -> list[EndpointRow]:
        """Return the rows of all engines, as a node's file has them."""
        return [self._row(engine) for engine in self._layout.engines]

    def rows_present(self) -> list[EndpointRow]:
        """Return the rows of all engines that were not removed."""
        return [
            self._row(engine) for engine, entry in self._states.items() if entry.state != EngineState.GONE
        ]

    def publish(self, engine: str, state: EngineState, started_at: float | None = None) -> None:
        """Change the state of an engine, and notify each node after a random delay."""
        self._states[engine] = _PublishedState(state, started_at)
        if self._scenario.list_files is not None:
            return  # the next version that is written to the files has the change
        for node in self._layout.nodes:
            delay = self._scenario.list_delay + self._scenario.list_spread * self._random.random()
            self._clock.callLater(delay, self._push, node, engine, self._states[engine])

    def record_list_at_start(self, node: str) -> None:
        """Record the states that a restarted node has read from its settings file."""
        if self._scenario.list_files is not None:
            return
        for engine, entry in self._states.items():
            if entry.state != EngineState.SERVING:
                self._record_notified(node, engine, entry.state)

    def _row(self, engine: str) -> EndpointRow:
        entry = self._states[engine]
        row: EndpointRow = {
            "address": self._layout.addresses[engine],
            "kind": kind_of(engine),
            "zone": ZONE,
            "cell": self._layout.cells[engine],
            "state": entry.state.value,
            "age": f"{self._age(entry):.6f}s",
        }
        model = self._published_model(engine)
        if model is not None:
            row["model"] = model
        return row

    def _age(self, entry: _PublishedState) -> float:
        return 0.0 if entry.started_at is None else self._clock.seconds() - entry.started_at

    def _published_model(self, engine: str) -> str | None:
        """Return the model version, which the list has only for engines that embed or rank."""
        does = ENGINE_KINDS[kind_of(engine)]
        return self.models[engine] if "embeds" in does or "ranks" in does else None

    def _push(self, node: str, engine: str, entry: _PublishedState) -> None:
        if not self._is_running(node):
            return
        listed = admin_pb2.ListedEngine(
            address=self._layout.addresses[engine],
            kind=kind_of(engine),
            zone=ZONE,
            cell=self._layout.cells[engine],
            state=entry.state.value,
            age=self._age(entry),
            model=self._published_model(engine),
        )
        update = admin_pb2.ListNews(engines=[listed])
        done = self._call_admin(node, PUSH_METHOD, update.SerializeToString())
        done.addCallbacks(
            lambda reply: self._record_notified(node, engine, entry.state),
            lambda failure: self._recorder.note(
                "not told",
                node=node,
                engine=self._layout.addresses[engine],
                state=entry.state.value,
                why=failure.getErrorMessage(),
            ),
        )

    def _record_notified(self, node: str, engine: str, state: EngineState) -> None:
        address = self._layout.addresses[engine]
        grace = self._scenario.rules.drain_grace
        self._recorder.note("told", node=node, engine=address, state=state.value, grace=grace)
