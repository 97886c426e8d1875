"""Why a rollout cannot begin or go on, and the exit codes of `hub-rollout`."""

from enum import IntEnum

from myrtlehub.rollout.states import RolloutPhase


class ExitCode(IntEnum):
    """How a controller ended."""

    COMMITTED = 0
    ROLLED_BACK = 1
    INVALID = 2  # the plan or the fleet is wrong
    STUCK = 3  # people are needed
    JOURNAL_NOT_WRITABLE = 4
    SUPERSEDED = 5  # another controller has taken over


END_CODES = {
    RolloutPhase.COMMITTED: ExitCode.COMMITTED,
    RolloutPhase.ROLLED_BACK: ExitCode.ROLLED_BACK,
}


class RolloutError(Exception):
    """The rollout cannot begin or go on; the text says why and what to do."""

    exit_code = ExitCode.INVALID


class JournalNotWritableError(RolloutError):
    """The journal cannot be written."""

    exit_code = ExitCode.JOURNAL_NOT_WRITABLE


class SupersededError(RolloutError):
    """The nodes obey another controller."""

    exit_code = ExitCode.SUPERSEDED
