"""The faults that can be injected into an emulated engine."""

from enum import StrEnum

from myrtlehub.emulator.machine import NEVER


class FaultKind(StrEnum):
    """The kinds of faults; the values are those of `Misbehaviour.how` in the protocol."""

    HANG = "hang"
    REJECT = "refuse"
    ERROR = "error"
    SLOW = "slow"
    FLUSH = "flush"
    BREAK = "break"
    MODEL = "model"
    NONE = "well"


class UnknownFaultError(ValueError):
    """A requested fault does not exist, or the engine model does not have it.

    Attributes:
        kind: the value that was received.
    """

    def __init__(self, kind: str) -> None:
        super().__init__(f"{str(kind)!r} is not one of {', '.join(FaultKind)}")
        self.kind = kind


class InjectedFaults:
    """The faults that one engine has at present; all of them end at the same time."""

    def __init__(self) -> None:
        self.is_hung = False
        self.slowdown = 1.0  # factor by which work takes longer
        self.rejected_share = 0.0  # fraction of attempts
        self.failed_share = 0.0  # fraction of attempts
        self.end_at = NEVER

    def inject(self, now: float, kind: FaultKind, factor: float, seconds: float) -> None:
        """Begin a fault that lasts this number of seconds; 0 stands for "until it is cleared".

        Raises:
            UnknownFaultError: the engine model does not have this fault.
        """
        if kind == FaultKind.HANG:
            self.is_hung = True
        elif kind == FaultKind.SLOW:
            self.slowdown = max(1.0, factor)
        elif kind == FaultKind.REJECT:
            self.rejected_share = factor or 1.0
        elif kind == FaultKind.ERROR:
            self.failed_share = factor or 1.0
        else:
            raise UnknownFaultError(kind)
        self.end_at = now + seconds if seconds else NEVER

    def clear(self) -> None:
        """End all faults."""
        self.is_hung = False
        self.slowdown = 1.0
        self.rejected_share = 0.0
        self.failed_share = 0.0
        self.end_at = NEVER
