"""Engines as the rows of an endpoint list name them."""

from enum import StrEnum
from typing import NotRequired, TypedDict


class EngineState(StrEnum):
    """The state of an engine; the values stand in endpoint lists and records."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class EndpointRow(TypedDict):
    """A row of an endpoint list file."""

    address: str
    kind: str
    zone: str
    cell: int
    state: str
    age: str  # with its unit
    weight: NotRequired[int]
    model: NotRequired[str]
