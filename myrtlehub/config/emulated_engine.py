"""The file of an emulated engine."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from myrtlehub.config.field_types import Address, Count, CountOrZero, Name, NotNegative, Positive, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration, Tokens

Rate = Annotated[float, Field(gt=0)]  # a second


class FaultInjectionConfig(ConfigModel):
    """Shares of attempts on which an emulated engine fails in a way of its own."""

    break_stream: Share = 0.0  # a writer's stream is reset after some tokens
    lose_fetch: Share = 0.0  # a reader breaks off a fetch halfway and has lost the state
    fail_late: Share = 0.0  # a writer takes an attempt and fails it, not begun, after 0.2 to 0.6 s
    full_after_fetch: Share = 0.0  # a writer refuses once it has fetched


class EmulatedEngineConfig(ConfigModel):
    """An emulated engine's file. Simulated: figures of a made-up machine."""

    name: Name
    listen: Address
    reads: bool = False
    writes: bool = False
    embeds: bool = False
    ranks: bool = False
    model: str = "m1"  # version of what embeds or ranks
    dimensions: Count = 16
    batch_base: Duration = 0.006  # of each batch, however small
    batch_rate: Rate = 60000.0  # tokens a second, a batch alone
    batch_slots: Count = 1  # batches at a time
    batch_queue: CountOrZero = 16
    batch_drag: NotNegative = 0.5  # by which a batch makes the steps of streams beside it longer
    longest_input: Tokens = 8192.0
    slots: Count = 8
    queue: CountOrZero = 32
    memory: Tokens = 200000.0
    read_rate: Rate = 16000.0  # prompt tokens a second, a slot
    step: Duration = 0.02  # between tokens of a stream, alone
    step_crowd: Share = 0.5  # by which steps are longer with all slots in use
    fetch_rate: Rate = 250000.0  # tokens a second
    kept: Tokens = 60000.0  # of cached prefixes, beside the memory
    reports: Literal["answers", "probe"] = "answers"  # to what it adds its load
    cold: bool = False
    cold_share: Share = 0.25
    cold_time: Duration = 10.0
    fall_multiple: Positive = 2.5
    fall_time: Duration = 1.0
    state_bound: Duration = 3.0  # unclaimed read state is dropped after this
    stream_bound: Duration = 0.0  # for so long a stream outlives its node, for another one; 0: not at all
    dedup_window: Duration = 5.0
    begin: Duration = 0.0  # from a state to the first step of its answer
    mishaps: FaultInjectionConfig = FaultInjectionConfig()
    seed: int = 0
    records: str = ""  # file; empty: none

    @model_validator(mode="after")
    def _check_tasks(self) -> Self:
        if not (self.reads or self.writes or self.embeds or self.ranks):
            raise ValueError("a stand-in that does nothing; set reads, writes, embeds or ranks to yes")
        return self
