"""Transition table of one node: every event in every state has a stated transition."""

from myrtlehub.rollout.states import NodeEffect, NodeEvent, NodeState
from myrtlehub.state.state_machine import TransitionTable, forbid, on

# Of each state in which a node serves by the new revision.
SERVING_NEW_ROWS = (
    on(NodeEvent.NEW_STARTED, NodeEvent.NEW_PROVEN, NodeEvent.SEEN_DRAINING),
    on(NodeEvent.GONE, NodeEvent.EXITED, effect=NodeEffect.DIED),
    on(
        NodeEvent.OLD_STARTED,
        NodeEvent.OLD_PROVEN,
        NodeEvent.OTHER_REVISION,
        NodeEvent.OVERDUE,
        to=NodeState.FAILED,
        effect=NodeEffect.FAIL,
    ),
    on(NodeEvent.REFUSED),
    on(NodeEvent.ROLL_BACK, to=NodeState.ROLLING_BACK, effect=NodeEffect.REVERT),
)
# Of each state in which a node waits for a rollback, or for people.
FAILED_ROWS = (
    on(NodeEvent.ROLL_BACK, to=NodeState.ROLLING_BACK, effect=NodeEffect.REVERT),
    on(
        NodeEvent.SEEN_DRAINING,
        NodeEvent.OLD_STARTED,
        NodeEvent.OLD_PROVEN,
        NodeEvent.NEW_STARTED,
        NodeEvent.NEW_PROVEN,
        NodeEvent.OTHER_REVISION,
        NodeEvent.GONE,
        NodeEvent.EXITED,
        NodeEvent.REFUSED,
        NodeEvent.STAGE_READY,
        NodeEvent.WARMED_UP,
        NodeEvent.OVERDUE,
        NodeEvent.STAGE_PASSED,
    ),
    forbid(NodeEvent.TURN_TO_REPLACE, NodeEvent.TURN_TO_APPLY),
)

NODE_TABLE = TransitionTable.build(
    "node",
    initial=NodeState.WAITING,
    finals=(NodeState.ROLLED_BACK,),
    events=NodeEvent,
    rows={
        NodeState.WAITING: (
            on(NodeEvent.TURN_TO_REPLACE, to=NodeState.DRAINING, effect=NodeEffect.CHANGE),
            on(NodeEvent.TURN_TO_APPLY, to=NodeState.STARTING, effect=NodeEffect.CHANGE),
            on(
                NodeEvent.SEEN_DRAINING,
                NodeEvent.OLD_STARTED,
                NodeEvent.OLD_PROVEN,
                NodeEvent.GONE,
                NodeEvent.EXITED,
            ),
            on(
                NodeEvent.NEW_STARTED,
                NodeEvent.NEW_PROVEN,
                NodeEvent.OTHER_REVISION,
                to=NodeState.STUCK,
                effect=NodeEffect.FAIL,
            ),
            on(NodeEvent.ROLL_BACK, to=NodeState.ROLLED_BACK),
            forbid(
                NodeEvent.REFUSED,
                NodeEvent.STAGE_READY,
                NodeEvent.WARMED_UP,
                NodeEvent.STAGE_PASSED,
                NodeEvent.OVERDUE,
            ),
        ),
        NodeState.DRAINING: (
            on(NodeEvent.SEEN_DRAINING),
            on(NodeEvent.OLD_STARTED, NodeEvent.OLD_PROVEN, effect=NodeEffect.CHANGE),
            on(NodeEvent.GONE, NodeEvent.EXITED, to=NodeState.STARTING, effect=NodeEffect.START_NEW),
            on(NodeEvent.NEW_STARTED, to=NodeState.STARTING),
            on(NodeEvent.NEW_PROVEN, to=NodeState.READY),
            on(NodeEvent.OVERDUE, effect=NodeEffect.KILL),
            on(NodeEvent.OTHER_REVISION, NodeEvent.REFUSED, to=NodeState.FAILED, effect=NodeEffect.FAIL),
            on(NodeEvent.ROLL_BACK, to=NodeState.ROLLING_BACK),
            forbid(
                NodeEvent.TURN_TO_REPLACE,
                NodeEvent.TURN_TO_APPLY,
                NodeEvent.STAGE_READY,
                NodeEvent.WARMED_UP,
                NodeEvent.STAGE_PASSED,
            ),
        ),
        NodeState.STARTING: (
            on(NodeEvent.NEW_STARTED),
            on(NodeEvent.NEW_PROVEN, to=NodeState.READY),
            on(NodeEvent.OLD_STARTED, NodeEvent.OLD_PROVEN, effect=NodeEffect.CHANGE),
            on(NodeEvent.SEEN_DRAINING),
            on(NodeEvent.GONE, effect=NodeEffect.START_NEW),
            on(
                NodeEvent.EXITED,
                NodeEvent.OVERDUE,
                NodeEvent.REFUSED,
                NodeEvent.OTHER_REVISION,
                to=NodeState.FAILED,
                effect=NodeEffect.FAIL,
            ),
            on(NodeEvent.ROLL_BACK, to=NodeState.ROLLING_BACK, effect=NodeEffect.REVERT),
            forbid(
                NodeEvent.TURN_TO_REPLACE,
                NodeEvent.TURN_TO_APPLY,
                NodeEvent.STAGE_READY,
                NodeEvent.WARMED_UP,
                NodeEvent.STAGE_PASSED,
            ),
        ),
        NodeState.READY: (
            on(NodeEvent.STAGE_READY, to=NodeState.WARMING),
            *SERVING_NEW_ROWS,
            forbid(
                NodeEvent.TURN_TO_REPLACE,
                NodeEvent.TURN_TO_APPLY,
                NodeEvent.WARMED_UP,
                NodeEvent.STAGE_PASSED,
            ),
        ),
        NodeState.WARMING: (
            on(NodeEvent.WARMED_UP, to=NodeState.OBSERVED),
            *SERVING_NEW_ROWS,
            forbid(
                NodeEvent.TURN_TO_REPLACE,
                NodeEvent.TURN_TO_APPLY,
                NodeEvent.STAGE_READY,
                NodeEvent.STAGE_PASSED,
            ),
        ),
        NodeState.OBSERVED: (
            on(NodeEvent.STAGE_PASSED, to=NodeState.COMMITTED),
            *SERVING_NEW_ROWS,
            forbid(
                NodeEvent.TURN_TO_REPLACE, NodeEvent.TURN_TO_APPLY, NodeEvent.STAGE_READY, NodeEvent.WARMED_UP
            ),
        ),
        NodeState.COMMITTED: (
            *SERVING_NEW_ROWS,
            forbid(
                NodeEvent.TURN_TO_REPLACE,
                NodeEvent.TURN_TO_APPLY,
                NodeEvent.STAGE_READY,
                NodeEvent.WARMED_UP,
                NodeEvent.STAGE_PASSED,
            ),
        ),
        NodeState.ROLLING_BACK: (
            on(NodeEvent.SEEN_DRAINING),
            on(NodeEvent.OLD_STARTED, to=NodeState.RESTARTING_OLD),
            on(NodeEvent.OLD_PROVEN, to=NodeState.ROLLED_BACK),
            on(NodeEvent.NEW_STARTED, NodeEvent.NEW_PROVEN, effect=NodeEffect.REVERT),
            on(NodeEvent.GONE, NodeEvent.EXITED, to=NodeState.RESTARTING_OLD, effect=NodeEffect.START_OLD),
            on(NodeEvent.OVERDUE, effect=NodeEffect.KILL),
            on(NodeEvent.OTHER_REVISION, NodeEvent.REFUSED, to=NodeState.STUCK, effect=NodeEffect.REPORT),
            on(NodeEvent.ROLL_BACK),
            forbid(
                NodeEvent.TURN_TO_REPLACE,
                NodeEvent.TURN_TO_APPLY,
                NodeEvent.STAGE_READY,
                NodeEvent.WARMED_UP,
                NodeEvent.STAGE_PASSED,
            ),
        ),
        NodeState.RESTARTING_OLD: (
            on(NodeEvent.OLD_STARTED),
            on(NodeEvent.OLD_PROVEN, to=NodeState.ROLLED_BACK),
            on(NodeEvent.SEEN_DRAINING),
            on(NodeEvent.GONE, NodeEvent.EXITED, effect=NodeEffect.START_OLD),
            on(
                NodeEvent.NEW_STARTED,
                NodeEvent.NEW_PROVEN,
                to=NodeState.ROLLING_BACK,
                effect=NodeEffect.REVERT,
            ),
            on(
                NodeEvent.OVERDUE,
                NodeEvent.OTHER_REVISION,
                NodeEvent.REFUSED,
                to=NodeState.STUCK,
                effect=NodeEffect.REPORT,
            ),
            on(NodeEvent.ROLL_BACK),
            forbid(
                NodeEvent.TURN_TO_REPLACE,
                NodeEvent.TURN_TO_APPLY,
                NodeEvent.STAGE_READY,
                NodeEvent.WARMED_UP,
                NodeEvent.STAGE_PASSED,
            ),
        ),
        NodeState.FAILED: FAILED_ROWS,
        NodeState.STUCK: FAILED_ROWS,
    },
)
