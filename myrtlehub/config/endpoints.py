"""The endpoint list: its entries, its files, and the conditions for accepting a change of it."""

from functools import cached_property
from typing import Annotated, ClassVar, Literal, TypeAlias

from pydantic import Field

from myrtlehub.config.field_types import Address, Name, NotNegative, Share
from myrtlehub.config.loader import ConfigModel
from myrtlehub.config.units import Duration

# Values of the fields of an endpoint, in the order of `EndpointConfig.FIELD_NAMES`.
EndpointFields: TypeAlias = tuple[str, str, str, int, float, str, float, str]


class EndpointConfig(ConfigModel):
    """One engine of the endpoint list."""

    address: Address
    kind: Name
    zone: Name
    cell: int = 0
    weight: NotNegative = 1.0  # share of the load, relative to other engines of its kind; 0: it is draining
    state: Literal["serving", "draining", "gone"] = "serving"
    age: Duration = 0.0  # time since the start of the engine, for slow start; 0: it is warm
    model: str = ""  # version of its embedding or rerank model
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
    def field_values(self) -> EndpointFields:
        """Values of all fields, in the order of FIELD_NAMES; cached, as lists of thousands are compared."""
        return (
            self.address,
            self.kind,
            self.zone,
            self.cell,
            self.weight,
            self.state,
            self.age,
            self.model,
        )

    @classmethod
    def from_values(cls, values: EndpointFields) -> "EndpointConfig":
        """Return an endpoint with values that were validated before; they are not validated again."""
        endpoint = cls.model_construct(None, **dict(zip(cls.FIELD_NAMES, values, strict=True)))
        endpoint.__dict__["field_values"] = values
        return endpoint

    def with_fields(self, **fields: object) -> "EndpointConfig":
        """Return a copy with some fields replaced.

        `model_copy` would copy the cached `field_values` too, which would then be outdated.
        """
        values = {name: fields.get(name, getattr(self, name)) for name in self.FIELD_NAMES}
        return EndpointConfig.model_construct(None, **values)


class EndpointFile(ConfigModel):
    """One file of an endpoint list. Globs in `include` are relative to the file."""

    engines: list[EndpointConfig] = Field(default=[])
    include: list[str] = Field(default=[])
    end: bool = False  # the last line of a complete file if `list.end_marked` is set


class ConfirmationConfig(ConfigModel):
    """The conditions for accepting a list that removes many engines."""

    most_removed: Share | Literal["any"] = (
        0.5  # largest fraction of serving engines removed without confirmation
    )
    after: Duration = 2.0  # a snapshot with the same content confirms the removal this long after the first


class FlapDampingConfig(ConfigModel):
    """The conditions for ignoring an engine that is repeatedly added and removed."""

    flaps: Annotated[int, Field(ge=2)] | Literal["off"] = (
        4  # number of additions and removals after which the engine is ignored
    )
    within: Duration = 30.0
    quiet_for: Duration = 10.0  # time without additions and removals after which the engine is used again


class EndpointListConfig(ConfigModel):
    """The source of the endpoint list: this section, pushes to the admin address, or watched files."""

    pushed: bool = False  # NodeAdmin.PushList may change the list
    engines: list[EndpointConfig] = Field(default=[])
    files: list[str] = Field(default=[])  # paths, globs or directories, relative to the node's file
    poll: Duration = 5.0  # interval of the polls of the files, in addition to the system's notifications
    quiet: Duration = 0.1  # a file that has not changed for this long is read
    end_marked: bool = False  # a file is incomplete as long as its last line is not "end: yes"
    confirm: ConfirmationConfig = ConfirmationConfig()
    damp: FlapDampingConfig = FlapDampingConfig()
    store: str = ""  # path of the version store's file; empty: no store
