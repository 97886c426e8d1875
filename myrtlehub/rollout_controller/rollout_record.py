"""The state of a rollout as recorded in its journal: replayed when the rollout is resumed."""

import time
from collections.abc import Sequence
from typing import NamedTuple

from myrtlehub.log_events import Log, LogEvent
from myrtlehub.rollout.canary_analysis import AnalysisSnapshot
from myrtlehub.rollout.journal_details import (
    BeginDetails,
    ProcessDetails,
    RevisionDetails,
    decode_details,
    encode_details,
)
from myrtlehub.rollout.journal_format import BookkeepingEvent, JournalEntry, JsonObject
from myrtlehub.rollout.node_status import Revision
from myrtlehub.rollout.progress import StepResult, step
from myrtlehub.rollout.rollout_state import FLEET, initial_state
from myrtlehub.rollout.states import NodeEvent, RolloutEvent
from myrtlehub.rollout.window_sampler import WindowSampler
from myrtlehub.rollout_controller.errors import JournalNotWritableError
from myrtlehub.rollout_controller.journal_store import JournalStore
from myrtlehub.rollout_controller.plan_files import PlanFiles
from myrtlehub.rollout_controller.process_supervisor import ProcessIdentity

ANALYSIS_FIELD = "judged"  # stored name of the analysis in the details of an entry


class StoredAnalysis(AnalysisSnapshot):
    """The analysis and the sampler's threshold, as a JSON object of the journal."""

    slow: float  # `WindowSampler.slow_first_token_us`


class KnownProcess(NamedTuple):
    """The process that last answered for a node, according to the journal."""

    incarnation: str
    identity: ProcessIdentity


class RolloutRecord:
    """State, revisions and metrics of one rollout, as far as its journal records them."""

    def __init__(self, plan_files: PlanFiles, journal: JournalStore, log: Log) -> None:
        """Create the record of a rollout that has not begun.

        Args:
            plan_files: the plan and its files.
            journal: the journal that entries are appended to.
            log: logs a stored analysis that cannot be used.
        """
        self.plan_files = plan_files
        self.plan = plan_files.plan
        self.journal = journal
        self.state = initial_state(self.plan)
        self.old_revisions: list[Revision] = []  # by node; empty until the rollout begins
        self.new_revision = Revision("", "")
        # Replaced when the rollout begins and the traffic types are known.
        self.analysis = plan_files.analysis([])
        self.sampler = WindowSampler(self.plan.node_count)
        self.known_processes: dict[int, KnownProcess] = {}
        self._log = log

    @property
    def has_begun(self) -> bool:
        """Whether the rollout has begun, so that nodes may have been changed."""
        return bool(self.old_revisions)

    # -- reading ----------------------------------------------------------------------------------

    def replay(self, entry: JournalEntry) -> None:
        """Apply an entry of the journal."""
        if entry.event in set(BookkeepingEvent):
            self._replay_bookkeeping(entry)
        else:
            if entry.event == RolloutEvent.BEGIN and entry.node == FLEET:
                self._replay_begin(decode_details(entry.details, BeginDetails))
            event = RolloutEvent(entry.event) if entry.node == FLEET else NodeEvent(entry.event)
            self.state = step(self.plan, self.state, entry.node, event).state
        if ANALYSIS_FIELD in entry.details:
            self._restore_analysis(entry.details[ANALYSIS_FIELD])

    def _replay_begin(self, details: BeginDetails) -> None:
        self.old_revisions = details.old
        self.new_revision = details.new
        self.analysis = self.plan_files.analysis(details.traffic)

    def _replay_bookkeeping(self, entry: JournalEntry) -> None:
        if entry.event == BookkeepingEvent.REVISION:
            self.new_revision = decode_details(entry.details, RevisionDetails).new
        elif entry.event == BookkeepingEvent.PROCESS:
            # A node may be unreachable when the rollout is resumed. Its process is then known from the
            # journal, and the node does not count as missing while that process runs.
            process = decode_details(entry.details, ProcessDetails)
            identity = ProcessIdentity(process.pid, process.start_ticks)
            self.known_processes[entry.node] = KnownProcess(process.incarnation, identity)

    def _restore_analysis(self, stored: StoredAnalysis) -> None:
        """Restore the analysis that was stored after the baseline or after the last passed stage.

        If that fails, the analysis lacks the earlier samples, and its confidence bounds are wider.
        """
        try:
            self.analysis.restore(stored)
            self.sampler.slow_first_token_us = float(stored["slow"])
        except (KeyError, TypeError, ValueError) as error:
            self._log(
                LogEvent.SAMPLES_UNUSABLE,
                text=f"the analysis in the journal cannot be restored: {error}; its bounds are wider",
            )

    # -- writing ----------------------------------------------------------------------------------

    def apply_event(
        self,
        node: int,
        event: NodeEvent | RolloutEvent,
        reason: str = "",
        details: JsonObject | None = None,
    ) -> StepResult | None:
        """Append an event to the journal and apply it; if it has no effect, append nothing and return None.

        Args:
            node: index of the node, or FLEET.
            event: the event.
            reason: the reason, for the operator.
            details: further fields of the entry.

        Raises:
            InvalidTransitionError: the event is forbidden in this state.
            JournalNotWritableError: the write failed; the entry may or may not be on disk.
        """
        result = step(self.plan, self.state, node, event)
        if result.state == self.state and not result.actions:
            return None
        self.append(JournalEntry(time.time(), str(event), node, reason, details or {}))
        self.state = result.state
        return result

    def begin(
        self, old_revisions: list[Revision], new_revision: Revision, traffic_types: Sequence[str]
    ) -> JsonObject:
        """Set the revisions, and return the details of the journal entry that begins the rollout.

        Args:
            old_revisions: the current revision of each node.
            new_revision: the revision of the rollout.
            traffic_types: the names of the traffic types.
        """
        self.old_revisions = old_revisions
        self.new_revision = new_revision
        self.analysis = self.plan_files.analysis(traffic_types)
        return encode_details(BeginDetails(old_revisions, new_revision, list(traffic_types)))

    def append_new_revision(self, revision: Revision) -> None:
        """Record the complete new revision, as reported by the first node that runs the new program."""
        self.new_revision = revision
        self._append_bookkeeping(BookkeepingEvent.REVISION, FLEET, encode_details(RevisionDetails(revision)))

    def append_process(self, node: int, incarnation: str, identity: ProcessIdentity) -> None:
        """Record the process that answers for a node now."""
        details = ProcessDetails(incarnation, identity.pid, identity.start_ticks)
        self._append_bookkeeping(BookkeepingEvent.PROCESS, node, encode_details(details))

    def analysis_details(self) -> JsonObject:
        """Return the details of an entry from which a resumed controller restores the analysis."""
        stored: StoredAnalysis = {**self.analysis.snapshot(), "slow": self.sampler.slow_first_token_us}
        return {ANALYSIS_FIELD: stored}

    def _append_bookkeeping(self, event: BookkeepingEvent, node: int, details: JsonObject) -> None:
        self.append(JournalEntry(time.time(), str(event), node, details=details))

    def append(self, entry: JournalEntry) -> None:
        """Append an entry to the journal.

        Raises:
            JournalNotWritableError: the write failed; the entry may or may not be on disk.
        """
        try:
            self.journal.append(entry)
        except OSError as error:
            raise JournalNotWritableError(
                f"{self.journal.path}: {error.strerror}; the controller stops and leaves the nodes "
                "unchanged. Free disk space and run hub-rollout resume"
            ) from error
