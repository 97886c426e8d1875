"""Faults that are injected into an emulated engine on request."""

from enum import StrEnum

from myrtlehub.emulator.machine import NEVER


class FaultKind(StrEnum):
    """The faults, by their words in `Misbehaviour.how`."""

    HANG = "hang"
    REFUSE = "refuse"
    ERROR = "error"
    SLOW = "slow"
    FLUSH = "flush"
    BREAK = "break"
    MODEL = "model"
    NONE = "well"


class UnknownFaultError(ValueError):
    """A fault was asked for that there is not, or not here.

    Attributes:
        kind: the word that was received.
    """

    def __init__(self, kind: str) -> None:
        super().__init__(f"{str(kind)!r} is not one of {', '.join(FaultKind)}")
        self.kind = kind


class InjectedFaults:
    """The faults of one engine at present, all of which end at the same time."""

    def __init__(self) -> None:
        self.is_hung = False
        self.slowdown = 1.0  # by which work takes longer
        self.refused_share = 0.0
        self.failed_share = 0.0
        self.end_at = NEVER

    def inject(self, now: float, kind: FaultKind, factor: float, seconds: float) -> None:
        """Begin a fault for so many seconds; 0: until it is cleared."""
        if kind == FaultKind.HANG:
            self.is_hung = True
        elif kind == FaultKind.SLOW:
            self.slowdown = max(1.0, factor)
        elif kind == FaultKind.REFUSE:
            self.refused_share = factor or 1.0
        elif kind == FaultKind.ERROR:
            self.failed_share = factor or 1.0
        else:
            raise UnknownFaultError(kind)
        self.end_at = now + seconds if seconds else NEVER

    def clear(self) -> None:
        """End all faults."""
        self.is_hung = False
        self.slowdown = 1.0
        self.refused_share = 0.0
        self.failed_share = 0.0
        self.end_at = NEVER
