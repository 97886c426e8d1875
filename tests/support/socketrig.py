"""The relay as a process on the loopback interface, with scripted peers on real sockets.

Tests wait for events, not for time to pass: each wait ends as soon as its condition is true. `TIMEOUT_S` only
limits the waits of tests that fail.
"""

import json
import os
import resource
import selectors
import shlex
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import IO, Any, TypeVar

import pytest
from paths import ROOT
from relaymessages import RELEASE_RESPONSE, SETTINGS
from socketpeers import (
    HOST,
    TIMEOUT_S,
    Discovery,
    Engine,
    PeerConnection,
    ReceivedRequest,
    Script,
    ScriptedPeer,
)

from myrtlehub.log_events import LogEvent

Result = TypeVar("Result")
PAGE_BYTES = 4096  # unit of the sizes in /proc/PID/statm
END_OF_LOG = "end of log"  # event that the rig appends when the process has closed its standard output


class Client:
    """A client's connection. For a slow client, `window` sets the socket's receive buffer in bytes."""

    def __init__(self, address: str, window: int = 0) -> None:
        host, port = address.rsplit(":", 1)
        self.sock = socket.socket()
        if window:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.sock.settimeout(TIMEOUT_S)
        self.sock.connect((host, int(port)))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self.sock.getsockname()[1]
        self.received = b""

    def send(self, data: bytes) -> "Client":
        """Send raw bytes."""
        self.sock.sendall(data)
        return self

    def read_until(self, delimiter: bytes, max_bytes: int = 65536) -> bytes:
        """Wait for `delimiter`, reading at most `max_bytes` at a time; return the bytes up to its end."""
        while delimiter not in self.received:
            data = self.sock.recv(max_bytes)
            if not data:
                raise AssertionError(f"closed before {delimiter!r}: {self.received[-300:]!r}")
            self.received += data
        end = self.received.index(delimiter) + len(delimiter)
        read, self.received = self.received[:end], self.received[end:]
        return read

    def read_status(self) -> int:
        """Wait for the head of the next response, and return its status; the body stays unread."""
        return int(self.read_until(b"\r\n\r\n").split()[1])

    def read_rest(self, keep_open: bool = False) -> bytes:
        """Return all bytes up to the end of the stream, then close unless `keep_open`.

        Raises:
            ConnectionResetError: The node reset the connection.
        """
        while data := self.sock.recv(65536):
            self.received += data
        if not keep_open:
            self.close()
        read, self.received = self.received, b""
        return read

    def socket_error(self) -> int:
        """Return and clear the pending error of the socket: an errno, such as ECONNRESET, or 0."""
        return self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


class SilentClients:
    """`count` clients that send nothing, and reconnect whenever the node closes their connections."""

    def __init__(self, address: str, count: int) -> None:
        self.stopped = False
        self.address = address
        self.selector = selectors.DefaultSelector()
        self.sockets = [self._connect() for _ in range(count)]
        self.thread = threading.Thread(target=self._reconnect, daemon=True)
        self.thread.start()

    def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        host, port = self.address.rsplit(":", 1)
        sock.connect_ex((host, int(port)))
        self.selector.register(sock, selectors.EVENT_READ, data=sock)
        return sock

    def _reconnect(self) -> None:
        while not self.stopped:
            for key, _ in self.selector.select(0.05):
                sock: socket.socket = key.data
                self.selector.unregister(sock)
                sock.close()
                self.sockets.append(self._connect())

    def close(self) -> None:
        """Stop reconnecting, and close all connections."""
        self.stopped = True
        self.thread.join()
        for sock in self.sockets:
            sock.close()


class RelayProcess:
    """A process that runs the relay.

    Args:
        folder: Folder of its settings file and its error output; created if it is missing.
        discovery: HOST:PORT of the discovery service.
        descriptors: Its limit of open file descriptors, set in its settings and by `setrlimit`.
        argv: Command that starts it; None for `python -m myrtlehub.relay`.
        fallback_list: Endpoint list to use if discovery does not answer at the start, or None.
        listen: HOST:PORT at which it listens; empty for a port that is free.
        stdout: Its standard output, as for `Popen`; the log is read only if this is `PIPE`.
        limits: The limits in its settings; None for that of descriptors alone.
        settings: Platform settings that replace those of `SETTINGS`.

    Attributes:
        logged: The log lines read so far.
    """

    def __init__(
        self,
        folder: Path,
        discovery: str,
        descriptors: int = 256,
        argv: list[str] | None = None,
        fallback_list: dict[str, object] | None = None,
        listen: str = "",
        stdout: int = subprocess.PIPE,
        limits: dict[str, object] | None = None,
        **settings: object,
    ) -> None:
        folder.mkdir(exist_ok=True)
        self.path = folder / "config.json"
        self.address = listen or free_address()
        self.config: dict[str, object] = {
            "name": "n0",
            "listen": self.address,
            "discovery": discovery,
            "seed": "7",
            "limits": limits or {"sockets": descriptors},
            "settings": {**SETTINGS, **settings},
        }
        if fallback_list is not None:
            self.config["known"] = fallback_list
        self.write_config()
        self.logged: list[dict[str, object]] = []
        self.log_changed = threading.Condition()
        self.error_file = (folder / "errors").open("w+b")
        env = {**os.environ, "RELAY_CONFIG": str(self.path), "RELAY_LOG": "all", "PYTHONPATH": str(ROOT)}
        self.process = subprocess.Popen(
            argv or [sys.executable, "-m", "myrtlehub.relay"],
            env=env,
            cwd=ROOT,
            stdout=stdout,
            stderr=self.error_file,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
        )
        if self.process.stdout is not None:
            threading.Thread(target=self._read_log, args=(self.process.stdout,), daemon=True).start()

    def write_config(self, **fields: object) -> None:
        """Replace these fields of the settings, and write the settings file."""
        self.config.update(fields)
        self.path.write_text(json.dumps(self.config))

    def _read_log(self, stdout: IO[bytes]) -> None:
        for line in stdout:
            with self.log_changed:
                self.logged.append(json.loads(line))
                self.log_changed.notify_all()
        with self.log_changed:
            self.logged.append({"event": END_OF_LOG})
            self.log_changed.notify_all()

    def find_logged(self, event: str, **fields: object) -> list[dict[str, object]]:
        """Return the log lines read so far that have this event and these fields."""
        return [
            line
            for line in list(self.logged)
            if line["event"] == event and all(line.get(name) == value for name, value in fields.items())
        ]

    def wait_for_log(self, event: str, **fields: object) -> dict[str, object]:
        """Wait for a log line with this event and these fields, and return the first one."""
        with self.log_changed:
            in_time = self.log_changed.wait_for(
                lambda: self.find_logged(event, **fields) or self.find_logged(END_OF_LOG), TIMEOUT_S
            )
        found = self.find_logged(event, **fields)
        assert in_time and found, f"never logged: {event} {fields}: {self.logged[-5:]} {self.error_output()}"
        return found[0]

    def error_output(self) -> str:
        """Return the standard error output of the process, such as tracebacks of uncaught exceptions."""
        self.error_file.seek(0)
        return self.error_file.read().decode()

    def signal(self, *names: str) -> None:
        """Send signals in order, given by their names without SIG."""
        for name in names:
            self.process.send_signal(signal.Signals[f"SIG{name}"])

    def suspend(self) -> None:
        """Suspend the process by SIGSTOP; data that arrives stays in the kernel's buffers."""
        self.signal("STOP")
        wait_for_file(
            lambda: f"/proc/{self.process.pid}/stat", lambda text: text.rpartition(")")[2].split()[0] == "T"
        )

    def resume(self) -> None:
        """Resume a suspended process."""
        self.signal("CONT")

    def exit_code(self, timeout: float = TIMEOUT_S) -> int | None:
        """Wait for the exit code; return None if the process is still running after `timeout` seconds."""
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def assert_clean_exit(self) -> None:
        """Check that the process, which got SIGTERM, exits with 0 and without error output."""
        assert self.exit_code() == 0
        assert self.error_output() == ""

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors of the process."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def wait_for_unread(self, client: Client, count: int) -> None:
        """Wait until exactly `count` bytes from a client are unread in the node's receive buffer."""
        node_port = f":{int(self.address.rpartition(':')[2]):04X}"
        client_port = f":{client.port:04X}"

        def is_unread(text: str) -> bool:
            rows = [line.split() for line in text.splitlines()[1:]]
            return any(
                row[1].endswith(node_port)
                and row[2].endswith(client_port)
                and int(row[4].partition(":")[2], 16) == count
                for row in rows
            )

        wait_for_file(lambda: "/proc/net/tcp", is_unread)

    def wait_for_closed_port(self) -> None:
        """Wait until the address refuses connections."""
        self._wait_for_port(is_open=False)

    def wait_for_open_port(self) -> None:
        """Wait until the address accepts connections."""
        self._wait_for_port(is_open=True)

    def _wait_for_port(self, is_open: bool) -> None:
        host, port = self.address.rsplit(":", 1)
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            with socket.socket() as sock:
                if (sock.connect_ex((host, int(port))) == 0) == is_open:
                    return
        raise AssertionError(f"{self.address} never accepts" if is_open else f"{self.address} still accepts")

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * PAGE_BYTES / 1e6

    def kill(self) -> None:
        """Kill the process, and wait for its exit."""
        self.process.kill()
        self.process.wait()


def let_time_pass(seconds: float) -> None:
    """Sleep. Only for a duration that is an input of the test, such as how long a process is suspended."""
    time.sleep(seconds)


def wait_for_file(path: Callable[[], str], condition: Callable[[str], bool]) -> None:
    """Read a file, such as one of /proc, repeatedly until `condition` is true for its text."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        if condition(Path(path()).read_text()):
            return
        time.sleep(0.001)
    raise AssertionError(f"the condition never became true for the text of {path()}")


def in_parallel(call: Callable[[str], Result], names: list[str], at_most: int = 60) -> dict[str, Result]:
    """Call a function with each name, `at_most` at a time; return the results by name."""
    with ThreadPoolExecutor(at_most) as pool:
        return dict(zip(names, pool.map(call, names), strict=True))


def free_address() -> str:
    """Return HOST:PORT of the loopback interface, with a port that is free at present."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


def deployed_argv() -> list[str]:
    """Return the command by which the platform starts the relay: `run` of the deploy file, by a shell."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return ["/bin/sh", "-c", run.replace(".venv/bin/python", shlex.quote(sys.executable))]


class SocketRig:
    """Engines, discovery and nodes of one test; `close` stops all of them."""

    discovery: Discovery  # assigned by `start`

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.relays: list[RelayProcess] = []
        self.peers: list[ScriptedPeer] = []
        self.engines: dict[str, Engine] = {}

    def start(
        self,
        engines: str = "w1",
        silent: bool = False,
        **relay: Any,  # noqa: ANN401 (arguments of RelayProcess)
    ) -> RelayProcess:
        """Start engines by name, discovery and a node; wait until it is ready, unless discovery is silent."""
        self.engines = {name: Engine(name) for name in engines.split()}
        self.discovery = Discovery(*self.engines.values(), silent=silent)
        self.peers += [*self.engines.values(), self.discovery]
        node = self.start_relay(**relay)
        if "stdout" in relay:
            node.wait_for_open_port()
        elif not silent:
            node.wait_for_log(LogEvent.READY)
        return node

    def start_writers(self, count: int, script: Script) -> RelayProcess:
        """Start writers that answer attempts by the same script, discovery and a node; wait until ready."""
        node = self.start(" ".join(f"w{number}" for number in range(count)))

        def respond(connection: PeerConnection, request: ReceivedRequest) -> None:
            if request.method == b"DELETE":
                connection.send(RELEASE_RESPONSE)
            else:
                script(connection, request)

        for engine in self.engines.values():
            engine.script = respond
        return node

    def start_relay(self, **relay: Any) -> RelayProcess:  # noqa: ANN401 (arguments of RelayProcess)
        """Start another node, with the same discovery."""
        node = RelayProcess(self.folder / f"n{len(self.relays)}", self.discovery.address, **relay)
        self.relays.append(node)
        return node

    def close(self) -> None:
        """Stop all nodes, engines and discovery."""
        for relay in self.relays:
            if relay.process.poll() is None:
                relay.kill()
            relay.error_file.close()
        for peer in self.peers:
            peer.close()


@pytest.fixture(name="rig")
def socket_rig(tmp_path: Path) -> Iterator[SocketRig]:
    """Yield a new rig for each test, and close it after the test."""
    rig = SocketRig(tmp_path)
    yield rig
    rig.close()
