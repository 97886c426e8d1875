"""The relay as a process on loopback, between scripted peers on real sockets.

Tests synchronize on events, never on elapsed time: each wait ends when its condition holds, and `TIMEOUT_S`
only limits a wait that would fail.
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
from pathlib import Path
from typing import Any

import pytest
from paths import ROOT
from relaymessages import SETTINGS
from socketpeers import HOST, TIMEOUT_S, Discovery, Engine, ScriptedPeer

from myrtlehub.log_events import LogEvent

PAGE_BYTES = 4096


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

    def read_until(self, mark: bytes, max_bytes: int = 65536) -> bytes:
        """Wait for `mark`; return the bytes received up to its end."""
        while mark not in self.received:
            data = self.sock.recv(max_bytes)
            if not data:
                raise AssertionError(f"closed before {mark!r}: {self.received[-300:]!r}")
            self.received += data
        end = self.received.index(mark) + len(mark)
        read, self.received = self.received[:end], self.received[end:]
        return read

    def read_status(self) -> int:
        """Return the status of the next response; its body stays unread."""
        return int(self.read_until(b"\r\n\r\n").split()[1])

    def read_rest(self, keep_open: bool = False) -> bytes:
        """Return all bytes up to the end of the stream, and close; a reset raises ConnectionResetError."""
        while data := self.sock.recv(65536):
            self.received += data
        if not keep_open:
            self.close()
        read, self.received = self.received, b""
        return read

    def socket_error(self) -> int:
        """Return the pending errno of the socket, such as a reset after the end of data; 0 for none."""
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
        self.selector.register(sock, selectors.EVENT_READ)
        return sock

    def _reconnect(self) -> None:
        while not self.stopped:
            for key, _ in self.selector.select(0.05):
                self.selector.unregister(key.fileobj)
                key.fileobj.close()
                self.sockets.append(self._connect())

    def close(self) -> None:
        """Close all connections, and reconnect no more."""
        self.stopped = True
        self.thread.join()
        for sock in self.sockets:
            sock.close()


class RelayProcess:
    """The relay's process. `descriptors` is its limit of open files, set by rlimit and in its settings."""

    def __init__(
        self,
        folder: Path,
        discovery: str,
        descriptors: int = 256,
        argv: list[str] | None = None,
        fallback_list: dict[str, Any] | None = None,
        listen: str = "",
        stdout: int = subprocess.PIPE,
        **settings: Any,  # noqa: ANN401
    ) -> None:
        folder.mkdir(exist_ok=True)
        self.path = folder / "config.json"
        self.address = listen or free_address()
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": self.address,
            "discovery": discovery,
            "seed": "7",
            "limits": {"sockets": descriptors},
            "settings": {**SETTINGS, **settings},
        }
        if fallback_list is not None:
            self.config["known"] = fallback_list
        self.write_config()
        self.logged: list[dict[str, Any]] = []
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
        if stdout == subprocess.PIPE:
            threading.Thread(target=self._read_log, daemon=True).start()

    def write_config(self, **fields: Any) -> None:  # noqa: ANN401
        """Write the settings file, with these fields replaced."""
        self.config.update(fields)
        self.path.write_text(json.dumps(self.config))

    def _read_log(self) -> None:
        for line in self.process.stdout:
            with self.log_changed:
                self.logged.append(json.loads(line))
                self.log_changed.notify_all()
        with self.log_changed:
            self.logged.append({"event": "no more"})
            self.log_changed.notify_all()

    def find_logged(self, event: str, **fields: Any) -> list[dict[str, Any]]:  # noqa: ANN401
        """Return the entries of the log with this event and these fields."""
        return [
            line
            for line in list(self.logged)
            if line["event"] == event and all(line.get(name) == value for name, value in fields.items())
        ]

    def wait_for_log(self, event: str, **fields: Any) -> dict[str, Any]:  # noqa: ANN401
        """Wait for an entry of the log with this event and these fields, and return it."""
        with self.log_changed:
            is_there = self.log_changed.wait_for(
                lambda: self.find_logged(event, **fields) or self.find_logged("no more"), TIMEOUT_S
            )
        found = self.find_logged(event, **fields)
        assert is_there and found, f"never logged: {event} {fields}: {self.logged[-5:]} {self.error_output()}"
        return found[0]

    def error_output(self) -> str:
        """Return its standard error output, which has the tracebacks of uncaught exceptions."""
        self.error_file.seek(0)
        return self.error_file.read().decode()

    def signal(self, *names: str) -> None:
        """Send signals in order, given by their names without SIG."""
        for name in names:
            self.process.send_signal(signal.Signals[f"SIG{name}"])

    def stop(self) -> None:
        """Suspend the process by SIGSTOP; data that arrives stays in the kernel's buffers."""
        self.signal("STOP")
        wait_for_file(
            lambda: f"/proc/{self.process.pid}/stat", lambda text: text.rpartition(")")[2].split()[0] == "T"
        )

    def go_on(self) -> None:
        """Resume a suspended process."""
        self.signal("CONT")

    def exit_code(self, timeout: float = TIMEOUT_S) -> int | None:
        """Wait for the exit code; return None if the process is still running after `timeout` seconds."""
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def assert_clean_exit(self) -> None:
        """Check that the process, after SIGTERM, exits with 0 and without uncaught exceptions."""
        assert self.exit_code() == 0
        assert self.error_output() == ""

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors of the process."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def wait_for_unread(self, client: Client, count: int) -> None:
        """Wait until exactly `count` bytes of a client are unread in the node's receive buffer."""
        here = f":{int(self.address.rpartition(':')[2]):04X}"
        there = f":{client.port:04X}"

        def is_unread(text: str) -> bool:
            rows = [line.split() for line in text.splitlines()[1:]]
            return any(
                row[1].endswith(here)
                and row[2].endswith(there)
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
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            with socket.socket() as sock:
                if (sock.connect_ex((host, int(port))) == 0) == is_open:
                    return
        raise AssertionError("it still listens" if not is_open else "it never listens")

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * PAGE_BYTES / 1e6

    def kill(self) -> None:
        """Kill the process, and wait for its exit."""
        self.process.kill()
        self.process.wait()


def stay_stopped(seconds: float) -> None:
    """Sleep while a process is suspended: the duration is the test's input, not a wait for an event."""
    time.sleep(seconds)


def wait_for_file(path: Callable[[], str], holds: Callable[[str], bool]) -> None:
    """Read a file of /proc repeatedly until `holds` returns true for its text."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if holds(Path(path()).read_text()):
            return
        time.sleep(0.001)
    raise AssertionError(f"the text of {path()} never held")


def free_address() -> str:
    """Return a loopback address whose port is free at present."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


def deployed_argv() -> list[str]:
    """Return the start command (`run` in the deploy file) in the form that the platform executes."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return ["/bin/sh", "-c", run.replace(".venv/bin/python", shlex.quote(sys.executable))]


class SocketRig:
    """Engines, discovery and nodes of one test; `close` stops all of them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.relays: list[RelayProcess] = []
        self.peers: list[ScriptedPeer] = []
        self.engines: dict[str, Engine] = {}
        self.discovery: Discovery | None = None

    def start(
        self,
        engines: str = "w1",
        silent: bool = False,
        **relay: Any,  # noqa: ANN401
    ) -> RelayProcess:
        """Start engines by name, discovery, and a node that is ready unless discovery is silent."""
        self.engines = {name: Engine(name) for name in engines.split()}
        self.discovery = Discovery(*self.engines.values(), silent=silent)
        self.peers += [*self.engines.values(), self.discovery]
        node = self.start_relay(**relay)
        if "stdout" in relay:
            node.wait_for_open_port()
        elif not silent:
            node.wait_for_log(LogEvent.READY)
        return node

    def start_relay(self, **relay: Any) -> RelayProcess:  # noqa: ANN401
        """Start one more node."""
        made = RelayProcess(self.folder / f"n{len(self.relays)}", self.discovery.address, **relay)
        self.relays.append(made)
        return made

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
    """A new rig for each test."""
    made = SocketRig(tmp_path)
    yield made
    made.close()
