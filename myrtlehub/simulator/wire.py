"""The words of the simulator's wire, and how actions are encoded in them."""

from typing import Any

from myrtlehub.routing import contract
from myrtlehub.routing.contract import Action, EngineState, Outcome

Event = dict[str, Any]  # as decoded from JSON
Order = dict[str, Any]  # to be encoded in JSON

OUTCOMES = {
    "ok": Outcome.GENERATED,
    "read": Outcome.READ,
    "full": Outcome.FULL,
    "connect_failed": Outcome.UNREACHED,
    "moot": Outcome.UNSENT,
    "error": Outcome.ERROR,
    "timeout": Outcome.TIMEOUT,
    "reset": Outcome.RESET,
    "cancelled": Outcome.CANCELLED,
}
STATES = {
    "SERVING": EngineState.SERVING,
    "DRAINING": EngineState.DRAINING,
    "DELETED": EngineState.REMOVED,
}
WIRE_VERBS = {
    contract.Send: "PLACE",
    contract.Reserve: "BOOK_SEAT",
    contract.Release: "UNHOLD",
    contract.CancelAttempt: "UNDO_SEND",
    contract.Reject: "BOUNCE",
    contract.Abort: "REPORT_FAILURE",
    contract.Migrate: "REBALANCE",
    contract.ScheduleWakeup: "DEFER",
    contract.Probe: "PROBE",
    contract.CloseIdle: "CLOSE_IDLE",
    contract.Gossip: "NOTIFY",
    contract.WatchEndpoints: "LISTEN",
    contract.PollEndpoints: "READ_LIST",
    contract.LogNote: "TRACE",
}
SEQUENCE_ACTIONS = (
    contract.Send,
    contract.Reserve,
    contract.Release,
    contract.CancelAttempt,
    contract.Reject,
    contract.Abort,
    contract.Migrate,
)
ENGINE_ACTIONS = (contract.Send, contract.Reserve, contract.Probe, contract.CloseIdle)


class WireError(Exception):
    """Input that the wire page does not allow."""


def further_fields(action: Action) -> Order:
    """Return the fields of an action besides its verb and those of its node, sequence and engine."""
    match action:
        case contract.Send(_, _, timeout) if timeout:
            return {"AllowForMs": timeout * 1e3}
        case contract.CancelAttempt(_, attempt):
            return {"Copy": attempt}
        case contract.Reject(_, retry_after) if retry_after:
            return {"WaitMs": retry_after * 1e3}
        case contract.ScheduleWakeup(delay, token):
            return {"SpanMs": delay * 1e3, "Name": str(token)}
        case contract.Gossip(node, payload):
            return {"NeighbourId": "all" if node is None else node, "Content": payload}
        case contract.WatchEndpoints(enabled):
            return {"Active": enabled}
        case contract.LogNote(text):
            return {"Words": text}
    return {}
