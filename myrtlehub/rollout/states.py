"""States, events and effects of one node and of the whole rollout.

`node_table` and `rollout_table` define the transitions, `progress` decides when each node is changed, and
`canary_analysis` evaluates the metrics. The values of the enumerations are stored in journals, logged in
events and shown in diagrams, so they must never change.
"""

from enum import StrEnum


class NodeState(StrEnum):
    """The state of one node in the rollout."""

    WAITING = "waiting"  # unchanged; the node has not been scheduled yet
    DRAINING = "draining"  # ordered to drain, before its process is replaced
    STARTING = "starting"  # receiving the new revision
    READY = "ready"  # runs the new revision and has generated a sequence
    WARMING = "warming"  # serves, but is not compared with unchanged nodes yet
    OBSERVED = "watched"  # compared with the unchanged nodes
    COMMITTED = "kept"  # its stage has passed
    ROLLING_BACK = "undoing"
    RESTARTING_OLD = "returning"  # its process is being started with the old revision
    FAILED = "failed"  # the change failed and has not been rolled back yet
    STUCK = "stuck"  # the rollback failed, or the node runs a revision that was not ordered
    ROLLED_BACK = "undone"


class NodeEvent(StrEnum):
    """An observation of a node, a scheduling decision or a timeout."""

    REPLACE_SCHEDULED = "go"  # the node is scheduled for a replacement of its process
    APPLY_SCHEDULED = "put"  # the node is scheduled to apply the new settings in its running process
    SEEN_DRAINING = "leaving"
    OLD_STARTED = "was"  # a process with the old revision answers
    OLD_READY = "old"  # that process has an endpoint list and has generated a sequence
    NEW_STARTED = "new"  # a process with the new revision answers
    NEW_READY = "proven"  # that process has an endpoint list and has generated a sequence
    OTHER_REVISION = "other"  # a process with neither revision answers
    PROCESS_MISSING = "gone"  # no process runs
    PROCESS_EXITED = "quit"  # the process that this controller started has exited unexpectedly
    ORDER_REJECTED = "refused"
    STAGE_READY = "all"
    WARMED_UP = "warm"
    STAGE_PASSED = "pass"
    TIMED_OUT = "overdue"
    ROLL_BACK = "undo"


class NodeEffect(StrEnum):
    """Effects of a node's transitions, in addition to `CommonEffect`."""

    CHANGE = "change"  # install the new revision: drain and restart the process, or apply in place
    REVERT = "unchange"  # install the old revision in the same way
    START_NEW = "begin"
    START_OLD = "begin old"
    KILL = "kill"
    FAIL = "fail"  # report the node to the operators, and apply `RolloutEvent.NODE_FAILED`
    COUNT_EXIT = "died"  # count an unexpected exit and restart the process
    REPORT = "tell"  # report the node to the operators


class RolloutPhase(StrEnum):
    """The phase of the whole rollout."""

    PLANNED = "planned"
    MEASURING = "measuring"  # the baseline of the unchanged fleet is measured
    CHANGING = "changing"  # nodes of the current stage receive the new revision
    SETTLING = "settling"  # nodes of the current stage warm up
    OBSERVING = "watching"  # changed nodes are compared with unchanged ones
    ON_HOLD = "holding"  # a disturbance affects the fleet; the stage waits for it to end
    ROLLING_BACK = "undoing"
    STUCK = "stuck"  # a node could not be rolled back; an operator has to intervene
    COMMITTED = "kept"
    ROLLED_BACK = "undone"


class RolloutEvent(StrEnum):
    """An event of the whole rollout."""

    BEGIN = "begin"
    BASELINE_MEASURED = "measured"
    STAGE_READY = "ready"  # all nodes of the stage are ready
    WARMED_UP = "warm"  # all nodes of the stage have warmed up
    STAGE_PASSED = "pass"
    LAST_STAGE_PASSED = "last"
    WORSE = "worse"  # the canary analysis found a regression
    DISTURBANCE = "trouble"
    DISTURBANCE_OVER = "clear"
    NODE_FAILED = "failed"  # a changed node did not start, or exited too often
    PHASE_TIMED_OUT = "bound"
    ROLL_BACK = "undo"  # requested by the operator
    ALL_ROLLED_BACK = "back"
    ROLLBACK_BLOCKED = "wedged"  # a node is stuck, and no other node is being rolled back


class RolloutEffect(StrEnum):
    """Effects of the rollout's transitions, in addition to `CommonEffect`."""

    MEASURE = "measure"
    NEXT_STAGE = "next"
    OBSERVE = "watch"
    HOLD = "hold"
    ROLL_BACK = "undo"
    FINISH = "finish"
    REPORT = "tell"  # report to the operators


# A node in one of these states may be unavailable.
CHANGING_STATES = frozenset(
    {NodeState.DRAINING, NodeState.STARTING, NodeState.ROLLING_BACK, NodeState.RESTARTING_OLD}
)
ROLLBACK_STATES = frozenset({NodeState.ROLLING_BACK, NodeState.RESTARTING_OLD})
SERVING_STATES = frozenset({NodeState.READY, NodeState.WARMING, NodeState.OBSERVED, NodeState.COMMITTED})
COMPARED_STATES = frozenset({NodeState.OBSERVED, NodeState.COMMITTED})
# A node in one of these states was ordered to change and may have to be rolled back.
CHANGED_STATES = CHANGING_STATES | SERVING_STATES | {NodeState.FAILED}
