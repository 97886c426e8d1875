"""Emulated engines that nodes of the same process reach over simulated links."""

from collections.abc import Mapping
from typing import NamedTuple

from twisted.internet.task import Clock

from myrtlehub.emulator.events import (
    AnswerDone,
    AttemptEvent,
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
from myrtlehub.node.request_decoder import decoded_request_of
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.routing import contract

LINK_DELAY = 0.0004  # seconds, one way
FETCH_RATE = 250_000.0  # tokens per second


class UnclaimedFetchError(RuntimeError):
    """An engine is to fetch a read state for an attempt that claimed none."""

    def __init__(self, sequence_id: str) -> None:
        super().__init__(f"{sequence_id}: the attempt claimed no read state")


class _ReceivedAttempt(NamedTuple):
    """An attempt, and the executor to which its replies go."""

    attempt: Attempt
    executor: ActionExecutor


class InProcessEngine:
    """The model of one engine, and its timer."""

    def __init__(
        self,
        clock: Clock,
        engines: Mapping[str, "InProcessEngine"],
        address: str,
        machine: Machine,
        seed: int,
    ) -> None:
        """Make an engine; `engines` has the whole fleet by address, for fetches from readers."""
        self.model: EngineModel[int] = EngineModel(machine, seed)
        self._clock = clock
        self._engines = engines
        self._address = address
        self._received: dict[int, _ReceivedAttempt] = {}
        self._timer = ModelTimer(clock, self._tick)

    def receive(self, key: int, attempt: Attempt, executor: ActionExecutor) -> None:
        """Receive an attempt, unless it has ended meanwhile."""
        if not attempt.is_outstanding:
            return
        self._received[key] = _ReceivedAttempt(attempt, executor)
        now = self._clock.seconds()
        task = _task_of(attempt.sequence)
        if attempt.is_read:
            self._handle_events(self.model.read(now, key, task))
        else:
            self._handle_events(self.model.write(now, key, task, attempt.claimed_state is not None))

    def cancel(self, key: int) -> None:
        """Stop an attempt that was cancelled at its node."""
        if self._received.pop(key, None) is not None:
            self._handle_events(self.model.cancel(self._clock.seconds(), key))

    def release(self, sequence_id: str, reason: FreeReason = FreeReason.RELEASED) -> None:
        """Free a read state."""
        self._handle_events(self.model.release(self._clock.seconds(), sequence_id, reason))

    def load_report(self) -> contract.LoadReport:
        """Return the present load."""
        load = self.model.load()
        return contract.LoadReport(memory_share=load.memory_share, unread=load.unread)

    def _handle_events(self, events: list[ModelEvent[int]]) -> None:
        """Send replies to nodes, begin fetches and schedule the model's next event."""
        for event in events:
            if isinstance(event, FetchNeeded):
                self._fetch(event.key)
            elif not isinstance(event, Crashed | StateFreed | Started):
                self._reply(event)
        self._timer.set(self.model.next_at())

    def _reply(self, event: AttemptEvent[int]) -> None:
        received = self._received.get(event.key)
        if received is None:
            return
        if not isinstance(event, TokensGenerated):
            del self._received[event.key]
        self._clock.callLater(LINK_DELAY, self._deliver, received, event)

    def _tick(self) -> None:
        self._handle_events(self.model.tick(self._clock.seconds()))

    def _deliver(self, received: _ReceivedAttempt, event: AttemptEvent[int]) -> None:
        attempt, executor = received
        load = self.load_report()
        outcome = contract.Outcome
        match event:
            case TokensGenerated():
                (executor.tokens_received if attempt.is_streaming else executor.attempt_began)(attempt, b"")
            case PromptRead():
                executor.attempt_ended(attempt, outcome.READ, event.cached_tokens, load, self._address)
            case AnswerDone():
                executor.attempt_ended(
                    attempt, outcome.GENERATED, event.cached_tokens, load, tokens=event.tokens
                )
            case Rejected():
                executor.attempt_ended(attempt, outcome.FULL, float(event.is_state_missing), load)
            case Failed():
                executor.attempt_ended(attempt, outcome.ERROR)
            case _:
                executor.attempt_ended(attempt, outcome.TIMEOUT)

    def _fetch(self, key: int) -> None:
        received = self._received.get(key)
        if received is None:
            return
        sequence_id = received.attempt.sequence.sequence_id
        reader = self._reader_of(received.attempt)
        duration = 2 * LINK_DELAY + reader.model.state_tokens(sequence_id) / FETCH_RATE
        self._clock.callLater(duration, self._fetched, key, reader, sequence_id)

    def _reader_of(self, attempt: Attempt) -> "InProcessEngine":
        claimed = attempt.claimed_state
        if claimed is None or not isinstance(claimed.handle, str):
            raise UnclaimedFetchError(attempt.sequence.sequence_id)
        return self._engines[claimed.handle]

    def _fetched(self, key: int, reader: "InProcessEngine", sequence_id: str) -> None:
        now = self._clock.seconds()
        is_complete = reader.model.state_tokens(sequence_id) > 0.0
        reader.release(sequence_id, FreeReason.FETCHED)
        self._handle_events(self.model.fetched(now, key, is_complete))


def _task_of(sequence: InFlightSequence) -> Task:
    request = decoded_request_of(sequence)
    return Task(
        sequence.sequence_id,
        request.prompt_tokens,
        request.max_output_tokens,
        request.session,
        request.prefix,
        request.shared_tokens,
        request.idempotency_key,
        sequence.deadline,
    )
