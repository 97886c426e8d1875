"""A pure model of an engine: no sockets, and no clock but the times that it is given.

Simulated: a made-up machine with slots, a queue, memory, cached prefixes, a reading rate and a step between
tokens that grows with the streams that run. An engine that has just started can do only part of its work;
sent much more than that, it crashes and stays down. The same model serves emulated engines on sockets and
experiments without any. Calls return events (`events`).
"""

from random import Random

from myrtlehub.emulator.batch_stage import BatchStage
from myrtlehub.emulator.decode_stage import DecodeStage, Stream
from myrtlehub.emulator.events import Crashed, Failed, FreeReason, ModelEvent, Refused, StateFreed
from myrtlehub.emulator.faults import FaultKind
from myrtlehub.emulator.machine import NEVER, AttemptKey, Machine, Task
from myrtlehub.emulator.prefill_stage import PrefillStage
from myrtlehub.emulator.resources import Resources

EXPECTED_OUTPUT_SHARE = 0.25  # of the longest output, when work is estimated
LEAST_OUTPUT_SHARE = 0.1  # of the longest output, that an answer has
OUTPUT_SHARE_SPREAD = 0.4


class EngineModel:
    """One engine, made of the stages that read, generate and compute batches."""

    def __init__(self, machine: Machine, seed: int, started: float | None = None) -> None:
        """Make one; `started` is the time of a cold start, None if it has run for long."""
        self.machine = machine
        self._random = Random(seed).random
        self.resources = Resources(machine, started)
        self.prefill = PrefillStage(self.resources)
        self.batches = BatchStage(self.resources)
        self.decode = DecodeStage(self.resources, self.batches)
        self.has_crashed = False

    @property
    def is_hung(self) -> bool:
        """Whether an injected fault keeps it from doing anything."""
        return self.resources.faults.is_hung

    @property
    def slowdown(self) -> float:
        """The factor by which an injected fault makes work longer."""
        return self.resources.faults.slowdown

    def inject_fault(self, now: float, kind: FaultKind, factor: float, seconds: float) -> None:
        """Begin a fault for so many seconds (0: until it is ended), or end all of them.

        Raises:
            UnknownFaultError: the model does not have it.
        """
        if kind == FaultKind.NONE:
            self.resources.faults.clear()
        elif kind == FaultKind.FLUSH:
            self.resources.prefix_cache.clear()
        else:
            self.resources.faults.inject(now, kind, factor, seconds)

    def work(self, task: Task, reads: bool, fetches: bool) -> float:
        """Return the slot-seconds of an attempt on a warm engine, with nothing cached."""
        read = 0.0 if fetches else task.prompt / self.machine.read_rate
        return read if reads else read + EXPECTED_OUTPUT_SHARE * task.max_output * self.machine.step

    def read(self, now: float, key: AttemptKey, task: Task) -> list[ModelEvent]:
        """Receive an attempt to read."""
        answer = self._answer_at_once(now, key, self.work(task, reads=True, fetches=False))
        if answer is not None:
            return answer
        if not self.prefill.has_room_for(task):
            return [Refused(key)]
        self.prefill.enqueue(key, task)
        return self.tick(now)

    def write(self, now: float, key: AttemptKey, task: Task, fetches: bool) -> list[ModelEvent]:
        """Receive an attempt to write, from a read state to be fetched or by reading here."""
        answer = self._answer_at_once(now, key, self.work(task, reads=False, fetches=fetches))
        if answer is not None:
            return answer
        if not self.decode.has_room_for(task):
            return [Refused(key)]
        share = LEAST_OUTPUT_SHARE + OUTPUT_SHARE_SPREAD * self._random()
        total = max(1, round(task.max_output * share))
        self.decode.enqueue(Stream(key, task, total, fetches))
        return self.tick(now)

    def batch(
        self, now: float, key: AttemptKey, tokens: float, start_before: float = NEVER
    ) -> list[ModelEvent]:
        """Receive a part of a batch: all its items in one pass."""
        answer = self._answer_at_once(now, key, tokens / self.machine.batch_rate)
        if answer is not None:
            return answer
        if not self.batches.has_room():
            return [Refused(key)]
        self.batches.enqueue(key, tokens, start_before)
        return self.tick(now)

    def _answer_at_once(self, now: float, key: AttemptKey, work: float) -> list[ModelEvent] | None:
        """Count the load of an attempt; return the answer where faults decide it, None to go on."""
        if self.has_crashed:
            return []
        if self.resources.warm_up.is_overloaded_by(now, work):
            self.has_crashed = True
            return [Crashed()]
        faults = self.resources.faults
        if faults.is_hung:
            return []
        if faults.failed_share and self._random() < faults.failed_share:
            return [Failed(key)]
        if faults.refused_share and self._random() < faults.refused_share:
            return [Refused(key)]
        return None

    def fetched(self, now: float, key: AttemptKey, is_whole: bool) -> list[ModelEvent]:
        """Continue after FetchNeeded: the read state came, or did not."""
        if key not in self.decode.running:
            return []
        return [*self.decode.fetched(now, key, is_whole), *self.tick(now)]

    def cancel(self, now: float, key: AttemptKey) -> list[ModelEvent]:
        """Stop an attempt that nobody waits for any more, wherever it is."""
        self.prefill.cancel(key)
        self.decode.cancel(key)
        self.batches.cancel(key)
        return self.tick(now)

    def release(
        self, now: float, sequence_id: str, reason: FreeReason = FreeReason.RELEASED
    ) -> list[ModelEvent]:
        """Free the read state of a sequence; none is no error."""
        tokens = self.prefill.drop_state(sequence_id)
        if not tokens:
            return []
        return [StateFreed(sequence_id, tokens, reason), *self.tick(now)]

    def state_tokens(self, sequence_id: str) -> float:
        """Return the tokens of a read state; 0 where there is none."""
        return self.prefill.state_tokens(sequence_id)

    def load(self) -> dict[str, float]:
        """Return the fields of the load report."""
        batch_tokens = self.batches.backlog()
        memory_share = (self.resources.used_memory + batch_tokens) / self.machine.memory
        unread = self.prefill.backlog() + self.decode.backlog() + batch_tokens
        return {"memory_share": min(1.0, memory_share), "unread": unread}

    def next_at(self) -> float:
        """Return when `tick` is next due."""
        if self.has_crashed:
            return NEVER
        faults = self.resources.faults
        if faults.is_hung:
            return faults.end_at
        return min(faults.end_at, self.prefill.next_at(), self.decode.next_at(), self.batches.next_at())

    def tick(self, now: float) -> list[ModelEvent]:
        """Do all that is due by now."""
        if now >= self.resources.faults.end_at:
            self.resources.faults.clear()
        if self.has_crashed or self.is_hung:
            return []
        events: list[ModelEvent] = []
        self.prefill.advance(now, events)
        self.decode.advance(now, events)
        self.batches.advance(now, len(self.decode.running), events)
        return events
