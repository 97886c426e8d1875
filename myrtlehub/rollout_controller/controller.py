"""The controller of a rollout: polls nodes, takes events, carries out the actions that follow.

An action is carried out only once the event that it follows from is in the journal.
"""

import time
from pathlib import Path
from uuid import uuid4

from twisted.internet.defer import Deferred, FirstError
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from myrtlehub.config.rollout_plan import RolloutPlanConfig
from myrtlehub.log_events import LogEvent
from myrtlehub.rollout.journal_format import BookkeepingEvent, JournalEntry, last_generation
from myrtlehub.rollout.progress import FLEET, Action, NodeAction, RolloutState
from myrtlehub.rollout.samples import timer_event
from myrtlehub.rollout.states import SERVING_STATES, NodeEvent, RolloutEffect, RolloutEvent, RolloutPhase
from myrtlehub.rollout_controller.errors import END_CODES, ExitCode, RolloutError
from myrtlehub.rollout_controller.journal_store import (
    BoundaryHook,
    JournalStore,
    no_boundary_hook,
    rollback_request,
)
from myrtlehub.rollout_controller.node_actions import NodeActions, Refusal
from myrtlehub.rollout_controller.node_client import Dialer, NodeClient
from myrtlehub.rollout_controller.node_tracker import NodeTracker, TrackedNode
from myrtlehub.rollout_controller.plan_files import PlanFiles
from myrtlehub.rollout_controller.process_supervisor import ProcessSupervisor
from myrtlehub.rollout_controller.remote_supervisor import make_supervisor
from myrtlehub.rollout_controller.rollout_record import Details, EventPrinter, RolloutRecord
from myrtlehub.rollout_controller.stage_supervision import StageSupervision, node_timeouts

OPERATOR_REQUEST = "the operator asked for it"
CONTROLLER_ID_LENGTH = 12


class RolloutController:
    """One controller at work; `done` fires with the exit code."""

    def __init__(
        self,
        sheet: RolloutPlanConfig,
        text: str,
        base: Path,
        reactor: IReactorTime,
        dial: Dialer,
        print_event: EventPrinter,
        on_boundary: BoundaryHook = no_boundary_hook,
        supervisor: ProcessSupervisor | None = None,
    ) -> None:
        """Prepare a controller; nothing is read, asked or written before `run`.

        Args:
            sheet: the plan.
            text: the plan's text, by whose digest its journal is known.
            base: the folder that the plan's paths are relative to.
            reactor: the clock that all timers go by.
            dial: gives what a channel connects to an address by.
            print_event: prints what the controller does.
            on_boundary: called before and after each write, sync and action.
            supervisor: of the nodes' processes; by default that of the plan.

        Raises:
            RolloutError: the plan's stages do not fit the fleet.
        """
        self.files = PlanFiles(sheet, text, base)
        self.sheet = sheet
        self.journal = JournalStore(self.files.journal_path, on_boundary)
        self.record = RolloutRecord(self.files, self.journal, print_event)
        self.nodes = [TrackedNode(NodeClient(reactor, dial, node.admin)) for node in sheet.nodes]
        self.reason = ""  # of the last refusal, or of what ended the controller
        self.done: Deferred[ExitCode] = Deferred()
        supervisor = supervisor or make_supervisor(sheet, base)
        self._reactor = reactor
        self._print_event = print_event
        self._on_boundary = on_boundary
        self._tracker = NodeTracker(self.nodes, self.record, supervisor, reactor)
        self._stage = StageSupervision(sheet, self.record, self.nodes)
        controller = uuid4().hex[:CONTROLLER_ID_LENGTH]
        self._actions = NodeActions(self.files, self.nodes, supervisor, controller, self, print_event)
        self._is_over = False

    @property
    def state(self) -> RolloutState:
        """Where the rollout stands."""
        return self.record.state

    # -- beginning --------------------------------------------------------------------------------

    def run(self, resume: bool = False, roll_back: bool = False) -> Deferred[ExitCode]:
        """Begin the rollout, or resume it, or roll it back.

        Raises:
            RolloutError: the journal does not allow it.
        """
        torn = self.journal.open(self.files.header, resume)
        if torn:
            self._print_event(
                LogEvent.JOURNAL_TAIL_DROPPED,
                text=f"{torn} bytes of a last line that was not wholly written were dropped",
            )
        for entry in self.journal.entries:
            self.record.replay(entry)
        phase = self.state.phase
        if phase is RolloutPhase.ROLLED_BACK or (phase is RolloutPhase.COMMITTED and not roll_back):
            self.journal.close()
            raise RolloutError(f"the change is over: {phase}")
        self._stage.start(self._reactor.seconds())
        self._tracker.start()
        self._tracker.poll().addCallback(self._first_poll_done, roll_back).addErrback(self.action_failed)
        return self.done

    def _first_poll_done(self, ignored: object, roll_back: bool) -> None:
        if not self.record.is_begun:
            self._tracker.require_whole_fleet()
        self._take_command()
        for node in range(len(self.nodes)):
            self._actions.announce(node)
        if not self.record.is_begun:
            self._begin()
        if roll_back:
            self.take(FLEET, RolloutEvent.ROLL_BACK, OPERATOR_REQUEST)
        elif self.state.phase in (RolloutPhase.OBSERVING, RolloutPhase.ON_HOLD):
            # A predecessor may have died between an event and its actions: what is seen of a node in motion
            # brings its event once more, and with it the action. What it observed is observed anew.
            self.record.analysis.restart_observation()
        self._schedule_poll(None)

    def _take_command(self) -> None:
        """Take a generation higher than that of any controller before."""
        seen = max((tracked.status.generation for tracked in self.nodes if tracked.status), default=0)
        actions = self._actions
        actions.generation = max(seen, last_generation(self.journal.entries)) + 1
        identity = {"generation": actions.generation, "controller": actions.controller}
        self.journal.append(JournalEntry(time.time(), str(BookkeepingEvent.CONTROLLER), details=identity))
        self._print_event(LogEvent.CONTROLLER_STARTED, **identity, node_count=len(self.nodes))

    def _begin(self) -> None:
        old = [tracked.status.revision for tracked in self.nodes]
        new = self.files.new_revision(old)
        details = self.record.begin(old, new, self.files.traffic_types())
        self.take(FLEET, RolloutEvent.BEGIN, details=details)

    # -- polling ----------------------------------------------------------------------------------

    def _schedule_poll(self, ignored: None) -> None:
        if not self._is_over:
            self._reactor.callLater(self.sheet.look, self._poll)

    def _poll(self) -> None:
        if not self._is_over:
            polled = self._tracker.poll().addCallback(self._poll_done)
            polled.addCallback(self._schedule_poll).addErrback(self.action_failed)

    def _poll_done(self, ignored: object) -> None:
        self._tracker.check_not_superseded(self._actions.generation, self._actions.controller)
        request = rollback_request(self.journal.path)
        if request.exists():
            request.unlink()
            self.take(FLEET, RolloutEvent.ROLL_BACK, OPERATOR_REQUEST)
        for node in range(len(self.nodes)):
            event = self._tracker.event(node)
            if event:
                self.take(node, event)
        self._check_timers()
        now = self._reactor.seconds()
        if self._stage.window_is_over(now) and not self._is_over:
            decision = self._stage.close_window(now)
            if decision:
                self.take(FLEET, *decision)

    def _check_timers(self) -> None:
        absent = self.state.absent
        now = self._reactor.seconds()
        for node, tracked in enumerate(self.nodes):
            timeouts = node_timeouts(self.sheet, tracked.is_unreachable)
            event = timer_event(self.state.nodes[node], now - tracked.state_since, node in absent, timeouts)
            if event:
                tracked.state_since = now  # an action that did not help is tried again after as long
                self.take(node, event)
        decision = self._stage.time_limit(now)
        if decision:
            self.take(FLEET, *decision)

    # -- events and actions -----------------------------------------------------------------------

    def take(
        self,
        node: int,
        event: NodeEvent | RolloutEvent,
        reason: str = "",
        details: Details | None = None,
    ) -> None:
        """Take an event: into the journal, then into the state, then carry out what it asks for."""
        if self._is_over:
            return
        before = self.state
        result = self.record.take(node, event, reason, details)
        if result is None:
            return
        ended = event in (NodeEvent.GONE, NodeEvent.EXITED)
        if node != FLEET and ended and self.state.nodes[node] in SERVING_STATES:
            # It has as long to come back as any node has to start.
            self.nodes[node].state_since = self._reactor.seconds()
        self._note_node_changes(before, event)
        self._note_phase_change(before, event, node, reason)
        for action in result.actions:
            self._on_boundary(f"act {action.kind}")
            self._carry_out(action)
            self._on_boundary(f"acted {action.kind}")

    def _note_node_changes(self, before: RolloutState, event: NodeEvent | RolloutEvent) -> None:
        for node, (was, now) in enumerate(zip(before.nodes, self.state.nodes, strict=True)):
            if was != now:
                self.nodes[node].state_since = self._reactor.seconds()
                self._print_event(
                    LogEvent.NODE_STATE_CHANGED,
                    node=self.files.names[node],
                    previous_state=was,
                    state=now,
                    cause=event,
                )

    def _note_phase_change(
        self, before: RolloutState, event: NodeEvent | RolloutEvent, node: int, reason: str
    ) -> None:
        after = self.state
        if before.phase == after.phase and before.stage == after.stage:
            return
        self._stage.phase_since = self._reactor.seconds()
        if after.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.ON_HOLD):
            name = "" if node == FLEET else self.files.names[node]
            self.reason = reason or self.reason or f"{event} {name}".strip()
        self._print_event(
            LogEvent.PHASE_CHANGED,
            previous_phase=before.phase,
            phase=after.phase,
            stage=after.stage + 1,
            cause=event,
            reason=reason,
        )

    def _carry_out(self, action: Action) -> None:
        node = action.node
        if node == FLEET:
            self._carry_out_for_fleet(action.kind)
        elif action.kind is NodeAction.REPORT:
            self._print_event(
                LogEvent.OPERATOR_NEEDED,
                node=self.files.names[node],
                state=self.state.nodes[node],
                reason=self.reason,
            )
        else:
            self._actions.carry_out(action.kind, node, self.state.nodes[node])

    def _carry_out_for_fleet(self, effect: RolloutEffect) -> None:
        if effect is RolloutEffect.NEXT_STAGE:
            self.record.analysis.start_stage()
        elif effect is RolloutEffect.OBSERVE:
            self.record.analysis.restart_observation()
        elif effect is RolloutEffect.FINISH:
            self._end(END_CODES[self.state.phase])
        elif effect is RolloutEffect.REPORT:
            self._end(ExitCode.STUCK)

    def order_refused(self, node: int, refusal: Refusal) -> None:
        """Take note that a node refused an order."""
        self._note_refusal(node, refusal)
        self._take_refusal(node)

    def start_failed(self, node: int, refusal: Refusal) -> None:
        """Take note that a node's process could not be started, once the event at hand is done with."""
        self._note_refusal(node, refusal)
        self._reactor.callLater(0, self._take_refusal, node)

    def _note_refusal(self, node: int, refusal: Refusal) -> None:
        self.reason = refusal.reason
        self._print_event(
            LogEvent.NODE_CALL_REJECTED,
            node=self.files.names[node],
            method=refusal.order,
            reason=refusal.message,
        )

    def _take_refusal(self, node: int) -> None:
        try:
            self.take(node, NodeEvent.REFUSED, self.reason)
        except Exception:  # noqa: BLE001 - whatever it is ends the controller and is printed
            self.action_failed(Failure())

    # -- ends -------------------------------------------------------------------------------------

    def action_failed(self, failure: Failure) -> None:
        """End the controller because of an error: nodes are left as they are."""
        if failure.check(FirstError):
            failure = failure.value.subFailure
        if failure.check(RolloutError):
            code = failure.value.exit_code
        else:
            self._print_event(LogEvent.UNEXPECTED_ERROR, traceback=failure.getTraceback())
            code = ExitCode.INVALID
        self.reason = str(failure.value)
        self._end(code)

    def _end(self, code: ExitCode) -> None:
        if self._is_over:
            return
        self.abandon()
        self._print_event(LogEvent.ROLLOUT_ENDED, phase=self.state.phase, reason=self.reason, exit_code=code)
        for tracked in self.nodes:
            tracked.client.close()
        self.journal.close()
        self._reactor.callLater(0, self.done.callback, code)

    def abandon(self) -> None:
        """Take no further event."""
        self._is_over = True
