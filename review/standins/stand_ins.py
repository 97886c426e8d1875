"""Stand-ins for the cases of the review: engines, discovery agent, clients and the node's host.

They follow the operators' protocol page. Only the standard library is used. All addresses are on loopback.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MAX_REQUEST_BYTES = 1 << 20
READY_TIMEOUT_S = 30.0
RULE_HELD = 0
RULE_BROKEN = 1
COULD_NOT_RUN = 2


def has_trouble() -> bool:
    """Return whether the disruption is to be played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run: lines with the seconds since its start, written to `record.txt` of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")
        self._file.flush()


class Request:
    """A request that a stand-in server has read to its last byte."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        self.body = body
        self.arrived_at = time.monotonic()
        self.id = self.headers.get("x-txn", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a Content-Length or without a body."""
    head = await reader.readuntil(b"\r\n\r\n")
    request = Request(head, b"")
    length = int(request.headers.get("content-length", "0"))
    if length:
        request.body = await reader.readexactly(length)
    request.arrived_at = time.monotonic()
    return request


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server on a free port that answers requests one after another on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=MAX_REQUEST_BYTES)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await self._handler(await read_request(reader), writer)
                await writer.drain()
        writer.close()


def plain_response(status: str, body: bytes = b"", headers: str = "") -> bytes:
    """Return a complete response in one piece."""
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
NOT_TAKEN = plain_response("503 Service Unavailable", headers="X-Turned-Away: 1\r\n")


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def token_event(text: str) -> bytes:
    """Return an event with some tokens."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def end_events(prompt_tokens: int) -> bytes:
    """Return the last events of a stream."""
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": 40,
        "prompt_tokens_details": {"cached_tokens": 0},
    }
    return b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\ndata: [DONE]\n\n"


class Agent:
    """The discovery agent of a node. `delay_s` is the time that discovery takes for each answer."""

    def __init__(self, hosts: list[dict[str, object]], record: Record) -> None:
        self.hosts = hosts
        self.version = 1
        self.delay_s = 0.0
        self._record = record
        self._changed = asyncio.Event()
        self.server = Server(self._handle)

    def change(self, name: str, health: str) -> None:
        """Change the health of one engine, and answer the open watches."""
        for host in self.hosts:
            if host["host"] == name:
                host["health"] = health
        self.version += 1
        self._record(f"discovery: version {self.version}: {name} is {health}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        _, _, query = request.target.partition("?")
        fields = dict(part.split("=") for part in query.split("&") if part)
        since = int(fields["since"]) if "since" in fields else None
        if since is not None and since >= self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), int(fields["timeout_ms"]) / 1e3)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        is_complete = since is None or since < self.version
        body = {"seq": self.version, "whole": is_complete, "hosts": self.hosts if is_complete else []}
        writer.write(plain_response("200 OK", json.dumps(body).encode()))


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class Node:
    """The project's node, started with the `run` line of the deploy file."""

    def __init__(self, discovery: str, settings: dict[str, object], limits: dict[str, object]) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.address = f"{HOST}:{free_port()}"
        self.config = Path(self._folder.name) / "config.json"
        content = {
            "name": "n0",
            "listen": self.address,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "peers": [],
            "settings": settings,
        }
        self.config.write_text(json.dumps(content))
        self.log_path = Path(self._folder.name) / "log"
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start the process, and wait until it answers that it is ready."""
        with (ROOT / "deploy/balancer.toml").open("rb") as deploy_file:
            command = tomllib.load(deploy_file)["run"]
        environment = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": self.address,
            "RELAY_CONFIG": str(self.config),
            "RELAY_LOG": "all",
            "TMPDIR": self._folder.name,
        }
        with self.log_path.open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await connect(self.address)
                writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                status = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if b" 200 " in status:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the node is not ready after 30 s")

    def peak_memory_mb(self) -> float:
        """Return the peak of the resident memory of the process in MB."""
        if self._process is None:
            return 0.0
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0.0

    def anonymous_memory_mb(self) -> float:
        """Return the anonymous memory of the process in MB, without files; 0 if it has ended."""
        if self._process is None or self._process.poll() is not None:
            return 0.0
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("RssAnon"):
                return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        """Kill the process, as the platform does."""
        if self._process is not None:
            self._process.kill()

    def has_exited(self) -> bool:
        """Return whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def log_lines(self) -> list[dict[str, object]]:
        """Return the lines of the node's log."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]

    def end(self) -> None:
        """Kill the process, and remove its files."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self._process.pid, signal.SIGKILL)
            self._process.wait()
        self._folder.cleanup()


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address."""
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), limit=MAX_REQUEST_BYTES)


class Answer:
    """What a client got for one request.

    Attributes:
        status: The status line's code; 0 if the connection ended without one.
        events: The bytes of the stream.
        is_complete: Whether the answer came to its end.
        head_at: When the status came.
        ended_at: When the answer ended, or the connection.
    """

    def __init__(self) -> None:
        self.status = 0
        self.events = b""
        self.is_complete = False
        self.head_at = 0.0
        self.ended_at = 0.0


def chat_request(request_id: str, lane: str, remaining_ms: int, prompt_tokens: int, max_out: int) -> bytes:
    """Return a usual client's request, with a conversation of its own; four characters make a token."""
    text = "a" * (4 * prompt_tokens)
    messages = [{"role": "user", "content": text}]
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": max_out, "messages": messages}).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
        f"X-Txn: {request_id}\r\nX-Lane: {lane}\r\nX-Entity: session-{request_id}\r\n"
        f"X-Remaining-Ms: {remaining_ms}\r\n"
        f"X-Labels: prompt_len={prompt_tokens},prefix_len=0,max_out={max_out}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer to its end, or to the end of the connection."""
    answer = Answer()
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        answer.head_at = time.monotonic()
        answer.status = int(head.split(" ", 2)[1])
        if "transfer-encoding: chunked" in head:
            while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
                answer.events += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            length = [line for line in head.split("\r\n") if line.startswith("content-length:")]
            await reader.readexactly(int(length[0].split(":")[1]) if length else 0)
        answer.is_complete = True
    answer.ended_at = time.monotonic()
    return answer


def run_case(folder: Path, case: Callable[[Record], Awaitable[bool]], limit_s: float) -> None:
    """Play a case, and exit with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(folder)
    code = COULD_NOT_RUN
    try:
        has_held = asyncio.run(asyncio.wait_for(case(record), limit_s))
        code = RULE_HELD if has_held else RULE_BROKEN
    except (RuntimeError, OSError, TimeoutError) as error:
        record(f"the case could not run: {error!r}")
    finally:  # an unexpected error of a stand-in must not look like a broken rule
        if code == COULD_NOT_RUN and (error := sys.exc_info()[1]) is not None:
            record(f"unexpected error: {error!r}")
        record(f"exit {code}")
        print(f"{folder.name}: exit {code}")
        sys.exit(code)
