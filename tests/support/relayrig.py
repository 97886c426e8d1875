"""A relay node with scripted engines, discovery and clients, on an in-memory network and a fake clock."""

import json
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11
from memnet import Net, Pipe
from relaymessages import COMPLETE_STREAM, READ_RESPONSE, RELEASE_RESPONSE, SETTINGS, chat_request
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock

from myrtlehub.http1.tcp_transport import is_orderly_close
from myrtlehub.log_events import LogEvent
from myrtlehub.relay.node import RelayNode
from myrtlehub.relay.parsing import SocketAddress
from myrtlehub.relay.settings.node_settings import NodeSettings


class ReceivedRequest(NamedTuple):
    """A complete request that a scripted peer received."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    connection: "PeerConnection"


class LoggedEvent(NamedTuple):
    """An event that the node has logged."""

    event: LogEvent
    fields: dict[str, object]


class PeerConnection(Protocol):
    """A connection to a scripted peer, which parses requests with h11 and sends raw bytes."""

    transport: Pipe  # type: ignore[assignment]  # zope's ITransport declares methods without `self`
    head: h11.Request  # of the request being received; h11 returns it before the body and the end
    last_headers: list[tuple[bytes, bytes]]  # of the last complete request

    def __init__(self, peer: "ScriptedPeer") -> None:
        self.peer = peer
        self.http = h11.Connection(h11.SERVER)
        self.lost = False
        self.body = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a request and run the peer's script."""
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if type(event) is h11.Request:
                self.head = event
                self.body = b""
            elif type(event) is h11.Data:
                self.body += event.data
            elif type(event) is h11.EndOfMessage:
                self._complete()
                return

    def _complete(self) -> None:
        # The script responds with raw bytes, which h11 does not see. This parser would therefore wait for a
        # response and parse no further request.
        self.http = h11.Connection(h11.SERVER)
        head = self.head
        self.last_headers = list(head.headers)
        self.peer.requests.append(
            ReceivedRequest(head.method, head.target, dict(head.headers), self.body, self)
        )
        self.peer.script(self, head, self.body)

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.transport.write(data)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Record that the connection is lost."""
        self.lost = True


Script = Callable[[PeerConnection, h11.Request, bytes], None]


class ScriptedPeer(Factory):
    """An engine or discovery; it calls `script(connection, head, body)` for each complete request."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.connections: list[PeerConnection] = []

    def buildProtocol(self, addr: object) -> PeerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        self.connections.append(PeerConnection(self))
        return self.connections[-1]

    def chat_requests(self) -> list[ReceivedRequest]:
        """Return the received requests that are attempts."""
        return [request for request in self.requests if request.method == b"POST"]

    def released_paths(self) -> list[bytes]:
        """Return the paths of the received releases, each of which names a state."""
        return [request.target for request in self.requests if request.method == b"DELETE"]


def never_respond(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
    """Act as an engine that never responds to attempts, but confirms releases."""
    if head.method == b"DELETE":
        connection.send(RELEASE_RESPONSE)


class RawClient(Protocol):
    """A client's connection, which stores the received bytes.

    Attributes:
        received: The received bytes.
        lost: Whether the connection is lost.
        was_reset: Whether the node broke it, rather than closing it after all of its data.
    """

    transport: Pipe  # type: ignore[assignment]  # zope's ITransport declares methods without `self`

    def __init__(self) -> None:
        self.received = b""
        self.lost = False
        self.was_reset = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Store the bytes."""
        self.received += data

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Record that the connection is lost, and how."""
        self.lost = True
        self.was_reset = not is_orderly_close(reason)

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self.transport.write(data)

    @property
    def statuses(self) -> list[int]:
        """The status codes of the received responses."""
        return [int(part[:3]) for part in self.received.split(b"HTTP/1.1 ")[1:]]


class RawClientFactory(Factory):
    """Factory of `RawClient` connections."""

    def buildProtocol(self, addr: object) -> RawClient:  # noqa: N802
        """Return the protocol of a new connection."""
        return RawClient()


class RelayRig:
    """A relay node and its peers.

    Args:
        engines: Names of the engines, separated by spaces. The first letter is the engine's kind: r reads
            prompts, w writes outputs, and m does both. Each engine listens at "NAME:1".
        descriptors: Number of file descriptors that the node may use.
        with_fallback_list: Whether the node's settings have the endpoint list as its fallback list.
        silent_discovery: Whether discovery answers nothing until `resume_discovery`.
        max_memory_mb: Memory in MB that the platform allows the node, or None.
        settings: Platform settings that replace those of `SETTINGS`.

    Attributes:
        version: Version of discovery's endpoint list.
        open_watches: Connections to discovery with a request that it has not answered.
        logged: The events that the node has logged, in order.
    """

    def __init__(
        self,
        engines: str = "r1 w1",
        descriptors: int = 200,
        with_fallback_list: bool = True,
        silent_discovery: bool = False,
        max_memory_mb: float | None = None,
        **settings: object,
    ) -> None:
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.net = Net(self.clock)
        self.entries = {name: self.entry(name) for name in engines.split()}
        self.engines = {name: ScriptedPeer(self.default_script) for name in self.entries}
        for name, peer in self.engines.items():
            self.net.listen(f"{name}:1", peer)
        self.version = 1
        self.open_watches: list[PeerConnection] = []
        self.discovery_is_silent = silent_discovery
        self.discovery = ScriptedPeer(self._discovery_script)
        self.net.listen("disco:1", self.discovery)
        node_settings = NodeSettings(
            name="n0",
            listen_address=SocketAddress("127.0.0.1", 1),
            discovery_address="disco:1",
            seed=7,
            max_descriptors=descriptors,
            platform_settings={**SETTINGS, **settings},
            fallback_list=self.complete_list() if with_fallback_list else None,
            max_memory_mb=max_memory_mb,
        )
        self.logged: list[LoggedEvent] = []
        self.node = RelayNode(
            node_settings,
            self.clock,
            lambda address, timeout: self.net.dialer(address),
            0.0,
            self._log,
        )
        self.net.listen("node", self.node.listener)
        self.node.start()
        self.run(0.05)

    def _log(self, event: LogEvent, /, **fields: object) -> None:
        self.logged.append(LoggedEvent(event, fields))

    def entry(self, name: str, health: str = "active", **fields: object) -> dict[str, object]:
        """Return an engine's entry of the endpoint list; `fields` are added to it or replace its own."""
        return {
            "host": name,
            "dial": f"{name}:1",
            "site": "z",
            "class": name[0],
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
            **fields,
        }

    def complete_list(self) -> dict[str, object]:
        """Return the complete endpoint list, with version 1."""
        return {"seq": 1, "whole": True, "hosts": list(self.entries.values())}

    def _discovery_script(self, connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        query = parse_qs(urlsplit(head.target.decode()).query)
        if self.discovery_is_silent or "since" in query:
            self.open_watches.append(connection)
        else:
            self.send_list(connection, {**self.complete_list(), "seq": self.version})

    def send_list(self, connection: PeerConnection, message: dict[str, object]) -> None:
        """Respond to a request of the node's discovery client with a message."""
        body = json.dumps(message).encode()
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def update_list(self, **entries: dict[str, object]) -> None:
        """Change entries of the endpoint list, and send them as the response to the open watch."""
        self.entries.update(entries)
        self.version += 1
        changes = {"seq": self.version, "whole": False, "hosts": list(entries.values())}
        self.send_list(self.open_watches.pop(), changes)
        self.run(0.02)

    def resume_discovery(self) -> None:
        """Make discovery respond again; requests that are still open get the complete list."""
        self.discovery_is_silent = False
        watches, self.open_watches = self.open_watches, []
        for connection in watches:
            if not connection.lost:
                self.send_list(connection, {**self.complete_list(), "seq": self.version})

    def default_script(self, connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        """Act as an engine without faults."""
        if head.method == b"DELETE":
            connection.send(RELEASE_RESPONSE)
        else:
            name = next(name for name, peer in self.engines.items() if peer is connection.peer)
            connection.send(READ_RESPONSE if name[0] == "r" else COMPLETE_STREAM)

    def run(self, seconds: float = 0.1) -> None:
        """Advance the clock, deliver queued data, and run the timers that become due."""
        self.net.run(seconds)

    def client(self) -> RawClient:
        """Connect a new client and return its connection."""
        connected: list[RawClient] = []
        self.net.dialer("node")(RawClientFactory()).addCallback(connected.append)
        self.run(0.0)
        return connected[0]

    def request(
        self,
        sequence_id: str = "a1",
        prompt: int = 100,
        traffic: str = "ask",
        remaining_ms: int = 4000,
        client: RawClient | None = None,
        headers: bytes = b"",
    ) -> RawClient:
        """Send a chat request, on a new connection unless `client` is given; return its connection."""
        client = client or self.client()
        client.send(chat_request(sequence_id, prompt, traffic, remaining_ms, headers))
        self.run(0.02)
        return client
