"""Nodes and engines in one process on a driven clock: the very same host, door and module as the node's, with
the transport replaced by modelled links. Simulated.

What a day with processes cannot show, thousands of sequences a second or many nodes, runs here in a fraction
of its time, and the same seed gives the same figures.
"""

from collections.abc import Callable

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
    Refused,
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

LINK = 0.0004  # seconds, one way
FETCH = 250_000.0  # tokens a second


class ModelEngine:
    """One stand-in's model, and its timer."""

    def __init__(self, fleet: "ModelFleet", address: str, machine: Machine, seed: int) -> None:
        self.fleet, self.address = fleet, address
        self.model = EngineModel(machine, seed)
        self.jobs: dict[int, Attempt] = {}
        self.timer = ModelTimer(fleet.clock, self._tick)

    def act(self, events: list[ModelEvent]) -> None:
        """Hand over what happened, a link's time later, and set the next wake-up."""
        clock = self.fleet.clock
        for event in events:
            if isinstance(event, Crashed | StateFreed | Started):
                continue
            if isinstance(event, FetchNeeded):
                self._fetch(event.key)
                continue
            attempt = self.jobs.get(event.key)
            if attempt is None:
                continue
            if not isinstance(event, TokensGenerated):
                del self.jobs[event.key]
            clock.callLater(LINK, self._tell, attempt, event)
        self.timer.set(self.model.next_at())

    def _tick(self) -> None:
        self.act(self.model.tick(self.fleet.clock.seconds()))

    def _tell(self, attempt: Attempt, event: ModelEvent) -> None:
        host = attempt.sequence.client.host
        load = contract.LoadReport(**self.model.load())
        match event:
            case TokensGenerated():
                (host.tokens_received if attempt.is_streaming else host.began)(attempt, b"")
            case PromptRead():
                host.ended(attempt, contract.Outcome.READ, event.cached_tokens, load, self.address)
            case AnswerDone():
                host.ended(
                    attempt, contract.Outcome.GENERATED, event.cached_tokens, load, tokens=event.tokens
                )
            case Refused():
                host.ended(attempt, contract.Outcome.FULL, float(event.no_state), load)
            case Failed():
                host.ended(attempt, contract.Outcome.ERROR)
            case _:
                host.ended(attempt, contract.Outcome.TIMEOUT)

    def _fetch(self, key: int) -> None:
        attempt = self.jobs.get(key)
        if attempt is None:
            return
        reader, label = self.fleet.engines[attempt.fetched_state.handle], attempt.sequence.sequence_id
        takes = 2 * LINK + reader.model.state_tokens(label) / FETCH
        self.fleet.clock.callLater(takes, self._fetched, key, reader, label)

    def _fetched(self, key: int, reader: "ModelEngine", label: str) -> None:
        now = self.fleet.clock.seconds()
        whole = reader.model.state_tokens(label) > 0.0
        reader.act(reader.model.release(now, label, FreeReason.FETCHED))
        self.act(self.model.fetched(now, key, whole))

    def take(self, key: int, attempt: Attempt) -> None:
        """An attempt arrives."""
        if not attempt.is_outstanding:
            return
        asked, held, now = attempt.sequence.request, attempt.sequence, self.fleet.clock.seconds()
        self.jobs[key] = attempt
        task = Task(
            held.sequence_id,
            asked.prompt_tokens,
            asked.max_output_tokens,
            asked.session,
            asked.prefix,
            asked.shared_tokens,
            asked.mark,
            held.deadline,
        )
        self.act(
            self.model.read(now, key, task)
            if attempt.reads
            else self.model.write(now, key, task, attempt.fetched_state is not None)
        )

    def cancel(self, key: int) -> None:
        """Nobody waits for it any more."""
        if self.jobs.pop(key, None) is not None:
            self.act(self.model.cancel(self.fleet.clock.seconds(), key))


class ModelTransport:
    """A host's carrier over modelled links."""

    def __init__(self, fleet: "ModelFleet") -> None:
        self.fleet, self.host = fleet, None
        self._next = 0

    def start(self, attempt: Attempt) -> None:
        address = self.host.decoder.engines.rows[attempt.engine].address
        key, self.fleet.attempts = self.fleet.attempts, self.fleet.attempts + 1
        attempt.call = self.fleet.engines[address], key
        self.fleet.clock.callLater(LINK, self.fleet.engines[address].take, key, attempt)

    def cancel(self, attempt: Attempt) -> None:
        if attempt.call is not None:
            engine, key = attempt.call
            self.fleet.clock.callLater(LINK, engine.cancel, key)

    def release(self, engine: int, label: str) -> None:
        target = self.fleet.engines[self.host.decoder.engines.rows[engine].address]

        def done() -> None:
            target.act(target.model.release(self.fleet.clock.seconds(), label))

        self.fleet.clock.callLater(LINK, done)

    def probe(
        self, engine: int, timeout: float, then: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        target = self.fleet.engines[self.host.decoder.engines.rows[engine].address]
        self.fleet.clock.callLater(2 * LINK, lambda: then(True, contract.LoadReport(**target.model.load())))

    def close_idle(self, engine: int) -> None:
        """There are no connections."""

    def forget(self, address: str) -> None:
        """Nothing is kept of it."""


class ModelClient:
    """Who waits for one answer; `on_begun(client)` and `on_end(client)` are told once."""

    def __init__(
        self,
        host: ActionExecutor,
        asked: DecodedRequest,
        now: float,
        on_end: Callable[["ModelClient"], None],
        on_begun: Callable[["ModelClient"], None],
    ) -> None:
        self.host, self.asked, self.since, self.on_end, self.on_begun = host, asked, now, on_end, on_begun
        self.first = self.wait = 0.0
        self.answer = ""
        self.held: InFlightSequence | None = None

    def tokens(self, raw: bytes) -> None:
        """The first is what counts."""
        if not self.first:
            self.first = self.host.clock.seconds() - self.since
            self.on_begun(self)

    def generated(self, tokens: int) -> None:
        self._end("generated")

    def rejected(self, wait: float) -> None:
        self.wait = wait
        self._end("rejected")

    def aborted(self, reason: str) -> None:
        self._end("aborted")

    def _end(self, answer: str) -> None:
        self.answer = answer
        self.on_end(self)


class ModelFleet:
    """Nodes by their file's sheet, engines by kind. `sheet(index)` gives a node's."""

    def __init__(
        self,
        nodes: int,
        sheet: Callable[[int], NodeConfig],
        rows: list[EndpointConfig],
        machines: dict[str, Machine],
        seed: int,
    ) -> None:
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.attempts = 0
        self.engines = {
            r.address: ModelEngine(self, r.address, machines[r.kind], seed + i) for i, r in enumerate(rows)
        }
        self.hosts: list[ActionExecutor] = []
        for i in range(nodes):
            mine = sheet(i)
            terms, carrier = router_config_of(mine), ModelTransport(self)
            host = carrier.host = ActionExecutor(
                Router(terms), RequestDecoder(mine), terms, self.clock, carrier, f"n{i}."
            )
            host.start()
            host.update_endpoints(rows, True)
            self.hosts.append(host)

    def ask(
        self,
        node: int,
        asked: DecodedRequest,
        on_end: Callable[[ModelClient], None],
        on_begun: Callable[[ModelClient], None] = lambda client: None,
    ) -> ModelClient:
        """Hand a sequence to a node."""
        host = self.hosts[node]
        now = self.clock.seconds()
        client = ModelClient(host, asked, now, on_end, on_begun)
        client.held = host.accept(asked, host.decoder.arrival(asked, now), client)
        return client

    def run(self, until: float) -> None:
        """Carry out all that is due by then, in order of time."""
        calls = self.clock.calls  # sorted
        while calls and calls[0].getTime() <= until:
            self.clock.advance(max(0.0, calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, until - self.clock.seconds()))
