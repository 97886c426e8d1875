"""Scripted engines and a scripted discovery on real sockets."""

import json
import queue
import socket
import struct
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11
from relaymessages import COMPLETE_STREAM, READ_RESPONSE, RELEASE_RESPONSE

HOST = "127.0.0.1"
TIMEOUT_S = 15.0  # limit of each wait, reached only by tests that fail


class ReceivedRequest(NamedTuple):
    """A complete request that a scripted peer received, at a time in seconds of the monotonic clock."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    connection: "PeerConnection"
    received_at: float

    @property
    def sequence_id(self) -> str:
        """The sequence id that the client gave the request, or an empty string."""
        return self.headers.get(b"x-txn", b"").decode()


class PeerConnection:
    """A connection to a scripted peer."""

    def __init__(self, peer: "ScriptedPeer", sock: socket.socket) -> None:
        self.peer = peer
        self.sock = sock
        self.closed = threading.Event()  # set once the other end has closed or reset it

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        try:
            self.sock.sendall(data)
        except OSError:
            self.closed.set()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        """Close the connection, whether or not it is still open."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def serve(self) -> None:
        """Read requests one after another, until the other end closes."""
        with suppress(OSError):
            while (request := self._read()) is not None:
                if self.peer.is_cut_off:
                    continue
                self.peer.all_requests.append(request)
                self.peer.unread_requests.put(request)
                self.peer.script(self, request)
        self.closed.set()

    def _read(self) -> ReceivedRequest | None:
        http = h11.Connection(h11.SERVER)
        head: h11.Request  # h11 returns it before the body and the end
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = self.sock.recv(65536)
                if not data:
                    return None
                http.receive_data(data)
            elif type(event) is h11.Request:
                head = event
            elif type(event) is h11.Data:
                body += event.data
            elif type(event) is h11.EndOfMessage:
                return ReceivedRequest(
                    bytes(head.method), bytes(head.target), dict(head.headers), body, self, time.monotonic()
                )


Script = Callable[[PeerConnection, ReceivedRequest], None]


class ScriptedPeer:
    """A server, with one thread per connection, that calls `script(connection, request)` for each request.

    Attributes:
        is_cut_off: Whether nothing arrives: connections are established and stay open, as their handshake is
            the system's, but no request on them is received; see `cut_off`.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.is_cut_off = False
        self.all_requests: list[ReceivedRequest] = []
        self.unread_requests: queue.Queue[ReceivedRequest] = queue.Queue()
        self.connections: list[PeerConnection] = []
        self.listener = socket.create_server((HOST, 0), backlog=511)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.append(PeerConnection(self, sock))
            threading.Thread(target=self.connections[-1].serve, daemon=True).start()

    def cut_off(self) -> None:
        """Receive no request from now on, without an error on any connection."""
        self.is_cut_off = True

    def restore(self) -> None:
        """Receive requests again; connections of the time before are reset, with what was sent on them."""
        for connection in self.connections:
            connection.reset()
        self.is_cut_off = False

    def next_request(self, method: bytes = b"") -> ReceivedRequest:
        """Wait for the next unread request, and return it; if `method` is given, skip those of others."""
        while True:
            try:
                request = self.unread_requests.get(timeout=TIMEOUT_S)
            except queue.Empty:
                raise AssertionError(f"no request arrived within {TIMEOUT_S} s") from None
            if request.method == method or not method:
                return request

    def sequence_ids(self, method: bytes = b"POST") -> list[str]:
        """Return the sequence ids of the received attempts (POST) or releases (DELETE)."""
        return [
            request.sequence_id or request.target.decode().rpartition("/")[2]
            for request in list(self.all_requests)
            if request.method == method
        ]

    def close(self) -> None:
        """Stop listening, and close the connections."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.connections:
            connection.close()


class Engine(ScriptedPeer):
    """An engine: a reader if its name begins with r, else a writer of complete streams. Confirms releases."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(self.default_script)

    def default_script(self, connection: PeerConnection, request: ReceivedRequest) -> None:
        """Act as an engine without faults."""
        if request.method == b"DELETE":
            connection.send(RELEASE_RESPONSE)
        else:
            connection.send(READ_RESPONSE if self.name[0] == "r" else COMPLETE_STREAM)


class Discovery(ScriptedPeer):
    """A discovery service with an endpoint list. Requests that arrive while it is `silent` get no answer."""

    def __init__(self, *engines: Engine, silent: bool = False) -> None:
        self.changed = threading.Condition()
        self.silent = silent
        self.version = 1
        self.entries = {engine.name: entry_of(engine) for engine in engines}
        self.version_of = dict.fromkeys(self.entries, 1)  # list version of the last change, by engine
        super().__init__(self._respond)

    def change_health(self, **health: str) -> float:
        """Change the health of engines; return the time of the change, in seconds of the monotonic clock."""
        with self.changed:
            self.version += 1
            for name, value in health.items():
                self.entries[name] = {**self.entries[name], "health": value}
                self.version_of[name] = self.version
            self.changed.notify_all()
        return time.monotonic()

    def stop_responding(self) -> None:
        """Respond neither to open watches nor to requests that arrive from now on."""
        with self.changed:
            self.silent = True
            self.changed.notify_all()

    def resume_responding(self) -> float:
        """Answer new requests again; return the present time, in seconds of the monotonic clock."""
        with self.changed:
            self.silent = False
        return time.monotonic()

    def complete_list(self) -> dict[str, object]:
        """Return the complete endpoint list."""
        return {"seq": self.version, "whole": True, "hosts": list(self.entries.values())}

    def _changes_since(self, version: int) -> dict[str, object]:
        """Return the entries that have changed after this version of the list."""
        changed = [entry for name, entry in self.entries.items() if self.version_of[name] > version]
        return {"seq": self.version, "whole": False, "hosts": changed}

    def _respond(self, connection: PeerConnection, request: ReceivedRequest) -> None:
        query = parse_qs(urlsplit(request.target.decode()).query)
        with self.changed:
            if "since" in query:
                since = int(query["since"][0])
                timeout = int(query["timeout_ms"][0]) / 1e3
                self.changed.wait_for(lambda: self.version > since or self.silent, timeout)
                message = self._changes_since(since)
            else:
                message = self.complete_list()
            if self.silent:
                return
        body = json.dumps(message).encode()
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def entry_of(engine: Engine, health: str = "active") -> dict[str, object]:
    """Return an engine's entry of the endpoint list."""
    return {
        "host": engine.name,
        "dial": engine.address,
        "site": "z",
        "class": engine.name[0],
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def never_respond(connection: PeerConnection, request: ReceivedRequest) -> None:
    """Act as a peer that accepts requests and never responds."""
