"""Stand-ins of the platform for the cases of the second review: engines, discovery, clients and a node.

They use the standard library alone and run on one asyncio event loop. Every address is 127.0.0.1 with a
free port.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
CASE_LIMIT_S = 112.0  # after which a case has not run
SLACK_S = 0.05  # by which each time limit grows on sockets


class CaseNotRunError(Exception):
    """The case could not run, so that it shows nothing."""


def trouble_is_on() -> bool:
    """Return whether the case plays its disruption; TROUBLE=0 turns it off."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of `record.txt`, each with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a TCP port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class HttpMessage:
    """A complete HTTP/1.1 request as a stand-in has read it."""

    def __init__(self, start_line: str, headers: dict[str, str], body: bytes, first_byte_at: float) -> None:
        self.method, self.target = (*start_line.split(" "), "", "")[:2]
        self.headers = headers
        self.body = body
        self.first_byte_at = first_byte_at


async def read_request(reader: asyncio.StreamReader, now: Callable[[], float]) -> HttpMessage | None:
    """Read one request with a Content-Length or no body; return None at the end of the connection."""
    try:
        first = await reader.readexactly(1)
        first_byte_at = now()
        head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start_line, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return HttpMessage(start_line, headers, body, first_byte_at)


def response(status: str, body: bytes = b"", *headers: str) -> bytes:
    """Return a complete response with a Content-Length."""
    lines = [f"HTTP/1.1 {status}", *headers]
    if not status.startswith("204"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# Of an answer whose body ends with the connection (RFC 9112, section 6.3).
CLOSING_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Attempt:
    """One request that an engine has read: when it came, how it ended, and when."""

    def __init__(self, request_id: str, engine: str, first_byte_at: float, arrived_at: float) -> None:
        self.request_id = request_id
        self.engine = engine
        self.first_byte_at = first_byte_at
        self.arrived_at = arrived_at
        self.began = False  # whether its first event was written
        self.ended_at: float | None = None
        self.end = "out"


class Hold(NamedTuple):
    """The time in which a reader held a read state."""

    request_id: str
    held_at: float
    freed_at: float


class World:
    """What all stand-ins of one case share: the attempts, and the read states that readers hold."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.attempts: list[Attempt] = []
        self.states: dict[str, float] = {}  # since when, by request id
        self.holds: list[Hold] = []  # those that were freed
        self.was_read: set[str] = set()

    def hold(self, request_id: str, engine: str) -> None:
        """Hold the read state of a request."""
        self.states[request_id] = self.record.now()
        self.was_read.add(request_id)
        self.record.write(f"held      {request_id} at {engine}")

    def free(self, request_id: str, reason: str) -> None:
        """Free all that is held for a request."""
        held_at = self.states.pop(request_id, None)
        if held_at is not None:
            self.holds.append(Hold(request_id, held_at, self.record.now()))
            self.record.write(f"freed     {request_id} {reason}")


class Engine:
    """An engine: a reader (`is_reader`) or a writer.

    Attributes:
        read_s: Seconds that a read takes.
        first_event_s: Seconds to the first event of a stream.
        events: Number of events of a stream.
        event_s: Seconds between two events.
        slots: Streams that run at once; a writer turns away more.
        hang: While it is set, the engine accepts connections and reads nothing from them.
    """

    def __init__(self, world: World, name: str, is_reader: bool, block: int = 0) -> None:
        self.world = world
        self.record = world.record
        self.name = name
        self.is_reader = is_reader
        self.block = block
        self.port = 0
        self.read_s = 0.1
        self.first_event_s = 0.05
        self.events = 4
        self.event_s = 0.1
        self.slots = 1000
        self.running = 0
        self.health = "active"
        self.born_ms = 0
        self._go_on = asyncio.Event()
        self._go_on.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port, or again at the former one."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End like a killed process: connections reset, and new ones are refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def set_hang(self, hangs: bool) -> None:
        """Let the engine hang, or go on."""
        self.record.write(f"{'hangs' if hangs else 'goes on':9} {self.name}")
        if hangs:
            self._go_on.clear()
        else:
            self._go_on.set()

    @property
    def hangs(self) -> bool:
        """Whether the engine hangs."""
        return not self._go_on.is_set()

    def entry(self) -> dict[str, object]:
        """Return the engine's entry of the list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": "a",
            "class": "prefill" if self.is_reader else "decode",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                await self._go_on.wait()
                message = await read_request(reader, self.record.now)
                if message is None:
                    return
                await self._go_on.wait()  # what comes while the engine hangs is not read by a running engine
                await self._answer(message, reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, message: HttpMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if message.method == "DELETE":
            request_id = message.target.rpartition("/")[2]
            self.record.write(f"release   {request_id} at {self.name}")
            self.world.free(request_id, "by a release")
            writer.write(response("204 No Content"))
        elif message.method == "GET" or message.target.startswith("/state/"):
            writer.write(response("404 Not Found"))
        else:
            await self._attempt(message, reader, writer)
        await writer.drain()

    async def _attempt(
        self, message: HttpMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_id = message.headers.get("x-txn", "")
        attempt = Attempt(request_id, self.name, message.first_byte_at, self.record.now())
        self.world.attempts.append(attempt)
        self.record.write(f"attempt   {request_id} at {self.name}")
        work = asyncio.ensure_future(self.work(attempt, writer))
        gone = asyncio.ensure_future(_until_closed(reader))
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            attempt.end = "given up"
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await gone
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await work
        attempt.ended_at = self.record.now()
        self.record.write(f"ended     {request_id} at {self.name}: {attempt.end}")
        if attempt.end == "given up":
            raise ConnectionResetError

    async def work(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        """Do the work of one attempt, and answer it."""
        if self.is_reader:
            await self._pause(self.read_s)
            self.world.hold(attempt.request_id, self.name)
            attempt.end = "read"
            writer.write(response("202 Accepted", b'{"cached_tokens":0}'))
            return
        if self.running >= self.slots:
            attempt.end = "turned away"
            writer.write(response("503 Service Unavailable", b"", "X-Turned-Away: 1"))
            return
        if attempt.request_id in self.world.was_read and attempt.request_id not in self.world.states:
            attempt.end = "state is gone"
            writer.write(response("410 Gone", b"", "X-Turned-Away: 1"))
            return
        self.running += 1
        try:
            await self._stream(attempt, writer)
        finally:
            self.running -= 1

    async def _stream(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        await self._pause(self.first_event_s)
        self.world.free(attempt.request_id, "by its first token")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        attempt.began = True
        for number in range(self.events):
            text = f"{attempt.request_id}.{number}"
            event = {"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": None}]}
            writer.write(chunk(b"data: " + json.dumps(event).encode() + b"\n\n"))
            await self._pause(self.event_s)
        usage = b'data: {"choices":[],"usage":{"prompt_tokens":2000,"completion_tokens":8}}\n\n'
        attempt.end = "served"
        writer.write(chunk(usage) + chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._go_on.wait()


async def _until_closed(reader: asyncio.StreamReader) -> None:
    """Return when the peer has closed; a sound peer sends nothing while its request is open."""
    while not reader.at_eof():
        if not await reader.read(1):
            return


class Discovery:
    """The agent of discovery: the whole list, and watches.

    Attributes:
        delay_s: Seconds by which each answer is late.
        closes: Whether each answer says `Connection: close` and ends with its connection, without a length.
    """

    def __init__(self, record: Record, engines: list[Engine]) -> None:
        self.record = record
        self.engines = engines
        self.port = 0
        self.seq = 41
        self.delay_s = 0.0
        self.closes = False
        self._changed_at: dict[str, int] = {}
        self._change = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=128)
        self.port = self._server.sockets[0].getsockname()[1]

    def tell(self, engine: Engine, health: str) -> None:
        """Change the health of an engine; from now on discovery has it."""
        engine.health = health
        self.seq += 1
        self._changed_at[engine.name] = self.seq
        self.record.write(f"list      {engine.name} is {health}, version {self.seq}")
        self._change.set()
        self._change = asyncio.Event()

    def whole(self) -> dict[str, object]:
        """Return the whole list."""
        hosts = [engine.entry() for engine in self.engines if engine.health != "left"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_request(reader, self.record.now)) is not None:
                body = json.dumps(await self._list(message.target)).encode()
                await asyncio.sleep(self.delay_s)
                if self.closes:
                    writer.write(CLOSING_HEAD + body)
                    await writer.drain()
                    writer.close()
                    await writer.wait_closed()
                    return
                writer.write(response("200 OK", body, "Content-Type: application/json"))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _list(self, target: str) -> dict[str, object]:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "since" not in query:
            return self.whole()
        since = int(query["since"])
        if since >= self.seq:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._change.wait(), int(query["timeout_ms"]) / 1000)
        changed = [engine.entry() for engine in self.engines if self._changed_at.get(engine.name, 0) > since]
        return {"seq": self.seq, "whole": False, "hosts": changed}


class Answer:
    """What a client got: the status (0: closed without an answer), and whether the stream was whole."""

    def __init__(self, request_id: str, status: int, is_whole: bool, body: bytes, after_s: float) -> None:
        self.request_id = request_id
        self.status = status
        self.is_whole = is_whole
        self.body = body
        self.after_s = after_s


class Request:
    """One client's request; `prompt_tokens` decides whether a reader reads the prompt."""

    def __init__(self, request_id: str, lane: str, remaining_ms: int, prompt_tokens: int) -> None:
        self.request_id = request_id
        text = "x" * min(4 * prompt_tokens, 8000)
        messages = [{"role": "user", "content": text}]
        self.body = json.dumps({"model": "m", "stream": True, "messages": messages}).encode()
        head = [
            "POST /v1/chat/completions HTTP/1.1",
            "Host: service.internal",
            f"X-Txn: {request_id}",
            f"X-Lane: {lane}",
            f"X-Entity: {request_id}",
            f"X-Remaining-Ms: {remaining_ms}",
            f"X-Labels: prompt_len={prompt_tokens},prefix_len=0,max_out=100",
            f"Content-Length: {len(self.body)}",
        ]
        self.data = ("\r\n".join(head) + "\r\n\r\n").encode() + self.body


async def ask(address: tuple[str, int], request: Request, record: Record, limit_s: float = 60.0) -> Answer:
    """Send a request on a new connection, and read its answer to the end."""
    started_at = record.now()
    record.write(f"sent      {request.request_id}")
    status, is_whole, body = 0, False, b""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return Answer(request.request_id, -1, False, b"", record.now() - started_at)
    try:
        writer.write(request.data)
        await writer.drain()
        started_at = record.now()
        async with asyncio.timeout(limit_s):
            status, is_whole, body = await _read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.transport.abort()
    answer = Answer(request.request_id, status, is_whole, body, record.now() - started_at)
    record.write(f"answered  {request.request_id} {status} whole={is_whole} after {answer.after_s:.3f} s")
    return answer


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    status = int(head.split()[1])
    if "transfer-encoding: chunked" not in head:
        return status, True, b""
    body = b""
    while True:
        try:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return status, False, body
        if size == 0:
            return status, True, body


class Node:
    """A node, started by the `run` line of the deploy file.

    Args:
        record: Gets the events.
        settings: The platform's settings.
        discovery: The agent of discovery.
        known: The list that the node had most recently.
        sockets: The limit on descriptors.
        folder: Folder for the configuration and the log.
    """

    def __init__(
        self,
        record: Record,
        settings: dict[str, object],
        discovery: Discovery,
        known: dict[str, object],
        folder: Path,
        sockets: int = 256,
    ) -> None:
        self.record = record
        self.port = free_port()
        self.address = (HOST, self.port)
        self.folder = folder
        self.config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": known,
            "settings": settings,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> Path:
        """Replace the configuration file in one step."""
        path = self.folder / "config.json"
        draft = path.with_suffix(".new")
        draft.write_text(json.dumps(self.config))
        draft.replace(path)
        return path

    def start(self) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        config = self.write_config()
        environment = {
            **os.environ,
            "RELAY_NAME": str(self.config["name"]),
            "RELAY_LISTEN": str(self.config["listen"]),
            "RELAY_DISCOVERY": str(self.config["discovery"]),
            "RELAY_CONFIG": str(config),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "node.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("node      started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.record.write(f"node      {number.name}")
            self.process.send_signal(number)

    async def until_ready(self, limit_s: float = 30.0) -> None:
        """Wait until `GET /up` answers 200."""
        give_up_at = time.monotonic() + limit_s
        while time.monotonic() < give_up_at:
            if self.process is not None and self.process.poll() is not None:
                raise CaseNotRunError(f"the node ended with {self.process.returncode}")
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(*self.address)
                    try:
                        writer.write(b"GET /up HTTP/1.1\r\nHost: n0\r\n\r\n")
                        if b" 200 " in await reader.readuntil(b"\r\n"):
                            self.record.write("node      ready")
                            return
                    finally:
                        writer.transport.abort()
            await asyncio.sleep(0.05)
        raise CaseNotRunError("the node was not ready in time")

    def end(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


CLASSES: tuple[dict[str, object], ...] = (
    {
        "Name": "ask",
        "Effect": "idempotent",
        "AimMs": 2000.0,
        "GiveUpMs": 10000.0,
        "Credit": 1.0,
        "LateWorth": 0.3,
        "Stream": True,
    },
    {
        "Name": "post",
        "Effect": "at_most_once",
        "AimMs": 2500.0,
        "GiveUpMs": 10000.0,
        "Credit": 3.0,
        "LateWorth": 0.2,
        "Stream": True,
    },
)


def settings(**changes: object) -> dict[str, object]:
    """Return settings like those of a small deployment, with some keys of the first level replaced."""
    base: dict[str, object] = {
        "Balancers": 1,
        "Ordinal": 0,
        "Tier": 0,
        "Tiers": ["model-fleet"],
        "Zones": ["a"],
        "MyZone": "a",
        "PeriodMs": 4.0,
        "Discovery": "push",
        "MachineTypes": ["prefill", "decode", "mixed"],
        "Classes": list(CLASSES),
        "Caps": {
            "Cancel": True,
            "ConnectTimeoutMs": 250.0,
            "KeepaliveMs": 30000.0,
            "MaxRetryAfterMs": 2000.0,
            "MostHeld": 20000,
            "MostTries": 5,
            "RetryAfter": True,
            "SecondCopies": True,
            "StreamsPerConn": 100,
        },
        "Invariants": {
            "AnswerSlackMs": 16.0,
            "ColdMs": 12000.0,
            "ColdShare": 0.25,
            "DrainGraceMs": 250.0,
            "FallMs": 1000.0,
            "FallMultiple": 2.5,
        },
        "Report": {"How": "inline", "Names": ["x0", "x1"]},
        "Specifics": {
            "AimUsPer1000PromptTokens": [40000.0, 40000.0],
            "DutyByKind": ["read", "write", "both"],
            "KvTokens": [295975, 126291, 184970],
            "LetGoByMs": 500.0,
            "SelfPrefill": True,
            "TokenAimMs": [70.0, 80.0],
        },
    }
    return {**base, **changes}


class Stage:
    """What a case runs on: its record, a temporary folder, and the nodes, which end with the case."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.nodes: list[Node] = []

    async def start_node(
        self, settings_of_node: dict[str, object], discovery: Discovery, sockets: int = 256
    ) -> Node:
        """Start a node whose known list is the present one, and wait until it is ready."""
        folder = self.folder / f"n{len(self.nodes)}"
        folder.mkdir()
        node = Node(self.record, settings_of_node, discovery, discovery.whole(), folder, sockets)
        self.nodes.append(node)
        node.start()
        await node.until_ready()
        return node


async def _run(main: Callable[[Stage], Awaitable[int]], stage: Stage) -> int:
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            return await main(stage)
    finally:
        for node in stage.nodes:
            node.end()


def run_case(main: Callable[[Stage], Awaitable[int]], folder: Path) -> int:
    """Run the coroutine function `main` of a case; return the exit code."""
    record = Record(folder / "record.txt")
    record.write(f"trouble is {'on' if trouble_is_on() else 'off'}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(_run(main, Stage(record, Path(temporary))))
    except (CaseNotRunError, TimeoutError, OSError) as error:
        record.write(f"not run: {error!r}")
        print(f"not run: {error!r}")
        return NOT_RUN
    return code


def verdict(record: Record, breaks: list[str], counts: str) -> int:
    """Write the counts and the breaks of the rule, and return the exit code."""
    for text in [counts, *(f"BROKEN {text}" for text in breaks), "broken" if breaks else "held"]:
        record.write(text)
    print(f"{'broken' if breaks else 'held'}: {len(breaks)} breaks; {counts}")
    return BROKEN if breaks else HELD
