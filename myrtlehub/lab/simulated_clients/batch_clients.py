"""The clients of the batch fronts: they check each answer for value, order and completeness.

What emulated engines answer is a function of the input and the model's version, so the clients can tell.
"""

from collections.abc import Callable
from random import Random

from myrtlehub.clock import Clock
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.simulated_clients.batch_call import GENERATED, BatchCall
from myrtlehub.lab.simulated_clients.batch_plan import IDEMPOTENT, PlannedBatch, plan_batches
from myrtlehub.lab.simulated_clients.recorded_call import ClientGroup
from myrtlehub.records import Recorder
from myrtlehub.rpc.status import Status

REJECTED = "rejected"
MODELS = ("m1", "m2")  # versions that engines have during a scenario
RETRY_DELAY = 0.05  # seconds, where no other is asked for
RETRY_JITTER = 0.5  # share of Retry-After that may come on top


class BatchClients(ClientGroup):
    """All clients of the batch fronts."""

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        dial_by_node: dict[str, Callable],
        recorder: Recorder,
        random: Random,
        rate: float,
        behind: Callable[[float], float],
        models: tuple[str, ...] = MODELS,
    ) -> None:
        """Make them; `behind(now)`: by how much this process may be late to see what it sees."""
        super().__init__(scenario, clock, dial_by_node, recorder, random)
        self.behind = behind
        self.models = models
        self.planned = plan_batches(scenario, rate, random)
        self.calls = 0
        self.checked_items = 0
        self.cached_items = 0
        self.faults: list[str] = []
        self._answers: dict[str, dict[str, int]] = {}  # counts, by traffic type and answer

    def start(self) -> None:
        """Ask for every batch at its time, whatever became of others."""
        self.open = len(self.planned)
        for plan in self.planned:
            self.clock.callLater(plan.at, self._start_call, plan, 0)

    def add_fault(self, call: BatchCall, text: str) -> None:
        """Note that an answer is not what was asked for."""
        items = len(call.plan.inputs)
        self.faults.append(f"{call.name} ({call.plan.traffic.name}, {items} items): {text}")

    def call_ended(self, call: BatchCall, status: Status) -> None:
        """Count a call, or call again where its answer allows that."""
        can_retry = call.number < self.scenario.clients.retries and not call.has_left
        if can_retry and _is_safe_to_retry(call, status):
            delay = RETRY_DELAY
            if call.retry_after:
                delay = call.retry_after * (1.0 + RETRY_JITTER * self.random.random())
            self.clock.callLater(delay, self._start_call, call.plan, call.number + 1)
            return
        self.open -= 1
        answers = self._answers.setdefault(call.plan.traffic.name, {})
        answer = call.answer or ("left" if call.has_left else status.code.name.lower())
        answers[answer] = answers.get(answer, 0) + 1
        if not self.open:
            self.on_quiet()

    def figures(self) -> dict:
        """Return figures for the verdict."""
        return {
            "batches": len(self.planned),
            "tries": self.calls,
            "items": self.checked_items,
            "kept": self.cached_items,
            "answers": self._answers,
            "faults": self.faults,
        }

    def _start_call(self, plan: PlannedBatch, number: int) -> None:
        BatchCall(self, plan, number, self.random.choice(self.nodes)).start()


def _is_safe_to_retry(call: BatchCall, status: Status) -> bool:
    if call.answer == REJECTED or (not call.answer and status.unprocessed):
        return True
    return call.plan.traffic.repeats == IDEMPOTENT and call.answer != GENERATED
