"""The relay as a process on loopback, between scripted peers on real sockets. Gates are events, never times:
whatever a test waits for is waited for until it is there, and `WITHIN` only bounds a wait in vain.
"""

import json
import os
import queue
import resource
import selectors
import shlex
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11
from relayrig import READ_DONE, RELEASED, SETTINGS, WHOLE

HOST = "127.0.0.1"
WITHIN = 15.0  # seconds for what has to come
ROOT = Path(__file__).parent.parent


class Incoming(NamedTuple):
    """A whole request, as a peer read it."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    wire: "Wire"
    at: float

    @property
    def label(self) -> str:
        return self.headers.get(b"x-txn", b"").decode()


class Wire:
    """One connection to a peer."""

    def __init__(self, peer: "Peer", sock: socket.socket) -> None:
        self.peer, self.sock = peer, sock
        self.over = threading.Event()  # its other end closed or reset it

    def say(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:
            self.over.set()

    def reset(self) -> None:
        """Break it: the other end sees a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()

    def serve(self) -> None:
        """Read requests one after another, until the other end closes."""
        try:
            while (request := self._read()) is not None:
                self.peer.all.append(request)
                self.peer.asked.put(request)
                self.peer.script(self, request)
        except OSError:
            pass
        self.over.set()

    def _read(self) -> Incoming | None:
        http, head, body = h11.Connection(h11.SERVER), None, b""
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
                return Incoming(
                    bytes(head.method), bytes(head.target), dict(head.headers), body, self, time.monotonic()
                )


class Peer:
    """Listens, a thread a connection; `script(wire, request)` is called with each whole request."""

    def __init__(self, script: Callable[[Wire, Incoming], None]) -> None:
        self.script = script
        self.all: list[Incoming] = []
        self.asked: queue.Queue[Incoming] = queue.Queue()
        self.wires: list[Wire] = []
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
            self.wires.append(Wire(self, sock))
            threading.Thread(target=self.wires[-1].serve, daemon=True).start()

    def next(self, method: bytes = b"") -> Incoming:
        """The next request (of that method): waited for."""
        while True:
            try:
                request = self.asked.get(timeout=WITHIN)
            except queue.Empty:
                raise AssertionError("no request came") from None
            if request.method == method or not method:
                return request

    def labels(self, method: bytes = b"POST") -> list[str]:
        return [r.label or r.target.decode().rpartition("/")[2] for r in list(self.all) if r.method == method]

    def close(self) -> None:
        """Refuse connections from now on, and break those that are there."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for wire in self.wires:
            wire.close()


class Engine(Peer):
    """Writes whole streams, or reads where its name begins with r; lets go when told."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(self.by_default)

    def by_default(self, wire: Wire, request: Incoming) -> None:
        if request.method == b"DELETE":
            wire.say(RELEASED)
        else:
            wire.say(READ_DONE if self.name[0] == "r" else WHOLE)


class Discovery(Peer):
    """The list of engines. `silent`: what it is asked meanwhile is never answered."""

    def __init__(self, *engines: Engine, silent: bool = False) -> None:
        self.turn = threading.Condition()
        self.silent, self.version = silent, 1
        self.lines = {e.name: line_of(e) for e in engines}
        self.changed = dict.fromkeys(self.lines, 1)
        super().__init__(self._answer)

    def change(self, **health: str) -> float:
        """Engines change their standing; when it was told."""
        with self.turn:
            self.version += 1
            for name, word in health.items():
                self.lines[name] = {**self.lines[name], "health": word}
                self.changed[name] = self.version
            self.turn.notify_all()
        return time.monotonic()

    def fall_silent(self) -> None:
        with self.turn:
            self.silent = True
            self.turn.notify_all()

    def come_back(self) -> float:
        with self.turn:
            self.silent = False
        return time.monotonic()

    def whole(self) -> dict:
        return {"seq": self.version, "whole": True, "hosts": list(self.lines.values())}

    def _answer(self, wire: Wire, request: Incoming) -> None:
        query = parse_qs(urlsplit(request.target.decode()).query)
        with self.turn:
            if self.silent:
                return
            said = self.whole()
            if "since" in query:
                since, wait = int(query["since"][0]), int(query["timeout_ms"][0]) / 1e3
                self.turn.wait_for(lambda: self.version > since or self.silent, wait)
                if self.silent:
                    return
                said = {
                    "seq": self.version,
                    "whole": False,
                    "hosts": [line for name, line in self.lines.items() if self.changed[name] > since],
                }
        body = json.dumps(said).encode()
        wire.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def line_of(engine: Engine, health: str = "active") -> dict:
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


class Client:
    """A client's connection. `window`: bytes that its system takes unread, where it is to be a slow one."""

    def __init__(self, address: str, window: int = 0) -> None:
        host, port = address.rsplit(":", 1)
        self.sock = socket.socket()
        if window:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.sock.settimeout(WITHIN)
        self.sock.connect((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self.sock.getsockname()[1]
        self.got = b""

    def say(self, data: bytes) -> "Client":
        self.sock.sendall(data)
        return self

    def until(self, mark: bytes, most: int = 65536) -> bytes:
        """What came up to and with `mark`, which is waited for."""
        while mark not in self.got:
            data = self.sock.recv(most)
            if not data:
                raise AssertionError(f"closed before {mark!r}: {self.got[-300:]!r}")
            self.got += data
        at = self.got.index(mark) + len(mark)
        said, self.got = self.got[:at], self.got[at:]
        return said

    def status(self) -> int:
        """Of the next answer, whose body is left."""
        return int(self.until(b"\r\n\r\n").split()[1])

    def rest(self, stays: bool = False) -> bytes:
        """All up to the end, on which it closes too; ConnectionResetError where it is no clean one."""
        while data := self.sock.recv(65536):
            self.got += data
        if not stays:
            self.close()
        said, self.got = self.got, b""
        return said

    def close(self) -> None:
        self.sock.close()


class Crowd:
    """So many clients that say nothing, and come again whenever they are closed."""

    def __init__(self, address: str, count: int) -> None:
        self.over, self.address = False, address
        self.waiting = selectors.DefaultSelector()
        self.all = [self._come() for _ in range(count)]
        self.thread = threading.Thread(target=self._stay, daemon=True)
        self.thread.start()

    def _come(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        host, port = self.address.rsplit(":", 1)
        sock.connect_ex((host, int(port)))
        self.waiting.register(sock, selectors.EVENT_READ)
        return sock

    def _stay(self) -> None:
        while not self.over:
            for key, _ in self.waiting.select(0.05):
                self.waiting.unregister(key.fileobj)
                key.fileobj.close()
                self.all.append(self._come())

    def close(self) -> None:
        self.over = True
        self.thread.join()
        for sock in self.all:
            sock.close()


class Relay:
    """The program. `descriptors` is its limit, set for the child alone and told in its configuration."""

    def __init__(
        self,
        folder: Path,
        discovery: str,
        descriptors: int = 256,
        argv: list[str] | None = None,
        known: dict | None = None,
        listen: str = "",
        **settings: object,
    ) -> None:
        folder.mkdir(exist_ok=True)
        self.path, self.address = folder / "config.json", listen or free_address()
        self.told = {
            "name": "n0",
            "listen": self.address,
            "discovery": discovery,
            "seed": "7",
            "limits": {"sockets": descriptors},
            "settings": {**SETTINGS, **settings},
        }
        if known is not None:
            self.told["known"] = known
        self.tell()
        self.lines: list[dict] = []
        self.turn = threading.Condition()
        self.errors = (folder / "errors").open("w+b")
        env = {**os.environ, "RELAY_CONFIG": str(self.path), "RELAY_LOG": "all", "PYTHONPATH": str(ROOT)}
        self.process = subprocess.Popen(
            argv or [sys.executable, "-m", "myrtlehub.relay"],
            env=env,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=self.errors,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
        )
        threading.Thread(target=self._read, daemon=True).start()

    def tell(self, **told: object) -> None:
        """Write its configuration, with some of it changed."""
        self.told.update(told)
        self.path.write_text(json.dumps(self.told))

    def _read(self) -> None:
        for line in self.process.stdout:
            with self.turn:
                self.lines.append(json.loads(line))
                self.turn.notify_all()
        with self.turn:
            self.lines.append({"event": "no more"})
            self.turn.notify_all()

    def has_said(self, event: str, **fields: object) -> list[dict]:
        return [
            x
            for x in list(self.lines)
            if x["event"] == event and all(x.get(k) == v for k, v in fields.items())
        ]

    def said(self, event: str, **fields: object) -> dict:
        """A line of its log: waited for."""
        with self.turn:
            there = self.turn.wait_for(
                lambda: self.has_said(event, **fields) or self.has_said("no more"), WITHIN
            )
        found = self.has_said(event, **fields)
        assert there and found, f"it never said {event} {fields}: {self.lines[-5:]} {self.wrong()}"
        return found[0]

    def wrong(self) -> str:
        """What it wrote to standard error: tracebacks of whatever was not caught."""
        self.errors.seek(0)
        return self.errors.read().decode()

    def signal(self, *names: str) -> None:
        for name in names:
            self.process.send_signal(signal.Signals[f"SIG{name}"])

    def stop(self) -> None:
        """HeldState it: what comes meanwhile lies in the kernel."""
        self.signal("STOP")
        until(
            lambda: f"/proc/{self.process.pid}/stat", lambda text: text.rpartition(")")[2].split()[0] == "T"
        )

    def go_on(self) -> None:
        self.signal("CONT")

    def ended(self, within: float = WITHIN) -> int | None:
        """Its exit code; None where it has not ended within that time."""
        try:
            return self.process.wait(within)
        except subprocess.TimeoutExpired:
            return None

    def ends_well(self) -> None:
        """After SIGTERM: with 0, and nothing was left uncaught."""
        assert self.ended() == 0
        assert self.wrong() == ""

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def unread(self, client: Client, count: int) -> None:
        """Wait until so many bytes of a client lie unread at the node's machine."""
        here = f":{int(self.address.rpartition(':')[2]):04X}"
        there = f":{client.port:04X}"

        def lie(text: str) -> bool:
            rows = [line.split() for line in text.splitlines()[1:]]
            return any(
                r[1].endswith(here) and r[2].endswith(there) and int(r[4].partition(":")[2], 16) == count
                for r in rows
            )

        until(lambda: "/proc/net/tcp", lie)

    def refuses(self) -> None:
        """Wait until nobody listens at its address any more."""
        host, port = self.address.rsplit(":", 1)
        end = time.monotonic() + WITHIN
        while time.monotonic() < end:
            with socket.socket() as s:
                if s.connect_ex((host, int(port))):
                    return
        raise AssertionError("it still listens")

    def memory(self) -> float:
        """MB that it has in use."""
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * 4096 / 1e6

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


def until(path: Callable[[], str], holds: Callable[[str], bool]) -> None:
    """Look into a file of the system's until it says so."""
    end = time.monotonic() + WITHIN
    while time.monotonic() < end:
        if holds(Path(path()).read_text()):
            return
        time.sleep(0.001)
    raise AssertionError(f"{path()} never said so")


def free_address() -> str:
    with socket.socket() as s:
        s.bind((HOST, 0))
        return f"{HOST}:{s.getsockname()[1]}"


def run_line() -> list[str]:
    """`run` of the deploy file, as the platform starts it."""
    import tomllib

    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return ["/bin/sh", "-c", run.replace(".venv/bin/python", shlex.quote(sys.executable))]


class Rig:
    """Engines, discovery and nodes of one test; all ended with it."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.relays, self.peers = folder, [], []
        self.engines: dict[str, Engine] = {}
        self.discovery: Discovery | None = None

    def peopled(self, engines: str = "w1", silent: bool = False, **relay: object) -> Relay:
        """Engines by name, discovery, and a node that is ready unless discovery is silent."""
        self.engines = {name: Engine(name) for name in engines.split()}
        self.discovery = Discovery(*self.engines.values(), silent=silent)
        self.peers += [*self.engines.values(), self.discovery]
        node = self.relay(**relay)
        if not silent:
            node.said("ready")
        return node

    def relay(self, **relay: object) -> Relay:
        made = Relay(self.folder / f"n{len(self.relays)}", self.discovery.address, **relay)
        self.relays.append(made)
        return made

    def close(self) -> None:
        for relay in self.relays:
            if relay.process.poll() is None:
                relay.kill()
            relay.errors.close()
        for peer in self.peers:
            peer.close()
