"""What a controller knows of a rollout and writes to the journal, and what a resumed one reads from it."""

import time
from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol

from myrtlehub.log_events import LogEvent
from myrtlehub.rollout.journal_format import BookkeepingEvent, JournalEntry
from myrtlehub.rollout.progress import FLEET, StepResult, initial_state, step
from myrtlehub.rollout.samples import Revision, WindowSampler
from myrtlehub.rollout.states import NodeEvent, RolloutEvent
from myrtlehub.rollout_controller.errors import JournalNotWritableError
from myrtlehub.rollout_controller.journal_store import JournalStore
from myrtlehub.rollout_controller.plan_files import PlanFiles
from myrtlehub.rollout_controller.process_supervisor import UNKNOWN_START, ProcessIdentity

Details = dict[str, Any]
LEARNED = "judged"  # detail of an entry: what the analysis had learned when a stage was passed


class EventPrinter(Protocol):
    """Prints what a controller does, for people and for programs that follow it."""

    def __call__(self, event: LogEvent, /, **fields: object) -> None:
        """Print one event."""


class KnownProcess(NamedTuple):
    """The process that last answered for a node, by the journal."""

    incarnation: str
    identity: ProcessIdentity


class RolloutRecord:
    """State, revisions and figures of one rollout, as far as its journal goes."""

    def __init__(self, files: PlanFiles, journal: JournalStore, print_event: EventPrinter) -> None:
        self.files = files
        self.plan = files.plan
        self.journal = journal
        self.state = initial_state(self.plan)
        self.old_revisions: list[Revision] = []  # by node; none before the rollout was begun
        self.new_revision = Revision("", "")
        self.analysis = files.analysis([])  # of the traffic types, once the rollout was begun
        self.sampler = WindowSampler(self.plan.node_count)
        self.known_processes: dict[int, KnownProcess] = {}
        self._print_event = print_event

    @property
    def is_begun(self) -> bool:
        """Whether anything may have been changed."""
        return bool(self.old_revisions)

    # -- reading ----------------------------------------------------------------------------------

    def replay(self, entry: JournalEntry) -> None:
        """Take an entry of the journal once more."""
        if entry.event in set(BookkeepingEvent):
            self._replay_bookkeeping(entry)
        else:
            if entry.event == RolloutEvent.BEGIN and entry.node == FLEET:
                self._replay_begin(entry.details)
            event = RolloutEvent(entry.event) if entry.node == FLEET else NodeEvent(entry.event)
            self.state = step(self.plan, self.state, entry.node, event).state
        if LEARNED in entry.details:
            self._restore(entry.details[LEARNED])

    def _replay_begin(self, details: Details) -> None:
        self.old_revisions = [Revision(*revision) for revision in details["old"]]
        self.new_revision = Revision(*details["new"])
        self.analysis = self.files.analysis(details["traffic"])

    def _replay_bookkeeping(self, entry: JournalEntry) -> None:
        if entry.event == BookkeepingEvent.REVISION:
            self.new_revision = Revision(*entry.details["new"])
        elif entry.event == BookkeepingEvent.PROCESS:
            # Guards against a node that the resumed controller cannot reach: its process is still known.
            identity = ProcessIdentity(entry.details["pid"], entry.details.get("born", UNKNOWN_START))
            self.known_processes[entry.node] = KnownProcess(entry.details["run"], identity)

    def _restore(self, learned: Details) -> None:
        """Restore what the analysis had learned when a stage was passed; without it, bounds are wider."""
        try:
            self.analysis.restore(learned)
            self.sampler.slow_first_token = float(learned["slow"])
        except (KeyError, TypeError, ValueError) as error:
            self._print_event(
                LogEvent.SAMPLES_UNUSABLE,
                text=f"the journal's figures cannot be used: {error}; bounds are wider",
            )

    # -- writing ----------------------------------------------------------------------------------

    def take(
        self,
        node: int,
        event: NodeEvent | RolloutEvent,
        reason: str = "",
        details: Details | None = None,
    ) -> StepResult | None:
        """Take an event and write it to the journal; None where nothing follows from it.

        Raises:
            InvalidTransitionError: it cannot happen now.
            JournalNotWritableError: it may be in the journal or not.
        """
        result = step(self.plan, self.state, node, event)
        if result.state == self.state and not result.actions:
            return None
        self.append(JournalEntry(time.time(), str(event), node, reason, details or {}))
        self.state = result.state
        return result

    def begin(self, old: list[Revision], new: Revision, traffic: Sequence[str]) -> Details:
        """Note what is to be changed; return the details of the entry that begins the rollout."""
        self.old_revisions = old
        self.new_revision = new
        self.analysis = self.files.analysis(traffic)
        return {"old": old, "new": new, "traffic": traffic}

    def note_new_revision(self, revision: Revision) -> None:
        """Note the revision that the new program turned out to show."""
        self.new_revision = revision
        self._note(BookkeepingEvent.REVISION, FLEET, {"new": revision})

    def note_process(self, node: int, incarnation: str, identity: ProcessIdentity) -> None:
        """Note the process that answers for a node from now on."""
        details = {"run": incarnation, "pid": identity.pid, "born": identity.start_ticks}
        self._note(BookkeepingEvent.PROCESS, node, details)

    def learned(self) -> Details:
        """Return what the next controller has to know of figures, should this one end."""
        return {LEARNED: {**self.analysis.snapshot(), "slow": self.sampler.slow_first_token}}

    def _note(self, event: BookkeepingEvent, node: int, details: Details) -> None:
        self.append(JournalEntry(time.time(), str(event), node, details=details))

    def append(self, entry: JournalEntry) -> None:
        """Write an entry to the journal.

        Raises:
            JournalNotWritableError: it may be there or not.
        """
        try:
            self.journal.append(entry)
        except OSError as error:
            raise JournalNotWritableError(
                f"{self.journal.path}: {error.strerror}; nothing more is done, and nodes go on as they "
                "are. Make room and use hub-rollout resume"
            ) from error
