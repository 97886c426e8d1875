"""The clients of the chat front: they ask at planned times, retry and resume as answers allow."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import NamedTuple

from myrtlehub.clock import Clock, Timer
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.simulated_clients.chat_call import ChatCall
from myrtlehub.lab.simulated_clients.recorded_call import ClientGroup
from myrtlehub.lab.simulated_clients.sequence_plan import CHAT_FRONT, PlannedSequence, plan_sequences
from myrtlehub.lab.simulated_clients.tally import Tally
from myrtlehub.limits.event_loop_lag import LagMeter
from myrtlehub.records import Recorder
from myrtlehub.rpc.status import Code, Status

GENERATED = "generated"
REJECTED = "rejected"
ABORTED = "aborted"
IDEMPOTENT = "repeatable"
MAX_RESUMES = 12  # of one sequence
RESUME_BACKOFF = 0.15  # seconds a resume, at most
RESUME_UNPROCESSED_BACKOFF = 0.1  # seconds a resume
RETRY_DELAY = 0.05  # seconds, where no other is asked for
RETRY_JITTER = 0.5  # share of Retry-After that may come on top
UNPROCESSED_RETRIES = 2  # more than the scenario's, where the node never saw the call


class LostStage(StrEnum):
    """Where a sequence was when its node was lost."""

    WAITING = "waiting"
    STREAMING = "streaming"


class LostSequence(NamedTuple):
    """What became of a sequence whose node was lost."""

    retry_semantics: str
    stage: LostStage
    answer: str


class ChatClients(ClientGroup):
    """All clients of the chat front."""

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        dial_by_node: dict[str, Callable],
        recorder: Recorder,
        random: Random,
        rate: float,
    ) -> None:
        super().__init__(scenario, clock, dial_by_node, recorder, random)
        takeover = scenario.takeover
        self.can_resume = takeover is not None and takeover.on
        self.pauses: list[float] = []  # seconds from the last token at a lost node to the next one
        self.lost: Counter[LostSequence] = Counter()
        self.whole_time = scenario.clients.whole
        self.asked = 0
        self.lag = LagMeter()  # of this process, not of a node
        self._planned = plan_sequences(scenario, rate, random)
        self.tallies = {traffic.name: Tally() for traffic in scenario.traffic if traffic.front == CHAT_FRONT}
        self._is_stopped = False
        self._lag_timer: Timer | None = None

    def behind(self, now: float) -> float:
        """Return by how much this process may itself be late to see what it now sees."""
        return round(self.lag.age(now), 4)

    def start(self) -> None:
        """Ask for every sequence at its time, whatever became of others."""
        self._measure_lag()
        for plan in self._planned:
            self.clock.callLater(plan.at, self._ask, plan)

    def stop(self) -> None:
        """Ask for nothing more; open sequences continue."""
        self._is_stopped = True

    def close(self) -> None:
        """Close all channels."""
        if self._lag_timer is not None and self._lag_timer.active():
            self._lag_timer.cancel()
        super().close()

    def _measure_lag(self) -> None:
        now = self.clock.seconds()
        self._lag_timer = self.clock.callLater(self.lag.tick(now) - now, self._measure_lag)

    def _ask(self, plan: PlannedSequence) -> None:
        if self._is_stopped:
            return
        tally = self.tallies[plan.traffic.name]
        tally.asked += 1
        tally.utility += plan.traffic.utility
        self.open += 1
        self.asked += 1
        self._start_call(plan, 0, self.random.choice(self.nodes))

    def _start_call(self, plan: PlannedSequence, number: int, node: str) -> None:
        ChatCall(self, plan, number, node).start()

    def _resume(self, call: ChatCall, node: str) -> None:
        """Call again for the rest of a sequence whose node was lost."""
        ChatCall(self, call.plan, call.number + 1, node, call).start()

    def _other_nodes(self, node: str) -> list[str]:
        return [other for other in self.nodes if other != node] or self.nodes

    # -- the end of a call ------------------------------------------------------------------------

    def call_ended(self, call: ChatCall, status: Status) -> None:
        """Count a call, or call again where the semantics of its traffic and its answer allow that."""
        if self._resume_later(call, status):
            return
        self._count_lost(call, status)
        if self._retry_unprocessed(call, status) or self._retry_later(call):
            return
        self._finish(call, status)

    def _resume_later(self, call: ChatCall, status: Status) -> bool:
        """Resume a lost sequence after a while, if it may be resumed; return whether it may."""
        if call.number >= MAX_RESUMES:
            return False
        if self.can_resume and _is_lost(call, status) and status.code != Code.ABORTED:
            delay = RESUME_BACKOFF * self.random.random() * (1 + call.number)
            node = self.random.choice(self._other_nodes(call.node))
        elif not call.answer and status.unprocessed and call.resumed is not None:
            delay = RESUME_UNPROCESSED_BACKOFF * (1 + call.number)
            node = self.random.choice(self.nodes)
        else:
            return False
        self.clock.callLater(delay, self._resume, call, node)
        return True

    def _count_lost(self, call: ChatCall, status: Status) -> None:
        was_lost = call.resumed is not None or _is_lost(call, status)
        if not was_lost or status.code == Code.ABORTED:
            return
        has_started = call.first_call.token_count if self.can_resume else call.messages
        stage = LostStage.STREAMING if has_started else LostStage.WAITING
        self.lost[LostSequence(call.plan.traffic.repeats, stage, call.answer or "lost")] += 1

    def _retry_unprocessed(self, call: ChatCall, status: Status) -> bool:
        """Call another node at once if the first one never saw the call; return whether that was so."""
        most = UNPROCESSED_RETRIES + self.scenario.clients.retries
        if call.answer or not status.unprocessed or call.number >= most:
            return False
        node = self.random.choice(self._other_nodes(call.node))
        self._start_call(call.plan, call.number + 1, node)
        return True

    def _retry_later(self, call: ChatCall) -> bool:
        """Retry after a while, if that is safe and wanted; return whether it is."""
        is_idempotent = call.plan.traffic.repeats == IDEMPOTENT
        is_safe = call.answer == REJECTED or (is_idempotent and call.answer in ("", ABORTED))
        if call.number >= self.scenario.clients.retries or call.has_left or not is_safe:
            return False
        delay = RETRY_DELAY
        if call.answer == REJECTED:
            delay = call.retry_after * (1.0 + RETRY_JITTER * self.random.random())
        node = self.random.choice(self.nodes)
        self.clock.callLater(delay, self._start_call, call.plan, call.number + 1, node)
        return True

    def _finish(self, call: ChatCall, status: Status) -> None:
        traffic = call.plan.traffic
        tally = self.tallies[traffic.name]
        self.open -= 1
        tally.answers[call.answer or _end_without_answer(call, status)] += 1
        if call.answer == GENERATED:
            tally.good_utility += traffic.utility * (1.0 if call.is_in_time else traffic.late_share)
        elif call.has_left:
            tally.utility -= traffic.utility  # nobody waited for it
        if not self.open:
            self.on_quiet()


def _is_lost(call: ChatCall, status: Status) -> bool:
    """Return whether a node accepted the sequence and ended the call without an answer."""
    return bool(not call.answer and not call.has_left and call.sequence_id and not status.unprocessed)


def _end_without_answer(call: ChatCall, status: Status) -> str:
    if call.has_left:
        return "left"
    return "node lost" if status.code == Code.UNAVAILABLE else status.code.name.lower()
