"""Names of the simulator's JSON protocol, and the encoding of actions."""

from enum import IntFlag
from typing import Any

from myrtlehub.routing import contract
from myrtlehub.routing.contract import Action, EngineState, Outcome

Event = dict[str, Any]  # a decoded JSON object; values have any JSON type
Order = dict[str, Any]  # a JSON object to encode

MS_PER_SECOND = 1e3  # times are milliseconds on the wire
ALL_NODES = "all"  # recipient name for gossip to all nodes
OUTCOME_BY_CODE = {
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
STATE_BY_NAME = {
    "SERVING": EngineState.SERVING,
    "DRAINING": EngineState.DRAINING,
    "DELETED": EngineState.REMOVED,
}
VERB_BY_ACTION = {
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


class RequestOption(IntFlag):
    """Bits of a request's options that the adapter uses."""

    HAS_ESTIMATE = 1  # the request predicts the duration of its answer
    IS_RETRY = 2
    IS_RESUMED = 16


class WireError(Exception):
    """The input violates the protocol."""


def action_fields(action: Action) -> Order:
    """Return the fields of an action other than its verb, node, sequence and engine.

    A duration of 0.0 means that there is none and is omitted.
    """
    match action:
        case contract.Send(_, _, timeout) if timeout:
            return {"AllowForMs": timeout * MS_PER_SECOND}
        case contract.CancelAttempt(_, attempt):
            return {"Copy": attempt}
        case contract.Reject(_, retry_after) if retry_after:
            return {"WaitMs": retry_after * MS_PER_SECOND}
        case contract.ScheduleWakeup(delay, token):
            return {"SpanMs": delay * MS_PER_SECOND, "Name": str(token)}
        case contract.Gossip(node, payload):
            return {"NeighbourId": ALL_NODES if node is None else node, "Content": payload}
        case contract.WatchEndpoints(enabled):
            return {"Active": enabled}
        case contract.LogNote(text):
            return {"Words": text}
    return {}
