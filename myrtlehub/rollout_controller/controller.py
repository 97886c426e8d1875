"""The controller of a rollout: polls nodes, applies events and executes the actions that they require.

An action is executed only after the event that requires it is in the journal.
"""

import time
from pathlib import Path
from uuid import uuid4

from twisted.internet.defer import Deferred, FirstError
from twisted.python.failure import Failure

from myrtlehub.clock import Clock
from myrtlehub.config.rollout_plan import RolloutPlanConfig
from myrtlehub.log_events import Log
from myrtlehub.rollout.journal_details import ControllerDetails, encode_details
from myrtlehub.rollout.journal_format import BookkeepingEvent, JournalEntry, JsonObject, last_generation
from myrtlehub.rollout.node_status import Revision, timer_event
from myrtlehub.rollout.rollout_state import FLEET, Action, NodeAction, RolloutState
from myrtlehub.rollout.states import SERVING_STATES, NodeEvent, RolloutEffect, RolloutEvent, RolloutPhase
from myrtlehub.rollout_controller.errors import PHASE_EXIT_CODES, ExitCode, RolloutError
from myrtlehub.rollout_controller.journal_store import (
    BoundaryHook,
    JournalStore,
    no_boundary_hook,
    rollback_request,
)
from myrtlehub.rollout_controller.node_actions import NodeActions, Rejection
from myrtlehub.rollout_controller.node_client import NodeClient
from myrtlehub.rollout_controller.node_tracker import NodeTracker, TrackedNode
from myrtlehub.rollout_controller.plan_files import PlanFiles
from myrtlehub.rollout_controller.process_supervisor import ProcessSupervisor
from myrtlehub.rollout_controller.progress_log import ProgressLog
from myrtlehub.rollout_controller.remote_supervisor import make_supervisor
from myrtlehub.rollout_controller.rollout_record import RolloutRecord
from myrtlehub.rollout_controller.stage_supervision import Decision, StageSupervisor, node_timeouts
from myrtlehub.rpc.channel import Dialer

OPERATOR_ROLLBACK_REASON = "the operator asked for it"
CONTROLLER_ID_LENGTH = 12  # hexadecimal digits; makes identical identifiers of two controllers improbable


class RolloutController:
    """Runs one rollout from its start, or from its journal, to its end."""

    def __init__(
        self,
        config: RolloutPlanConfig,
        plan_text: str,
        plan_directory: Path,
        clock: Clock,
        dial: Dialer,
        log: Log,
        on_boundary: BoundaryHook = no_boundary_hook,
        supervisor: ProcessSupervisor | None = None,
    ) -> None:
        """Create a controller; it reads, sends and writes nothing before `run`.

        Args:
            config: the plan.
            plan_text: the plan's text, whose digest identifies the plan in the journal.
            plan_directory: the directory to which the plan's paths are relative.
            clock: the clock of all timers.
            dial: returns the connect function of an address.
            log: logs the progress of the rollout.
            on_boundary: called before and after each write, sync and action.
            supervisor: starts and kills the nodes' processes; None selects the one that the plan configures.

        Raises:
            RolloutError: the plan's stages do not fit the fleet.
        """
        self.files = PlanFiles(config, plan_text, plan_directory)
        self.config = config
        self.journal = JournalStore(self.files.journal_path, on_boundary)
        self.record = RolloutRecord(self.files, self.journal, log)
        self.nodes = [TrackedNode(NodeClient(clock, dial, node.admin)) for node in config.nodes]
        self.done: Deferred[ExitCode] = Deferred()  # fires when the controller ends
        supervisor = supervisor or make_supervisor(config, plan_directory)
        self._clock = clock
        self._on_boundary = on_boundary
        self._progress_log = ProgressLog(self.files.names, log)
        self._tracker = NodeTracker(self.nodes, self.record, supervisor, clock)
        self._stage = StageSupervisor(config, self.record, self.nodes)
        self._actions = NodeActions(self.files, self.nodes, supervisor, _new_controller_id(), self, log)
        self._has_ended = False

    @property
    def state(self) -> RolloutState:
        """The state of the rollout."""
        return self.record.state

    @property
    def reason(self) -> str:
        """The reason of the last rejection, rollback or hold, or the error that ended the controller."""
        return self._progress_log.reason

    # -- start ------------------------------------------------------------------------------------

    def run(self, resume: bool = False, roll_back: bool = False) -> Deferred[ExitCode]:
        """Begin a rollout, or continue the one in the journal.

        Args:
            resume: whether to continue the rollout of an existing journal.
            roll_back: whether to roll the rollout back.

        Raises:
            RolloutError: the journal cannot be opened, or its rollout has already ended.
        """
        torn_size = self.journal.open(self.files.header, resume)
        if torn_size:
            self._progress_log.journal_tail_dropped(torn_size)
        for entry in self.journal.entries:
            self.record.replay(entry)
        phase = self.state.phase
        if phase is RolloutPhase.ROLLED_BACK or (phase is RolloutPhase.COMMITTED and not roll_back):
            self.journal.close()
            raise RolloutError(f"the rollout has already ended: {phase}")
        self._stage.start(self._clock.seconds())
        self._tracker.start()
        polled = self._tracker.poll().addCallback(self._first_poll_done, roll_back)
        polled.addErrback(self.controller_failed)
        return self.done

    def _first_poll_done(self, _ignored: object, roll_back: bool) -> None:
        revisions = None if self.record.has_begun else self._tracker.fleet_revisions()
        self._start_generation()
        for node in range(len(self.nodes)):
            self._actions.announce_controller(node)
        if revisions is not None:
            self._begin(revisions)
        if roll_back:
            self.apply_event(FLEET, RolloutEvent.ROLL_BACK, OPERATOR_ROLLBACK_REASON)
        elif self.state.phase in (RolloutPhase.OBSERVING, RolloutPhase.ON_HOLD):
            # The sample windows of the previous controller are lost, so the stage is observed again.
            # Actions that the previous controller recorded but did not execute are not repeated here: the
            # next polls show the nodes unchanged, so the same events require the same actions again
            # (test_a_controller_killed_at_any_boundary_is_resumed_to_the_same_end).
            self.record.analysis.restart_observation()
        self._schedule_poll()

    def _start_generation(self) -> None:
        """Choose a generation above that of every previous controller, and record it in the journal."""
        highest_known = max(
            (tracked.status.generation for tracked in self.nodes if tracked.status), default=0
        )
        actions = self._actions
        actions.generation = max(highest_known, last_generation(self.journal.entries)) + 1
        details = encode_details(ControllerDetails(actions.generation, actions.controller_id))
        self.journal.append(JournalEntry(time.time(), str(BookkeepingEvent.CONTROLLER), details=details))
        self._progress_log.controller_started(actions.generation, actions.controller_id)

    def _begin(self, old_revisions: list[Revision]) -> None:
        new_revision = self.files.new_revision(old_revisions)
        details = self.record.begin(old_revisions, new_revision, self.files.traffic_types())
        self.apply_event(FLEET, RolloutEvent.BEGIN, details=details)

    # -- polling ----------------------------------------------------------------------------------

    def _schedule_poll(self, _ignored: None = None) -> None:
        if not self._has_ended:
            self._clock.callLater(self.config.look, self._poll)

    def _poll(self) -> None:
        if not self._has_ended:
            polled = self._tracker.poll().addCallback(self._poll_done)
            polled.addCallback(self._schedule_poll).addErrback(self.controller_failed)

    def _poll_done(self, _ignored: object) -> None:
        self._tracker.check_not_superseded(self._actions.generation, self._actions.controller_id)
        self._check_rollback_request()
        for node in range(len(self.nodes)):
            event = self._tracker.node_event(node)
            if event:
                self.apply_event(node, event)
        now = self._clock.seconds()
        self._check_node_timers(now)
        self._apply_decision(self._stage.check_time_limit(now))
        now = self._clock.seconds()
        if self._stage.is_window_complete(now) and not self._has_ended:
            self._apply_decision(self._stage.close_window(now))

    def _check_rollback_request(self) -> None:
        request = rollback_request(self.journal.path)
        if request.exists():
            request.unlink()
            self.apply_event(FLEET, RolloutEvent.ROLL_BACK, OPERATOR_ROLLBACK_REASON)

    def _check_node_timers(self, now: float) -> None:
        absent = self.state.absent
        for node, tracked in enumerate(self.nodes):
            timeouts = node_timeouts(self.config, tracked.is_unreachable)
            event = timer_event(self.state.nodes[node], now - tracked.state_since, node in absent, timeouts)
            if event:
                tracked.state_since = now  # repeats the action after the same timeout if it has no effect
                self.apply_event(node, event)

    def _apply_decision(self, decision: Decision | None) -> None:
        if decision is not None:
            self.apply_event(FLEET, decision.event, decision.reason, decision.details)

    # -- events and actions -----------------------------------------------------------------------

    def apply_event(
        self,
        node: int,
        event: NodeEvent | RolloutEvent,
        reason: str = "",
        details: JsonObject | None = None,
    ) -> None:
        """Append an event to the journal, apply it, and execute the actions that it requires.

        Args:
            node: index of the node, or FLEET.
            event: the event.
            reason: the reason, for the operator.
            details: further fields of the journal entry.
        """
        if self._has_ended:
            return
        before = self.state
        result = self.record.apply_event(node, event, reason, details)
        if result is None:
            return
        has_exited = event in (NodeEvent.PROCESS_MISSING, NodeEvent.PROCESS_EXITED)
        if node != FLEET and has_exited and self.state.nodes[node] in SERVING_STATES:
            # The restarted process gets the full start timeout.
            self.nodes[node].state_since = self._clock.seconds()
        self._handle_state_changes(before, node, event, reason)
        for action in result.actions:
            self._on_boundary(f"act {action.kind}")
            self._execute(action)
            self._on_boundary(f"acted {action.kind}")

    def _handle_state_changes(
        self, before: RolloutState, node: int, event: NodeEvent | RolloutEvent, reason: str
    ) -> None:
        after = self.state
        for index, tracked in enumerate(self.nodes):
            if before.nodes[index] != after.nodes[index]:
                tracked.state_since = self._clock.seconds()
                self._progress_log.node_state_changed(index, before, after, event)
        if before.phase != after.phase or before.stage != after.stage:
            self._stage.phase_since = self._clock.seconds()
            self._progress_log.phase_changed(before, after, node, event, reason)

    def _execute(self, action: Action) -> None:
        if isinstance(action.kind, RolloutEffect):
            self._execute_for_fleet(action.kind)
        elif action.kind is NodeAction.REPORT:
            self._progress_log.operator_needed(action.node, self.state)
        else:
            self._actions.execute(action.kind, action.node, self.state.nodes[action.node])

    def _execute_for_fleet(self, effect: RolloutEffect) -> None:
        if effect is RolloutEffect.NEXT_STAGE:
            self.record.analysis.start_stage()
        elif effect is RolloutEffect.OBSERVE:
            self.record.analysis.restart_observation()
        elif effect is RolloutEffect.FINISH:
            self._end(PHASE_EXIT_CODES[self.state.phase])
        elif effect is RolloutEffect.REPORT:
            self._end(ExitCode.STUCK)

    def order_rejected(self, node: int, rejection: Rejection) -> None:
        """Log that a node rejected an order, and apply `ORDER_REJECTED` to the node."""
        self._progress_log.order_rejected(node, rejection)
        self._apply_rejection(node)

    def start_failed(self, node: int, rejection: Rejection) -> None:
        """Log that a node's process could not be started, and apply `ORDER_REJECTED` to the node.

        The event is applied in a later turn of the event loop, after the current event has been handled.
        """
        self._progress_log.order_rejected(node, rejection)
        self._clock.callLater(0, self._apply_rejection, node)

    def _apply_rejection(self, node: int) -> None:
        try:
            self.apply_event(node, NodeEvent.ORDER_REJECTED, self.reason)
        except Exception:  # noqa: BLE001 - any error ends the controller and is logged
            self.controller_failed(Failure())  # type: ignore[no-untyped-call]  # Twisted does not annotate it

    # -- end --------------------------------------------------------------------------------------

    def controller_failed(self, failure: Failure) -> None:
        """End the controller after an error, without changing any node."""
        if isinstance(failure.value, FirstError):
            failure = failure.value.subFailure
        error = failure.value
        if isinstance(error, RolloutError):
            code = error.exit_code
        else:
            self._progress_log.unexpected_error(failure)
            code = ExitCode.INVALID
        self._progress_log.reason = str(error)
        self._end(code)

    def _end(self, code: ExitCode) -> None:
        if self._has_ended:
            return
        self.abandon()
        self._progress_log.rollout_ended(self.state.phase, code)
        for tracked in self.nodes:
            tracked.client.close()
        self.journal.close()
        self._clock.callLater(0, self.done.callback, code)

    def abandon(self) -> None:
        """Ignore all further events; keep the journal and the channels open, and log no end."""
        self._has_ended = True


def _new_controller_id() -> str:
    return uuid4().hex[:CONTROLLER_ID_LENGTH]
