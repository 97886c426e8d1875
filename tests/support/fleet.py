"""A fleet in one process: real nodes, engines and clients, a network in memory and a driven clock."""

from pathlib import Path

from memnet import Net
from twisted.internet.task import Clock

from myrtlehub.config.emulated_engine import EmulatedEngineConfig
from myrtlehub.config.loader import parse_config
from myrtlehub.config.node import NodeConfig
from myrtlehub.emulator.server import EmulatedEngine
from myrtlehub.log_events import Log, no_log
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.endpoint_list_source import FileAccess
from myrtlehub.node.node import Node, NodeEnvironment
from myrtlehub.proto import admin_pb2, chat_pb2, engine_pb2
from myrtlehub.records import Record, Recorder
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Status

SHEET = """
node: {{name: n{index}, listen: "n{index}:1", index: {index}, nodes: {nodes}, zone: north, seed: {index},
  drain_within: 3s, {tell}}}
traffic:
  - {{name: ask, repeats: repeatable, latency_slo: 1s, abandon_time: 4s, pace: 50ms}}
  - {{name: post, repeats: once-only, latency_slo: 1s, abandon_time: 4s, pace: 50ms, utility: 3}}
  - {{name: note, repeats: tokened, latency_slo: 1s, abandon_time: 4s, dedup_group: cell, dedup_window: 5s}}
{traffic}kinds:
  - {{name: reader, reads: yes, memory: 200k tokens}}
  - {{name: writer, writes: yes, memory: 200k tokens}}
{kinds}zones: [north]
rules:
  {{drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 10s, fall_multiple: 2.5, fall_time: 1s}}
list: {lists}
"""

FRONTS = """  - {name: vec, front: embed, repeats: repeatable, latency_slo: 1s, abandon_time: 4s}
  - {name: vec1, front: embed, repeats: once-only, latency_slo: 1s, abandon_time: 4s}
  - {name: sort, front: rank, repeats: repeatable, latency_slo: 1s, abandon_time: 4s}
"""
KINDS = """  - {name: embedder, embeds: yes, memory: 100k tokens, batch: 4k tokens, batch_items: 64}
  - {name: ranker, ranks: yes, memory: 100k tokens, batch: 4k tokens, batch_items: 64}
  - {name: mixed, writes: yes, embeds: yes, memory: 200k tokens, batch: 4k tokens, batch_items: 64}
"""
KIND_OF = {"R": "reader", "W": "writer", "E": "embedder", "K": "ranker", "M": "mixed"}


class Caller(CallWatcher):
    """A client's one call, written to the client's records."""

    def __init__(self, fleet: "Fleet", name: str, node: str, traffic: str, mark: str, left: float) -> None:
        self.fleet, self.name, self.node, self.mark = fleet, name, node, mark
        self.tokens, self.answer, self.status, self.wait = 0, "", None, -1
        fleet.client.note("ask", call=name, node=node, traffic=traffic, mark=mark, left=left)

    def headers(self, meta: tuple) -> None:
        seq = dict(meta).get("myrtle-seq", "")  # none where it was not taken
        if seq:
            self.fleet.client.note("seq", call=self.name, seq=seq)

    def message(self, data: bytes) -> None:
        reply = chat_pb2.GenerateReply.FromString(data)
        which = reply.WhichOneof("reply")
        if which == "tokens":
            self.tokens += 1
            if self.tokens == 1 or self.answer:
                self.fleet.client.note("token", call=self.name)
        else:
            self.answer, self.wait = which, reply.rejected.wait_ms
            self.fleet.client.note("final", call=self.name, answer=which, tokens=self.tokens)

    def ended(self, status: Status) -> None:
        self.status = status
        self.fleet.client.note("over", call=self.name, code=status.code.name, unprocessed=status.unprocessed)


class Fleet:
    """Engines are named "R0".."W1" with the digit their cell, and numbered in order: R0.0, R0.1, ..."""

    def __init__(
        self,
        engines: str = "R0 W0 W0",
        nodes: int = 1,
        executor_class: type[ActionExecutor] = ActionExecutor,
        base: Path | None = None,
        lists: str = "",
        more: str = "",
        tell: str = "max_wait: 2s",
        **machine: object,
    ) -> None:
        """With `base` node n0's list comes from the files in base/list-n0; `lists` has more of `list:`."""
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.net = Net(self.clock)
        self.executor_class, self.machine, self.nodes_count = executor_class, machine, nodes
        self.base, self.lists, self.more, self.tell_wait = base, lists, more, tell
        self.fronts = any(word[0] in "EKM" for word in engines.split())
        self.log: list[Record] = []  # of all ends, in the order in which it happened
        self.day, self.client = self.recorder("day"), self.recorder("client")
        self.stands: dict[str, EmulatedEngine] = {}
        self.rows: dict[str, dict] = {}
        for i, word in enumerate(engines.split()):
            name = f"{word}{chr(97 + i)}"
            self.rows[name] = {
                "address": f"{name}:1",
                "kind": KIND_OF[word[0]],
                "zone": "north",
                "cell": int(word[1]),
                **({"model": "m1"} if word[0] in "EKM" else {}),
            }
            self.engine(name)
        self.nodes = {f"n{i}": self.node(i) for i in range(nodes)}
        self.channels = {name: Channel(self.clock, self.net.dialer(f"{name}:1"), name) for name in self.nodes}
        self.calls: list[Caller] = []

    def recorder(self, who: str) -> Recorder:
        recorder = Recorder(who, self.clock)
        recorder.kept = self.log
        return recorder

    def engine(self, name: str, cold: bool = False) -> None:
        sheet = EmulatedEngineConfig(
            name=name,
            listen=f"{name}:1",
            reads=name[0] == "R",
            writes=name[0] in "WM",
            embeds=name[0] in "EM",
            ranks=name[0] == "K",
            cold=cold,
            **self.machine,
        )
        self.stands[name] = EmulatedEngine(
            sheet,
            self.clock,
            lambda address: self.net.dialer(address, f"{name}:1"),
            self.recorder(f"{name}:1"),
            lambda: self.net.kill(f"{name}:1"),
        )
        self.net.listen(f"{name}:1", self.stands[name].server)

    def text(self, index: int) -> str:
        """A node's file, of a list that is pushed."""
        rows = ", ".join(
            "{" + ", ".join(f"{k}: {v!r}" for k, v in r.items()) + "}" for r in self.rows.values()
        )
        lists = f"{{pushed: yes, engines: [{rows}]}}"
        if self.base is not None:
            lists = f"{{files: [list-n{index}]{self.lists}}}"
        return (
            SHEET.format(
                index=index,
                nodes=self.nodes_count,
                lists=lists,
                tell=self.tell_wait,
                traffic=FRONTS if self.fronts else "",
                kinds=KINDS if self.fronts else "",
            )
            + self.more
        )

    def node(
        self, index: int, run: str = "1", text: str = "", files: FileAccess | None = None, log: Log = no_log
    ) -> Node:
        if files is None:
            files = FileAccess() if self.base is None else FileAccess(self.base)
        sheet = parse_config(text or self.text(index), NodeConfig)
        environment = NodeEnvironment(
            self.clock,
            lambda address: self.net.dialer(address, f"n{index}:1"),
            run,
            log,
            self.executor_class,
            files,
        )
        node = Node(sheet, environment)
        self.net.listen(f"n{index}:1", node.server)
        self.net.listen(f"n{index}:2", node.admin)
        return node

    def ask(
        self,
        traffic: str = "ask",
        prompt: int = 2000,
        node: str = "n0",
        left: float = 4.0,
        output: int = 100,
        mark: str = "",
        timeout: float | None = None,
        text: bytes = b"",
        **more: object,
    ) -> Caller:
        name = f"c{len(self.calls)}"
        mark = mark or f"m{len(self.calls)}"
        caller = Caller(self, name, node, traffic, mark, left if timeout is None else min(left, timeout))
        call = caller.call = self.channels[node].call("/myrtlehub.v1.Chat/Generate", caller, timeout=timeout)
        call.send(
            chat_pb2.GenerateRequest(
                traffic_type=traffic,
                prompt_tokens=prompt,
                most_output=output,
                mark=mark,
                time_left_ms=int(left * 1000),
                prompt=text,
                **more,
            ).SerializeToString()
        )
        call.half_close()
        self.calls.append(caller)
        return caller

    def leave(self, caller: Caller) -> None:
        self.client.note("left", call=caller.name)
        caller.call.cancel()

    def tell(self, engine: str, state: str, age: float = 0.0) -> None:
        """News of the list, to all nodes."""
        row = self.rows[engine]
        news = admin_pb2.ListNews(
            engines=[
                admin_pb2.ListedEngine(
                    address=row["address"],
                    kind=row["kind"],
                    zone="north",
                    cell=row["cell"],
                    state=state,
                    age=age,
                )
            ]
        )
        for name in self.nodes:
            channel = Channel(self.clock, self.net.dialer(f"{name}:2"), name)
            done = channel.unary("/myrtlehub.v1.NodeAdmin/PushList", news.SerializeToString())
            done.addCallback(
                lambda reply, name=name: self.day.note(
                    "told", node=name, engine=row["address"], state=state, grace=0.25
                )
            )

    def misbehave(self, engine: str, how: str, factor: float = 0.0, seconds: float = 0.0) -> None:
        channel = Channel(self.clock, self.net.dialer(f"{engine}:1"), engine)
        channel.unary(
            "/myrtlehub.v1.Stand/Misbehave",
            engine_pb2.Misbehaviour(how=how, factor=factor, seconds=seconds).SerializeToString(),
        )

    def kill(self, name: str) -> None:
        """A process dies outright."""
        self.day.note("killed", who=f"{name}:1" if name in self.stands else name)
        self.net.kill(f"{name}:1")
        if name in self.stands:
            self.stands[name].model.has_crashed = True
        else:
            self.net.kill(f"{name}:2")
            dead = self.nodes.pop(name)
            dead.executor._call_router = lambda *args: None
            dead.transport.close()

    def run(self, seconds: float) -> None:
        self.net.run(seconds)

    def what(self, what: str, who: str = "") -> list[Record]:
        return [r for r in self.log if r.what == what and r.who.startswith(who)]
