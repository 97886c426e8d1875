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

# Consecutive polls without a process until it counts as missing. At a single poll, a node may be between its
# old process and its new one.
MISSED_POLLS_UNTIL_MISSING = 2
# Seconds after the start of the controller, or after a node's change of state, in which the node does not
# count as missing: a process that a previous controller started may not answer yet.
ADOPTION_TIME = 5.0


class TrackedNode:
    """The controller's knowledge of one node, apart from its state in the rollout."""

    def __init__(self, client: NodeClient) -> None:
        """Start without a poll."""
        self.client = client
        self.status: NodeStatus | None = None  # the last one received
        self.start_ticks = UNKNOWN_START  # of the process that sent the status
        self.counters: NodeCounters | None = None  # of the last poll; None if the node did not answer it
        self.is_unreachable = False  # does not answer, although its process runs
        self.is_starting = False  # started by this controller and has not answered yet
        self.is_exit_handled = False  # the exit of the process started last has been returned as an event
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
        """Load the processes recorded in the journal, and start the time in each node's state at zero."""
        self._started_at = self._clock.seconds()
        for node, known in self._record.known_processes.items():
            status = NodeStatus(Revision("", ""), known.incarnation, known.identity.pid)
            self.nodes[node].status = status
            self.nodes[node].start_ticks = known.identity.start_ticks
        for tracked in self.nodes:
            tracked.state_since = self._started_at

    def poll(self) -> Deferred[list[tuple[bool, None]]]:
        """Request status and counters of all nodes; fires after each has answered or its timeout passed."""
        polls = []
        for node, tracked in enumerate(self.nodes):
            status_handled = tracked.client.status().addCallback(self._status_received, node)
            polls.append(status_handled.addCallback(self._request_counters, node))
        return DeferredList(polls, fireOnOneErrback=True)

    def _status_received(self, status: NodeStatus | None, node: int) -> Deferred[None]:
        tracked = self.nodes[node]
        if status is None:
            return self._is_alive(node).addCallback(self._answer_missed, node)
        before = tracked.status
        tracked.status = status
        if before is None or before.incarnation != status.incarnation:
            tracked.start_ticks = self._supervisor.start_ticks(status.pid)
            identity = ProcessIdentity(status.pid, tracked.start_ticks)
            self._record.append_process(node, status.incarnation, identity)
        tracked.is_unreachable = False
        tracked.missed_polls = 0
        tracked.is_starting = False
        return succeed(None)

    def _is_alive(self, node: int) -> Deferred[bool]:
        is_alive = self._supervisor.is_alive(node, self.nodes[node].process)
        return is_alive if isinstance(is_alive, Deferred) else succeed(is_alive)

    def _answer_missed(self, is_alive: bool, node: int) -> None:
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
        """Return the revision of each node, all of which have to have answered.

        Raises:
            RolloutError: a node has not answered.
        """
        statuses = [tracked.status for tracked in self.nodes]
        names = self._record.files.names
        silent = [name for name, status in zip(names, statuses, strict=True) if status is None]
        if silent:
            raise RolloutError(
                f"not all nodes answer: {', '.join(silent)}; a change begins with a whole fleet"
            )
        return [status.revision for status in statuses if status is not None]

    def check_not_superseded(self, generation: int, controller: str) -> None:
        """Check that no node obeys a controller other than this one.

        Args:
            generation: generation of this controller.
            controller: identifier of this controller.

        Raises:
            SupersededError: a node obeys another controller.
        """
        for tracked, name in zip(self.nodes, self._record.files.names, strict=True):
            status = tracked.status
            if status is None:
                continue
            is_same_generation = status.generation == generation
            is_other_controller = status.controller not in ("", controller)
            if status.generation > generation or (is_same_generation and is_other_controller):
                raise SupersededError(
                    f"{name} obeys controller {status.controller} of generation {status.generation}; this "
                    f"one, {controller} of {generation}, does nothing more"
                )

    def event(self, node: int) -> NodeEvent | None:
        """Return the event that the last poll shows for a node, if any.

        There is none for an unreachable or starting node: it may be serving, so no action may follow.
        """
        tracked = self.nodes[node]
        if tracked.is_unreachable or tracked.is_starting:
            return None
        if not tracked.missed_polls:
            return self._status_event(node)
        if tracked.missed_polls < MISSED_POLLS_UNTIL_MISSING:
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
            # The exit of the previous process has been counted, and a new one was started. Until the new one
            # has exited as well, no answer still means the first exit, which must not be counted again.
            is_new_exit = self._supervisor.has_exited(node) and not tracked.is_exit_handled
            tracked.is_exit_handled = tracked.is_exit_handled or is_new_exit
            return NodeEvent.PROCESS_EXITED if is_new_exit else None
        if state in (NodeState.STARTING, NodeState.RESTARTING_OLD):
            if self._supervisor.has_exited(node):
                return NodeEvent.PROCESS_EXITED
            now = self._clock.seconds()
            if now - self._started_at < ADOPTION_TIME or now - tracked.state_since < ADOPTION_TIME:
                return None
        return NodeEvent.PROCESS_MISSING
