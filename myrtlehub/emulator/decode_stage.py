"""Generation of answers in an engine model: streams that advance by a token in common steps."""

from collections import OrderedDict, deque

from myrtlehub.emulator.batch_stage import BatchStage
from myrtlehub.emulator.events import (
    AnswerDone,
    Expired,
    FetchNeeded,
    ModelEvent,
    Refused,
    Started,
    TokensGenerated,
)
from myrtlehub.emulator.machine import NEVER, TIME_TOLERANCE, AttemptKey, Task
from myrtlehub.emulator.resources import Resources


class Stream:
    """One answer that waits, is prepared or is generated."""

    __slots__ = (
        "cached_tokens",
        "fetches_state",
        "generated",
        "has_started",
        "key",
        "ready_at",
        "task",
        "total",
        "used_memory",
    )

    def __init__(self, key: AttemptKey, task: Task, total: int, fetches_state: bool) -> None:
        self.key = key
        self.task = task
        self.total = total
        self.fetches_state = fetches_state
        self.cached_tokens = 0.0
        self.used_memory = 0.0
        self.generated = 0
        self.ready_at = NEVER
        self.has_started = False


class DecodeStage:
    """Queue and slots of an engine that generates answers."""

    def __init__(self, resources: Resources, batches: BatchStage) -> None:
        self._resources = resources
        self._batches = batches
        self.queue: deque[Stream] = deque()
        self.running: OrderedDict[AttemptKey, Stream] = OrderedDict()
        self._step_at = NEVER

    def has_room_for(self, task: Task) -> bool:
        """Return whether an attempt can be queued."""
        machine = self._resources.machine
        return len(self.queue) < machine.queue and task.prompt + task.max_output <= machine.memory

    def enqueue(self, stream: Stream) -> None:
        """Queue an attempt."""
        self.queue.append(stream)

    def cancel(self, key: AttemptKey) -> None:
        """Stop an attempt, whether it waits or runs."""
        for stream in list(self.queue):
            if stream.key == key:
                self.queue.remove(stream)
        if key in self.running:
            self._drop(self.running[key])

    def fetched(self, now: float, key: AttemptKey, is_whole: bool) -> list[ModelEvent]:
        """Continue a stream whose read state was fetched, or refuse it where that failed."""
        stream = self.running.get(key)
        if stream is None:
            return []
        if not is_whole:
            self._drop(stream)
            return [Refused(key, no_state=True)]
        stream.ready_at = now + self._resources.machine.begin
        return []

    def backlog(self) -> float:
        """Return the prompt tokens of streams that have not started."""
        queued = sum(stream.task.prompt for stream in self.queue)
        return queued + sum(s.task.prompt for s in self.running.values() if not s.has_started)

    def next_at(self) -> float:
        """Return when something is next due."""
        preparing = [stream.ready_at for stream in self.running.values() if not stream.has_started]
        return min(self._step_at, *preparing) if preparing else self._step_at

    def advance(self, now: float, events: list[ModelEvent]) -> None:
        """Do what is due by now."""
        self._fill_slots(now, events)
        if now >= self._step_at - TIME_TOLERANCE:
            self._step(now, events)

    def _fill_slots(self, now: float, events: list[ModelEvent]) -> None:
        slots = self._resources.slots(now)
        while self.queue and len(self.running) < slots and self._fits_memory(self.queue[0]):
            stream = self.queue.popleft()
            if now > stream.task.start_before and not stream.has_started:
                events.append(Expired(stream.key))
                continue
            self._prepare(now, stream, events)
        self._start_prepared(now, events)

    def _fits_memory(self, stream: Stream) -> bool:
        needed = self._resources.used_memory + stream.task.prompt + stream.generated
        return not self.running or needed <= self._resources.machine.memory

    def _prepare(self, now: float, stream: Stream, events: list[ModelEvent]) -> None:
        """Give a stream its slot and memory; fetch its read state or read its prompt here."""
        self.running[stream.key] = stream
        stream.used_memory = stream.task.prompt + stream.generated
        self._resources.used_memory += stream.used_memory
        if stream.fetches_state and not stream.has_started:
            events.append(FetchNeeded(stream.key))
            return
        stream.cached_tokens = self._resources.prefix_cache.find(stream.task)
        duration = self._resources.read_seconds(stream.task.prompt - stream.cached_tokens)
        duration *= 1.0 + self._resources.machine.batch_drag * len(self._batches.running)
        stream.ready_at = now + duration
        if self._step_at != NEVER:
            self._step_at += duration  # reading here delays the streams that run

    def _start_prepared(self, now: float, events: list[ModelEvent]) -> None:
        for stream in self.running.values():
            if stream.has_started or stream.ready_at > now + TIME_TOLERANCE:
                continue
            stream.has_started = True
            if not stream.fetches_state:
                self._resources.prefix_cache.store(stream.task)
            events.append(Started(stream.key))
            if self._step_at == NEVER:
                self._step_at = now

    def _step(self, now: float, events: list[ModelEvent]) -> None:
        self._generate_tokens(now, events)
        self._preempt_newest()
        self._fill_slots(now, events)
        self._step_at = now + self._step_seconds()

    def _generate_tokens(self, now: float, events: list[ModelEvent]) -> None:
        resources = self._resources
        ready_by = now + TIME_TOLERANCE
        for stream in list(self.running.values()):
            if not stream.has_started or stream.ready_at > ready_by:
                continue
            stream.generated += 1
            stream.used_memory += 1
            resources.used_memory += 1
            events.append(TokensGenerated(stream.key, 1))
            if stream.generated >= stream.total:
                self._drop(stream)
                events.append(AnswerDone(stream.key, stream.cached_tokens, stream.generated))

    def _preempt_newest(self) -> None:
        """Queue the newest streams again, to be read anew, while memory is exceeded."""
        while self._resources.used_memory > self._resources.machine.memory and len(self.running) > 1:
            newest = next(reversed(self.running.values()))
            self._drop(newest)
            newest.ready_at = NEVER
            self.queue.appendleft(newest)

    def _step_seconds(self) -> float:
        """Return the time until the next step; NEVER where no stream has started."""
        machine = self._resources.machine
        busy = sum(1 for stream in self.running.values() if stream.has_started)
        if not busy:
            return NEVER
        crowding = 1.0 + machine.step_crowd * busy / machine.slots
        crowding += machine.batch_drag * len(self._batches.running)
        return machine.step * crowding * self._resources.faults.slowdown

    def _drop(self, stream: Stream) -> None:
        self.running.pop(stream.key, None)
        self._resources.used_memory -= stream.used_memory
        stream.used_memory = 0.0
