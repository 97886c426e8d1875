"""Logs the progress of a rollout, for the operator and for programs that follow the controller's output."""

from twisted.python.failure import Failure

from myrtlehub.log_events import Log, LogEvent
from myrtlehub.rollout.rollout_state import FLEET, RolloutState
from myrtlehub.rollout.states import NodeEvent, RolloutEvent, RolloutPhase
from myrtlehub.rollout_controller.errors import ExitCode
from myrtlehub.rollout_controller.node_actions import Rejection

# On entry to one of these phases, the reason of the event is kept: it explains the end of the rollout.
REASON_PHASES = frozenset({RolloutPhase.ROLLING_BACK, RolloutPhase.ON_HOLD})


class ProgressLog:
    """Logs changes of state, and keeps the reason that explains the end of the rollout."""

    def __init__(self, node_names: list[str], log: Log) -> None:
        """Create a progress log.

        Args:
            node_names: the names of the nodes.
            log: logs the events.
        """
        self.reason = ""  # of the last rejection, rollback or hold, or the error that ended the controller
        self._node_names = node_names
        self._log = log

    def journal_tail_dropped(self, size: int) -> None:
        """Log that an incomplete last line of the journal was dropped.

        Args:
            size: size of the line in bytes.
        """
        text = f"dropped {size} bytes of an incomplete last line"
        self._log(LogEvent.JOURNAL_TAIL_DROPPED, text=text)

    def controller_started(self, generation: int, controller_id: str) -> None:
        """Log that a controller begins or continues the rollout."""
        self._log(
            LogEvent.CONTROLLER_STARTED,
            generation=generation,
            controller=controller_id,
            node_count=len(self._node_names),
        )

    def node_state_changed(
        self, node: int, before: RolloutState, after: RolloutState, event: NodeEvent | RolloutEvent
    ) -> None:
        """Log the new state of a node and the event that caused it."""
        self._log(
            LogEvent.NODE_STATE_CHANGED,
            node=self._node_names[node],
            previous_state=before.nodes[node],
            state=after.nodes[node],
            cause=event,
        )

    def phase_changed(
        self,
        before: RolloutState,
        after: RolloutState,
        node: int,
        event: NodeEvent | RolloutEvent,
        reason: str,
    ) -> None:
        """Log the new phase of the rollout and the event that caused it.

        Args:
            before: the state before the event.
            after: the state after the event.
            node: the node that the event is about, or FLEET.
            event: the event.
            reason: the reason of the event; may be empty.
        """
        if after.phase in REASON_PHASES:
            name = "" if node == FLEET else self._node_names[node]
            self.reason = reason or self.reason or f"{event} {name}".strip()
        self._log(
            LogEvent.PHASE_CHANGED,
            previous_phase=before.phase,
            phase=after.phase,
            stage=after.stage + 1,
            cause=event,
            reason=reason,
        )

    def operator_needed(self, node: int, state: RolloutState) -> None:
        """Log that a node has failed or cannot be rolled back."""
        self._log(
            LogEvent.OPERATOR_NEEDED, node=self._node_names[node], state=state.nodes[node], reason=self.reason
        )

    def order_rejected(self, node: int, rejection: Rejection) -> None:
        """Log that a node rejected an order or could not be started."""
        self.reason = rejection.reason
        self._log(
            LogEvent.NODE_CALL_REJECTED,
            node=self._node_names[node],
            method=rejection.order,
            reason=rejection.message,
        )

    def unexpected_error(self, failure: Failure) -> None:
        """Log an error that is a defect of the controller."""
        self._log(LogEvent.UNEXPECTED_ERROR, traceback=failure.getTraceback())

    def rollout_ended(self, phase: RolloutPhase, code: ExitCode) -> None:
        """Log the end of the controller."""
        self._log(LogEvent.ROLLOUT_ENDED, phase=phase, reason=self.reason, exit_code=code)
