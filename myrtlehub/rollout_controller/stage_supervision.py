"""When a phase or a node's state has lasted too long, and what a sample window says of the stage in work."""

from typing import NamedTuple

from myrtlehub.config.rollout_plan import RolloutPlanConfig
from myrtlehub.rollout.canary_analysis import Outcome, Verdict
from myrtlehub.rollout.node_status import NodeTimeouts
from myrtlehub.rollout.rollout_state import stage_nodes
from myrtlehub.rollout.states import RolloutEvent, RolloutPhase
from myrtlehub.rollout_controller.node_tracker import TrackedNode
from myrtlehub.rollout_controller.rollout_record import Details, RolloutRecord

HARM_PHASES = frozenset(
    {RolloutPhase.CHANGING, RolloutPhase.SETTLING, RolloutPhase.OBSERVING, RolloutPhase.ON_HOLD}
)


class Decision(NamedTuple):
    """An event of the rollout, and why."""

    event: RolloutEvent
    reason: str = ""
    details: Details | None = None


def node_timeouts(sheet: RolloutPlanConfig, is_unreachable: bool) -> NodeTimeouts:
    """Return how long a node may be in a state; one that cannot be reached is not hurried."""
    extra = sheet.hold if is_unreachable else 0.0
    return NodeTimeouts(sheet.drain_within + extra, sheet.start_within + extra, sheet.warm)


class StageSupervision:
    """Watches the clock of the phase and the figures of the stage."""

    def __init__(self, sheet: RolloutPlanConfig, record: RolloutRecord, nodes: list[TrackedNode]) -> None:
        self.verdict = Verdict(Outcome.UNDECIDED, "nothing was watched yet")
        self.phase_since = 0.0  # seconds of the reactor's clock
        self._sheet = sheet
        self._record = record
        self._nodes = nodes
        self._window_since = 0.0
        self._quiet_windows = 0  # without a disturbance, before the change

    def start(self, now: float) -> None:
        """Begin to watch."""
        self.phase_since = now
        self._window_since = now

    # -- time -------------------------------------------------------------------------------------

    def time_limit(self, now: float) -> Decision | None:
        """Return the end of the phase where its time is over."""
        phase = self._record.state.phase
        is_held = phase is RolloutPhase.ON_HOLD
        if is_held and any(self._nodes[node].is_unreachable for node in self._stage_nodes()):
            self.phase_since = now  # nodes go on serving as they are, however long nobody reaches them
            return None
        limit = self._phase_limit(phase)
        if limit is None or now - self.phase_since <= limit:
            return None
        if is_held:
            reason = f"trouble has lasted for {self._sheet.hold:g} s: {self.verdict.reason}"
        else:
            reason = f"{phase} took longer than {limit:g} s"
        return Decision(RolloutEvent.PHASE_TIMED_OUT, reason)

    def _phase_limit(self, phase: RolloutPhase) -> float | None:
        sheet = self._sheet
        rounds = -(-len(self._stage_nodes()) // self._record.plan.max_unavailable)
        limits = {
            RolloutPhase.CHANGING: rounds * (sheet.drain_within + sheet.start_within) + sheet.hold,
            RolloutPhase.SETTLING: sheet.warm + sheet.start_within + sheet.hold,
            RolloutPhase.ON_HOLD: sheet.hold,
            RolloutPhase.MEASURING: sheet.measure + sheet.hold,
        }
        return limits.get(phase)

    # -- figures ----------------------------------------------------------------------------------

    def window_is_over(self, now: float) -> bool:
        """Whether a sample window is complete."""
        return now - self._window_since >= self._sheet.block

    def close_window(self, now: float) -> Decision | None:
        """Add the sample window that is over to the analysis; return what follows for the rollout."""
        record = self._record
        phase = record.state.phase
        is_baseline = phase is RolloutPhase.MEASURING
        counters = [tracked.counters for tracked in self._nodes]
        seconds = now - self._window_since
        self._window_since = now
        window = record.sampler.window(counters, record.state.nodes, seconds, is_baseline)
        record.analysis.add(window)
        self.verdict = record.analysis.verdict()
        if is_baseline:
            return self._baseline_decision()
        if self.verdict.outcome is Outcome.WORSE and phase in HARM_PHASES:
            return Decision(RolloutEvent.WORSE, self.verdict.reason)
        if phase is RolloutPhase.ON_HOLD:
            return self._hold_decision()
        if phase is RolloutPhase.OBSERVING:
            return self._observation_decision()
        return None

    def _baseline_decision(self) -> Decision | None:
        is_disturbed = self._record.analysis.is_disturbed
        self._quiet_windows = 0 if is_disturbed else self._quiet_windows + 1
        if self._quiet_windows * self._sheet.block >= self._sheet.measure:
            return Decision(RolloutEvent.BASELINE_MEASURED, details=self._record.learned())
        return None

    def _hold_decision(self) -> Decision | None:
        if self._record.analysis.is_disturbed or self._silent_nodes():
            return None
        return Decision(RolloutEvent.DISTURBANCE_OVER, "nothing of it was seen any more")

    def _observation_decision(self) -> Decision | None:
        silent = self._silent_nodes()
        if silent:
            # Guards against a stage that passes as nothing is heard of it: what is not seen is not compared.
            return Decision(RolloutEvent.DISTURBANCE, f"no contact with {', '.join(silent)}")
        if self.verdict.outcome is Outcome.DISTURBANCE:
            return Decision(RolloutEvent.DISTURBANCE, self.verdict.reason)
        if self.verdict.outcome is Outcome.PASS:
            is_last = self._record.state.stage == len(self._record.plan.stages) - 1
            event = RolloutEvent.LAST_STAGE_PASSED if is_last else RolloutEvent.STAGE_PASSED
            return Decision(event, self.verdict.reason, self._record.learned())
        return None

    def _silent_nodes(self) -> list[str]:
        """Name the nodes of the stage in work of which nothing is heard."""
        names = self._record.files.names
        return [names[node] for node in self._stage_nodes() if self._nodes[node].counters is None]

    def _stage_nodes(self) -> tuple[int, ...]:
        return stage_nodes(self._record.plan, self._record.state)
