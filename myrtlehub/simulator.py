"""Wire adapter: decodes batches into calls, encodes results, maps ids to indices; decides nothing.

`python -m myrtlehub.simulator` reads one JSON batch a line on standard input and answers each with
one line on standard output. Each node named on the wire has a router of its own.
"""

import sys
from zlib import crc32

import msgspec

from myrtlehub.platform_settings import load_report_from_platform, router_config_from_settings
from myrtlehub.routing import contract
from myrtlehub.routing.policy.router import Router

OUTCOMES = {
    "ok": contract.Outcome.GENERATED,
    "read": contract.Outcome.READ,
    "full": contract.Outcome.FULL,
    "connect_failed": contract.Outcome.UNREACHED,
    "moot": contract.Outcome.UNSENT,
    "error": contract.Outcome.ERROR,
    "timeout": contract.Outcome.TIMEOUT,
    "reset": contract.Outcome.RESET,
    "cancelled": contract.Outcome.CANCELLED,
}
STATES = {
    "SERVING": contract.EngineState.SERVING,
    "DRAINING": contract.EngineState.DRAINING,
    "DELETED": contract.EngineState.GONE,
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
    contract.Forget,
)


class WireError(Exception):
    """Input that the wire page does not allow."""


class Node:
    """One node: its router, and its ids against its indices."""

    def __init__(self, name: str, event: dict, now: float) -> None:
        self.name = name
        s = event["Settings"]
        self.kinds = {k: i for i, k in enumerate(s.get("MachineTypes") or [""])}
        self.zones = {z: i for i, z in enumerate(s.get("Zones") or [""])}
        self.tenants = {t["Name"]: i for i, t in enumerate(s.get("Orgs") or [])}
        self.traffic = {c["Name"]: i for i, c in enumerate(s["Classes"])}
        self.engine_at: dict[str, int] = {}
        self.engine_ids: list[str] = []
        self.engine_uses: list[int] = []  # attempts out, so that an index in use is not handed on
        self.gone: set[int] = set()
        self.free: list[int] = []
        self.sequence_at: dict[str, int] = {}
        self.sequence_ids: dict[int, str] = {}
        self.next_sequence = 0
        self.router = Router(router_config_from_settings(s, event.get("Entropy", 0)))
        self.pending = self.router.start(now)

    def engine(self, ident: str) -> int:
        if ident not in self.engine_at:
            raise WireError(f"engine {ident} is not listed")
        return self.engine_at[ident]

    def free_if_over(self, engine: int) -> None:
        if engine in self.gone and not self.engine_uses[engine]:
            self.gone.discard(engine)
            self.free.append(engine)
            del self.engine_at[self.engine_ids[engine]]

    def members(self, event: dict, now: float) -> list[contract.Action]:
        mode = event["Mode"]
        if mode == "FAILED":
            return self.router.endpoint_list_failed(now)
        listings, seen = [], set()
        for e in event.get("Entries") or []:
            ident, state = e["Engine"], STATES[e.get("State", "SERVING")]
            fresh = ident not in self.engine_at
            if fresh and state == contract.EngineState.GONE:
                continue
            if fresh:
                if self.free:
                    index = self.free.pop(0)
                    self.engine_ids[index] = ident
                else:
                    index = len(self.engine_ids)
                    self.engine_ids.append(ident)
                    self.engine_uses.append(0)
                self.engine_at[ident] = index
            index = self.engine_at[ident]
            seen.add(index)
            (self.gone.add if state == contract.EngineState.GONE else self.gone.discard)(index)
            listings.append(
                contract.EndpointUpdate(
                    index,
                    fresh,
                    state,
                    self.kinds.get(e.get("Type"), 0),
                    self.zones.get(e.get("Dc"), 0),
                    e.get("Cluster", 0),
                    e.get("StartTimeMs", 0.0) / 1e3,
                    e.get("Heft", 1.0),
                    crc32(ident.encode()),
                )
            )
        if mode != "INCREMENTAL":
            self.gone.update(i for i in self.engine_at.values() if i not in seen)
        results = self.router.update_endpoints(now, listings, mode != "INCREMENTAL")
        for index in sorted(self.gone):
            self.free_if_over(index)
        return results

    def request(self, event: dict, now: float) -> list[contract.Action]:
        seq, self.next_sequence = self.next_sequence, self.next_sequence + 1
        self.sequence_at[event["Rid"]], self.sequence_ids[seq] = seq, event["Rid"]
        options = event.get("Options", 0)
        return self.router.arrive(
            now,
            seq,
            contract.Arrival(
                self.traffic[event["Grade"]],
                self.tenants.get(event.get("ClientGroup"), -1),
                event.get("InputLen", 0.0),
                event["TimeBudgetMs"] / 1e3,
                event.get("Chat", 0),
                event.get("Prefix", 0),
                event.get("SharedLen", 0.0),
                event.get("MaxTokens", 0.0),
                event.get("PredictedMs", 0.0) / 1e3 if options & 1 else 0.0,
                bool(options & 16),
                bool(options & 2),
            ),
        )

    def response(self, event: dict, now: float) -> list[contract.Action]:
        engine = self.engine(event["Engine"])
        self.engine_uses[engine] = max(0, self.engine_uses[engine] - 1)
        seq, results = self.sequence_at.get(event["Rid"]), []
        if seq is not None:
            results = self.router.ended(
                now,
                seq,
                event.get("Copy", 0),
                OUTCOMES[event["StateCode"]],
                event.get("LatencyMs", 0.0) / 1e3,
                event.get("Settled", False),
                event.get("Info", 0),
                load_report_from_platform(event.get("Telemetry")),
            )
        self.free_if_over(engine)
        return results

    def call(self, event: dict, now: float) -> list[contract.Action]:
        """Hand one event to the router."""
        verb, router = event["verb"], self.router
        if verb == "REQ":
            return self.request(event, now)
        if verb == "RESPONSE":
            return self.response(event, now)
        if verb == "MEMBERS":
            return self.members(event, now)
        if verb == "WAKEUP":
            return router.wake(now, int(event["Name"]))
        if verb == "PING_RESULT":
            engine = self.engine(event["Engine"])
            self.engine_uses[engine] = max(0, self.engine_uses[engine] - 1)
            results = router.probe_ended(
                now,
                engine,
                event.get("StateCode") == "ok",
                event.get("LatencyMs", 0.0) / 1e3,
                load_report_from_platform(event.get("Telemetry")),
            )
            self.free_if_over(engine)
            return results
        if verb == "MESSAGE":
            return router.gossip_received(now, event["Who"], event.get("Content", ""))
        if verb not in ("ESTABLISHED", "DROPPED", "NOTE"):
            raise WireError(f"unknown verb {verb}")
        seq = self.sequence_at.get(event["Rid"])
        if seq is None:
            return []
        if verb == "ESTABLISHED":
            return router.began(now, seq, event.get("Copy", 0), event.get("LatencyMs", 0.0) / 1e3)
        if verb == "DROPPED":
            return router.client_left(now, seq)
        engine = self.engine(event["Engine"])
        return router.reservation_answered(now, seq, event.get("Copy", 0), engine, event["What"] == 1)

    def encode(self, action: contract.Action) -> dict | None:
        """One action as the wire has it, or None where it is only for the adapter."""
        order = {"verb": WIRE_VERBS.get(type(action)), "NodeId": self.name}
        if isinstance(action, SEQUENCE_ACTIONS):
            order["Rid"] = self.sequence_ids[action.sequence]
        match action:
            case contract.Forget(sequence):
                del self.sequence_at[self.sequence_ids.pop(sequence)]
                return None
            case contract.Send(_, engine, timeout):
                self.engine_uses[engine] += 1
                order["Engine"] = self.engine_ids[engine]
                if timeout:
                    order["AllowForMs"] = timeout * 1e3
            case contract.Reserve(_, engine) | contract.CloseIdle(engine):
                order["Engine"] = self.engine_ids[engine]
            case contract.Probe(engine):
                # Guards against a probe that answers for an engine whose index was handed on meanwhile.
                self.engine_uses[engine] += 1
                order["Engine"] = self.engine_ids[engine]
            case contract.CancelAttempt(_, attempt):
                order["Copy"] = attempt
            case contract.Reject(_, retry_after) if retry_after:
                order["WaitMs"] = retry_after * 1e3
            case contract.ScheduleWakeup(delay, token):
                order.update(SpanMs=delay * 1e3, Name=str(token))
            case contract.Gossip(node, payload):
                order.update(NeighbourId="all" if node is None else node, Content=payload)
            case contract.WatchEndpoints(enabled):
                order["Active"] = enabled
            case contract.LogNote(text):
                order["Words"] = text
        return order


def play(nodes: dict[str, Node], batch: dict) -> dict:
    """Answer one batch."""
    now, orders = batch["MomentMs"] / 1e3, []
    for event in batch["events"]:
        name, verb = event["NodeId"], event["verb"]
        if verb == "KILL":
            nodes.pop(name, None)
            # what it had said in this batch dies with it
            orders = [o for o in orders if o["NodeId"] != name]
            continue
        if verb == "SPAWN":
            node = nodes[name] = Node(name, event, now)
            results, node.pending = node.pending, []
        elif name not in nodes:
            raise WireError(f"{verb} for {name}, which has not been started")
        else:
            node = nodes[name]
            results = node.call(event, now)
        orders.extend(o for o in map(node.encode, results) if o)
    return {"frame": batch["frame"], "orders": orders}


def main() -> int:
    """Answer batches until input ends."""
    decode, encode = msgspec.json.Decoder().decode, msgspec.json.Encoder().encode
    nodes: dict[str, Node] = {}
    frame = None
    for line in sys.stdin.buffer:
        if not line.strip():
            continue
        try:
            batch = decode(line)
            if not isinstance(batch, dict):
                raise WireError("a batch has to be an object")
            frame = batch.get("frame")
            reply = encode(play(nodes, batch))
        except msgspec.DecodeError as fault:
            print(f"simhost: after frame {frame}: not JSON: {fault}", file=sys.stderr)
            return 2
        except KeyError as fault:
            print(f"simhost: frame {frame}: missing or unknown: {fault}", file=sys.stderr)
            return 2
        except (WireError, TypeError, ValueError) as fault:
            print(f"simhost: frame {frame}: {fault}", file=sys.stderr)
            return 2
        sys.stdout.buffer.write(reply + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
