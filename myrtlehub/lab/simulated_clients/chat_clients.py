"""The clients of the chat front: they send requests at planned times, retry and resume where that is safe."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from random import Random
from typing import NamedTuple

from myrtlehub.clock import Clock, Timer
from myrtlehub.lab.rule_checker.stored_records import FinalAnswer
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.lab.simulated_clients.chat_call import ChatCall
from myrtlehub.lab.simulated_clients.chat_tally import ChatTally
from myrtlehub.lab.simulated_clients.client_group import DISCONNECTED, RETRY_DELAY, ClientGroup
from myrtlehub.lab.simulated_clients.sequence_plan import PlannedSequence, plan_sequences
from myrtlehub.lab.simulated_clients.traffic import CHAT_FRONT, is_idempotent
from myrtlehub.limits.event_loop_lag import LagMeter
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Connect
from myrtlehub.rpc.status import Code, Status

MAX_RESUMES = 12  # of one sequence
RESUME_BACKOFF = 0.15  # seconds per earlier call, at most, before a resume after the loss of a node
RESUME_UNPROCESSED_BACKOFF = 0.1  # seconds for each earlier call, after a node that left a resume unprocessed
UNPROCESSED_RETRIES = 2  # beyond the scenario's retries, for calls that no node processed


LOST = "lost"  # the word in a verdict for a lost sequence without a final answer


class LostStage(StrEnum):
    """The stage of a sequence at the loss of its node."""

    WAITING = "waiting"
    STREAMING = "streaming"


class LostSequence(NamedTuple):
    """The final answer to a sequence whose node was lost, or LOST."""

    retry_semantics: str
    stage: LostStage
    answer: str


class ChatClients(ClientGroup):
    """All clients of the chat front."""

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        dial_by_node: Mapping[str, Connect],
        recorder: Recorder,
        random: Random,
        rate: float,
    ) -> None:
        """Plan all sequences; `rate` is in sequences per second."""
        super().__init__(scenario, clock, dial_by_node, recorder, random)
        takeover = scenario.takeover
        self.can_resume = takeover is not None and takeover.on
        self.stream_gaps: list[float] = []  # seconds from the last token at a lost node to the next one
        self.lost: Counter[LostSequence] = Counter()
        self.answer_timeout = scenario.clients.whole
        self.requested = 0  # sequences
        self.lag = LagMeter()  # of this process, not of a node
        self._planned = plan_sequences(scenario, rate, random)
        self.tallies = {
            traffic.name: ChatTally() for traffic in scenario.traffic if traffic.front == CHAT_FRONT
        }
        self._is_stopped = False
        self._lag_timer: Timer | None = None

    def behind(self, now: float) -> float:
        """Return an upper bound, in seconds, on the present lag of this process's event loop."""
        return round(self.lag.max_data_age(now), 4)

    def start(self) -> None:
        """Schedule each sequence at its planned time (open loop: no request waits for an answer)."""
        self._measure_lag()
        for plan in self._planned:
            self.clock.callLater(plan.at, self._request, plan)

    def stop(self) -> None:
        """Send no more requests; open sequences continue."""
        self._is_stopped = True

    def close(self) -> None:
        """Close all channels."""
        if self._lag_timer is not None and self._lag_timer.active():
            self._lag_timer.cancel()
        super().close()

    def _measure_lag(self) -> None:
        now = self.clock.seconds()
        self._lag_timer = self.clock.callLater(self.lag.tick(now) - now, self._measure_lag)

    def _request(self, plan: PlannedSequence) -> None:
        if self._is_stopped:
            return
        tally = self.tallies[plan.traffic.name]
        tally.requests += 1
        tally.requested_utility += plan.traffic.utility
        self.open += 1
        self.requested += 1
        self._start_call(plan, 0, self.random.choice(self.nodes))

    def _start_call(self, plan: PlannedSequence, attempt: int, node: str) -> None:
        ChatCall(self, plan, attempt, node).start()

    def _resume(self, call: ChatCall, node: str) -> None:
        """Request the rest of a sequence whose node was lost."""
        ChatCall(self, call.plan, call.attempt + 1, node, call).start()

    def _other_nodes(self, node: str) -> list[str]:
        """Return all nodes except this one, or just this one if there is no other."""
        return [other for other in self.nodes if other != node] or self.nodes

    # -- the end of a call ------------------------------------------------------------------------

    def call_ended(self, call: ChatCall, status: Status) -> None:
        """Count the request of a call that ended, or resume or retry it if that is safe."""
        if self._resume_later(call, status):
            return
        self._count_lost(call, status)
        if self._retry_unprocessed(call, status) or self._retry_later(call):
            return
        self._finish(call, status)

    def _resume_later(self, call: ChatCall, status: Status) -> bool:
        """Schedule a call that resumes a lost sequence, if possible; return whether it was scheduled."""
        if call.attempt >= MAX_RESUMES:
            return False
        if self.can_resume and _is_lost(call, status) and status.code != Code.ABORTED:
            delay = RESUME_BACKOFF * self.random.random() * (1 + call.attempt)
            node = self.random.choice(self._other_nodes(call.node))
        elif call.answer is None and status.unprocessed and call.resumed is not None:
            delay = RESUME_UNPROCESSED_BACKOFF * (1 + call.attempt)
            node = self.random.choice(self.nodes)
        else:
            return False
        self.clock.callLater(delay, self._resume, call, node)
        return True

    def _count_lost(self, call: ChatCall, status: Status) -> None:
        was_lost = call.resumed is not None or _is_lost(call, status)
        if not was_lost or status.code == Code.ABORTED:
            return
        # Only clients that can resume count tokens; the others count messages.
        has_tokens = call.first_call.token_count if self.can_resume else call.token_messages
        stage = LostStage.STREAMING if has_tokens else LostStage.WAITING
        self.lost[LostSequence(call.plan.traffic.repeats, stage, call.answer or LOST)] += 1

    def _retry_unprocessed(self, call: ChatCall, status: Status) -> bool:
        """Call another node at once if the call was unprocessed and retries remain; return whether it did."""
        most = UNPROCESSED_RETRIES + self.scenario.clients.retries
        if call.answer is not None or not status.unprocessed or call.attempt >= most:
            return False
        node = self.random.choice(self._other_nodes(call.node))
        self._start_call(call.plan, call.attempt + 1, node)
        return True

    def _retry_later(self, call: ChatCall) -> bool:
        """Schedule a retry if that is safe and retries remain; return whether it was scheduled."""
        was_rejected = call.answer == FinalAnswer.REJECTED
        may_repeat = is_idempotent(call.plan.traffic) and call.answer in (None, FinalAnswer.ABORTED)
        if call.attempt >= self.scenario.clients.retries or call.has_disconnected:
            return False
        if not was_rejected and not may_repeat:
            return False
        delay = self._with_jitter(call.retry_after) if was_rejected else RETRY_DELAY
        node = self.random.choice(self.nodes)
        self.clock.callLater(delay, self._start_call, call.plan, call.attempt + 1, node)
        return True

    def _finish(self, call: ChatCall, status: Status) -> None:
        traffic = call.plan.traffic
        tally = self.tallies[traffic.name]
        tally.answers[call.answer or _end_without_answer(call, status)] += 1
        if call.answer == FinalAnswer.GENERATED:
            tally.good_utility += traffic.utility * (1.0 if call.is_in_time else traffic.late_share)
        elif call.has_disconnected:
            tally.requested_utility -= traffic.utility  # its client no longer wanted the answer
        self._request_ended()


def _is_lost(call: ChatCall, status: Status) -> bool:
    """Return whether a node accepted the sequence and ended the call without an answer."""
    was_accepted = call.sequence_id is not None and not status.unprocessed
    return call.answer is None and not call.has_disconnected and was_accepted


def _end_without_answer(call: ChatCall, status: Status) -> str:
    """Return the key under which a verdict counts a call without a final answer."""
    if call.has_disconnected:
        return DISCONNECTED
    return "node lost" if status.code == Code.UNAVAILABLE else status.code.name.lower()
