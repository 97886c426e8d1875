"""The details of journal entries, by event. The field names on disk are compatible with earlier versions.

`encode_details` returns the JSON object that an entry stores, `decode_details` decodes it.
"""

from typing import TypeVar

import msgspec

from myrtlehub.rollout.journal_format import JsonObject
from myrtlehub.rollout.node_status import Revision

UNKNOWN_START = 0  # in place of an unknown start time of a process


class ControllerDetails(msgspec.Struct):
    """Details of `BookkeepingEvent.CONTROLLER`: the controller that writes the entries that follow."""

    generation: int
    controller: str


class RevisionDetails(msgspec.Struct):
    """Details of `BookkeepingEvent.REVISION`: the complete new revision."""

    new: Revision


class ProcessDetails(msgspec.Struct):
    """Details of `BookkeepingEvent.PROCESS`: the process that runs as a node from this entry on."""

    incarnation: str = msgspec.field(name="run")
    pid: int
    start_ticks: int = msgspec.field(name="born", default=UNKNOWN_START)  # since boot


class BeginDetails(msgspec.Struct):
    """Details of `RolloutEvent.BEGIN`: the revisions and the traffic types of the fleet."""

    old: list[Revision]  # by node
    new: Revision
    traffic: list[str]  # names of the traffic types


EntryDetails = ControllerDetails | RevisionDetails | ProcessDetails | BeginDetails

_Details = TypeVar("_Details", ControllerDetails, RevisionDetails, ProcessDetails, BeginDetails)


def encode_details(details: EntryDetails) -> JsonObject:
    """Return the JSON object of an entry's details."""
    encoded: JsonObject = msgspec.to_builtins(details)
    return encoded


def decode_details(details: JsonObject, details_type: type[_Details]) -> _Details:
    """Decode an entry's details.

    Raises:
        msgspec.ValidationError: a field is missing or has another type.
    """
    return msgspec.convert(details, details_type)
