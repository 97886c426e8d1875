"""The parameters of an emulated machine, and the attempts that its model receives."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

NEVER = float("inf")  # stands for no scheduled time
TIME_TOLERANCE = 1e-9  # seconds by which a timer may fire early because of rounding

KeyT = TypeVar("KeyT", bound=Hashable)  # identifies an attempt; chosen by the model's caller


@dataclass(frozen=True)
class Machine:
    """The parameters of an emulated machine; times are in seconds, memory and cache capacity in tokens.

    The fields have the names of the settings in `config/emulated_engine.py`, which documents them.
    """

    slots: int = 8
    queue: int = 32
    memory: float = 200000.0
    read_rate: float = 16000.0
    step: float = 0.02
    step_crowd: float = 0.5
    fetch_rate: float = 250000.0
    kept: float = 60000.0
    cold_share: float = 0.25
    cold_time: float = 10.0
    fall_multiple: float = 2.5
    fall_time: float = 1.0
    state_bound: float = 3.0
    begin: float = 0.0
    batch_base: float = 0.006
    batch_rate: float = 60000.0
    batch_slots: int = 1
    batch_queue: int = 16
    batch_drag: float = 0.5


class Task(NamedTuple):
    """One attempt as the engine received it; sizes are in tokens."""

    sequence_id: str
    prompt_tokens: float
    max_output_tokens: float
    session: str = ""
    prefix: str = ""
    shared_tokens: float = 0.0
    idempotency_key: str = ""
    expires_at: float = NEVER  # time by which an attempt must start, and a read must complete
