"""The reader process: its snapshots are those of a reader in this process, and its death loses nothing."""

import signal
import subprocess
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ProcessProtocol

from myrtlehub.lab.endpoint_list_writer import list_text
from myrtlehub.membership import reader_process
from myrtlehub.membership.list_version import content_digest
from myrtlehub.membership.snapshot import Snapshot, read_snapshot

ENDPOINTS = 700


class PipeReactor:
    """A reactor that starts real processes, and passes on what they wrote when asked to."""

    def __init__(self) -> None:
        self.started: list[tuple[ProcessProtocol, subprocess.Popen]] = []
        self.pausing = False  # processes: no reply can be ahead of a kill

    def spawnProcess(  # noqa: N802
        self, protocol: ProcessProtocol, program: str, args: list[str], env: object
    ) -> "PipeReactor":
        """Start a process; the reactor is also the transport of the process that was started last."""
        process = subprocess.Popen(
            args, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        protocol.transport = self
        self.started.append((protocol, process))
        if self.pausing:
            process.send_signal(signal.SIGSTOP)
        return self

    def write(self, data: bytes) -> None:
        """Be the transport: write to the process that was started last."""
        process = self.started[-1][1]
        try:
            process.stdin.write(data)
            process.stdin.flush()
        except BrokenPipeError:
            pass

    def deliver(self) -> None:
        """Pass on one complete reply, in two pieces, or the end of the process."""
        protocol, process = self.started[-1]
        head = process.stdout.read(4)
        if len(head) < 4:
            protocol.errReceived(process.stderr.read())
            process.communicate()
            protocol.processEnded(None)
            return
        body = process.stdout.read(int.from_bytes(head))
        protocol.outReceived(head + body[:7])
        protocol.outReceived(body[7:])

    def pause(self) -> None:
        """Stop the process that was started last, and those to come, until they are killed."""
        self.pausing = True
        self.started[-1][1].send_signal(signal.SIGSTOP)

    def kill_last(self) -> None:
        """Kill the process that was started last."""
        self.started[-1][1].kill()

    def close(self) -> None:
        """Kill all."""
        for _, process in self.started:
            process.kill()
            process.communicate()


def cooperate_at_once(work: Iterator[None]) -> SimpleNamespace:
    """Do what `cooperate` does, without a reactor."""
    for _ in work:
        pass
    done = Deferred()
    done.callback(None)
    return SimpleNamespace(whenDone=lambda: done)


@pytest.fixture
def reactor() -> Iterator[PipeReactor]:
    """A reactor whose processes end with the test."""
    pipes = PipeReactor()
    yield pipes
    pipes.close()


@pytest.fixture
def reader(reactor: PipeReactor, monkeypatch: pytest.MonkeyPatch) -> reader_process.ReaderProcess:
    """A reader whose process is started."""
    monkeypatch.setattr(reader_process, "cooperate", cooperate_at_once)
    return reader_process.ReaderProcess(reactor).start()


def write_list(path: Path) -> None:
    """Write a file of many endpoints."""
    endpoints = [
        {"address": f"w{i}:1", "kind": "writer", "zone": "z", "cell": i, "weight": i / 7}
        for i in range(ENDPOINTS)
    ]
    path.write_text(list_text(endpoints))


def test_snapshots_equal_those_read_here_and_deaths_lose_no_request(
    tmp_path: Path, reactor: PipeReactor, reader: reader_process.ReaderProcess
) -> None:
    path = tmp_path / "e.yaml"
    snapshots: list[Snapshot] = []

    def request() -> None:
        reader.read(["e.yaml"], tmp_path, True, snapshots.append)

    write_list(path)
    request()
    reactor.deliver()
    here = read_snapshot(["e.yaml"], tmp_path, True)
    assert snapshots[0]._replace(content_digest=None) == here
    assert snapshots[0].content_digest == content_digest(here.endpoints)
    path.write_text(path.read_text().replace("cell: 3,", "cell: 9,").replace("cell: 3\n", "cell: 9\n"))
    request()
    reactor.kill_last()  # with the request pending
    reactor.deliver()
    assert len(reactor.started) == 2 and len(snapshots) == 1
    reactor.deliver()  # the new process got the request
    assert snapshots[1]._replace(content_digest=None) == read_snapshot(["e.yaml"], tmp_path, True)
    first, second = snapshots[0].endpoints, snapshots[1].endpoints
    changed = [i for i in range(ENDPOINTS) if second[i] is not first[i]]
    assert changed == [3]  # what is the same is the same object
    path.write_text("engines: [")
    request()
    reactor.deliver()
    assert snapshots[2].faults and snapshots[2].faults[0].startswith(f"{path}:1: not YAML")
    reactor.pause()
    request()
    for _ in range(reader_process.MAX_ATTEMPTS):  # it dies each time: the list stays, and the log says why
        reactor.kill_last()
        reactor.deliver()
    assert "the reading process died 3 times" in snapshots[3].faults[0] and not snapshots[3].is_missing
