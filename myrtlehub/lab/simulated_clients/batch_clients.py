"""The clients of the batch fronts: they send requests at planned times, and retry where that is safe."""

from collections.abc import Callable, Mapping
from random import Random

from myrtlehub.clock import Clock
from myrtlehub.lab.rule_checker.stored_records import FinalAnswer
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.simulated_clients.batch_call import BatchCall
from myrtlehub.lab.simulated_clients.batch_plan import PlannedBatch, plan_batches
from myrtlehub.lab.simulated_clients.batch_tally import BatchFigures, BatchTally
from myrtlehub.lab.simulated_clients.client_group import DISCONNECTED, RETRY_DELAY, ClientGroup
from myrtlehub.lab.simulated_clients.traffic import is_idempotent
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Connect
from myrtlehub.rpc.status import Status

MODELS = ("m1", "m2")  # versions that engines have during a scenario


class BatchClients(ClientGroup):
    """All clients of the batch fronts."""

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        dial_by_node: Mapping[str, Connect],
        recorder: Recorder,
        random: Random,
        rate: float,
        behind: Callable[[float], float],
        models: tuple[str, ...] = MODELS,
    ) -> None:
        """Plan all batches.

        Args:
            scenario: The scenario.
            clock: The clock of timers and measurements.
            dial_by_node: How to connect to each node.
            recorder: The recorder of clients.
            random: The source of the plan and of retry delays.
            rate: Batches per second.
            behind: Returns an upper bound, in seconds, on the lag of this process's event loop at a time.
            models: Versions of the model that engines have during the scenario.
        """
        super().__init__(scenario, clock, dial_by_node, recorder, random)
        self.behind = behind
        self.models = models
        self.planned = plan_batches(scenario, rate, random)
        self.tally = BatchTally()

    @property
    def faults(self) -> list[str]:
        """Descriptions of the faults found in answers."""
        return self.tally.faults

    def start(self) -> None:
        """Schedule each batch at its planned time (open loop: no request waits for an answer)."""
        self.open = len(self.planned)
        for plan in self.planned:
            self.clock.callLater(plan.at, self._start_call, plan, 0)

    def call_ended(self, call: BatchCall, status: Status) -> None:
        """Count the request of a call that ended, or retry it if that is safe."""
        can_retry = call.attempt < self.scenario.clients.retries and not call.has_disconnected
        if can_retry and _is_safe_to_retry(call, status):
            delay = self._with_jitter(call.retry_after) if call.retry_after else RETRY_DELAY
            self.clock.callLater(delay, self._start_call, call.plan, call.attempt + 1)
            return
        self.tally.add_answer(call.plan.traffic.name, call.answer or _end_without_answer(call, status))
        self._request_ended()

    def figures(self) -> BatchFigures:
        """Return figures for the verdict."""
        return self.tally.figures(len(self.planned))

    def _start_call(self, plan: PlannedBatch, attempt: int) -> None:
        BatchCall(self, plan, attempt, self.random.choice(self.nodes)).start()


def _is_safe_to_retry(call: BatchCall, status: Status) -> bool:
    if call.answer == FinalAnswer.REJECTED or (call.answer is None and status.unprocessed):
        return True
    return is_idempotent(call.plan.traffic) and call.answer != FinalAnswer.GENERATED


def _end_without_answer(call: BatchCall, status: Status) -> str:
    """Return the key under which a verdict counts a call without a final answer."""
    return DISCONNECTED if call.has_disconnected else status.code.name.lower()
