"""What the controller knows of each node beside its state, and the polls that it knows it from."""

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.internet.interfaces import IReactorTime

from myrtlehub.rollout.node_status import NodeStatus, Revision, event_of_status
from myrtlehub.rollout.samples import NodeCounters
from myrtlehub.rollout.states import SERVING_STATES, NodeEvent, NodeState
from myrtlehub.rollout_controller.errors import RolloutError, SupersededError
from myrtlehub.rollout_controller.node_client import NodeClient
from myrtlehub.rollout_controller.process_supervisor import (
    UNKNOWN_START,
    ProcessIdentity,
    ProcessSupervisor,
)
from myrtlehub.rollout_controller.rollout_record import RolloutRecord

MISSES_UNTIL_GONE = 2  # polls in a row without a process: a node may be between two processes at one of them
ADOPT_SECONDS = 5.0  # after a controller's start, in which a process that its predecessor began may come up


class TrackedNode:
    """One node as the controller sees it."""

    def __init__(self, client: NodeClient) -> None:
        self.client = client
        self.status: NodeStatus | None = None  # the last one that it gave
        self.start_ticks = UNKNOWN_START  # of the process that gave it
        self.counters: NodeCounters | None = None
        self.is_unreachable = False  # it does not answer, and its process is there
        self.is_starting = False  # we started it, and it has not answered yet
        self.exit_noted = False  # the end of the process that we started last was taken note of
        self.missed_polls = 0  # in a row, without answer and without process
        self.state_since = 0.0  # when its state changed

    @property
    def process(self) -> ProcessIdentity | None:
        """The process that answered last."""
        return ProcessIdentity(self.status.pid, self.start_ticks) if self.status else None


class NodeTracker:
    """Polls all nodes."""

    def __init__(
        self,
        nodes: list[TrackedNode],
        record: RolloutRecord,
        supervisor: ProcessSupervisor,
        reactor: IReactorTime,
    ) -> None:
        self.nodes = nodes
        self._record = record
        self._supervisor = supervisor
        self._reactor = reactor
        self._started = 0.0

    def start(self) -> None:
        """Take what the journal says of processes, and the time from which nodes are known."""
        self._started = self._reactor.seconds()
        for node, known in self._record.known_processes.items():
            status = NodeStatus(Revision("", ""), known.incarnation, known.identity.pid)
            self.nodes[node].status = status
            self.nodes[node].start_ticks = known.identity.start_ticks
        for tracked in self.nodes:
            tracked.state_since = self._started

    def poll(self) -> Deferred:
        """Ask all nodes for status and counters; fires once all have answered or did not in time."""
        polls = []
        for node, tracked in enumerate(self.nodes):
            answer = tracked.client.status().addCallback(self._take_status, node)
            polls.append(answer.addCallback(self._ask_counters, node))
        return DeferredList(polls, fireOnOneErrback=True)

    def _take_status(self, status: NodeStatus | None, node: int) -> Deferred | None:
        tracked = self.nodes[node]
        if status is None:
            alive = maybeDeferred(self._supervisor.is_alive, node, tracked.process)
            return alive.addCallback(self._note_silence, node)
        before = tracked.status
        tracked.status = status
        if before is None or before.incarnation != status.incarnation:
            tracked.start_ticks = self._supervisor.start_ticks(status.pid)
            self._record.note_process(node, status.incarnation, tracked.process)
        tracked.is_unreachable = False
        tracked.missed_polls = 0
        tracked.is_starting = False
        return None

    def _note_silence(self, is_alive: bool, node: int) -> None:
        tracked = self.nodes[node]
        tracked.is_starting = self._supervisor.is_starting(node, tracked.process)
        tracked.is_unreachable = is_alive and not tracked.is_starting
        tracked.missed_polls = 0 if is_alive else tracked.missed_polls + 1
        tracked.counters = None
        tracked.client.reconnect()

    def _ask_counters(self, ignored: None, node: int) -> Deferred | None:
        tracked = self.nodes[node]
        if tracked.missed_polls or tracked.is_unreachable or tracked.is_starting:
            return None
        return tracked.client.counters().addCallback(self._take_counters, node)

    def _take_counters(self, counters: NodeCounters | None, node: int) -> None:
        tracked = self.nodes[node]
        usable = not (tracked.is_unreachable or tracked.missed_polls)
        tracked.counters = counters if usable else None

    def require_whole_fleet(self) -> None:
        """Check that each node has answered.

        Raises:
            RolloutError: one has not.
        """
        names = self._record.files.names
        silent = [names[node] for node, tracked in enumerate(self.nodes) if tracked.status is None]
        if silent:
            raise RolloutError(
                f"not all nodes answer: {', '.join(silent)}; a change begins with a whole fleet"
            )

    def check_not_superseded(self, generation: int, controller: str) -> None:
        """Check that no node obeys another controller than this one of this generation.

        Raises:
            SupersededError: one does.
        """
        for tracked, name in zip(self.nodes, self._record.files.names, strict=True):
            status = tracked.status
            if status is None:
                continue
            is_equal = status.generation == generation
            is_other = status.controller not in ("", controller)
            if status.generation > generation or (is_equal and is_other):
                raise SupersededError(
                    f"{name} obeys controller {status.controller} of generation {status.generation}; this "
                    f"one, {controller} of {generation}, does nothing more"
                )

    def event(self, node: int) -> NodeEvent | None:
        """Return the event that the last poll shows of a node, if any."""
        tracked = self.nodes[node]
        if tracked.is_unreachable or tracked.is_starting:
            return None  # it may be serving: nothing is concluded, and nothing is done
        if not tracked.missed_polls:
            return self._status_event(node)
        if tracked.missed_polls < MISSES_UNTIL_GONE:
            return None
        return self._absence_event(node)

    def _status_event(self, node: int) -> NodeEvent | None:
        status = self.nodes[node].status
        if status is None:
            return None
        record = self._record
        event = event_of_status(status, record.old_revisions[node], record.new_revision)
        is_new = event in (NodeEvent.NEW_STARTED, NodeEvent.NEW_READY)
        if is_new and "" in record.new_revision:
            record.note_new_revision(status.revision)
        return event

    def _absence_event(self, node: int) -> NodeEvent | None:
        tracked = self.nodes[node]
        state = self._record.state.nodes[node]
        if state in SERVING_STATES and node in self._record.state.absent:
            # It was started anew for that end already: only the end of the new process is another one.
            is_news = self._supervisor.has_exited(node) and not tracked.exit_noted
            tracked.exit_noted = tracked.exit_noted or is_news
            return NodeEvent.PROCESS_EXITED if is_news else None
        if state in (NodeState.STARTING, NodeState.RESTARTING_OLD):
            if self._supervisor.has_exited(node):
                return NodeEvent.PROCESS_EXITED
            now = self._reactor.seconds()
            if now - self._started < ADOPT_SECONDS or now - tracked.state_since < ADOPT_SECONDS:
                return None
        return NodeEvent.PROCESS_MISSING
