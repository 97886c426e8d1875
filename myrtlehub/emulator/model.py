"""A simulated engine without sockets or a clock; the caller passes the current time.

The machine has slots, a queue, memory, a prefix cache, a prefill rate, and a time per decode step that grows
with the number of running streams. A cold engine has part of its capacity, and crashes if it receives much
more work than that. Emulated engines on sockets and in-process experiments use the same model. Its methods
return events (`myrtlehub.emulator.events`).
"""

from random import Random
from typing import Generic, NamedTuple

from myrtlehub.emulator.batch_stage import BatchStage
from myrtlehub.emulator.decode_stage import DecodeStage, Stream
from myrtlehub.emulator.events import Crashed, Failed, FreeReason, ModelEvent, Rejected, StateFreed
from myrtlehub.emulator.faults import FaultKind
from myrtlehub.emulator.machine import NEVER, KeyT, Machine, Task
from myrtlehub.emulator.prefill_stage import PrefillStage
from myrtlehub.emulator.resources import Resources

EXPECTED_OUTPUT_SHARE = 0.25  # fraction of the maximum output that a work estimate assumes
MIN_OUTPUT_SHARE = 0.1  # minimum answer length, as a fraction of the maximum output
OUTPUT_SHARE_RANGE = 0.4  # range of the random fraction added to MIN_OUTPUT_SHARE


class ModelLoad(NamedTuple):
    """The load of an engine model, with the field names of the protocol's load report."""

    memory_share: float  # fraction in use
    unread: float  # prompt and batch tokens still to be processed


class EngineModel(Generic[KeyT]):
    """One engine, composed of the stages that read prompts, generate answers and compute batches."""

    def __init__(self, machine: Machine, seed: int, started: float | None = None) -> None:
        """Make an engine.

        Args:
            machine: the parameters of the machine.
            seed: for the random choices of the model.
            started: time of a cold start; None for a warm engine.
        """
        self.machine = machine
        self._random = Random(seed).random
        self.resources = Resources(machine, started)
        self.prefill = PrefillStage[KeyT](self.resources)
        self.batches = BatchStage[KeyT](self.resources)
        self.decode = DecodeStage[KeyT](self.resources, self.batches)
        self.has_crashed = False

    @property
    def is_hung(self) -> bool:
        """Whether an injected fault makes the engine hang."""
        return self.resources.faults.is_hung

    @property
    def slowdown(self) -> float:
        """The factor by which an injected fault lengthens processing times."""
        return self.resources.faults.slowdown

    def inject_fault(self, now: float, kind: FaultKind, factor: float, seconds: float) -> None:
        """Inject a fault, or clear all faults.

        Args:
            now: the current time.
            kind: the fault; `NONE` clears all of them.
            factor: slowdown factor or fraction of attempts, depending on the kind.
            seconds: duration; 0: until the fault is cleared.

        Raises:
            UnknownFaultError: the model does not support this fault.
        """
        if kind == FaultKind.NONE:
            self.resources.faults.clear()
        elif kind == FaultKind.FLUSH:
            self.resources.prefix_cache.clear()
        else:
            self.resources.faults.inject(now, kind, factor, seconds)

    def estimate_slot_seconds(self, task: Task, is_read: bool, fetches_state: bool) -> float:
        """Estimate the slot-seconds of an attempt on a warm engine without cached prefixes."""
        read_seconds = 0.0 if fetches_state else task.prompt_tokens / self.machine.read_rate
        return (
            read_seconds
            if is_read
            else read_seconds + EXPECTED_OUTPUT_SHARE * task.max_output_tokens * self.machine.step
        )

    def read(self, now: float, key: KeyT, task: Task) -> list[ModelEvent[KeyT]]:
        """Receive an attempt to read a prompt."""
        fault_events = self._apply_admission_faults(
            now, key, self.estimate_slot_seconds(task, is_read=True, fetches_state=False)
        )
        if fault_events is not None:
            return fault_events
        if not self.prefill.has_capacity_for(task):
            return [Rejected(key)]
        self.prefill.enqueue(key, task)
        return self.tick(now)

    def write(self, now: float, key: KeyT, task: Task, fetches_state: bool) -> list[ModelEvent[KeyT]]:
        """Receive an attempt to generate an answer, from a fetched read state or from the prompt."""
        fault_events = self._apply_admission_faults(
            now, key, self.estimate_slot_seconds(task, is_read=False, fetches_state=fetches_state)
        )
        if fault_events is not None:
            return fault_events
        if not self.decode.has_capacity_for(task):
            return [Rejected(key)]
        output_share = MIN_OUTPUT_SHARE + OUTPUT_SHARE_RANGE * self._random()
        output_tokens = max(1, round(task.max_output_tokens * output_share))
        self.decode.enqueue(Stream(key, task, output_tokens, fetches_state))
        return self.tick(now)

    def batch(
        self, now: float, key: KeyT, tokens: float, expires_at: float = NEVER
    ) -> list[ModelEvent[KeyT]]:
        """Receive a batch, whose items are computed in one pass."""
        fault_events = self._apply_admission_faults(now, key, tokens / self.machine.batch_rate)
        if fault_events is not None:
            return fault_events
        if not self.batches.has_capacity():
            return [Rejected(key)]
        self.batches.enqueue(key, tokens, expires_at)
        return self.tick(now)

    def _apply_admission_faults(
        self, now: float, key: KeyT, slot_seconds: float
    ) -> list[ModelEvent[KeyT]] | None:
        """Count an attempt's work; return events if a crash or fault prevents the attempt, else None."""
        if self.has_crashed:
            return []
        if self.resources.warm_up.is_overloaded_after(now, slot_seconds):
            self.has_crashed = True
            return [Crashed()]
        faults = self.resources.faults
        if faults.is_hung:
            return []
        if faults.fail_probability and self._random() < faults.fail_probability:
            return [Failed(key)]
        if faults.reject_probability and self._random() < faults.reject_probability:
            return [Rejected(key)]
        return None

    def fetched(self, now: float, key: KeyT, is_complete: bool) -> list[ModelEvent[KeyT]]:
        """Continue an attempt after `FetchNeeded`; `is_complete`: the entire read state was fetched."""
        if key not in self.decode.running:
            return []
        return [*self.decode.fetched(now, key, is_complete), *self.tick(now)]

    def cancel(self, now: float, key: KeyT) -> list[ModelEvent[KeyT]]:
        """Remove an attempt from all stages."""
        self.prefill.cancel(key)
        self.decode.cancel(key)
        self.batches.cancel(key)
        return self.tick(now)

    def release(
        self, now: float, sequence_id: str, reason: FreeReason = FreeReason.RELEASED
    ) -> list[ModelEvent[KeyT]]:
        """Free the read state of a sequence, if there is one."""
        tokens = self.prefill.free_state(sequence_id)
        if not tokens:
            return []
        return [StateFreed(sequence_id, tokens, reason), *self.tick(now)]

    def state_tokens(self, sequence_id: str) -> float:
        """Return the tokens of a read state, or 0 if there is none."""
        return self.prefill.state_tokens(sequence_id)

    def load(self) -> ModelLoad:
        """Return the current load."""
        batch_tokens = self.batches.backlog()
        memory_share = (self.resources.used_memory + batch_tokens) / self.machine.memory
        unread = self.prefill.backlog() + self.decode.backlog() + batch_tokens
        return ModelLoad(min(1.0, memory_share), unread)

    def next_at(self) -> float:
        """Return when `tick` must be called next, or NEVER."""
        if self.has_crashed:
            return NEVER
        faults = self.resources.faults
        if faults.is_hung:
            return faults.end_at
        return min(faults.end_at, self.prefill.next_at(), self.decode.next_at(), self.batches.next_at())

    def tick(self, now: float) -> list[ModelEvent[KeyT]]:
        """Advance all stages to the current time."""
        if now >= self.resources.faults.end_at:
            self.resources.faults.clear()
        if self.has_crashed or self.is_hung:
            return []
        events: list[ModelEvent[KeyT]] = []
        self.prefill.advance(now, events)
        self.decode.advance(now, events)
        self.batches.advance(now, len(self.decode.running), events)
        return events
