"""The decode stage of an engine model: in each step, all running streams advance by one token."""

from collections import OrderedDict, deque
from typing import Generic

from myrtlehub.emulator.batch_stage import BatchStage
from myrtlehub.emulator.events import (
    AnswerDone,
    Expired,
    FetchNeeded,
    ModelEvent,
    Rejected,
    Started,
    TokensGenerated,
)
from myrtlehub.emulator.machine import NEVER, TIME_TOLERANCE, KeyT, Task
from myrtlehub.emulator.resources import Resources


class Stream(Generic[KeyT]):
    """One answer: queued, in preparation or being generated."""

    __slots__ = (
        "cached_tokens",
        "fetches_state",
        "generated_tokens",
        "has_started",
        "key",
        "output_tokens",
        "ready_at",
        "task",
        "used_memory",
    )

    def __init__(self, key: KeyT, task: Task, output_tokens: int, fetches_state: bool) -> None:
        self.key = key
        self.task = task
        self.output_tokens = output_tokens
        self.fetches_state = fetches_state
        self.cached_tokens = 0.0
        self.used_memory = 0.0
        self.generated_tokens = 0
        self.ready_at = NEVER
        self.has_started = False


class DecodeStage(Generic[KeyT]):
    """The queue and the slots of an engine that generates answers."""

    def __init__(self, resources: Resources, batches: BatchStage[KeyT]) -> None:
        self._resources = resources
        self._batches = batches
        self.queue: deque[Stream[KeyT]] = deque()
        self.running: OrderedDict[KeyT, Stream[KeyT]] = OrderedDict()
        self._step_at = NEVER

    def has_capacity_for(self, task: Task) -> bool:
        """Return whether an attempt can be queued."""
        machine = self._resources.machine
        return (
            len(self.queue) < machine.queue and task.prompt_tokens + task.max_output_tokens <= machine.memory
        )

    def enqueue(self, stream: Stream[KeyT]) -> None:
        """Queue a stream."""
        self.queue.append(stream)

    def cancel(self, key: KeyT) -> None:
        """Remove an attempt, whether it is queued or running."""
        for stream in list(self.queue):
            if stream.key == key:
                self.queue.remove(stream)
        if key in self.running:
            self._free_slot(self.running[key])

    def fetched(self, now: float, key: KeyT, is_complete: bool) -> list[ModelEvent[KeyT]]:
        """Continue a stream whose read state was fetched, or reject it if the fetch failed."""
        stream = self.running.get(key)
        if stream is None:
            return []
        if not is_complete:
            self._free_slot(stream)
            return [Rejected(key, is_state_missing=True)]
        stream.ready_at = now + self._resources.machine.begin
        return []

    def backlog(self) -> float:
        """Return the prompt tokens of streams that have not started."""
        queued = sum(stream.task.prompt_tokens for stream in self.queue)
        return queued + sum(
            stream.task.prompt_tokens for stream in self.running.values() if not stream.has_started
        )

    def next_at(self) -> float:
        """Return when the next stream is prepared or the next step is due; NEVER if there is neither."""
        preparing = [stream.ready_at for stream in self.running.values() if not stream.has_started]
        return min(self._step_at, *preparing) if preparing else self._step_at

    def advance(self, now: float, events: list[ModelEvent[KeyT]]) -> None:
        """Fill free slots, and run the next decode step if it is due."""
        self._fill_slots(now, events)
        if now >= self._step_at - TIME_TOLERANCE:
            self._step(now, events)

    def _fill_slots(self, now: float, events: list[ModelEvent[KeyT]]) -> None:
        slots = self._resources.slots(now)
        while self.queue and len(self.running) < slots and self._fits_memory(self.queue[0]):
            stream = self.queue.popleft()
            if now > stream.task.expires_at and not stream.has_started:
                events.append(Expired(stream.key))
                continue
            self._prepare(now, stream, events)
        self._start_prepared(now, events)

    def _fits_memory(self, stream: Stream[KeyT]) -> bool:
        needed_memory = self._resources.used_memory + stream.task.prompt_tokens + stream.generated_tokens
        return not self.running or needed_memory <= self._resources.machine.memory

    def _prepare(self, now: float, stream: Stream[KeyT], events: list[ModelEvent[KeyT]]) -> None:
        """Assign a slot and memory to a stream, then request its read state or read its prompt."""
        self.running[stream.key] = stream
        stream.used_memory = stream.task.prompt_tokens + stream.generated_tokens
        self._resources.used_memory += stream.used_memory
        if stream.fetches_state and not stream.has_started:
            events.append(FetchNeeded(stream.key))
            return
        stream.cached_tokens = self._resources.prefix_cache.count_cached_tokens(stream.task)
        duration = self._resources.read_seconds(stream.task.prompt_tokens - stream.cached_tokens)
        duration *= 1.0 + self._resources.machine.batch_drag * len(self._batches.running)
        stream.ready_at = now + duration
        if self._step_at != NEVER:
            self._step_at += duration  # reading a prompt here delays the running streams

    def _start_prepared(self, now: float, events: list[ModelEvent[KeyT]]) -> None:
        for stream in self.running.values():
            if stream.has_started or stream.ready_at > now + TIME_TOLERANCE:
                continue
            stream.has_started = True
            if not stream.fetches_state:
                self._resources.prefix_cache.store(stream.task)
            events.append(Started(stream.key))
            if self._step_at == NEVER:
                self._step_at = now

    def _step(self, now: float, events: list[ModelEvent[KeyT]]) -> None:
        self._generate_tokens(now, events)
        self._preempt_newest()
        self._fill_slots(now, events)
        self._step_at = now + self._step_seconds()

    def _generate_tokens(self, now: float, events: list[ModelEvent[KeyT]]) -> None:
        resources = self._resources
        ready_by = now + TIME_TOLERANCE
        for stream in list(self.running.values()):
            if not stream.has_started or stream.ready_at > ready_by:
                continue
            stream.generated_tokens += 1
            stream.used_memory += 1
            resources.used_memory += 1
            events.append(TokensGenerated(stream.key, 1))
            if stream.generated_tokens >= stream.output_tokens:
                self._free_slot(stream)
                events.append(AnswerDone(stream.key, stream.cached_tokens, stream.generated_tokens))

    def _preempt_newest(self) -> None:
        """Preempt the newest streams while memory is exceeded: requeue them, to read their prompts again."""
        while self._resources.used_memory > self._resources.machine.memory and len(self.running) > 1:
            newest = next(reversed(self.running.values()))
            self._free_slot(newest)
            newest.ready_at = NEVER
            self.queue.appendleft(newest)

    def _step_seconds(self) -> float:
        """Return the seconds until the next step, or NEVER if no stream has started."""
        machine = self._resources.machine
        started_count = sum(1 for stream in self.running.values() if stream.has_started)
        if not started_count:
            return NEVER
        slowdown_factor = 1.0 + machine.step_crowd * started_count / machine.slots
        slowdown_factor += machine.batch_drag * len(self._batches.running)
        return machine.step * slowdown_factor * self._resources.faults.slowdown

    def _free_slot(self, stream: Stream[KeyT]) -> None:
        self.running.pop(stream.key, None)
        self._resources.used_memory -= stream.used_memory
        stream.used_memory = 0.0
