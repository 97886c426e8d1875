"""The endpoint list: its entries, its files, and when a change of it is accepted."""

from functools import cached_property
from typing import Annotated, ClassVar, Literal

from pydantic import Field

from myrtlehub.config.field_types import Address, Name, NotNegative, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration


class EndpointConfig(ConfigModel):
    """One engine of the list."""

    address: Address
    kind: Name
    zone: Name
    cell: int = 0
    weight: NotNegative = 1.0  # 0 drains
    state: Literal["serving", "draining", "gone"] = "serving"
    age: Duration = 0.0
    model: str = ""  # version of what embeds or ranks there
    FIELD_NAMES: ClassVar[tuple[str, ...]] = (
        "address",
        "kind",
        "zone",
        "cell",
        "weight",
        "state",
        "age",
        "model",
    )

    @cached_property
    def field_values(self) -> tuple:
        """All fields, in the order of FIELD_NAMES: lists of thousands are compared by it."""
        return tuple([getattr(self, name) for name in self.FIELD_NAMES])

    @classmethod
    def from_values(cls, values: tuple) -> "EndpointConfig":
        """Make an endpoint of field values that were checked before."""
        endpoint = cls.model_construct(**dict(zip(cls.FIELD_NAMES, values, strict=True)))
        endpoint.__dict__["field_values"] = values
        return endpoint

    def with_fields(self, **fields: object) -> "EndpointConfig":
        """Return a copy with some fields replaced.

        Not `model_copy`, which would take the cached `field_values` along.
        """
        values = [fields.get(name, getattr(self, name)) for name in self.FIELD_NAMES]
        return EndpointConfig.from_values(tuple(values))


class EndpointFile(ConfigModel):
    """One file of engines. Globs in `include` are relative to the file."""

    engines: list[EndpointConfig] = Field(default=[])
    include: list[str] = Field(default=[])
    end: bool = False  # the file's last line, where list.end_marked asks for it


class ConfirmationConfig(ConfigModel):
    """When a change that removes many engines is accepted."""

    most_removed: Share | Literal["any"] = 0.5  # of the serving engines at once, unconfirmed
    after: Duration = 2.0  # a second snapshot of the same content confirms it


class FlapDampingConfig(ConfigModel):
    """When it is ignored that an engine comes and goes."""

    flaps: Annotated[int, Field(ge=2)] | Literal["off"] = 4  # times it came or went
    within: Duration = 30.0
    quiet_for: Duration = 10.0  # without a change, and it counts again


class EndpointListConfig(ConfigModel):
    """The list of engines: one section here, or files that are watched."""

    pushed: bool = False  # changes may be pushed over the admin address
    engines: list[EndpointConfig] = Field(default=[])
    files: list[str] = Field(default=[])  # paths, globs or directories; relative to the node's file
    poll: Duration = 5.0  # between polls of the files, beside notification by the system
    quiet: Duration = 0.1  # without a change, until a file counts as finished
    end_marked: bool = False  # a file without its last line "end: yes" is unfinished, however long it lies
    confirm: ConfirmationConfig = ConfirmationConfig()
    damp: FlapDampingConfig = FlapDampingConfig()
    store: str = ""  # file of the version store; empty: none
