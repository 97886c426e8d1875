"""Engines: their kinds, the optional requests that they support, and how they report their load."""

from typing import Literal, Self

from pydantic import model_validator

from myrtlehub.config.field_types import Count, Name, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.traffic import Front
from myrtlehub.config.units import Duration, Tokens


class EngineKindConfig(ConfigModel):
    """One kind of engine."""

    name: Name
    reads: bool = False
    writes: bool = False
    embeds: bool = False
    ranks: bool = False
    memory: Tokens = 0.0  # capacity for sequences; 0: unknown
    batch: Tokens = 16000.0  # tokens of the largest part of a batch
    batch_items: Count = 256  # largest number of items of a part

    def serves(self, front: Front) -> bool:
        """Return whether engines of this kind process requests of a front: chat, embeddings or rerank."""
        return {"chat": self.reads or self.writes, "embed": self.embeds, "rank": self.ranks}[front]

    @model_validator(mode="after")
    def _check_tasks(self) -> Self:
        if not (self.reads or self.writes or self.embeds or self.ranks):
            raise ValueError("a kind that does nothing; set reads, writes, embeds or ranks to yes")
        return self


class EngineCapabilities(ConfigModel):
    """The optional requests that all engines of this fleet support."""

    read_alone: bool = True  # a writer (decode engine) can prefill a prompt itself
    cancel: bool = True  # cancelling an attempt
    hold: bool = False  # reserving capacity; engines of myrtlehub.v1 cannot
    resume: bool = False  # migrating a stream; engines of myrtlehub.v1 cannot
    probe: bool = False  # reporting the load when polled for it
    claims: bool = False  # continuing streams whose node is lost, and answering claims on sequences


class LoadReportConfig(ConfigModel):
    """How engines report their load, and the cost of polling for it."""

    how: Literal["answers", "probe"] = "answers"  # messages that carry the load report
    probe_price: Share = 0.0  # cost of one poll per sequence, as a fraction of the utility of a sequence
    probe_timeout: Duration = 0.25  # an engine that has not answered a poll within this time counts as full
