"""Wire adapter: decodes batches into calls, encodes results, maps ids to indices; decides nothing.

`python -m myrtlehub.simhost` reads one JSON batch a line on standard input and answers each with
one line on standard output. Each node named on the wire has a router of its own.
"""

import sys
from zlib import crc32

import msgspec

from myrtlehub import interface as itf
from myrtlehub.decide import Router
from myrtlehub.decode import decode_load, decode_terms

OUTCOMES = {
    "ok": itf.GENERATED,
    "read": itf.READ,
    "full": itf.FULL,
    "connect_failed": itf.UNREACHED,
    "moot": itf.UNSENT,
    "error": itf.ERROR,
    "timeout": itf.TIMEOUT,
    "reset": itf.RESET,
    "cancelled": itf.CANCELLED,
}
STATES = {"SERVING": itf.SERVING, "DRAINING": itf.DRAINING, "DELETED": itf.GONE}


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
        self.seq_at: dict[str, int] = {}
        self.seq_ids: dict[int, str] = {}
        self.next_seq = 0
        self.router = Router(decode_terms(s, event.get("Entropy", 0)))
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

    def members(self, event: dict, now: float) -> list[tuple]:
        mode = event["Mode"]
        if mode == "FAILED":
            return self.router.list_failed(now)
        listings, seen = [], set()
        for e in event.get("Entries") or []:
            ident, state = e["Engine"], STATES[e.get("State", "SERVING")]
            fresh = ident not in self.engine_at
            if fresh and state == itf.GONE:
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
            (self.gone.add if state == itf.GONE else self.gone.discard)(index)
            listings.append(
                itf.Listing(
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
        results = self.router.engines(now, listings, mode != "INCREMENTAL")
        for index in sorted(self.gone):
            self.free_if_over(index)
        return results

    def request(self, event: dict, now: float) -> list[tuple]:
        seq, self.next_seq = self.next_seq, self.next_seq + 1
        self.seq_at[event["Rid"]], self.seq_ids[seq] = seq, event["Rid"]
        options = event.get("Options", 0)
        return self.router.arrive(
            now,
            seq,
            itf.Arrival(
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

    def response(self, event: dict, now: float) -> list[tuple]:
        engine = self.engine(event["Engine"])
        self.engine_uses[engine] = max(0, self.engine_uses[engine] - 1)
        seq, results = self.seq_at.get(event["Rid"]), []
        if seq is not None:
            results = self.router.ended(
                now,
                seq,
                event.get("Copy", 0),
                OUTCOMES[event["StateCode"]],
                event.get("LatencyMs", 0.0) / 1e3,
                event.get("Settled", False),
                event.get("Info", 0),
                decode_load(event.get("Telemetry")),
            )
        self.free_if_over(engine)
        return results

    def call(self, event: dict, now: float) -> list[tuple]:
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
            results = router.probed(
                now,
                engine,
                event.get("StateCode") == "ok",
                event.get("LatencyMs", 0.0) / 1e3,
                decode_load(event.get("Telemetry")),
            )
            self.free_if_over(engine)
            return results
        if verb == "MESSAGE":
            return router.heard(now, event["Who"], event.get("Content", ""))
        if verb not in ("ESTABLISHED", "DROPPED", "NOTE"):
            raise WireError(f"unknown verb {verb}")
        seq = self.seq_at.get(event["Rid"])
        if seq is None:
            return []
        if verb == "ESTABLISHED":
            return router.began(now, seq, event.get("Copy", 0), event.get("LatencyMs", 0.0) / 1e3)
        if verb == "DROPPED":
            return router.left(now, seq)
        engine = self.engine(event["Engine"])
        return router.hold_answered(now, seq, event.get("Copy", 0), engine, event["What"] == 1)

    def encode(self, result: tuple) -> dict | None:
        """One result as an action, or None where it is only for the adapter."""
        verb, args = result[0], result[1:]
        order = {"verb": "", "NodeId": self.name}
        if verb in ("send", "hold", "release", "cancel", "reject", "abort", "move", "done"):
            order["Rid"] = self.seq_ids[args[0]]
        if verb == "send":
            self.engine_uses[args[1]] += 1
            order.update(verb="PLACE", Engine=self.engine_ids[args[1]])
            if args[2]:
                order["AllowForMs"] = args[2] * 1e3
        elif verb == "hold":
            order.update(verb="BOOK_SEAT", Engine=self.engine_ids[args[1]])
        elif verb == "cancel":
            order.update(verb="UNDO_SEND", Copy=args[1])
        elif verb == "reject":
            order["verb"] = "BOUNCE"
            if args[1]:
                order["WaitMs"] = args[1] * 1e3
        elif verb == "done":
            del self.seq_at[self.seq_ids.pop(args[0])]
            return None
        elif verb == "wake":
            order.update(verb="DEFER", SpanMs=args[0] * 1e3, Name=str(args[1]))
        elif verb in ("probe", "close"):
            # Guards against a probe that answers for an engine whose index was handed on meanwhile.
            self.engine_uses[args[0]] += verb == "probe"
            order.update(verb="PROBE" if verb == "probe" else "CLOSE_IDLE", Engine=self.engine_ids[args[0]])
        elif verb == "tell":
            order.update(verb="NOTIFY", NeighbourId="all" if args[0] is None else args[0], Content=args[1])
        elif verb == "watch":
            order.update(verb="LISTEN", Active=args[0])
        elif verb == "note":
            order.update(verb="TRACE", Words=args[0])
        else:
            order["verb"] = {
                "release": "UNHOLD",
                "abort": "REPORT_FAILURE",
                "move": "REBALANCE",
                "relist": "READ_LIST",
            }[verb]
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
