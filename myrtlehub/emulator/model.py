"""What a stand-in engine does, as a pure model: no sockets, no clock but the times it is handed.

Simulated: a made-up machine with slots, a queue, memory, kept prefixes, a reading rate and a step between
tokens that grows with the streams that run. A process that has just started can do only part of its work;
sent
much more than that, it falls over and stays down. The same model stands behind the stand-in's sockets and
behind experiments without any. Calls return events, tuples with a verb first:

    ("read", key, kept, tokens)      a prompt is read; its state is held
    ("batched", key)                 a batch is done
    ("fetch", key)                   a writer has a slot and memory: fetch the state now, then call `fetched`
    ("ran", key)                     an answer begins to be made: from here on it has had its effect
    ("tokens", key, count)           tokens of a stream
    ("ended", key, kept, tokens)     an answer is complete
    ("refused", key, no_state)       not run
    ("failed", key)                  an error, as a fault wants it
    ("expired", key)                 not begun: its time is over
    ("freed", seq, tokens, why)      a held state was let go
    ("fell",)                        pushed over while cold: nothing more is done
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

NEVER = float("inf")
LIKELY_OUTPUT = 0.25


@dataclass(frozen=True)
class Machine:
    """Figures of the made-up machine; times are seconds, memory and kept text tokens."""

    slots: int = 8
    queue: int = 32
    memory: float = 200000.0
    read_rate: float = 16000.0
    step: float = 0.02
    step_crowd: float = 0.5
    fetch_rate: float = 250000.0
    kept: float = 60000.0
    cold_share: float = 0.25
    cold_time: float = 10.0
    fall_multiple: float = 2.5
    fall_time: float = 1.0
    state_bound: float = 3.0
    begin: float = 0.0  # from a state to the first step of its answer
    batch_base: float = 0.006
    batch_rate: float = 60000.0
    batch_slots: int = 1
    batch_queue: int = 16
    batch_drag: float = 0.5


class Task(NamedTuple):
    """One attempt as the engine got it."""

    seq: str
    prompt: float
    most_output: float
    session: str = ""
    prefix: str = ""
    shared: float = 0.0
    mark: str = ""
    until: float = NEVER  # not begun after this


class Running:
    """A stream being written."""

    __slots__ = ("done", "fetches", "holds", "kept", "key", "ran", "ready_at", "task", "total")

    def __init__(self, key: object, task: Task, total: int, fetches: bool) -> None:
        self.key, self.task, self.total, self.fetches = key, task, total, fetches
        self.kept = self.holds = 0.0
        self.done, self.ready_at, self.ran = 0, NEVER, False


class EngineModel:
    """One engine. `started` is the time of a cold start, None if it has long run."""

    def __init__(self, machine: Machine, seed: int, started: float | None = None) -> None:
        self.m, self.started = machine, started
        self._random = Random(seed).random
        self.reading: dict[object, tuple[float, Task, float]] = {}  # key: ready at, task, kept
        self.read_queue: deque[tuple[object, Task]] = deque()
        self.states: OrderedDict[str, tuple[float, float]] = OrderedDict()  # seq: tokens, held since
        self.running: OrderedDict[object, Running] = OrderedDict()
        self.write_queue: deque[Running] = deque()
        self.batch_queue: deque[tuple[object, float, float]] = deque()  # key, tokens, until
        self.batching: dict[object, tuple[float, float]] = {}  # key: ready at, tokens
        self.kept: OrderedDict[str, float] = OrderedDict()
        self.held = 0.0
        self.step_at = NEVER
        self.fallen = self.hung = False
        self.slow, self.refusing, self.erring = 1.0, 0.0, 0.0
        self.well_at = NEVER
        self._sent: deque[tuple[float, float]] = deque()
        self._sent_sum = 0.0

    # -- faults -----------------------------------------------------------------------------------

    def misbehave(self, now: float, how: str, factor: float, seconds: float) -> None:
        """Begin a fault, or with "well" end all of them. ValueError for one not known."""
        if how == "well":
            self.hung, self.slow, self.refusing, self.erring, self.well_at = False, 1.0, 0.0, 0.0, NEVER
            return
        if how == "flush":
            self.kept.clear()
            return
        if how == "hang":
            self.hung = True
        elif how == "slow":
            self.slow = max(1.0, factor)
        elif how == "refuse":
            self.refusing = factor or 1.0
        elif how == "error":
            self.erring = factor or 1.0
        else:
            raise ValueError(f"{how!r} is not one of hang, refuse, error, slow, flush, break, model, well")
        self.well_at = now + seconds if seconds else NEVER

    # -- calls ------------------------------------------------------------------------------------

    def capacity(self, now: float) -> float:
        """Share of its work that it can do now: 1 once warm."""
        if self.started is None:
            return 1.0
        age = max(0.0, now - self.started) / max(self.m.cold_time, 1e-9)
        return min(1.0, self.m.cold_share + (1.0 - self.m.cold_share) * age)

    def work(self, task: Task, reads: bool, fetches: bool) -> float:
        """Slot-seconds of an attempt on a warm engine, without what is kept."""
        read = 0.0 if fetches else task.prompt / self.m.read_rate
        return read if reads else read + LIKELY_OUTPUT * task.most_output * self.m.step

    def read(self, now: float, key: object, task: Task) -> list[tuple]:
        """An attempt to read."""
        out = self._arrived(now, key, self.work(task, True, False))
        if out is not None:
            return out
        if len(self.read_queue) >= self.m.queue or self.held + task.prompt > self.m.memory:
            return [("refused", key, False)]
        self.held += task.prompt
        self.read_queue.append((key, task))
        return self.tick(now)

    def write(self, now: float, key: object, task: Task, fetches: bool) -> list[tuple]:
        """An attempt to write, from a state to be fetched or by reading here."""
        out = self._arrived(now, key, self.work(task, False, fetches))
        if out is not None:
            return out
        if len(self.write_queue) >= self.m.queue or task.prompt + task.most_output > self.m.memory:
            return [("refused", key, False)]
        total = max(1, round(task.most_output * (0.1 + 0.4 * self._random())))
        self.write_queue.append(Running(key, task, total, fetches))
        return self.tick(now)

    def batch(self, now: float, key: object, tokens: float, until: float = NEVER) -> list[tuple]:
        """A part of a batch: all its items in one go."""
        out = self._arrived(now, key, tokens / self.m.batch_rate)
        if out is not None:
            return out
        if len(self.batch_queue) >= self.m.batch_queue:
            return [("refused", key, False)]
        self.batch_queue.append((key, tokens, until))
        return self.tick(now)

    def _do_batches(self, now: float, out: list[tuple]) -> None:
        for key, (ready, _) in list(self.batching.items()):
            if ready <= now + 1e-9:
                del self.batching[key]
                out.append(("batched", key))
        while self.batch_queue and len(self.batching) < self.m.batch_slots:
            key, tokens, until = self.batch_queue.popleft()
            if now > until:
                out.append(("expired", key))
                continue
            # Streams beside it take their part of the machine.
            beside = 1.0 + self.m.batch_drag * len(self.running) / self.m.slots
            takes = (self.m.batch_base + tokens / self.m.batch_rate * beside) * self.slow / self.capacity(now)
            self.batching[key] = (now + takes, tokens)
            out.append(("ran", key))

    def _arrived(self, now: float, key: object, work: float) -> list[tuple] | None:
        """Load of what reaches us, refused or not; the answer where it is not taken."""
        if self.fallen:
            return []
        self._sent.append((now, work))
        self._sent_sum += work
        while self._sent and self._sent[0][0] <= now - self.m.fall_time:
            self._sent_sum -= self._sent.popleft()[1]
        able = self.m.slots * self.capacity(now) * self.m.fall_time
        if self.capacity(now) < 1.0 and self._sent_sum > self.m.fall_multiple * able:
            self.fallen = True
            return [("fell",)]
        if self.hung:
            return []
        if self.erring and self._random() < self.erring:
            return [("failed", key)]
        if self.refusing and self._random() < self.refusing:
            return [("refused", key, False)]
        return None

    def fetched(self, now: float, key: object, whole: bool) -> list[tuple]:
        """The state asked for by ("fetch", key) came, or did not."""
        stream = self.running.get(key)
        if stream is None:
            return []
        if not whole:
            self._drop(stream)
            return [("refused", key, True), *self.tick(now)]
        stream.ready_at = now + self.m.begin
        return self.tick(now)

    def cancel(self, now: float, key: object) -> list[tuple]:
        """Nobody waits for this attempt any more: stop it, wherever it is."""
        for item in list(self.read_queue):
            if item[0] == key:
                self.read_queue.remove(item)
                self.held -= item[1].prompt
        if key in self.reading:
            self.held -= self.reading.pop(key)[1].prompt
        for stream in list(self.write_queue):
            if stream.key == key:
                self.write_queue.remove(stream)
        if key in self.running:
            self._drop(self.running[key])
        self.batch_queue = deque(b for b in self.batch_queue if b[0] != key)
        self.batching.pop(key, None)
        return self.tick(now)

    def release(self, now: float, seq: str, why: str = "released") -> list[tuple]:
        """Let go of the state held for a sequence; none is no error."""
        tokens = self.states.pop(seq, (0.0, 0.0))[0]
        if not tokens:
            return []
        self.held -= tokens
        return [("freed", seq, tokens, why), *self.tick(now)]

    def state_tokens(self, seq: str) -> float:
        """Tokens of a held state; 0 where there is none."""
        return self.states.get(seq, (0.0, 0.0))[0]

    def load(self) -> dict[str, float]:
        """The load report."""
        unread = sum(t.prompt for _, t in self.read_queue) + sum(
            t.prompt for _, t, _ in self.reading.values()
        )
        unread += sum(s.task.prompt for s in self.write_queue)
        unread += sum(s.task.prompt for s in self.running.values() if not s.ran)
        batches = sum(t for _, t, _ in self.batch_queue) + sum(t for _, t in self.batching.values())
        return {"memory_share": min(1.0, (self.held + batches) / self.m.memory), "unread": unread + batches}

    # -- time -------------------------------------------------------------------------------------

    def next_at(self) -> float:
        """When `tick` is next due."""
        if self.fallen:
            return NEVER
        if self.hung:
            return self.well_at
        soonest = min((ready for ready, _, _ in self.reading.values()), default=NEVER)
        if self.states:
            soonest = min(soonest, next(iter(self.states.values()))[1] + self.m.state_bound)
        soonest = min(soonest, self.step_at, self.well_at)
        for stream in self.running.values():
            if not stream.ran:
                soonest = min(soonest, stream.ready_at)
        return min(soonest, min((ready for ready, _ in self.batching.values()), default=NEVER))

    def tick(self, now: float) -> list[tuple]:
        """All that is due by now."""
        if now >= self.well_at:
            self.misbehave(now, "well", 0.0, 0.0)
        if self.fallen or self.hung:
            return []
        out: list[tuple] = []
        self._finish_reads(now, out)
        self._start_reads(now, out)
        while self.states and next(iter(self.states.values()))[1] + self.m.state_bound <= now:
            seq = next(iter(self.states))
            tokens = self.states.pop(seq)[0]
            self.held -= tokens
            out.append(("freed", seq, tokens, "bound"))
        self._start_writes(now, out)
        if now >= self.step_at - 1e-9:
            self._step(now, out)
        self._do_batches(now, out)
        return out

    def _finish_reads(self, now: float, out: list[tuple]) -> None:
        for key, (ready, task, kept) in list(self.reading.items()):
            if ready <= now + 1e-9:
                del self.reading[key]
                old = self.states.pop(task.seq, (0.0, 0.0))[0]
                self.held -= old
                self.states[task.seq] = (task.prompt, now)
                self._keep(task)
                out.append(("read", key, kept, task.prompt))

    def _start_reads(self, now: float, out: list[tuple]) -> None:
        slots = max(1, int(self.m.slots * self.capacity(now)))
        while self.read_queue and len(self.reading) < slots:
            key, task = self.read_queue.popleft()
            kept = self._found(task)
            takes = (task.prompt - kept) / self.m.read_rate * self.slow + 0.001
            if now + takes > task.until:
                self.held -= task.prompt
                out.append(("expired", key))
                continue
            self.reading[key] = (now + takes, task, kept)

    def _start_writes(self, now: float, out: list[tuple]) -> None:
        slots = max(1, int(self.m.slots * self.capacity(now)))
        while self.write_queue and len(self.running) < slots:
            stream = self.write_queue[0]
            if self.running and self.held + stream.task.prompt + stream.done > self.m.memory:
                break
            self.write_queue.popleft()
            if now > stream.task.until and not stream.ran:
                out.append(("expired", stream.key))
                continue
            self.running[stream.key] = stream
            stream.holds = stream.task.prompt + stream.done
            self.held += stream.holds
            if stream.fetches and not stream.ran:
                out.append(("fetch", stream.key))
                continue
            stream.kept = self._found(stream.task)
            takes = (stream.task.prompt - stream.kept) / self.m.read_rate * self.slow
            takes *= 1.0 + self.m.batch_drag * len(self.batching)
            stream.ready_at = now + takes
            if self.step_at != NEVER:
                self.step_at += takes  # its own reading holds up the streams that run
        for stream in list(self.running.values()):
            if stream.ready_at <= now + 1e-9 and not stream.ran:
                stream.ran = True
                if not stream.fetches:
                    self._keep(stream.task)
                out.append(("ran", stream.key))
                if self.step_at == NEVER:
                    self.step_at = now

    def _step(self, now: float, out: list[tuple]) -> None:
        for stream in list(self.running.values()):
            if not stream.ran or stream.ready_at > now + 1e-9:
                continue
            stream.done += 1
            stream.holds += 1
            self.held += 1
            out.append(("tokens", stream.key, 1))
            if stream.done >= stream.total:
                self._drop(stream)
                out.append(("ended", stream.key, stream.kept, stream.done))
        while self.held > self.m.memory and len(self.running) > 1:
            # Out of memory: the newest answer goes back into the queue and is read anew.
            newest = next(reversed(self.running.values()))
            self._drop(newest)
            newest.ready_at = NEVER
            self.write_queue.appendleft(newest)
        self._start_writes(now, out)
        busy = sum(1 for s in self.running.values() if s.ran)
        crowd = 1.0 + self.m.step_crowd * busy / self.m.slots + self.m.batch_drag * len(self.batching)
        self.step_at = now + self.m.step * crowd * self.slow if busy else NEVER

    def _drop(self, stream: Running) -> None:
        self.running.pop(stream.key, None)
        self.held -= stream.holds
        stream.holds = 0.0

    def _found(self, task: Task) -> float:
        best = 0.0
        for name, most in ((f"s:{task.session}", task.prompt), (f"p:{task.prefix}", task.shared)):
            if name in self.kept and name[2:]:
                self.kept.move_to_end(name)
                best = max(best, min(self.kept[name], most))
        return min(best, max(0.0, task.prompt - 1.0))

    def _keep(self, task: Task) -> None:
        for name, tokens in ((f"s:{task.session}", task.prompt), (f"p:{task.prefix}", task.shared)):
            if name[2:] and tokens:
                self.kept.pop(name, None)
                self.kept[name] = tokens
        while sum(self.kept.values()) > self.m.kept and self.kept:
            self.kept.popitem(last=False)
