"""A fleet in one process: real nodes, engines and clients on an in-memory network and a driven clock."""

from pathlib import Path
from typing import TypedDict, Unpack

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
from myrtlehub.rpc.client_call import CallWatcher, ClientCall
from myrtlehub.rpc.status import Metadata, Status

NODE_SETTINGS = """
node: {{name: n{index}, listen: "n{index}:1", index: {index}, nodes: {nodes}, zone: north, seed: {index},
  drain_within: 3s, {node_options}}}
traffic:
  - {{name: ask, repeats: repeatable, latency_slo: 1s, abandon_time: 4s, pace: 50ms}}
  - {{name: post, repeats: once-only, latency_slo: 1s, abandon_time: 4s, pace: 50ms, utility: 3}}
  - {{name: note, repeats: tokened, latency_slo: 1s, abandon_time: 4s, dedup_group: cell, dedup_window: 5s}}
{batch_traffic}kinds:
  - {{name: reader, reads: yes, memory: 200k tokens}}
  - {{name: writer, writes: yes, memory: 200k tokens}}
{batch_kinds}zones: [north]
rules:
  {{drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 10s, fall_multiple: 2.5, fall_time: 1s}}
list: {list_options}
"""

BATCH_TRAFFIC = """  - {name: vec, front: embed, repeats: repeatable, latency_slo: 1s, abandon_time: 4s}
  - {name: vec1, front: embed, repeats: once-only, latency_slo: 1s, abandon_time: 4s}
  - {name: sort, front: rank, repeats: repeatable, latency_slo: 1s, abandon_time: 4s}
"""
BATCH_KINDS = """  - {name: embedder, embeds: yes, memory: 100k tokens, batch: 4k tokens, batch_items: 64}
  - {name: ranker, ranks: yes, memory: 100k tokens, batch: 4k tokens, batch_items: 64}
  - {name: mixed, writes: yes, embeds: yes, memory: 200k tokens, batch: 4k tokens, batch_items: 64}
"""
KIND_OF_LETTER = {"R": "reader", "W": "writer", "E": "embedder", "K": "ranker", "M": "mixed"}


class EndpointRow(TypedDict, total=False):
    """An engine of the endpoint list, with the keys of its YAML."""

    address: str
    kind: str
    zone: str
    cell: int
    model: str
    weight: float


class RequestFields(TypedDict, total=False):
    """Fields of a request that few tests set."""

    session: str
    shared_prefix: str
    shared_tokens: int
    repeated: bool
    tenant: str
    expected_ms: int


class ChatCallWatcher(CallWatcher):
    """Watches a client's call, and writes what it receives to the client's records."""

    def __init__(
        self, fleet: "Fleet", name: str, node: str, traffic: str, mark: str, time_left: float
    ) -> None:
        self.fleet, self.name, self.node, self.mark = fleet, name, node, mark
        self.tokens, self.wait = 0, -1  # token messages; Retry-After in ms, -1 without a final answer
        self.answer: str | None = ""
        self.status: Status | None = None
        self.call: ClientCall
        fleet.client_recorder.note("ask", call=name, node=node, traffic=traffic, mark=mark, left=time_left)

    def headers(self, meta: Metadata) -> None:
        """Record the sequence id; a call that was not accepted has none."""
        sequence_id = dict(meta).get("myrtle-seq", "")
        if sequence_id:
            self.fleet.client_recorder.note("seq", call=self.name, seq=sequence_id)

    def message(self, data: bytes) -> None:
        """Record the first tokens, tokens after the final answer, and the final answer."""
        reply = chat_pb2.GenerateReply.FromString(data)
        which = reply.WhichOneof("reply")
        if which == "tokens":
            self.tokens += 1
            if self.tokens == 1 or self.answer:
                self.fleet.client_recorder.note("token", call=self.name)
        else:
            self.answer, self.wait = which, reply.rejected.wait_ms
            self.fleet.client_recorder.note("final", call=self.name, answer=which, tokens=self.tokens)

    def ended(self, status: Status) -> None:
        """Record the status."""
        self.status = status
        self.fleet.client_recorder.note(
            "over", call=self.name, code=status.code.name, unprocessed=status.unprocessed
        )


class Fleet:
    """Nodes, engines and clients.

    Engines are given as "R0 W1" (a letter of `KIND_OF_LETTER` and the cell), and named in order: R0a, W1b.
    """

    def __init__(
        self,
        engines: str = "R0 W0 W0",
        nodes: int = 1,
        executor_class: type[ActionExecutor] = ActionExecutor,
        list_folder: Path | None = None,
        list_options: str = "",
        more_settings: str = "",
        node_options: str = "max_wait: 2s",
        **engine_options: object,
    ) -> None:
        """Start the fleet.

        Args:
            engines: in the notation of the class.
            nodes: number of nodes.
            executor_class: of each node.
            list_folder: holds a folder list-n0 of list files for node n0, and so on; None: lists are pushed.
            list_options: further YAML of `list:`, with a list folder.
            more_settings: YAML appended to each node's settings.
            node_options: further YAML of `node:`.
            engine_options: further settings of each engine.
        """
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.net = Net(self.clock)
        self.executor_class, self.engine_options, self.node_count = executor_class, engine_options, nodes
        self.list_folder, self.list_options = list_folder, list_options
        self.more_settings, self.node_options = more_settings, node_options
        self.has_batch_fronts = any(word[0] in "EKM" for word in engines.split())
        self.log: list[Record] = []  # records of all participants, in order of time
        self.scenario_recorder, self.client_recorder = self.recorder("day"), self.recorder("client")
        self.engines: dict[str, EmulatedEngine] = {}
        self.endpoints: dict[str, EndpointRow] = {}
        for i, word in enumerate(engines.split()):
            self._add_engine(f"{word}{chr(97 + i)}")
        self.nodes = {f"n{i}": self.start_node(i) for i in range(nodes)}
        self.channels = {name: Channel(self.clock, self.net.dialer(f"{name}:1"), name) for name in self.nodes}
        self.calls: list[ChatCallWatcher] = []

    def _add_engine(self, name: str) -> None:
        """Add an engine to the endpoint list, and start it."""
        letter, cell = name[0], int(name[1])
        row: EndpointRow = {
            "address": f"{name}:1",
            "kind": KIND_OF_LETTER[letter],
            "zone": "north",
            "cell": cell,
        }
        if letter in "EKM":
            row["model"] = "m1"
        self.endpoints[name] = row
        self.start_engine(name)

    def recorder(self, source: str) -> Recorder:
        """Return a recorder whose records go to the fleet's log."""
        recorder = Recorder(source, self.clock)
        recorder.kept = self.log
        return recorder

    def start_engine(self, name: str, cold: bool = False) -> None:
        """Start or restart an engine."""
        config = EmulatedEngineConfig.model_validate(
            {
                "name": name,
                "listen": f"{name}:1",
                "reads": name[0] == "R",
                "writes": name[0] in "WM",
                "embeds": name[0] in "EM",
                "ranks": name[0] == "K",
                "cold": cold,
                **self.engine_options,
            }
        )
        self.engines[name] = EmulatedEngine(
            config,
            self.clock,
            lambda address: self.net.dialer(address, f"{name}:1"),
            self.recorder(f"{name}:1"),
            lambda: self.net.kill(f"{name}:1"),
        )
        self.net.listen(f"{name}:1", self.engines[name].server)

    def settings_text(self, index: int) -> str:
        """Return a node's settings file."""
        rows = ", ".join(
            "{" + ", ".join(f"{k}: {v!r}" for k, v in row.items()) + "}" for row in self.endpoints.values()
        )
        list_options = f"{{pushed: yes, engines: [{rows}]}}"
        if self.list_folder is not None:
            list_options = f"{{files: [list-n{index}]{self.list_options}}}"
        return (
            NODE_SETTINGS.format(
                index=index,
                nodes=self.node_count,
                list_options=list_options,
                node_options=self.node_options,
                batch_traffic=BATCH_TRAFFIC if self.has_batch_fronts else "",
                batch_kinds=BATCH_KINDS if self.has_batch_fronts else "",
            )
            + self.more_settings
        )

    def start_node(
        self, index: int, run: str = "1", text: str = "", files: FileAccess | None = None, log: Log = no_log
    ) -> Node:
        """Start a node; `text` replaces its settings file."""
        if files is None:
            files = FileAccess() if self.list_folder is None else FileAccess(self.list_folder)
        config = parse_config(text or self.settings_text(index), NodeConfig)
        environment = NodeEnvironment(
            self.clock,
            lambda address: self.net.dialer(address, f"n{index}:1"),
            run,
            log,
            self.executor_class,
            files,
        )
        node = Node(config, environment)
        self.net.listen(f"n{index}:1", node.server)
        self.net.listen(f"n{index}:2", node.admin)
        return node

    def generate(
        self,
        traffic: str = "ask",
        prompt: int = 2000,
        node: str = "n0",
        time_left: float = 4.0,
        output: int = 100,
        mark: str = "",
        timeout: float | None = None,
        text: bytes = b"",
        **fields: Unpack[RequestFields],
    ) -> ChatCallWatcher:
        """Call Generate at a node, with a prompt and a maximum output, both in tokens."""
        name = f"c{len(self.calls)}"
        mark = mark or f"m{len(self.calls)}"
        recorded_time = time_left if timeout is None else min(time_left, timeout)
        caller = ChatCallWatcher(self, name, node, traffic, mark, recorded_time)
        call = caller.call = self.channels[node].call("/myrtlehub.v1.Chat/Generate", caller, timeout=timeout)
        call.send(
            chat_pb2.GenerateRequest(
                traffic_type=traffic,
                prompt_tokens=prompt,
                most_output=output,
                mark=mark,
                time_left_ms=int(time_left * 1000),
                prompt=text,
                **fields,
            ).SerializeToString()
        )
        call.half_close()
        self.calls.append(caller)
        return caller

    def cancel(self, caller: ChatCallWatcher) -> None:
        """Cancel a call, as a client that disconnects does."""
        self.client_recorder.note("left", call=caller.name)
        caller.call.cancel()

    def push_list_event(self, engine: str, state: str, age: float = 0.0) -> None:
        """Push a change of the endpoint list to all nodes; `age` is the engine's, in seconds."""
        row = self.endpoints[engine]
        event = admin_pb2.ListNews(
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
            done = channel.unary("/myrtlehub.v1.NodeAdmin/PushList", event.SerializeToString())
            done.addCallback(self._record_list_event, name, row["address"], state)

    def _record_list_event(self, reply: bytes, node: str, address: str, state: str) -> None:
        """Record that a node has accepted a list event."""
        self.scenario_recorder.note("told", node=node, engine=address, state=state, grace=0.25)

    def inject_fault(self, engine: str, how: str, factor: float = 0.0, seconds: float = 0.0) -> None:
        """Make an engine misbehave in one of the ways of `Misbehaviour`."""
        channel = Channel(self.clock, self.net.dialer(f"{engine}:1"), engine)
        channel.unary(
            "/myrtlehub.v1.Stand/Misbehave",
            engine_pb2.Misbehaviour(how=how, factor=factor, seconds=seconds).SerializeToString(),
        )

    def kill(self, name: str) -> None:
        """Kill the process of an engine or a node."""
        self.scenario_recorder.note("killed", who=f"{name}:1" if name in self.engines else name)
        self.net.kill(f"{name}:1")
        if name in self.engines:
            self.engines[name].model.has_crashed = True
        else:
            self.net.kill(f"{name}:2")
            node = self.nodes.pop(name)
            # The timers of a killed node still fire in this process; they must not call its router.
            node.executor._call_router = lambda *args: None  # type: ignore[method-assign] # a stub
            node.transport.close()

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        self.net.run(seconds)

    def records(self, event: str, source: str = "") -> list[Record]:
        """Return the records of an event by sources that begin with `source`."""
        return [record for record in self.log if record.what == event and record.who.startswith(source)]
