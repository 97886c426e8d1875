"""The faults that can be injected into an emulated engine."""

from enum import StrEnum

from myrtlehub.emulator.machine import NEVER


class FaultKind(StrEnum):
    """The kinds of faults; the values are the wire values of `Misbehaviour.how`."""

    HANG = "hang"
    REJECT = "refuse"
    ERROR = "error"
    SLOW = "slow"
    FLUSH = "flush"
    BREAK = "break"
    MODEL = "model"
    NONE = "well"


class UnknownFaultError(ValueError):
    """A requested fault is unknown, or the engine model does not support it.

    Attributes:
        kind: the requested value.
    """

    def __init__(self, kind: str) -> None:
        super().__init__(f"{str(kind)!r} is not one of {', '.join(FaultKind)}")
        self.kind = kind


class InjectedFaults:
    """The active faults of one engine; all of them end at the same time."""

    def __init__(self) -> None:
        self.is_hung = False
        self.slowdown = 1.0  # factor on processing times
        self.reject_probability = 0.0  # per attempt
        self.fail_probability = 0.0  # per attempt
        self.end_at = NEVER

    def inject(self, now: float, kind: FaultKind, factor: float, seconds: float) -> None:
        """Activate a fault for this number of seconds; 0: until it is cleared.

        Raises:
            UnknownFaultError: the engine model does not support this fault.
        """
        if kind == FaultKind.HANG:
            self.is_hung = True
        elif kind == FaultKind.SLOW:
            self.slowdown = max(1.0, factor)
        elif kind == FaultKind.REJECT:
            self.reject_probability = factor or 1.0
        elif kind == FaultKind.ERROR:
            self.fail_probability = factor or 1.0
        else:
            raise UnknownFaultError(kind)
        self.end_at = now + seconds if seconds else NEVER

    def clear(self) -> None:
        """End all faults."""
        self.is_hung = False
        self.slowdown = 1.0
        self.reject_probability = 0.0
        self.fail_probability = 0.0
        self.end_at = NEVER
