"""The interface by which other parts of a node follow what its action executor does."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from myrtlehub.node.sequences import Attempt, InFlightSequence


class ExecutorObserver:
    """Is notified by an action executor of its attempts and sequences.

    Every method does nothing here; an observer overrides those that it needs. Observers are called in the
    order in which they were added, in the turn of the event loop in which the event happens.
    """

    def attempt_started(self, attempt: Attempt) -> None:
        """Called before the engine transport is given an attempt."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """Called once for each started attempt, after its outcome was reported to the router.

        The router may have ended the sequence: `sequence_forgotten` and `executor_idle` can come before this.
        """

    def answer_started(self, sequence: InFlightSequence) -> None:
        """Called before the first tokens of a sequence are passed to its client."""

    def answered(self, sequence: InFlightSequence) -> None:
        """Called once a sequence has its final answer, or its client has left."""

    def sequence_forgotten(self, sequence: InFlightSequence) -> None:
        """Called when the router has released a sequence (`contract.Forget`): it is no longer in flight."""

    def executor_idle(self) -> None:
        """Called after each call of the router that leaves no sequence in flight."""

    def arrival_check_requested(self, attempt: Attempt) -> None:
        """Called when the router asks whether an attempt has arrived (`contract.CheckArrival`).

        If it has, `SequenceLifecycle.attempt_arrived` is to be called in a later turn; otherwise nothing.
        """

    def endpoints_requested(self) -> None:
        """Called when the router asks for the complete endpoint list (`contract.PollEndpoints`)."""
