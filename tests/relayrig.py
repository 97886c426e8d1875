"""A relay node with scripted engines, discovery and clients, on a network in memory and a driven clock."""

import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import h11
from memnet import Net
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock

from myrtlehub.relay.bootstrap import Bootstrap
from myrtlehub.relay.node import RelayNode

SETTINGS = {
    "Balancers": 2,
    "Ordinal": 0,
    "Zones": ["z"],
    "MyZone": "z",
    "PeriodMs": 4.0,
    "OverShareWorth": 0.1,
    "MachineTypes": ["r", "w", "m"],
    "Orgs": [{"Name": "acme", "QuotaPerS": 100.0}],
    "Classes": [
        {
            "Name": "ask",
            "Effect": "idempotent",
            "AimMs": 2000.0,
            "GiveUpMs": 5000.0,
            "Credit": 1.0,
            "LateWorth": 0.3,
        },
        {"Name": "post", "Effect": "at_most_once", "AimMs": 2000.0, "GiveUpMs": 5000.0, "Credit": 3.0},
    ],
    "Caps": {
        "Cancel": True,
        "MostTries": 5,
        "RetryAfter": True,
        "MaxRetryAfterMs": 2000.0,
        "ConnectTimeoutMs": 250.0,
        "KeepaliveMs": 30000.0,
        "SecondCopies": True,
    },
    "Invariants": {
        "AnswerSlackMs": 16.0,
        "ColdMs": 10000.0,
        "ColdShare": 0.25,
        "DrainGraceMs": 250.0,
        "FallMs": 1000.0,
        "FallMultiple": 2.5,
    },
    "Report": {"How": "inline", "Names": ["x0", "x1"]},
    "Specifics": {
        "DutyByKind": ["read", "write", "both"],
        "KvTokens": [200000, 200000, 200000],
        "LetGoByMs": 500.0,
        "SelfPrefill": True,
        "TokenAimMs": [50.0, 50.0],
    },
}
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"ab"},"finish_reason":null}]}\n\n'
USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":2,'
    b'"prompt_tokens_details":{"cached_tokens":64}}}\n\n'
)
DONE = b"data: [DONE]\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


WHOLE = HEAD + chunk(EVENT) + chunk(EVENT) + chunk(USAGE) + chunk(DONE) + b"0\r\n\r\n"
READ_DONE = (
    b'HTTP/1.1 202 Accepted\r\nContent-Length: 21\r\nX-Pressure: {"x0":0.5,"x1":2.0}\r\n\r\n'
    b'{"cached_tokens":640}'
)
RELEASED = b"HTTP/1.1 204 No Content\r\n\r\n"


def answer(status: int, mark: bool = False, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%s%sContent-Length: 0\r\n\r\n" % (status, b"X-Turned-Away: 1\r\n" * mark, more)


class Far(Protocol):
    """One connection to a scripted peer; requests are parsed by h11, answers are raw bytes."""

    def __init__(self, peer: "Peer") -> None:
        self.peer, self.http, self.lost = peer, h11.Connection(h11.SERVER), False
        self.head, self.body = None, b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if type(event) is h11.Request:
                self.head, self.body = event, b""
            elif type(event) is h11.Data:
                self.body += event.data
            elif type(event) is h11.EndOfMessage:
                # the next request on this connection is read afresh, whatever was answered raw
                self.http = h11.Connection(h11.SERVER)
                self.last_headers = list(self.head.headers)
                self.peer.asked.append(
                    (self.head.method, self.head.target, dict(self.head.headers), self.body, self)
                )
                self.peer.answer(self, self.head, self.body)
                return

    def say(self, data: bytes) -> None:
        self.transport.write(data)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        self.lost = True


class Peer(Factory):
    def __init__(self, answer: Callable[[Far, h11.Request, bytes], None]) -> None:
        self.answer, self.asked, self.connections = answer, [], []

    def buildProtocol(self, addr: object) -> Far:  # noqa: N802
        self.connections.append(Far(self))
        return self.connections[-1]

    def chats(self) -> list:
        return [a for a in self.asked if a[0] == b"POST"]

    def released(self) -> list[bytes]:
        return [a[1] for a in self.asked if a[0] == b"DELETE"]


class Asker(Protocol):
    """A client's connection: what it got, raw."""

    def __init__(self) -> None:
        self.got, self.lost = b"", False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.got += data

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        self.lost = True

    def say(self, data: bytes) -> None:
        self.transport.write(data)

    @property
    def statuses(self) -> list[int]:
        return [int(part[:3]) for part in self.got.split(b"HTTP/1.1 ")[1:]]


class _Dialed(Factory):
    def buildProtocol(self, addr: object) -> Asker:  # noqa: N802
        return Asker()


class Rig:
    """Engines are named by kind and number: r1, w1, m1; each is at "NAME:1"."""

    def __init__(
        self,
        engines: str = "r1 w1",
        sockets: int = 200,
        known: bool = True,
        silent: bool = False,
        **settings: object,
    ) -> None:
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.net = Net(self.clock)
        self.lines = {name: self.line(name) for name in engines.split()}
        self.engines = {name: Peer(self.by_default) for name in self.lines}
        for name, peer in self.engines.items():
            self.net.listen(f"{name}:1", peer)
        self.version, self.waiting, self.silent = 1, [], silent
        self.discovery = Peer(self._list)
        self.net.listen("disco:1", self.discovery)
        told = Bootstrap(
            "n0",
            ("127.0.0.1", 1),
            "disco:1",
            7,
            sockets,
            {**SETTINGS, **settings},
            self.whole() if known else None,
        )
        self.logged = []
        self.node = RelayNode(
            told,
            self.clock,
            lambda address, within: self.net.dialer(address),
            0.0,
            lambda event, **more: self.logged.append((event, more)),
        )
        self.net.listen("node", self.node.site)
        self.node.start()
        self.run(0.05)

    def line(self, name: str, health: str = "active", **more: object) -> dict:
        return {
            "host": name,
            "dial": f"{name}:1",
            "site": "z",
            "class": name[0],
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
            **more,
        }

    def whole(self) -> dict:
        return {"seq": 1, "whole": True, "hosts": list(self.lines.values())}

    def _list(self, far: Far, head: h11.Request, body: bytes) -> None:
        query = parse_qs(urlsplit(head.target.decode()).query)
        if self.silent or "since" in query:
            self.waiting.append(far)
        else:
            self.tell(far, {**self.whole(), "seq": self.version})

    def tell(self, far: Far, said: dict) -> None:
        body = json.dumps(said).encode()
        far.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def change(self, **lines: dict) -> None:
        """Answer the watch."""
        self.lines.update(lines)
        self.version += 1
        self.tell(self.waiting.pop(), {"seq": self.version, "whole": False, "hosts": list(lines.values())})
        self.run(0.02)

    def answer_silent(self) -> None:
        """Discovery speaks again: with the whole list, on the calls that still wait."""
        self.silent = False
        waiting, self.waiting = self.waiting, []
        for far in waiting:
            if not far.lost:
                self.tell(far, {**self.whole(), "seq": self.version})

    def by_default(self, far: Far, head: h11.Request, body: bytes) -> None:
        if head.method == b"DELETE":
            far.say(RELEASED)
        else:
            name = next(n for n, peer in self.engines.items() if peer is far.peer)
            far.say(READ_DONE if name[0] == "r" else WHOLE)

    def run(self, seconds: float = 0.1) -> None:
        self.net.run(seconds)

    def client(self) -> Asker:
        made = []
        self.net.dialer("node")(_Dialed()).addCallback(made.append)
        self.run(0.0)
        return made[0]

    def ask(
        self,
        label: str = "a1",
        prompt: int = 100,
        traffic: str = "ask",
        left: int = 4000,
        client: Asker | None = None,
        more: bytes = b"",
    ) -> Asker:
        """A client that asks."""
        client = client or self.client()
        client.say(chat(label, prompt, traffic, left, more))
        self.run(0.02)
        return client


def chat(
    label: str = "a1",
    prompt: int = 100,
    traffic: str = "ask",
    left: int = 4000,
    more: bytes = b"",
    body: bytes = b'{"model":"chat","messages":[]}',
) -> bytes:
    return (
        b"POST /v1/chat/completions?v=1 HTTP/1.1\r\nHost: service\r\nX-Txn: %s\r\nX-Lane: %s\r\n"
        b"X-Org: acme\r\nX-Entity: s1\r\nX-Remaining-Ms: %d\r\nX-Labels: prompt_len=%d,max_out=100\r\n%s"
        b"Content-Length: %d\r\n\r\n%s"
        % (label.encode(), traffic.encode(), left, prompt, more, len(body), body)
    )
