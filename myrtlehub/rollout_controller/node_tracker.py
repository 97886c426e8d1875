"""Polls the nodes, and derives node events from what the polls show."""

from twisted.internet.defer import Deferred, DeferredList, succeed

from myrtlehub.clock import Clock
from myrtlehub.rollout.journal_details import UNKNOWN_START
from myrtlehub.rollout.node_status import NodeStatus, Revision, event_of_status
from myrtlehub.rollout.samples import NodeCounters
from myrtlehub.rollout.states import SERVING_STATES, NodeEvent, NodeState
from myrtlehub.rollout_controller.errors import RolloutError, SupersededError
from myrtlehub.rollout_controller.node_client import NodeClient
from myrtlehub.rollout_controller.process_supervisor import ProcessIdentity, ProcessSupervisor
from myrtlehub.rollout_controller.rollout_record import RolloutRecord

# Consecutive polls without an answer and without a process after which the process counts as missing. At a
# single poll, the old process may have exited and the new one not have started yet.
MIN_MISSED_POLLS = 2
# Seconds after the start of the controller, or after a node's change of state, in which the node's process
# does not count as missing: a process that a previous controller started may not answer yet.
ADOPTION_GRACE = 5.0


class TrackedNode:
    """What the controller has observed of one node; the node's state in the rollout is in `RolloutState`."""

    def __init__(self, client: NodeClient) -> None:
        """Create the record of a node that has not been polled yet."""
        self.client = client
        self.status: NodeStatus | None = None  # the last one received
        self.start_ticks = UNKNOWN_START  # of the process that sent the status
        self.counters: NodeCounters | None = None  # of the last poll; None if the node did not answer it
        self.is_unreachable = False  # its process runs but does not answer
        self.is_starting = False  # started by this controller and has not answered yet
        self.is_exit_handled = False  # whether `node_event` has returned the exit of the process started last
        self.missed_polls = 0  # consecutive polls without an answer and without a process
        self.state_since = 0.0  # seconds of the controller's clock at the last change of state

    @property
    def process(self) -> ProcessIdentity | None:
        """The process that answered last; None if none has."""
        return ProcessIdentity(self.status.pid, self.start_ticks) if self.status else None


class NodeTracker:
    """Polls all nodes."""

    def __init__(
        self,
        nodes: list[TrackedNode],
        record: RolloutRecord,
        supervisor: ProcessSupervisor,
        clock: Clock,
    ) -> None:
        """Create a tracker; `start` has to be called before the first poll."""
        self.nodes = nodes
        self._record = record
        self._supervisor = supervisor
        self._clock = clock
        self._started_at = 0.0  # when `start` was called, in seconds of the clock

    def start(self) -> None:
        """Load the processes recorded in the journal, and start to measure the time in each node's state."""
        self._started_at = self._clock.seconds()
        for node, known_process in self._record.known_processes.items():
            status = NodeStatus(Revision("", ""), known_process.incarnation, known_process.identity.pid)
            self.nodes[node].status = status
            self.nodes[node].start_ticks = known_process.identity.start_ticks
        for tracked in self.nodes:
            tracked.state_since = self._started_at

    def poll(self) -> Deferred[list[tuple[bool, None]]]:
        """Request status and counters of all nodes; fires once each node has answered or timed out."""
        polls = []
        for node, tracked in enumerate(self.nodes):
            status_handled = tracked.client.status().addCallback(self._status_received, node)
            polls.append(status_handled.addCallback(self._request_counters, node))
        return DeferredList(polls, fireOnOneErrback=True)

    def _status_received(self, status: NodeStatus | None, node: int) -> Deferred[None]:
        tracked = self.nodes[node]
        if status is None:
            return self._is_process_alive(node).addCallback(self._status_missed, node)
        previous_status = tracked.status
        tracked.status = status
        if previous_status is None or previous_status.incarnation != status.incarnation:
            tracked.start_ticks = self._supervisor.start_ticks(status.pid)
            identity = ProcessIdentity(status.pid, tracked.start_ticks)
            self._record.append_process(node, status.incarnation, identity)
        tracked.is_unreachable = False
        tracked.missed_polls = 0
        tracked.is_starting = False
        return succeed(None)

    def _is_process_alive(self, node: int) -> Deferred[bool]:
        is_alive = self._supervisor.is_alive(node, self.nodes[node].process)
        return is_alive if isinstance(is_alive, Deferred) else succeed(is_alive)

    def _status_missed(self, is_alive: bool, node: int) -> None:
        tracked = self.nodes[node]
        tracked.is_starting = self._supervisor.is_starting(node, tracked.process)
        tracked.is_unreachable = is_alive and not tracked.is_starting
        tracked.missed_polls = 0 if is_alive else tracked.missed_polls + 1
        tracked.counters = None
        tracked.client.reconnect()

    def _request_counters(self, _ignored: None, node: int) -> Deferred[None]:
        tracked = self.nodes[node]
        if tracked.missed_polls or tracked.is_unreachable or tracked.is_starting:
            return succeed(None)
        return tracked.client.counters().addCallback(self._counters_received, node)

    def _counters_received(self, counters: NodeCounters | None, node: int) -> None:
        tracked = self.nodes[node]
        is_usable = not (tracked.is_unreachable or tracked.missed_polls)
        tracked.counters = counters if is_usable else None

    def fleet_revisions(self) -> list[Revision]:
        """Return the revision of each node; every node has to have answered.

        Raises:
            RolloutError: a node has not answered.
        """
        statuses = [tracked.status for tracked in self.nodes]
        names = self._record.plan_files.names
        unresponsive = [name for name, status in zip(names, statuses, strict=True) if status is None]
        if unresponsive:
            raise RolloutError(
                f"not all nodes answer: {', '.join(unresponsive)}; a rollout begins only if all nodes answer"
            )
        return [status.revision for status in statuses if status is not None]

    def check_not_superseded(self, generation: int, controller_id: str) -> None:
        """Check that no node accepts orders only from another controller.

        Args:
            generation: generation of this controller.
            controller_id: identifier of this controller.

        Raises:
            SupersededError: a node accepts orders only from another controller.
        """
        for tracked, name in zip(self.nodes, self._record.plan_files.names, strict=True):
            status = tracked.status
            if status is None:
                continue
            is_same_generation = status.generation == generation
            is_other_controller = status.controller not in ("", controller_id)
            if status.generation > generation or (is_same_generation and is_other_controller):
                raise SupersededError(
                    f"{name} follows controller {status.controller} of generation {status.generation}; this "
                    f"controller, {controller_id} of generation {generation}, stops without further actions"
                )

    def node_event(self, node: int) -> NodeEvent | None:
        """Return the event that the last poll shows for a node, if any.

        There is none for an unreachable or starting node: it may be serving, so it must be left unchanged.
        """
        tracked = self.nodes[node]
        if tracked.is_unreachable or tracked.is_starting:
            return None
        if not tracked.missed_polls:
            return self._status_event(node)
        if tracked.missed_polls < MIN_MISSED_POLLS:
            return None
        return self._absence_event(node)

    def _status_event(self, node: int) -> NodeEvent | None:
        status = self.nodes[node].status
        if status is None:
            return None
        record = self._record
        event = event_of_status(status, record.old_revisions[node], record.new_revision)
        is_new = event in (NodeEvent.NEW_STARTED, NodeEvent.NEW_READY)
        if is_new and not record.new_revision.is_complete:
            record.append_new_revision(status.revision)
        return event

    def _absence_event(self, node: int) -> NodeEvent | None:
        tracked = self.nodes[node]
        state = self._record.state.nodes[node]
        if state in SERVING_STATES and node in self._record.state.absent:
            # The exit of the previous process was already handled, and a new process was started. Until the
            # new process exits as well, a missing answer still results from the first exit, which must not be
            # handled twice.
            is_new_exit = self._supervisor.has_exited(node) and not tracked.is_exit_handled
            tracked.is_exit_handled = tracked.is_exit_handled or is_new_exit
            return NodeEvent.PROCESS_EXITED if is_new_exit else None
        if state in (NodeState.STARTING, NodeState.RESTARTING_OLD):
            if self._supervisor.has_exited(node):
                return NodeEvent.PROCESS_EXITED
            now = self._clock.seconds()
            if now - self._started_at < ADOPTION_GRACE or now - tracked.state_since < ADOPTION_GRACE:
                return None
        return NodeEvent.PROCESS_MISSING
