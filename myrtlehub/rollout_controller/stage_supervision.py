"""Supervision of the current stage: time limits of its phase, and decisions from its sample windows."""

from typing import NamedTuple

from myrtlehub.config.rollout_plan import RolloutPlanConfig
from myrtlehub.rollout.canary_analysis import Outcome, Verdict
from myrtlehub.rollout.journal_format import JsonObject
from myrtlehub.rollout.node_status import NodeTimeouts
from myrtlehub.rollout.rollout_state import stage_nodes
from myrtlehub.rollout.states import RolloutEvent, RolloutPhase
from myrtlehub.rollout_controller.node_tracker import TrackedNode
from myrtlehub.rollout_controller.rollout_record import RolloutRecord

# Phases in which a verdict of WORSE rolls the rollout back.
ROLLBACK_ON_WORSE_PHASES = frozenset(
    {RolloutPhase.CHANGING, RolloutPhase.SETTLING, RolloutPhase.OBSERVING, RolloutPhase.ON_HOLD}
)


class Decision(NamedTuple):
    """An event of the rollout, its reason, and the details of its journal entry."""

    event: RolloutEvent
    reason: str = ""
    details: JsonObject | None = None


def node_timeouts(config: RolloutPlanConfig, is_unreachable: bool) -> NodeTimeouts:
    """Return how long a node may stay in a state; an unreachable node may stay longer."""
    extra = config.hold if is_unreachable else 0.0
    return NodeTimeouts(config.drain_within + extra, config.start_within + extra, config.warm)


class StageSupervisor:
    """Enforces the time limits of phases and evaluates the sample windows of a stage."""

    def __init__(self, config: RolloutPlanConfig, record: RolloutRecord, nodes: list[TrackedNode]) -> None:
        """Create a supervisor; `start` has to be called before anything else."""
        self.verdict = Verdict(Outcome.UNDECIDED, "no sample window was observed yet")
        self.phase_since = 0.0  # seconds of the controller's clock
        self._config = config
        self._record = record
        self._nodes = nodes
        self._window_started_at = 0.0  # seconds of the controller's clock
        self._undisturbed_windows = 0  # consecutive baseline windows without a disturbance

    def start(self, now: float) -> None:
        """Start to measure the time in the phase and the duration of the first sample window."""
        self.phase_since = now
        self._window_started_at = now

    # -- time limits ------------------------------------------------------------------------------

    def check_time_limit(self, now: float) -> Decision | None:
        """Return the decision to take if the phase has exceeded its time limit, or None."""
        phase = self._record.state.phase
        is_on_hold = phase is RolloutPhase.ON_HOLD
        if is_on_hold and any(self._nodes[node].is_unreachable for node in self._stage_nodes()):
            # An unreachable node keeps serving, so the time limit counts from when it is reachable again
            # (test_an_unreachable_node_is_left_unchanged_until_it_is_reachable).
            self.phase_since = now
            return None
        limit = self._phase_limit(phase)
        if limit is None or now - self.phase_since <= limit:
            return None
        if is_on_hold:
            reason = f"the disturbance has lasted for {self._config.hold:g} s: {self.verdict.reason}"
        else:
            reason = f"{phase} took longer than {limit:g} s"
        return Decision(RolloutEvent.PHASE_TIMED_OUT, reason)

    def _phase_limit(self, phase: RolloutPhase) -> float | None:
        """Return the time limit of a phase in seconds; None if it has none."""
        config = self._config
        batches = -(-len(self._stage_nodes()) // self._record.plan.max_unavailable)  # rounded up
        limits = {
            RolloutPhase.CHANGING: batches * (config.drain_within + config.start_within) + config.hold,
            RolloutPhase.SETTLING: config.warm + config.start_within + config.hold,
            RolloutPhase.ON_HOLD: config.hold,
            RolloutPhase.MEASURING: config.measure + config.hold,
        }
        return limits.get(phase)

    # -- sample windows ---------------------------------------------------------------------------

    def is_window_complete(self, now: float) -> bool:
        """Return whether the current sample window is complete."""
        return now - self._window_started_at >= self._config.block

    def close_window(self, now: float) -> Decision | None:
        """Add the current sample window to the analysis, and return the decision to take, or None."""
        record = self._record
        phase = record.state.phase
        is_baseline = phase is RolloutPhase.MEASURING
        counters = [tracked.counters for tracked in self._nodes]
        duration = now - self._window_started_at
        self._window_started_at = now
        window = record.sampler.window(counters, record.state.nodes, duration, is_baseline)
        record.analysis.add(window)
        self.verdict = record.analysis.verdict()
        if is_baseline:
            return self._baseline_decision()
        if self.verdict.outcome is Outcome.WORSE and phase in ROLLBACK_ON_WORSE_PHASES:
            return Decision(RolloutEvent.WORSE, self.verdict.reason)
        if phase is RolloutPhase.ON_HOLD:
            return self._hold_decision()
        if phase is RolloutPhase.OBSERVING:
            return self._observation_decision()
        return None

    def _baseline_decision(self) -> Decision | None:
        is_disturbed = self._record.analysis.is_disturbed
        self._undisturbed_windows = 0 if is_disturbed else self._undisturbed_windows + 1
        if self._undisturbed_windows * self._config.block >= self._config.measure:
            return Decision(RolloutEvent.BASELINE_MEASURED, details=self._record.analysis_details())
        return None

    def _hold_decision(self) -> Decision | None:
        if self._record.analysis.is_disturbed or self._unresponsive_nodes():
            return None
        return Decision(RolloutEvent.DISTURBANCE_OVER, "no sign of the disturbance in the last windows")

    def _observation_decision(self) -> Decision | None:
        unresponsive = self._unresponsive_nodes()
        if unresponsive:
            # A node that does not answer is not compared, so the stage could pass without it. The stage is
            # put on hold instead (test_an_unreachable_node_is_left_unchanged_until_it_is_reachable).
            return Decision(RolloutEvent.DISTURBANCE, f"no contact with {', '.join(unresponsive)}")
        if self.verdict.outcome is Outcome.DISTURBANCE:
            return Decision(RolloutEvent.DISTURBANCE, self.verdict.reason)
        if self.verdict.outcome is Outcome.PASS:
            is_last = self._record.state.stage == len(self._record.plan.stages) - 1
            event = RolloutEvent.LAST_STAGE_PASSED if is_last else RolloutEvent.STAGE_PASSED
            return Decision(event, self.verdict.reason, self._record.analysis_details())
        return None

    def _unresponsive_nodes(self) -> list[str]:
        """Return the names of the nodes of the stage that did not answer the last poll."""
        names = self._record.plan_files.names
        return [names[node] for node in self._stage_nodes() if self._nodes[node].counters is None]

    def _stage_nodes(self) -> tuple[int, ...]:
        return stage_nodes(self._record.plan, self._record.state)
