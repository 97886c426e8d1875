"""Nodes and emulated engines in one process, on a clock that is advanced by hand. Simulated.

Action executor, request decoder and router are the node's; the engine transport is replaced by simulated
links. What a scenario with processes cannot show, thousands of sequences a second or many nodes, runs here in
a fraction of its time, and the same seed gives the same figures.
"""

from collections.abc import Callable
from enum import StrEnum

from twisted.internet.task import Clock

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.emulator.events import (
    AnswerDone,
    Crashed,
    Failed,
    FetchNeeded,
    FreeReason,
    ModelEvent,
    PromptRead,
    Rejected,
    Started,
    StateFreed,
    TokensGenerated,
)
from myrtlehub.emulator.machine import Machine, Task
from myrtlehub.emulator.model import EngineModel
from myrtlehub.emulator.timer import ModelTimer
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.request_decoder import DecodedRequest, RequestDecoder
from myrtlehub.node.router_config import router_config_of
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.routing import contract
from myrtlehub.routing.policy.router import Router

LINK_DELAY = 0.0004  # seconds, one way
FETCH_RATE = 250_000.0  # tokens a second
START_TIME = 1000.0  # of the clock


class ClientAnswer(StrEnum):
    """How an answer ended for a client."""

    NONE = ""
    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"


class InProcessEngine:
    """The model of one engine, and its timer."""

    def __init__(self, fleet: "InProcessFleet", address: str, machine: Machine, seed: int) -> None:
        self.model: EngineModel[int] = EngineModel(machine, seed)
        self._fleet = fleet
        self._address = address
        self._attempts: dict[int, Attempt] = {}
        self._timer = ModelTimer(fleet.clock, self._tick)

    def receive(self, key: int, attempt: Attempt) -> None:
        """Receive an attempt."""
        if not attempt.is_outstanding:
            return
        self._attempts[key] = attempt
        now = self._fleet.clock.seconds()
        task = _task_of(attempt.sequence)
        if attempt.is_read:
            self._act(self.model.read(now, key, task))
        else:
            self._act(self.model.write(now, key, task, attempt.claimed_state is not None))

    def cancel(self, key: int) -> None:
        """Stop an attempt that nobody waits for any more."""
        if self._attempts.pop(key, None) is not None:
            self._act(self.model.cancel(self._fleet.clock.seconds(), key))

    def release(self, sequence_id: str, reason: FreeReason = FreeReason.RELEASED) -> None:
        """Free a read state."""
        self._act(self.model.release(self._fleet.clock.seconds(), sequence_id, reason))

    def load_report(self) -> contract.LoadReport:
        """Return the present load."""
        load = self.model.load()
        return contract.LoadReport(memory_share=load.memory_share, unread=load.unread)

    def _act(self, events: list[ModelEvent[int]]) -> None:
        """Pass on what happened, a link's delay later, and set the next wake-up."""
        for event in events:
            if isinstance(event, FetchNeeded):
                self._fetch(event.key)
            elif not isinstance(event, Crashed | StateFreed | Started):
                self._send(event)
        self._timer.set(self.model.next_at())

    def _send(self, event: ModelEvent[int]) -> None:
        attempt = self._attempts.get(event.key)
        if attempt is None:
            return
        if not isinstance(event, TokensGenerated):
            del self._attempts[event.key]
        self._fleet.clock.callLater(LINK_DELAY, self._deliver, attempt, event)

    def _tick(self) -> None:
        self._act(self.model.tick(self._fleet.clock.seconds()))

    def _deliver(self, attempt: Attempt, event: ModelEvent[int]) -> None:
        executor = attempt.sequence.client.executor
        load = self.load_report()
        outcome = contract.Outcome
        match event:
            case TokensGenerated():
                (executor.tokens_received if attempt.is_streaming else executor.began)(attempt, b"")
            case PromptRead():
                executor.ended(attempt, outcome.READ, event.cached_tokens, load, self._address)
            case AnswerDone():
                executor.ended(attempt, outcome.GENERATED, event.cached_tokens, load, tokens=event.tokens)
            case Rejected():
                executor.ended(attempt, outcome.FULL, float(event.is_state_missing), load)
            case Failed():
                executor.ended(attempt, outcome.ERROR)
            case _:
                executor.ended(attempt, outcome.TIMEOUT)

    def _fetch(self, key: int) -> None:
        attempt = self._attempts.get(key)
        if attempt is None:
            return
        reader = self._fleet.engines[attempt.claimed_state.handle]
        sequence_id = attempt.sequence.sequence_id
        duration = 2 * LINK_DELAY + reader.model.state_tokens(sequence_id) / FETCH_RATE
        self._fleet.clock.callLater(duration, self._fetched, key, reader, sequence_id)

    def _fetched(self, key: int, reader: "InProcessEngine", sequence_id: str) -> None:
        now = self._fleet.clock.seconds()
        is_whole = reader.model.state_tokens(sequence_id) > 0.0
        reader.release(sequence_id, FreeReason.FETCHED)
        self._act(self.model.fetched(now, key, is_whole))


def _task_of(sequence: InFlightSequence) -> Task:
    request = sequence.request
    return Task(
        sequence.sequence_id,
        request.prompt_tokens,
        request.max_output_tokens,
        request.session,
        request.prefix,
        request.shared_tokens,
        request.mark,
        sequence.deadline,
    )


class InProcessTransport:
    """The engine transport of one node, over simulated links."""

    def __init__(self, fleet: "InProcessFleet") -> None:
        self._fleet = fleet
        self.executor: ActionExecutor | None = None  # set once it is made, as it needs a transport

    def start(self, attempt: Attempt) -> None:
        """Send an attempt to its engine."""
        key = self._fleet.attempts
        self._fleet.attempts += 1
        engine = self._engine(attempt.engine)
        attempt.call = engine, key
        self._fleet.clock.callLater(LINK_DELAY, engine.receive, key, attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt at its engine."""
        if attempt.call is not None:
            engine, key = attempt.call
            self._fleet.clock.callLater(LINK_DELAY, engine.cancel, key)

    def release(self, engine: int, sequence_id: str) -> None:
        """Release a read state at its reader."""
        self._fleet.clock.callLater(LINK_DELAY, self._engine(engine).release, sequence_id)

    def probe(
        self, engine: int, timeout: float, callback: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Ask an engine for its load."""
        target = self._engine(engine)
        self._fleet.clock.callLater(2 * LINK_DELAY, lambda: callback(True, target.load_report()))

    def close_idle(self, engine: int) -> None:
        """Do nothing: there are no connections."""

    def forget(self, address: str) -> None:
        """Do nothing: nothing is stored of an engine."""

    def _engine(self, index: int) -> InProcessEngine:
        return self._fleet.engines[self.executor.decoder.engines.rows[index].address]


class InProcessClient:
    """Waits for one answer; `on_started(client)` and `on_ended(client)` are each called once."""

    def __init__(
        self,
        executor: ActionExecutor,
        request: DecodedRequest,
        now: float,
        on_ended: Callable[["InProcessClient"], None],
        on_started: Callable[["InProcessClient"], None],
    ) -> None:
        self.executor = executor
        self.request = request
        self.first_token = 0.0  # seconds until it; 0: there was none
        self.retry_after = 0.0
        self.answer = ClientAnswer.NONE
        self.sequence: InFlightSequence | None = None
        self._asked_at = now
        self._on_ended = on_ended
        self._on_started = on_started

    def tokens(self, message: bytes) -> None:
        """Take tokens; only the first counts."""
        if not self.first_token:
            self.first_token = self.executor.clock.seconds() - self._asked_at
            self._on_started(self)

    def generated(self, tokens: int) -> None:
        """Take the end of a complete answer."""
        self._end(ClientAnswer.GENERATED)

    def rejected(self, retry_after: float) -> None:
        """Take a rejection."""
        self.retry_after = retry_after
        self._end(ClientAnswer.REJECTED)

    def aborted(self, reason: str) -> None:
        """Take an abort."""
        self._end(ClientAnswer.ABORTED)

    def _end(self, answer: ClientAnswer) -> None:
        self.answer = answer
        self._on_ended(self)


class InProcessFleet:
    """Nodes by their settings, which `config_of(index)` returns, and engines by kind."""

    def __init__(
        self,
        nodes: int,
        config_of: Callable[[int], NodeConfig],
        endpoints: list[EndpointConfig],
        machines: dict[str, Machine],
        seed: int,
    ) -> None:
        self.clock = Clock()
        self.clock.advance(START_TIME)
        self.attempts = 0
        self.engines = {
            endpoint.address: InProcessEngine(self, endpoint.address, machines[endpoint.kind], seed + index)
            for index, endpoint in enumerate(endpoints)
        }
        self.executors = [self._new_executor(index, config_of(index), endpoints) for index in range(nodes)]

    def _new_executor(
        self, index: int, config: NodeConfig, endpoints: list[EndpointConfig]
    ) -> ActionExecutor:
        terms = router_config_of(config)
        transport = InProcessTransport(self)
        executor = ActionExecutor(
            Router(terms), RequestDecoder(config), terms, self.clock, transport, f"n{index}."
        )
        transport.executor = executor
        executor.start()
        executor.update_endpoints(endpoints, True)
        return executor

    def ask(
        self,
        node: int,
        request: DecodedRequest,
        on_ended: Callable[[InProcessClient], None],
        on_started: Callable[[InProcessClient], None] = lambda client: None,
    ) -> InProcessClient:
        """Send a sequence to a node."""
        executor = self.executors[node]
        now = self.clock.seconds()
        client = InProcessClient(executor, request, now, on_ended, on_started)
        client.sequence = executor.accept(request, executor.decoder.arrival(request, now), client)
        return client

    def run(self, until: float) -> None:
        """Carry out all that is due by then, in order of time."""
        calls = self.clock.calls  # sorted
        while calls and calls[0].getTime() <= until:
            self.clock.advance(max(0.0, calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, until - self.clock.seconds()))
