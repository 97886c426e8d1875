"""Transition table of one node; it defines a transition for every event in every state."""

from myrtlehub.rollout.states import NodeEffect, NodeEvent, NodeState
from myrtlehub.state.state_machine import Row, TransitionTable, forbid, on

# Row of the states in which a node must not be scheduled and is not part of the observation of its stage.
NO_STAGE_EVENTS_ROW: Row[NodeState, NodeEvent] = forbid(
    NodeEvent.REPLACE_SCHEDULED,
    NodeEvent.APPLY_SCHEDULED,
    NodeEvent.STAGE_READY,
    NodeEvent.WARMED_UP,
    NodeEvent.STAGE_PASSED,
)
# Rows of the states in which a node serves with the new revision.
SERVING_NEW_ROWS: tuple[Row[NodeState, NodeEvent], ...] = (
    on(NodeEvent.NEW_STARTED, NodeEvent.NEW_READY, NodeEvent.SEEN_DRAINING),
    on(NodeEvent.PROCESS_MISSING, NodeEvent.PROCESS_EXITED, effect=NodeEffect.COUNT_EXIT),
    on(
        NodeEvent.OLD_STARTED,
        NodeEvent.OLD_READY,
        NodeEvent.OTHER_REVISION,
        NodeEvent.TIMED_OUT,
        to=NodeState.FAILED,
        effect=NodeEffect.FAIL,
    ),
    on(NodeEvent.ORDER_REJECTED),
    on(NodeEvent.ROLL_BACK, to=NodeState.ROLLING_BACK, effect=NodeEffect.REVERT),
)
# Rows of the states in which a node waits for a rollback or for an operator.
FAILED_ROWS: tuple[Row[NodeState, NodeEvent], ...] = (
    on(NodeEvent.ROLL_BACK, to=NodeState.ROLLING_BACK, effect=NodeEffect.REVERT),
    on(
        NodeEvent.SEEN_DRAINING,
        NodeEvent.OLD_STARTED,
        NodeEvent.OLD_READY,
        NodeEvent.NEW_STARTED,
        NodeEvent.NEW_READY,
        NodeEvent.OTHER_REVISION,
        NodeEvent.PROCESS_MISSING,
        NodeEvent.PROCESS_EXITED,
        NodeEvent.ORDER_REJECTED,
        NodeEvent.STAGE_READY,
        NodeEvent.WARMED_UP,
        NodeEvent.TIMED_OUT,
        NodeEvent.STAGE_PASSED,
    ),
    forbid(NodeEvent.REPLACE_SCHEDULED, NodeEvent.APPLY_SCHEDULED),
)

NODE_TABLE = TransitionTable.build(
    "node",
    initial=NodeState.WAITING,
    final_states=(NodeState.ROLLED_BACK,),
    events=NodeEvent,
    rows={
        NodeState.WAITING: (
            on(NodeEvent.REPLACE_SCHEDULED, to=NodeState.DRAINING, effect=NodeEffect.CHANGE),
            on(NodeEvent.APPLY_SCHEDULED, to=NodeState.STARTING, effect=NodeEffect.CHANGE),
            on(
                NodeEvent.SEEN_DRAINING,
                NodeEvent.OLD_STARTED,
                NodeEvent.OLD_READY,
                NodeEvent.PROCESS_MISSING,
                NodeEvent.PROCESS_EXITED,
            ),
            on(
                NodeEvent.NEW_STARTED,
                NodeEvent.NEW_READY,
                NodeEvent.OTHER_REVISION,
                to=NodeState.STUCK,
                effect=NodeEffect.FAIL,
            ),
            on(NodeEvent.ROLL_BACK, to=NodeState.ROLLED_BACK),
            forbid(
                NodeEvent.ORDER_REJECTED,
                NodeEvent.STAGE_READY,
                NodeEvent.WARMED_UP,
                NodeEvent.STAGE_PASSED,
                NodeEvent.TIMED_OUT,
            ),
        ),
        NodeState.DRAINING: (
            on(NodeEvent.SEEN_DRAINING),
            on(NodeEvent.OLD_STARTED, NodeEvent.OLD_READY, effect=NodeEffect.CHANGE),
            on(
                NodeEvent.PROCESS_MISSING,
                NodeEvent.PROCESS_EXITED,
                to=NodeState.STARTING,
                effect=NodeEffect.START_NEW,
            ),
            on(NodeEvent.NEW_STARTED, to=NodeState.STARTING),
            on(NodeEvent.NEW_READY, to=NodeState.READY),
            on(NodeEvent.TIMED_OUT, effect=NodeEffect.KILL),
            on(
                NodeEvent.OTHER_REVISION,
                NodeEvent.ORDER_REJECTED,
                to=NodeState.FAILED,
                effect=NodeEffect.FAIL,
            ),
            on(NodeEvent.ROLL_BACK, to=NodeState.ROLLING_BACK),
            NO_STAGE_EVENTS_ROW,
        ),
        NodeState.STARTING: (
            on(NodeEvent.NEW_STARTED),
            on(NodeEvent.NEW_READY, to=NodeState.READY),
            on(NodeEvent.OLD_STARTED, NodeEvent.OLD_READY, effect=NodeEffect.CHANGE),
            on(NodeEvent.SEEN_DRAINING),
            on(NodeEvent.PROCESS_MISSING, effect=NodeEffect.START_NEW),
            on(
                NodeEvent.PROCESS_EXITED,
                NodeEvent.TIMED_OUT,
                NodeEvent.ORDER_REJECTED,
                NodeEvent.OTHER_REVISION,
                to=NodeState.FAILED,
                effect=NodeEffect.FAIL,
            ),
            on(NodeEvent.ROLL_BACK, to=NodeState.ROLLING_BACK, effect=NodeEffect.REVERT),
            NO_STAGE_EVENTS_ROW,
        ),
        NodeState.READY: (
            on(NodeEvent.STAGE_READY, to=NodeState.WARMING),
            *SERVING_NEW_ROWS,
            forbid(
                NodeEvent.REPLACE_SCHEDULED,
                NodeEvent.APPLY_SCHEDULED,
                NodeEvent.WARMED_UP,
                NodeEvent.STAGE_PASSED,
            ),
        ),
        NodeState.WARMING: (
            on(NodeEvent.WARMED_UP, to=NodeState.OBSERVED),
            *SERVING_NEW_ROWS,
            forbid(
                NodeEvent.REPLACE_SCHEDULED,
                NodeEvent.APPLY_SCHEDULED,
                NodeEvent.STAGE_READY,
                NodeEvent.STAGE_PASSED,
            ),
        ),
        NodeState.OBSERVED: (
            on(NodeEvent.STAGE_PASSED, to=NodeState.COMMITTED),
            *SERVING_NEW_ROWS,
            forbid(
                NodeEvent.REPLACE_SCHEDULED,
                NodeEvent.APPLY_SCHEDULED,
                NodeEvent.STAGE_READY,
                NodeEvent.WARMED_UP,
            ),
        ),
        NodeState.COMMITTED: (
            *SERVING_NEW_ROWS,
            NO_STAGE_EVENTS_ROW,
        ),
        NodeState.ROLLING_BACK: (
            on(NodeEvent.SEEN_DRAINING),
            on(NodeEvent.OLD_STARTED, to=NodeState.RESTARTING_OLD),
            on(NodeEvent.OLD_READY, to=NodeState.ROLLED_BACK),
            on(NodeEvent.NEW_STARTED, NodeEvent.NEW_READY, effect=NodeEffect.REVERT),
            on(
                NodeEvent.PROCESS_MISSING,
                NodeEvent.PROCESS_EXITED,
                to=NodeState.RESTARTING_OLD,
                effect=NodeEffect.START_OLD,
            ),
            on(NodeEvent.TIMED_OUT, effect=NodeEffect.KILL),
            on(
                NodeEvent.OTHER_REVISION,
                NodeEvent.ORDER_REJECTED,
                to=NodeState.STUCK,
                effect=NodeEffect.REPORT,
            ),
            on(NodeEvent.ROLL_BACK),
            NO_STAGE_EVENTS_ROW,
        ),
        NodeState.RESTARTING_OLD: (
            on(NodeEvent.OLD_STARTED),
            on(NodeEvent.OLD_READY, to=NodeState.ROLLED_BACK),
            on(NodeEvent.SEEN_DRAINING),
            on(NodeEvent.PROCESS_MISSING, NodeEvent.PROCESS_EXITED, effect=NodeEffect.START_OLD),
            on(
                NodeEvent.NEW_STARTED,
                NodeEvent.NEW_READY,
                to=NodeState.ROLLING_BACK,
                effect=NodeEffect.REVERT,
            ),
            on(
                NodeEvent.TIMED_OUT,
                NodeEvent.OTHER_REVISION,
                NodeEvent.ORDER_REJECTED,
                to=NodeState.STUCK,
                effect=NodeEffect.REPORT,
            ),
            on(NodeEvent.ROLL_BACK),
            NO_STAGE_EVENTS_ROW,
        ),
        NodeState.FAILED: FAILED_ROWS,
        NodeState.STUCK: FAILED_ROWS,
    },
)
