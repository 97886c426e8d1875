"""Attempts that wait until replicas have acknowledged their intents."""

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from myrtlehub.clock import Clock, Timer
from myrtlehub.node.sequences import Attempt
from myrtlehub.recovery.ownership import SendDecision

DecisionCallback: TypeAlias = Callable[[SendDecision], None]


class WaitingSend(NamedTuple):
    """A waiting attempt."""

    attempt: Attempt
    on_decision: DecisionCallback
    timer: Timer  # fires at the acknowledgement timeout


class SendGate:
    """Delays the newest attempt of each sequence until a decision whether it may be sent."""

    def __init__(
        self, acknowledgement_timeout: float, on_timeout: Callable[[str], None], clock: Clock
    ) -> None:
        """Create a gate without waiting attempts.

        Args:
            acknowledgement_timeout: the longest time, in seconds, that an attempt waits for replicas.
            on_timeout: called with the sequence id when an attempt has waited that long.
            clock: time and timers.
        """
        self.acknowledgement_timeout = acknowledgement_timeout
        self.on_timeout = on_timeout
        self.clock = clock
        self.waiting: dict[str, WaitingSend] = {}  # by sequence id
        self.abandoned_count = 0  # attempts that were not sent for lack of acknowledgements

    def wait(self, attempt: Attempt, on_decision: DecisionCallback) -> None:
        """Delay an attempt; `on_decision` is called once, unless the attempt ends or is cancelled."""
        sequence_id = attempt.sequence.sequence_id
        timer = self.clock.callLater(self.acknowledgement_timeout, self.on_timeout, sequence_id)
        self.waiting[sequence_id] = WaitingSend(attempt, on_decision, timer)

    def is_waiting(self, sequence_id: str) -> bool:
        """Return whether an attempt of this sequence is waiting."""
        return sequence_id in self.waiting

    def cancel(self, sequence_id: str) -> None:
        """Drop the waiting attempt, if there is one."""
        waiting = self.waiting.pop(sequence_id, None)
        if waiting is not None and waiting.timer.active():
            waiting.timer.cancel()

    def decide(self, sequence_id: str, decision: SendDecision) -> None:
        """Report the decision on the waiting attempt."""
        waiting = self.waiting[sequence_id]
        self.cancel(sequence_id)
        self.abandoned_count += decision == SendDecision.ABANDON
        if waiting.attempt.is_outstanding:
            waiting.on_decision(decision)
