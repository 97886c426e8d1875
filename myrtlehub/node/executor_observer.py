"""The interface by which other parts of a node are notified of events of its action executor."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from myrtlehub.node.sequences import Attempt, InFlightSequence


class ExecutorObserver:
    """Base class of observers of an action executor.

    All methods do nothing by default; a subclass overrides those that it needs. Observers are called in the
    order in which they were added, in the iteration of the event loop in which the event happens.
    """

    def attempt_started(self, attempt: Attempt) -> None:
        """Called before an attempt is passed to the engine transport."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """Called once for each started attempt, after its outcome was reported to the router.

        The router may have ended the sequence by then: `sequence_forgotten` and `executor_idle` may be called
        before this.
        """

    def answer_started(self, sequence: InFlightSequence) -> None:
        """Called before the first tokens of a sequence are passed to its client."""

    def answered(self, sequence: InFlightSequence) -> None:
        """Called when a sequence gets its final answer or its client disconnects."""

    def sequence_forgotten(self, sequence: InFlightSequence) -> None:
        """Called when the router has discarded a sequence (`contract.Forget`): it is no longer in flight."""

    def executor_idle(self) -> None:
        """Called after each router call that leaves no sequence in flight."""

    def arrival_check_requested(self, attempt: Attempt) -> None:
        """Called when the router asks whether an attempt has arrived (`contract.CheckArrival`).

        If it has, `SequenceLifecycle.attempt_arrived` must be called in a later iteration of the event loop;
        if not, nothing.
        """

    def endpoints_requested(self) -> None:
        """Called when the router asks for the complete endpoint list (`contract.PollEndpoints`)."""
