"""Engines: their kinds, what they can be asked for, and how they report their load."""

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
    memory: Tokens = 0.0
    batch: Tokens = 16000.0  # of one part of a batch, at most
    batch_items: Count = 256

    def serves(self, front: Front) -> bool:
        """Whether it does work of this front."""
        return {"chat": self.reads or self.writes, "embed": self.embeds, "rank": self.ranks}[front]

    @model_validator(mode="after")
    def _check_tasks(self) -> Self:
        if not (self.reads or self.writes or self.embeds or self.ranks):
            raise ValueError("a kind that does nothing; set reads, writes, embeds or ranks to yes")
        return self


class EngineCapabilities(ConfigModel):
    """What the engines of this fleet can be asked for."""

    read_alone: bool = True  # a pure writer reads a prompt itself
    cancel: bool = True
    hold: bool = False
    resume: bool = False
    probe: bool = False
    claims: bool = False  # streams outlive their node, and claims on sequences are answered


class LoadReportConfig(ConfigModel):
    """How engines tell their load, and what asking for it costs."""

    how: Literal["answers", "probe"] = "answers"
    probe_price: Share = 0.0  # of the utility asked for, that one probe a sequence costs
    probe_timeout: Duration = 0.25
