"""Batches of embeddings and rerank in an engine model: each is done in one pass."""

from collections import deque
from typing import NamedTuple

from myrtlehub.emulator.events import BatchDone, Expired, ModelEvent, Started
from myrtlehub.emulator.machine import NEVER, TIME_TOLERANCE, AttemptKey
from myrtlehub.emulator.resources import Resources


class QueuedBatch(NamedTuple):
    """A batch that waits for a slot."""

    key: AttemptKey
    tokens: float
    start_before: float


class RunningBatch(NamedTuple):
    """A batch that is being computed."""

    ready_at: float
    tokens: float


class BatchStage:
    """Queue and slots of an engine that computes batches."""

    def __init__(self, resources: Resources) -> None:
        self._resources = resources
        self.queue: deque[QueuedBatch] = deque()
        self.running: dict[AttemptKey, RunningBatch] = {}

    def has_room(self) -> bool:
        """Return whether a batch can be queued."""
        return len(self.queue) < self._resources.machine.batch_queue

    def enqueue(self, key: AttemptKey, tokens: float, start_before: float) -> None:
        """Queue a batch."""
        self.queue.append(QueuedBatch(key, tokens, start_before))

    def cancel(self, key: AttemptKey) -> None:
        """Stop a batch, whether it waits or runs."""
        self.queue = deque(batch for batch in self.queue if batch.key != key)
        self.running.pop(key, None)

    def backlog(self) -> float:
        """Return the tokens of all batches."""
        queued = sum(batch.tokens for batch in self.queue)
        return queued + sum(batch.tokens for batch in self.running.values())

    def next_at(self) -> float:
        """Return when something is next due."""
        if not self.running:
            return NEVER
        return min(batch.ready_at for batch in self.running.values())

    def advance(self, now: float, stream_count: int, events: list[ModelEvent]) -> None:
        """Do what is due by now; streams that run beside a batch make it slower."""
        for key, batch in list(self.running.items()):
            if batch.ready_at <= now + TIME_TOLERANCE:
                del self.running[key]
                events.append(BatchDone(key))
        machine = self._resources.machine
        while self.queue and len(self.running) < machine.batch_slots:
            key, tokens, start_before = self.queue.popleft()
            if now > start_before:
                events.append(Expired(key))
                continue
            self.running[key] = RunningBatch(now + self._duration(now, tokens, stream_count), tokens)
            events.append(Started(key))

    def _duration(self, now: float, tokens: float, stream_count: int) -> float:
        machine = self._resources.machine
        crowding = 1.0 + machine.batch_drag * stream_count / machine.slots
        alone = machine.batch_base + tokens / machine.batch_rate * crowding
        return alone * self._resources.faults.slowdown / self._resources.warm_up.capacity(now)
