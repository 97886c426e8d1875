"""Transition table of the whole rollout; it defines a transition for every event in every phase."""

from myrtlehub.rollout.states import RolloutEffect, RolloutEvent, RolloutPhase
from myrtlehub.state.state_machine import Row, TransitionTable, forbid, on

# Row of the phases in which nodes are changed or observed.
ROLL_BACK_ROW = on(
    RolloutEvent.WORSE,
    RolloutEvent.NODE_FAILED,
    RolloutEvent.PHASE_TIMED_OUT,
    RolloutEvent.ROLL_BACK,
    RolloutEvent.ROLLBACK_BLOCKED,
    to=RolloutPhase.ROLLING_BACK,
    effect=RolloutEffect.ROLL_BACK,
)
# Row of the phases of a rollback, in which no stage can pass.
NO_PASS_ROW: Row[RolloutPhase, RolloutEvent] = forbid(
    RolloutEvent.BASELINE_MEASURED, RolloutEvent.STAGE_PASSED, RolloutEvent.LAST_STAGE_PASSED
)

ROLLOUT_TABLE = TransitionTable.build(
    "rollout",
    initial=RolloutPhase.PLANNED,
    final_states=(RolloutPhase.ROLLED_BACK,),
    events=RolloutEvent,
    rows={
        RolloutPhase.PLANNED: (
            on(RolloutEvent.BEGIN, to=RolloutPhase.MEASURING, effect=RolloutEffect.MEASURE),
            on(RolloutEvent.ROLL_BACK, to=RolloutPhase.ROLLED_BACK, effect=RolloutEffect.FINISH),
            forbid(
                RolloutEvent.BASELINE_MEASURED,
                RolloutEvent.STAGE_READY,
                RolloutEvent.WARMED_UP,
                RolloutEvent.STAGE_PASSED,
                RolloutEvent.LAST_STAGE_PASSED,
                RolloutEvent.WORSE,
                RolloutEvent.DISTURBANCE,
                RolloutEvent.DISTURBANCE_OVER,
                RolloutEvent.NODE_FAILED,
                RolloutEvent.PHASE_TIMED_OUT,
                RolloutEvent.ALL_ROLLED_BACK,
                RolloutEvent.ROLLBACK_BLOCKED,
            ),
        ),
        RolloutPhase.MEASURING: (
            on(RolloutEvent.BASELINE_MEASURED, to=RolloutPhase.CHANGING, effect=RolloutEffect.NEXT_STAGE),
            on(RolloutEvent.DISTURBANCE, RolloutEvent.DISTURBANCE_OVER, RolloutEvent.BEGIN),
            on(
                RolloutEvent.PHASE_TIMED_OUT,
                RolloutEvent.ROLL_BACK,
                RolloutEvent.WORSE,
                RolloutEvent.NODE_FAILED,
                to=RolloutPhase.ROLLING_BACK,
                effect=RolloutEffect.ROLL_BACK,
            ),
            forbid(
                RolloutEvent.STAGE_READY,
                RolloutEvent.WARMED_UP,
                RolloutEvent.STAGE_PASSED,
                RolloutEvent.LAST_STAGE_PASSED,
                RolloutEvent.ALL_ROLLED_BACK,
                RolloutEvent.ROLLBACK_BLOCKED,
            ),
        ),
        RolloutPhase.CHANGING: (
            on(RolloutEvent.STAGE_READY, to=RolloutPhase.SETTLING),
            on(RolloutEvent.DISTURBANCE, RolloutEvent.DISTURBANCE_OVER, RolloutEvent.BEGIN),
            ROLL_BACK_ROW,
            forbid(
                RolloutEvent.BASELINE_MEASURED,
                RolloutEvent.WARMED_UP,
                RolloutEvent.STAGE_PASSED,
                RolloutEvent.LAST_STAGE_PASSED,
                RolloutEvent.ALL_ROLLED_BACK,
            ),
        ),
        RolloutPhase.SETTLING: (
            on(RolloutEvent.WARMED_UP, to=RolloutPhase.OBSERVING, effect=RolloutEffect.OBSERVE),
            on(
                RolloutEvent.DISTURBANCE,
                RolloutEvent.DISTURBANCE_OVER,
                RolloutEvent.BEGIN,
                RolloutEvent.STAGE_READY,
            ),
            ROLL_BACK_ROW,
            forbid(
                RolloutEvent.BASELINE_MEASURED,
                RolloutEvent.STAGE_PASSED,
                RolloutEvent.LAST_STAGE_PASSED,
                RolloutEvent.ALL_ROLLED_BACK,
            ),
        ),
        RolloutPhase.OBSERVING: (
            on(RolloutEvent.STAGE_PASSED, to=RolloutPhase.CHANGING, effect=RolloutEffect.NEXT_STAGE),
            on(RolloutEvent.LAST_STAGE_PASSED, to=RolloutPhase.COMMITTED, effect=RolloutEffect.FINISH),
            on(RolloutEvent.DISTURBANCE, to=RolloutPhase.ON_HOLD, effect=RolloutEffect.HOLD),
            on(RolloutEvent.DISTURBANCE_OVER, RolloutEvent.BEGIN),
            ROLL_BACK_ROW,
            forbid(
                RolloutEvent.BASELINE_MEASURED,
                RolloutEvent.STAGE_READY,
                RolloutEvent.WARMED_UP,
                RolloutEvent.ALL_ROLLED_BACK,
            ),
        ),
        RolloutPhase.ON_HOLD: (
            on(RolloutEvent.DISTURBANCE_OVER, to=RolloutPhase.OBSERVING, effect=RolloutEffect.OBSERVE),
            on(RolloutEvent.DISTURBANCE, RolloutEvent.BEGIN),
            ROLL_BACK_ROW,
            forbid(
                RolloutEvent.BASELINE_MEASURED,
                RolloutEvent.STAGE_READY,
                RolloutEvent.WARMED_UP,
                RolloutEvent.STAGE_PASSED,
                RolloutEvent.LAST_STAGE_PASSED,
                RolloutEvent.ALL_ROLLED_BACK,
            ),
        ),
        RolloutPhase.ROLLING_BACK: (
            on(RolloutEvent.ALL_ROLLED_BACK, to=RolloutPhase.ROLLED_BACK, effect=RolloutEffect.FINISH),
            on(RolloutEvent.ROLLBACK_BLOCKED, to=RolloutPhase.STUCK, effect=RolloutEffect.REPORT),
            on(
                RolloutEvent.ROLL_BACK,
                RolloutEvent.WORSE,
                RolloutEvent.NODE_FAILED,
                RolloutEvent.PHASE_TIMED_OUT,
                RolloutEvent.DISTURBANCE,
                RolloutEvent.DISTURBANCE_OVER,
                RolloutEvent.BEGIN,
                RolloutEvent.STAGE_READY,
                RolloutEvent.WARMED_UP,
            ),
            NO_PASS_ROW,
        ),
        RolloutPhase.STUCK: (
            on(RolloutEvent.ROLL_BACK, to=RolloutPhase.ROLLING_BACK, effect=RolloutEffect.ROLL_BACK),
            on(RolloutEvent.ALL_ROLLED_BACK, to=RolloutPhase.ROLLED_BACK, effect=RolloutEffect.FINISH),
            on(
                RolloutEvent.WORSE,
                RolloutEvent.NODE_FAILED,
                RolloutEvent.PHASE_TIMED_OUT,
                RolloutEvent.DISTURBANCE,
                RolloutEvent.DISTURBANCE_OVER,
                RolloutEvent.BEGIN,
                RolloutEvent.STAGE_READY,
                RolloutEvent.WARMED_UP,
                RolloutEvent.ROLLBACK_BLOCKED,
            ),
            NO_PASS_ROW,
        ),
        RolloutPhase.COMMITTED: (
            on(RolloutEvent.ROLL_BACK, to=RolloutPhase.ROLLING_BACK, effect=RolloutEffect.ROLL_BACK),
            on(
                RolloutEvent.WORSE,
                RolloutEvent.NODE_FAILED,
                RolloutEvent.PHASE_TIMED_OUT,
                RolloutEvent.DISTURBANCE,
                RolloutEvent.DISTURBANCE_OVER,
                RolloutEvent.BEGIN,
                RolloutEvent.ROLLBACK_BLOCKED,
            ),
            forbid(
                RolloutEvent.BASELINE_MEASURED,
                RolloutEvent.STAGE_READY,
                RolloutEvent.WARMED_UP,
                RolloutEvent.STAGE_PASSED,
                RolloutEvent.LAST_STAGE_PASSED,
                RolloutEvent.ALL_ROLLED_BACK,
            ),
        ),
    },
)
