"""The endpoint list of a scenario: what it has, and how nodes hear of changes."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred

from myrtlehub.lab.fleet_layout import ZONE, FleetLayout, kind_of
from myrtlehub.lab.scenario_file import ENGINE_KINDS, Scenario
from myrtlehub.node.clock import SteadyClock
from myrtlehub.proto import admin_pb2
from myrtlehub.records import Recorder

SERVING = "serving"
GONE = "gone"
FIRST_MODEL = "m1"
PUSH_METHOD = "/myrtlehub.v1.NodeAdmin/PushList"


class EndpointState(NamedTuple):
    """An engine by the endpoint list."""

    state: str  # a word of the list: serving, draining or gone
    started_at: float  # 0: before the scenario


class EndpointPublisher:
    """Knows the endpoint list, and pushes changes to nodes where they do not read it from files."""

    def __init__(
        self,
        scenario: Scenario,
        layout: FleetLayout,
        clock: SteadyClock,
        random: Random,
        recorder: Recorder,
        call_admin: Callable[[str, str, bytes], Deferred],
        is_running: Callable[[str], bool],
    ) -> None:
        """Make one; `call_admin(node, method, request)` calls a node."""
        self.models = dict.fromkeys(layout.engines, FIRST_MODEL)  # versions, by engine
        self._states = dict.fromkeys(layout.engines, EndpointState(SERVING, 0.0))
        self._scenario = scenario
        self._layout = layout
        self._clock = clock
        self._random = random
        self._recorder = recorder
        self._call_admin = call_admin
        self._is_running = is_running

    def rows(self) -> list[dict]:
        """Return the rows of all engines, as a node's file has them."""
        return [self._row(engine) for engine in self._layout.engines]

    def rows_present(self) -> list[dict]:
        """Return the rows of those that are not gone."""
        return [self._row(engine) for engine, entry in self._states.items() if entry.state != GONE]

    def publish(self, engine: str, state: str, started_at: float = 0.0) -> None:
        """Change the list: every node hears of it late, each at its own moment."""
        self._states[engine] = EndpointState(state, started_at)
        if self._scenario.list_files is not None:
            return  # the next version that is written has it
        for node in self._layout.nodes:
            delay = self._scenario.list_delay + self._scenario.list_spread * self._random.random()
            self._clock.callLater(delay, self._push, node, engine, self._states[engine])

    def record_list_at_start(self, node: str) -> None:
        """Record what a node that has started again knows from its file."""
        if self._scenario.list_files is not None:
            return
        for engine, entry in self._states.items():
            if entry.state != SERVING:
                self._record_told(node, engine, entry.state)

    def _row(self, engine: str) -> dict:
        entry = self._states[engine]
        return {
            "address": self._layout.addresses[engine],
            "kind": kind_of(engine),
            "zone": ZONE,
            "cell": self._layout.cells[engine],
            "state": entry.state,
            "age": f"{self._age(entry):.6f}s",
            **self._model_field(engine),
        }

    def _age(self, entry: EndpointState) -> float:
        return self._clock.seconds() - entry.started_at if entry.started_at else 0.0

    def _model_field(self, engine: str) -> dict[str, str]:
        does = ENGINE_KINDS[kind_of(engine)]
        return {"model": self.models[engine]} if "embeds" in does or "ranks" in does else {}

    def _push(self, node: str, engine: str, entry: EndpointState) -> None:
        if not self._is_running(node):
            return
        listed = admin_pb2.ListedEngine(
            address=self._layout.addresses[engine],
            kind=kind_of(engine),
            zone=ZONE,
            cell=self._layout.cells[engine],
            state=entry.state,
            age=self._age(entry),
            **self._model_field(engine),
        )
        news = admin_pb2.ListNews(engines=[listed])
        done = self._call_admin(node, PUSH_METHOD, news.SerializeToString())
        done.addCallbacks(
            lambda reply: self._record_told(node, engine, entry.state),
            lambda failure: self._recorder.note(
                "not told",
                node=node,
                engine=self._layout.addresses[engine],
                state=entry.state,
                why=failure.getErrorMessage(),
            ),
        )

    def _record_told(self, node: str, engine: str, state: str) -> None:
        address = self._layout.addresses[engine]
        grace = self._scenario.rules.drain_grace
        self._recorder.note("told", node=node, engine=address, state=state, grace=grace)
