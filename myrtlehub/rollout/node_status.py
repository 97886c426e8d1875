"""The status of a node, and the node events that are derived from a status or from elapsed time."""

from typing import NamedTuple

from myrtlehub.rollout.states import COMPARED_STATES, NodeEvent, NodeState


class Revision(NamedTuple):
    """What a node runs, as digests. In journals and messages, an empty digest stands for an unknown one."""

    program: str
    settings: str

    @property
    def is_complete(self) -> bool:
        """Whether both digests are known."""
        return "" not in self


class NodeStatus(NamedTuple):
    """What a node reports about itself."""

    revision: Revision
    incarnation: str
    pid: int = 0
    is_draining: bool = False
    is_ready: bool = True  # it has an endpoint list and has generated a sequence
    generation: int = 0  # of the controller that the node obeys; 0: none
    controller: str = ""  # identifier of that controller; empty: none


def event_of_status(status: NodeStatus, old: Revision, new: Revision) -> NodeEvent:
    """Return the event for the status that a node reports.

    Args:
        status: the status.
        old: the node's revision before the rollout.
        new: the revision of the rollout. An unknown digest matches any value except the old one.
    """
    if status.is_draining:
        return NodeEvent.SEEN_DRAINING
    if status.revision == old:
        return NodeEvent.OLD_READY if status.is_ready else NodeEvent.OLD_STARTED
    if _is_new(status.revision, new, old):
        return NodeEvent.NEW_READY if status.is_ready else NodeEvent.NEW_STARTED
    return NodeEvent.OTHER_REVISION


def _is_new(reported: Revision, new: Revision, old: Revision) -> bool:
    return all(
        digest == new_digest or (not new_digest and digest != old_digest)
        for digest, new_digest, old_digest in zip(reported, new, old, strict=True)
    )


class NodeTimeouts(NamedTuple):
    """How long a node may stay in a state, in seconds."""

    drain: float
    start: float
    warm_up: float


def timer_event(
    state: NodeState, elapsed: float, is_absent: bool, timeouts: NodeTimeouts
) -> NodeEvent | None:
    """Return the event that is due after the time spent in a state, if any.

    Args:
        state: the node's state.
        elapsed: seconds since the node entered the state.
        is_absent: whether the node had no process at the last poll.
        timeouts: the limits.
    """
    if state is NodeState.WARMING and not is_absent and elapsed >= timeouts.warm_up:
        return NodeEvent.WARMED_UP
    if state in (NodeState.DRAINING, NodeState.ROLLING_BACK):
        return NodeEvent.TIMED_OUT if elapsed >= timeouts.drain else None
    is_restarting = is_absent and (state in (NodeState.READY, NodeState.WARMING) or state in COMPARED_STATES)
    if state in (NodeState.STARTING, NodeState.RESTARTING_OLD) or is_restarting:
        return NodeEvent.TIMED_OUT if elapsed >= timeouts.start else None
    return None
