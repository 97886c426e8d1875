"""The batch stage of an engine model: it computes each batch of embedding or rerank items in one pass."""

from collections import deque
from typing import Generic, NamedTuple

from myrtlehub.emulator.events import BatchDone, Expired, ModelEvent, Started
from myrtlehub.emulator.machine import NEVER, TIME_TOLERANCE, KeyT
from myrtlehub.emulator.resources import Resources


class QueuedBatch(NamedTuple, Generic[KeyT]):
    """A batch that waits for a slot."""

    key: KeyT
    tokens: float
    expires_at: float


class RunningBatch(NamedTuple):
    """A batch that is being computed."""

    completes_at: float
    tokens: float


class BatchStage(Generic[KeyT]):
    """The queue and the slots of an engine that computes batches."""

    def __init__(self, resources: Resources) -> None:
        self._resources = resources
        self.queue: deque[QueuedBatch[KeyT]] = deque()
        self.running: dict[KeyT, RunningBatch] = {}

    def has_capacity(self) -> bool:
        """Return whether a batch can be queued."""
        return len(self.queue) < self._resources.machine.batch_queue

    def enqueue(self, key: KeyT, tokens: float, expires_at: float) -> None:
        """Queue a batch; it expires if it has not started by `expires_at`."""
        self.queue.append(QueuedBatch(key, tokens, expires_at))

    def cancel(self, key: KeyT) -> None:
        """Remove a batch, whether it is queued or running."""
        self.queue = deque(batch for batch in self.queue if batch.key != key)
        self.running.pop(key, None)

    def backlog(self) -> float:
        """Return the tokens of all queued and running batches."""
        queued = sum(batch.tokens for batch in self.queue)
        return queued + sum(batch.tokens for batch in self.running.values())

    def next_at(self) -> float:
        """Return when the next batch completes, or NEVER if none is running."""
        if not self.running:
            return NEVER
        return min(batch.completes_at for batch in self.running.values())

    def advance(self, now: float, stream_count: int, events: list[ModelEvent[KeyT]]) -> None:
        """Complete the batches that are due, then start queued ones; concurrent streams slow these down."""
        for key, batch in list(self.running.items()):
            if batch.completes_at <= now + TIME_TOLERANCE:
                del self.running[key]
                events.append(BatchDone(key))
        machine = self._resources.machine
        while self.queue and len(self.running) < machine.batch_slots:
            key, tokens, expires_at = self.queue.popleft()
            if now > expires_at:
                events.append(Expired(key))
                continue
            self.running[key] = RunningBatch(now + self._duration(now, tokens, stream_count), tokens)
            events.append(Started(key))

    def _duration(self, now: float, tokens: float, stream_count: int) -> float:
        machine = self._resources.machine
        slowdown_by_streams = 1.0 + machine.batch_drag * stream_count / machine.slots
        duration = machine.batch_base + tokens / machine.batch_rate * slowdown_by_streams
        return duration * self._resources.faults.slowdown / self._resources.warm_up.capacity(now)
