"""Errors of a rollout, and the exit codes of `hub-rollout`."""

from enum import IntEnum

from myrtlehub.rollout.states import RolloutPhase


class ExitCode(IntEnum):
    """The exit code of a controller."""

    COMMITTED = 0
    ROLLED_BACK = 1
    INVALID = 2  # the plan or the fleet does not allow the rollout
    STUCK = 3  # an operator has to intervene
    JOURNAL_NOT_WRITABLE = 4
    SUPERSEDED = 5  # another controller has taken over


PHASE_EXIT_CODES = {
    RolloutPhase.COMMITTED: ExitCode.COMMITTED,
    RolloutPhase.ROLLED_BACK: ExitCode.ROLLED_BACK,
}


class RolloutError(Exception):
    """The rollout cannot begin or continue; the message gives the reason and what the operator can do."""

    exit_code = ExitCode.INVALID


class JournalNotWritableError(RolloutError):
    """The journal cannot be read or written."""

    exit_code = ExitCode.JOURNAL_NOT_WRITABLE


class SupersededError(RolloutError):
    """A node accepts orders only from another controller."""

    exit_code = ExitCode.SUPERSEDED
