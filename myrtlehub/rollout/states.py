"""States, events and effects of one node and of the whole rollout.

`node_table` and `rollout_table` say how they follow each other; `progress` says when a node's turn comes and
how many nodes may be unavailable; `canary_analysis` says what the figures show; `rollout_controller` and
`node` look and carry out. The values of the enumerations are the words of journals, printed events and
diagrams: they do not change.
"""

from enum import StrEnum


class NodeState(StrEnum):
    """Where one node stands in the rollout."""

    WAITING = "waiting"  # unchanged, its turn has not come
    DRAINING = "draining"  # asked to leave, so that its process can be replaced
    STARTING = "starting"  # gets the new revision
    READY = "ready"  # has the new revision and has generated a sequence
    WARMING = "warming"  # serves, and is not compared yet
    OBSERVED = "watched"  # compared with unchanged nodes
    COMMITTED = "kept"  # its stage has passed
    ROLLING_BACK = "undoing"
    RESTARTING_OLD = "returning"  # its process starts by the old revision
    FAILED = "failed"  # the change did not work, and is still to be rolled back
    STUCK = "stuck"  # rolling back did not work, or nobody here ordered what it shows: people are needed
    ROLLED_BACK = "undone"


class NodeEvent(StrEnum):
    """What is seen of a node, decided for it, or due by the clock."""

    REPLACE_SCHEDULED = "go"  # its turn has come: by another process
    APPLY_SCHEDULED = "put"  # its turn has come: in the running process
    SEEN_DRAINING = "leaving"
    OLD_STARTED = "was"  # answers by the old revision
    OLD_READY = "old"  # the same, with an endpoint list and a generated sequence
    NEW_STARTED = "new"  # answers by the new revision
    NEW_READY = "proven"  # the same, with an endpoint list and a generated sequence
    OTHER_REVISION = "other"  # answers by a third revision
    PROCESS_MISSING = "gone"  # no process is there
    PROCESS_EXITED = "quit"  # the process that this controller started has ended by itself
    ORDER_REJECTED = "refused"  # it refused an order and said why
    STAGE_READY = "all"
    WARMED_UP = "warm"
    STAGE_PASSED = "pass"
    TIMED_OUT = "overdue"
    ROLL_BACK = "undo"


class NodeEffect(StrEnum):
    """What a transition of a node asks for, beside the effects of every table."""

    CHANGE = "change"  # give it the new revision: leave and start anew, or apply in place
    REVERT = "unchange"  # the same with the old revision
    START_NEW = "begin"
    START_OLD = "begin old"
    KILL = "kill"
    FAIL = "fail"
    COUNT_EXIT = "died"
    REPORT = "tell"  # tell the operators


class RolloutPhase(StrEnum):
    """Where the whole rollout stands."""

    PLANNED = "planned"
    MEASURING = "measuring"  # the unchanged fleet is observed first
    CHANGING = "changing"  # nodes of the stage get the new revision
    SETTLING = "settling"  # they warm up
    OBSERVING = "watching"  # they are compared
    ON_HOLD = "holding"  # something else disturbs the fleet
    ROLLING_BACK = "undoing"
    STUCK = "stuck"
    COMMITTED = "kept"
    ROLLED_BACK = "undone"


class RolloutEvent(StrEnum):
    """What happens to the whole rollout."""

    BEGIN = "begin"
    BASELINE_MEASURED = "measured"  # the unchanged fleet was observed for long enough
    STAGE_READY = "ready"  # all nodes of the stage are ready
    WARMED_UP = "warm"  # and warm
    STAGE_PASSED = "pass"
    LAST_STAGE_PASSED = "last"
    WORSE = "worse"
    DISTURBANCE = "trouble"
    DISTURBANCE_OVER = "clear"
    NODE_FAILED = "failed"  # a changed node did not come up, or died too often
    PHASE_TIMED_OUT = "bound"  # the time for this phase is over
    ROLL_BACK = "undo"
    ALL_ROLLED_BACK = "back"
    ROLLBACK_BLOCKED = "wedged"  # a node is stuck and no other one is in motion


class RolloutEffect(StrEnum):
    """What a transition of the rollout asks for, beside the effects of every table."""

    MEASURE = "measure"
    NEXT_STAGE = "next"
    OBSERVE = "watch"
    HOLD = "hold"
    ROLL_BACK = "undo"
    FINISH = "finish"
    REPORT = "tell"  # tell the operators


# A node in one of these states may be unavailable.
MOVING_STATES = frozenset(
    {NodeState.DRAINING, NodeState.STARTING, NodeState.ROLLING_BACK, NodeState.RESTARTING_OLD}
)
ROLLBACK_STATES = frozenset({NodeState.ROLLING_BACK, NodeState.RESTARTING_OLD})
SERVING_STATES = frozenset({NodeState.READY, NodeState.WARMING, NodeState.OBSERVED, NodeState.COMMITTED})
COMPARED_STATES = frozenset({NodeState.OBSERVED, NodeState.COMMITTED})
# The change has been ordered for a node in one of these states, and may have to be rolled back.
CHANGED_STATES = MOVING_STATES | SERVING_STATES | {NodeState.FAILED}
