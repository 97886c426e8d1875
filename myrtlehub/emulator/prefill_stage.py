"""Reading of prompts in an engine model, and the read states that result from it."""

from collections import OrderedDict, deque
from typing import NamedTuple

from myrtlehub.emulator.events import Expired, FreeReason, ModelEvent, PromptRead, StateFreed
from myrtlehub.emulator.machine import NEVER, TIME_TOLERANCE, AttemptKey, Task
from myrtlehub.emulator.resources import Resources

READ_OVERHEAD = 0.001  # seconds of each read


class QueuedRead(NamedTuple):
    """An attempt to read that waits for a slot."""

    key: AttemptKey
    task: Task


class RunningRead(NamedTuple):
    """A prompt that is being read."""

    ready_at: float
    task: Task
    cached_tokens: float


class ReadState(NamedTuple):
    """The stored result of a read."""

    tokens: float
    since: float


class PrefillStage:
    """Queue, slots and read states of an engine that reads prompts."""

    def __init__(self, resources: Resources) -> None:
        self._resources = resources
        self.queue: deque[QueuedRead] = deque()
        self.running: dict[AttemptKey, RunningRead] = {}
        self.read_states: OrderedDict[str, ReadState] = OrderedDict()  # by sequence id, oldest first

    def has_room_for(self, task: Task) -> bool:
        """Return whether an attempt can be queued."""
        machine = self._resources.machine
        fits = self._resources.used_memory + task.prompt <= machine.memory
        return len(self.queue) < machine.queue and fits

    def enqueue(self, key: AttemptKey, task: Task) -> None:
        """Queue an attempt; its memory is used from now on."""
        self._resources.used_memory += task.prompt
        self.queue.append(QueuedRead(key, task))

    def cancel(self, key: AttemptKey) -> None:
        """Stop an attempt, whether it waits or runs."""
        for read in list(self.queue):
            if read.key == key:
                self.queue.remove(read)
                self._resources.used_memory -= read.task.prompt
        if key in self.running:
            self._resources.used_memory -= self.running.pop(key).task.prompt

    def state_tokens(self, sequence_id: str) -> float:
        """Return the tokens of a read state; 0 where there is none."""
        state = self.read_states.get(sequence_id)
        return state.tokens if state else 0.0

    def drop_state(self, sequence_id: str) -> float:
        """Free a read state; return its tokens, 0 where there was none."""
        state = self.read_states.pop(sequence_id, None)
        if state is None:
            return 0.0
        self._resources.used_memory -= state.tokens
        return state.tokens

    def backlog(self) -> float:
        """Return the prompt tokens that are not read yet."""
        queued = sum(read.task.prompt for read in self.queue)
        return queued + sum(read.task.prompt for read in self.running.values())

    def next_at(self) -> float:
        """Return when something is next due."""
        next_expiry = self._next_state_expiry()
        if not self.running:
            return next_expiry
        return min(next_expiry, *(read.ready_at for read in self.running.values()))

    def advance(self, now: float, events: list[ModelEvent]) -> None:
        """Do what is due by now."""
        self._finish_reads(now, events)
        self._start_reads(now, events)
        while self._next_state_expiry() <= now:
            sequence_id = next(iter(self.read_states))
            tokens = self.drop_state(sequence_id)
            events.append(StateFreed(sequence_id, tokens, FreeReason.EXPIRED))

    def _next_state_expiry(self) -> float:
        if not self.read_states:
            return NEVER
        return next(iter(self.read_states.values())).since + self._resources.machine.state_bound

    def _finish_reads(self, now: float, events: list[ModelEvent]) -> None:
        for key, read in list(self.running.items()):
            if read.ready_at > now + TIME_TOLERANCE:
                continue
            del self.running[key]
            self.drop_state(read.task.sequence_id)  # of an earlier attempt
            self.read_states[read.task.sequence_id] = ReadState(read.task.prompt, now)
            self._resources.prefix_cache.store(read.task)
            events.append(PromptRead(key, read.cached_tokens, read.task.prompt))

    def _start_reads(self, now: float, events: list[ModelEvent]) -> None:
        slots = self._resources.slots(now)
        while self.queue and len(self.running) < slots:
            key, task = self.queue.popleft()
            cached_tokens = self._resources.prefix_cache.find(task)
            duration = self._resources.read_seconds(task.prompt - cached_tokens) + READ_OVERHEAD
            if now + duration > task.start_before:
                self._resources.used_memory -= task.prompt
                events.append(Expired(key))
                continue
            self.running[key] = RunningRead(now + duration, task, cached_tokens)
