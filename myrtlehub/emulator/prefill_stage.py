"""The prefill stage of an engine model: it reads prompts and stores the resulting read states."""

from collections import OrderedDict, deque
from typing import Generic, NamedTuple

from myrtlehub.emulator.events import Expired, FreeReason, ModelEvent, PromptRead, StateFreed
from myrtlehub.emulator.machine import NEVER, TIME_TOLERANCE, KeyT, Task
from myrtlehub.emulator.resources import Resources

READ_OVERHEAD = 0.001  # seconds added to each read, whatever its length


class QueuedRead(NamedTuple, Generic[KeyT]):
    """A prompt that waits for a slot."""

    key: KeyT
    task: Task


class RunningRead(NamedTuple):
    """A prompt that is being read."""

    completes_at: float
    task: Task
    cached_tokens: float


class ReadState(NamedTuple):
    """A stored read state."""

    tokens: float
    stored_at: float


class PrefillStage(Generic[KeyT]):
    """The queue, the slots and the read states of an engine that reads prompts."""

    def __init__(self, resources: Resources) -> None:
        self._resources = resources
        self.queue: deque[QueuedRead[KeyT]] = deque()
        self.running: dict[KeyT, RunningRead] = {}
        self.read_states: OrderedDict[str, ReadState] = OrderedDict()  # by sequence id, oldest first

    def has_capacity_for(self, task: Task) -> bool:
        """Return whether an attempt can be queued."""
        machine = self._resources.machine
        fits = self._resources.used_memory + task.prompt_tokens <= machine.memory
        return len(self.queue) < machine.queue and fits

    def enqueue(self, key: KeyT, task: Task) -> None:
        """Queue an attempt and reserve its memory."""
        self._resources.used_memory += task.prompt_tokens
        self.queue.append(QueuedRead(key, task))

    def cancel(self, key: KeyT) -> None:
        """Remove an attempt, whether it is queued or running."""
        for read in list(self.queue):
            if read.key == key:
                self.queue.remove(read)
                self._resources.used_memory -= read.task.prompt_tokens
        if key in self.running:
            self._resources.used_memory -= self.running.pop(key).task.prompt_tokens

    def state_tokens(self, sequence_id: str) -> float:
        """Return the tokens of a read state, or 0 if there is none."""
        state = self.read_states.get(sequence_id)
        return state.tokens if state else 0.0

    def free_state(self, sequence_id: str) -> float:
        """Free a read state and return its tokens, or 0 if there was none."""
        state = self.read_states.pop(sequence_id, None)
        if state is None:
            return 0.0
        self._resources.used_memory -= state.tokens
        return state.tokens

    def backlog(self) -> float:
        """Return the prompt tokens that are queued or being read."""
        queued = sum(read.task.prompt_tokens for read in self.queue)
        return queued + sum(read.task.prompt_tokens for read in self.running.values())

    def next_at(self) -> float:
        """Return when the next read completes or the next read state expires; NEVER if there is neither."""
        next_expiry = self._next_state_expiry()
        if not self.running:
            return next_expiry
        return min(next_expiry, *(read.completes_at for read in self.running.values()))

    def advance(self, now: float, events: list[ModelEvent[KeyT]]) -> None:
        """Complete and start the reads that are due at `now`, and free the read states that have expired."""
        self._finish_reads(now, events)
        self._start_reads(now, events)
        while self._next_state_expiry() <= now:
            sequence_id = next(iter(self.read_states))
            tokens = self.free_state(sequence_id)
            events.append(StateFreed(sequence_id, tokens, FreeReason.EXPIRED))

    def _next_state_expiry(self) -> float:
        if not self.read_states:
            return NEVER
        return next(iter(self.read_states.values())).stored_at + self._resources.machine.state_bound

    def _finish_reads(self, now: float, events: list[ModelEvent[KeyT]]) -> None:
        for key, read in list(self.running.items()):
            if read.completes_at > now + TIME_TOLERANCE:
                continue
            del self.running[key]
            self.free_state(read.task.sequence_id)  # an earlier attempt of the sequence may have stored one
            self.read_states[read.task.sequence_id] = ReadState(read.task.prompt_tokens, now)
            self._resources.prefix_cache.store(read.task)
            events.append(PromptRead(key, read.cached_tokens, read.task.prompt_tokens))

    def _start_reads(self, now: float, events: list[ModelEvent[KeyT]]) -> None:
        slots = self._resources.slots(now)
        while self.queue and len(self.running) < slots:
            key, task = self.queue.popleft()
            cached_tokens = self._resources.prefix_cache.count_cached_tokens(task)
            duration = self._resources.read_seconds(task.prompt_tokens - cached_tokens) + READ_OVERHEAD
            if now + duration > task.expires_at:
                self._resources.used_memory -= task.prompt_tokens
                events.append(Expired(key))
                continue
            self.running[key] = RunningRead(now + duration, task, cached_tokens)
