"""The node's admin service: news of the list where the file allows it, and what the node routes by."""

from pydantic import ValidationError

from myrtlehub.config.sheets import EngineRow, NodeSheet, check_engines
from myrtlehub.membership.source import StaticList
from myrtlehub.membership.watched import WatchedList
from myrtlehub.node.host import Host
from myrtlehub.node.peers import PeerWatch
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rpc.server import ServerCall, unary
from myrtlehub.rpc.status import Code, RpcError

SERVICE = "/myrtlehub.v1.NodeAdmin/"


class NodeAdmin:
    """Serves NodeAdmin on a server, for a host."""

    def __init__(self, host: Host, sheet: NodeSheet, source: StaticList | WatchedList,
                 peers: PeerWatch) -> None:
        self.host, self.sheet, self.source, self.peers = host, sheet, source, peers

    def serve(self, server: object) -> None:
        """Add the methods."""
        server.add(SERVICE + "PushList", unary(self.push_list))
        server.add(SERVICE + "Show", unary(self.show))
        server.add(SERVICE + "Limits", unary(self.limits))

    def push_list(self, call: ServerCall, data: bytes) -> bytes:
        """News of the list, taken whole or not at all."""
        if not self.sheet.list.pushed:
            raise RpcError(Code.FAILED_PRECONDITION, "list.pushed is no in this node's file")
        news = pb.ListNews.FromString(data)
        try:
            rows = [EngineRow(address=e.address, kind=e.kind, zone=e.zone, cell=e.cell, weight=e.weight
                              or 1.0,
                              state=e.state or "serving", age=f"{e.age:.6f}s", model=e.model)
                    for e in news.engines]
            check_engines(self.sheet, rows)
        except (ValidationError, ValueError) as fault:
            first = fault.errors()[0] if isinstance(fault, ValidationError) else None
            said = f"{first['loc'][0]}: {first['msg']} (found {first['input']!r})" if first else str(fault)
            raise RpcError(Code.INVALID_ARGUMENT, said) from fault
        self.source.push(rows, news.whole)
        return pb.ListTaken(version=self.host.list_version).SerializeToString()

    def limits(self, call: ServerCall, data: bytes) -> bytes:
        """What is held for clients, and who was cut off."""
        peers, node, now = self.peers, self.peers.ledger.node, self.host.clock.seconds()
        return pb.LimitsState(
            came=node.came, left=node.left, dropped=node.dropped, held=node.held,
            most_held=peers.ledger.bound("node"), calls=len(peers.calls),
            connections=len({id(w.call.stream.protocol) for w in peers.calls.values()}),
            near=[pb.NearLimit(what=w, name=n, held=h, most=m) for w, n, h, m in peers.near()],
            cuts=[pb.Cut(age=now - at, peer=p, tenant=t, why=why) for at, p, t, why in peers.cuts],
            counts=peers.counts).SerializeToString()

    def show(self, call: ServerCall, data: bytes) -> bytes:
        """What the node routes by."""
        engines = self.host.door.engines
        judge, now = getattr(self.source, "judge", None), self.host.clock.seconds()
        more = {}
        if judge is not None:
            more["refused"] = [pb.Refusal(age=now - at, source=s, why=why) for at, s, why in judge.refused]
            if judge.version is not None:
                v = judge.version
                more.update(list_source=v.source, list_age=judge.age(now), list_digest=v.digest,
                            list_old=v.old)
        rows = [engines.rows[i] for i in engines.at.values() if not engines.gone(i)]
        return pb.NodeState(
            **more,
            list_version=self.host.list_version, sequences=len(self.host.held),
            attempts_out=self.host.attempts_out(), taken=self.host.taken, answered=dict(self.host.answered),
            engines=[pb.ListedEngine(address=r.address, state=r.state, kind=r.kind, zone=r.zone, cell=r.cell,
                                     weight=r.weight, model=r.model) for r in rows]).SerializeToString()
