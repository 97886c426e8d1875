"""The node's admin service: news of the list where the file allows it, what the node routes by, its figures,
and orders of whoever rolls a change out.
"""

import os

from pydantic import ValidationError

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.loader import ConfigError
from myrtlehub.config.node import NodeConfig, check_endpoints
from myrtlehub.limits.resource_ledger import BudgetScope
from myrtlehub.node.figures import memory, processor
from myrtlehub.node.revision import settings_digest
from myrtlehub.node.settings_change import SettingsChangeError, parse_settings, validate_change
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout.node_orders import FORMAT_VERSION, Order, OrderValidator
from myrtlehub.rpc.method_handlers import unary
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.status import Code, RpcError

SERVICE = "/myrtlehub.v1.NodeAdmin/"
GENERATION = "HUB_ROLL_GENERATION"  # variable: "NUMBER CONTROLLER", with which a controller starts a node


class NodeAdmin:
    """Serves NodeAdmin for a node."""

    def __init__(self, node: object) -> None:
        self.node = node
        number, _, controller = os.environ.get(GENERATION, "").partition(" ")
        self.orders = OrderValidator(node.run, int(number) if number.isdecimal() else 0, controller)
        self.staged: tuple[str, NodeConfig] | None = None  # digest, settings

    executor = property(lambda self: self.node.executor)
    sheet = property(lambda self: self.node.sheet)
    source = property(lambda self: self.node.source)
    client_limits = property(lambda self: self.node.client_limits)

    def serve(self, server: object) -> None:
        """Add the methods."""
        for name, run in (
            ("PushList", self.push_list),
            ("Show", self.show),
            ("Limits", self.limits),
            ("Figures", self.figures),
            ("Stage", self.stage),
            ("Apply", self.apply),
            ("Obey", self.obey),
            ("Leave", self.leave),
        ):
            server.add(SERVICE + name, unary(run))

    def _ordered(self, order: pb.Order, what: str) -> None:
        why = self.orders.refusal(Order(order.format, order.generation, order.controller, order.run))
        if why:
            self.node.log("order refused", order=what, why=why)
            raise RpcError(Code.PERMISSION_DENIED, why)

    def stage(self, call: ServerCall, data: bytes) -> bytes:
        """Settings whole or not at all."""
        request = pb.StagedSettings.FromString(data)
        self._ordered(request.order, "stage")
        try:
            sheet = parse_settings(request.text)
            validate_change(self.sheet, sheet, self.source.endpoints())
        except ConfigError as fault:
            raise RpcError(Code.INVALID_ARGUMENT, str(fault)) from fault
        except SettingsChangeError as fault:
            raise RpcError(Code.FAILED_PRECONDITION, str(fault)) from fault
        digest = settings_digest(sheet)
        self.staged = digest, sheet
        self.node.log("staged", settings=digest)
        return pb.OrderTaken(settings=digest, changed=True).SerializeToString()

    def apply(self, call: ServerCall, data: bytes) -> bytes:
        """What was staged, from the next sequence on."""
        order = pb.Order.FromString(data)
        self._ordered(order, "apply")
        if order.settings == settings_digest(self.sheet):
            return pb.OrderTaken(settings=order.settings).SerializeToString()  # it was done before
        if self.staged is None or self.staged[0] != order.settings:
            raise RpcError(Code.FAILED_PRECONDITION, f"settings {order.settings} are not staged here")
        if self.node.leaving:
            raise RpcError(Code.FAILED_PRECONDITION, "this node is leaving")
        (digest, sheet), self.staged = self.staged, None
        try:
            validate_change(self.sheet, sheet, self.source.endpoints())  # the list may have changed since
        except SettingsChangeError as fault:
            raise RpcError(Code.FAILED_PRECONDITION, str(fault)) from fault
        self.node.apply(sheet)
        self.node.log(
            "applied", settings=digest, by_old=sum(len(w.executor.in_flight) for w in self.node.old)
        )
        return pb.OrderTaken(settings=digest, changed=True).SerializeToString()

    def obey(self, call: ServerCall, data: bytes) -> bytes:
        """Orders of an older controller are refused from here on."""
        self._ordered(pb.Order.FromString(data), "obey")
        return pb.OrderTaken(settings=settings_digest(self.sheet)).SerializeToString()

    def leave(self, call: ServerCall, data: bytes) -> bytes:
        """Drain and end."""
        self._ordered(pb.Order.FromString(data), "leave")
        changed = not self.node.leaving
        if changed:
            self.node.clock.callLater(0, self.node.on_leave)  # the reply leaves first
        return pb.OrderTaken(settings=settings_digest(self.sheet), changed=changed).SerializeToString()

    def figures(self, call: ServerCall, data: bytes) -> bytes:
        """Sums since the start."""
        node = self.node
        engines: dict[str, int] = {}
        for row in self.source.endpoints():
            engines.setdefault(row.zone, 0)
            engines[row.zone] += row.state == "serving" and row.weight > 0.0
        return pb.NodeFigures(
            format=FORMAT_VERSION,
            run=node.run,
            memory=memory(),
            processor=processor(),
            age=node.clock.seconds() - node.started,
            engines=engines,
            traffic=[
                pb.TrafficFigures(
                    name=name,
                    asked=s.asked,
                    utility=s.utility,
                    served=s.served,
                    answers=s.answers,
                    attempts=s.attempts,
                    begun=s.first.total_count,
                    first_log=s.first_log,
                    first={
                        i.value_iterated_to: i.count_at_value_iterated_to
                        for i in s.first.get_recorded_iterator()
                    },
                )
                for name, s in sorted(node.figures.by_type.items())
            ],
        ).SerializeToString()

    def push_list(self, call: ServerCall, data: bytes) -> bytes:
        """News of the list, taken whole or not at all."""
        if not self.sheet.list.pushed:
            raise RpcError(Code.FAILED_PRECONDITION, "list.pushed is no in this node's file")
        news = pb.ListNews.FromString(data)
        try:
            rows = [
                EndpointConfig(
                    address=e.address,
                    kind=e.kind,
                    zone=e.zone,
                    cell=e.cell,
                    weight=e.weight or 1.0,
                    state=e.state or "serving",
                    age=f"{e.age:.6f}s",
                    model=e.model,
                )
                for e in news.engines
            ]
            check_endpoints(self.sheet, rows)
        except (ValidationError, ValueError) as fault:
            first = fault.errors()[0] if isinstance(fault, ValidationError) else None
            said = f"{first['loc'][0]}: {first['msg']} (found {first['input']!r})" if first else str(fault)
            raise RpcError(Code.INVALID_ARGUMENT, said) from fault
        self.source.push(rows, news.whole)
        return pb.ListTaken(version=self.executor.list_version).SerializeToString()

    def limits(self, call: ServerCall, data: bytes) -> bytes:
        """What is held for clients, and who was cut off."""
        limits, node, now = self.client_limits, self.client_limits.ledger.node, self.executor.clock.seconds()
        return pb.LimitsState(
            came=node.received,
            left=node.delivered,
            dropped=node.dropped,
            held=node.in_use,
            most_held=limits.ledger.limit(BudgetScope.NODE),
            calls=len(limits.calls),
            connections=len({id(w.call.stream.protocol) for w in limits.calls.values()}),
            near=[pb.NearLimit(what=w, name=n, held=h, most=m) for w, n, h, m in limits.near_limits()],
            cuts=[pb.Cut(age=now - at, peer=p, tenant=t, why=why) for at, p, t, why in limits.cuts],
            counts=limits.counts,
        ).SerializeToString()

    def show(self, call: ServerCall, data: bytes) -> bytes:
        """What the node routes by."""
        engines = self.executor.decoder.engines
        validator, now = getattr(self.source, "validator", None), self.executor.clock.seconds()
        more = {}
        if validator is not None:
            more["refused"] = [
                pb.Refusal(age=now - at, source=s, why=why) for at, s, why in validator.rejections
            ]
            if validator.version is not None:
                v = validator.version
                more.update(
                    list_source=v.source,
                    list_age=validator.age(now),
                    list_digest=v.digest,
                    list_old=v.from_store,
                )
        rows = [engines.rows[i] for i in engines.index_of.values() if not engines.is_gone(i)]
        node = self.node
        more.update(
            program=node.program,
            settings=settings_digest(self.sheet),
            run=node.run,
            pid=os.getpid(),
            age=now - node.started,
            leaving=node.leaving,
            proven=node.proven,
            generation=self.orders.generation,
            controller=self.orders.controller,
            format=FORMAT_VERSION,
            staged=self.staged[0] if self.staged else "",
            by_old=sum(len(w.executor.in_flight) for w in node.old),
        )
        return pb.NodeState(
            **more,
            list_version=self.executor.list_version,
            sequences=len(self.executor.in_flight),
            attempts_out=self.executor.attempts_out(),
            taken=self.executor.accepted_count,
            answered=dict(self.executor.answer_counts),
            engines=[
                pb.ListedEngine(
                    address=r.address,
                    state=r.state,
                    kind=r.kind,
                    zone=r.zone,
                    cell=r.cell,
                    weight=r.weight,
                    model=r.model,
                )
                for r in rows
            ],
        ).SerializeToString()
