"""The file of an emulated engine."""

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from myrtlehub.config.field_types import Address, Count, CountOrZero, Name, NotNegative, Positive, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration, Tokens

Rate = Annotated[float, Field(gt=0)]  # tokens per second


class FaultInjectionConfig(ConfigModel):
    """The fractions of attempts in which an emulated engine fails by each kind of fault.

    Readers are engines that prefill prompts, writers are engines that decode answers. A read state is the KV
    cache that a reader holds for a sequence until a writer has fetched it.
    """

    break_stream: Share = 0.0  # a writer resets the stream after a few tokens
    lose_fetch: Share = 0.0  # a reader aborts a fetch partway and loses the read state
    fail_late: Share = 0.0  # a writer accepts an attempt, and fails it 0.2 to 0.6 s later, before its start
    full_after_fetch: Share = 0.0  # a writer rejects an attempt after it has fetched the read state


class EmulatedEngineConfig(ConfigModel):
    """The settings of an emulated engine; the figures describe a simulated machine."""

    name: Name
    listen: Address
    reads: bool = False
    writes: bool = False
    embeds: bool = False
    ranks: bool = False
    model: str = "m1"  # version of the model that embeds or ranks
    dimensions: Count = 16
    batch_base: Duration = 0.006  # duration of each batch, however small
    batch_rate: Rate = 60000.0  # tokens per second, for a batch without concurrent streams
    batch_slots: Count = 1  # batches that run concurrently
    batch_queue: CountOrZero = 16
    batch_drag: NotNegative = 0.5  # relative slowdown by one batch, or by streams in all slots
    longest_input: Tokens = 8192.0
    slots: Count = 8
    queue: CountOrZero = 32
    memory: Tokens = 200000.0
    read_rate: Rate = 16000.0  # prompt tokens per second and slot
    step: Duration = 0.02  # duration of a decode step, one token per stream, with a single stream
    step_crowd: Share = 0.5  # fraction by which steps are longer with all slots in use
    fetch_rate: Rate = 250000.0  # tokens of read state per second
    kept: Tokens = 60000.0  # capacity of the prefix cache, in addition to `memory`
    reports: Literal["answers", "probe"] = "answers"  # messages that carry the load report
    cold: bool = False
    cold_share: Share = 0.25  # fraction of the capacity right after a cold start
    cold_time: Duration = 10.0  # from a cold start to the full capacity
    fall_multiple: Positive = 2.5  # ratio of received work to capacity above which a cold engine crashes
    fall_time: Duration = 1.0  # window over which `fall_multiple` is measured
    state_bound: Duration = 3.0  # time after which a read state that was not fetched is freed
    stream_bound: Duration = 0.0  # time for which a stream continues after the loss of its node; 0: it ends
    dedup_window: Duration = 5.0
    begin: Duration = 0.0  # time from the fetch of the read state to the first decode step
    mishaps: FaultInjectionConfig = FaultInjectionConfig()
    seed: int = 0
    records: str = ""  # path of the records file; empty for none

    @model_validator(mode="after")
    def _check_tasks(self) -> Self:
        if not (self.reads or self.writes or self.embeds or self.ranks):
            raise ValueError(
                "an emulated engine that does nothing; set reads, writes, embeds or ranks to yes"
            )
        return self
