"""The reader process: its snapshots equal those read in this process, and no request is lost if it dies."""

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

ENDPOINT_COUNT = 700


class PipeReactor:
    """A reactor that starts real processes, and delivers their output when a test calls `deliver`."""

    def __init__(self) -> None:
        self.started: list[tuple[ProcessProtocol, subprocess.Popen]] = []
        self.suspends_processes = False  # by SIGSTOP, so that no process replies before it is killed

    def spawnProcess(  # noqa: N802
        self, protocol: ProcessProtocol, program: str, args: list[str], env: object
    ) -> "PipeReactor":
        """Start a process; the reactor is also the transport of the latest process."""
        process = subprocess.Popen(
            args, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        protocol.transport = self
        self.started.append((protocol, process))
        if self.suspends_processes:
            process.send_signal(signal.SIGSTOP)
        return self

    def write(self, data: bytes) -> None:
        """Write to the latest process, as its transport."""
        process = self.started[-1][1]
        try:
            process.stdin.write(data)
            process.stdin.flush()
        except BrokenPipeError:
            pass

    def deliver(self) -> None:
        """Deliver one complete reply in two parts, or the end of the process."""
        protocol, process = self.started[-1]
        header = process.stdout.read(4)
        if len(header) < 4:
            protocol.errReceived(process.stderr.read())
            process.communicate()
            protocol.processEnded(None)
            return
        body = process.stdout.read(int.from_bytes(header))
        protocol.outReceived(header + body[:7])
        protocol.outReceived(body[7:])

    def suspend_processes(self) -> None:
        """Suspend the latest process and those started later, until they are killed."""
        self.suspends_processes = True
        self.started[-1][1].send_signal(signal.SIGSTOP)

    def kill_last_process(self) -> None:
        """Kill the latest process."""
        self.started[-1][1].kill()

    def close(self) -> None:
        """Kill all processes."""
        for _, process in self.started:
            process.kill()
            process.communicate()


def cooperate_synchronously(work: Iterator[None]) -> SimpleNamespace:
    """Run all steps synchronously; replaces `cooperate`, which needs a reactor."""
    for _ in work:
        pass
    done = Deferred()
    done.callback(None)
    return SimpleNamespace(whenDone=lambda: done)


@pytest.fixture
def reactor() -> Iterator[PipeReactor]:
    """Provide a reactor whose processes end with the test."""
    pipes = PipeReactor()
    yield pipes
    pipes.close()


@pytest.fixture
def reader(reactor: PipeReactor, monkeypatch: pytest.MonkeyPatch) -> reader_process.ReaderProcess:
    """Provide a reader whose process has been started."""
    monkeypatch.setattr(reader_process, "cooperate", cooperate_synchronously)
    return reader_process.ReaderProcess(reactor).start()


def write_list(path: Path) -> None:
    """Write a file of many endpoints."""
    endpoints = [
        {"address": f"w{number}:1", "kind": "writer", "zone": "z", "cell": number, "weight": number / 7}
        for number in range(ENDPOINT_COUNT)
    ]
    path.write_text(list_text(endpoints))


def test_snapshots_equal_those_read_in_process_and_process_deaths_lose_no_request(
    tmp_path: Path, reactor: PipeReactor, reader: reader_process.ReaderProcess
) -> None:
    path = tmp_path / "e.yaml"
    snapshots: list[Snapshot] = []

    def request() -> None:
        reader.read(["e.yaml"], tmp_path, True, snapshots.append)

    write_list(path)
    request()
    reactor.deliver()
    expected = read_snapshot(["e.yaml"], tmp_path, True)
    assert snapshots[0]._replace(content_digest=None) == expected
    assert snapshots[0].content_digest == content_digest(expected.endpoints)
    path.write_text(path.read_text().replace("cell: 3,", "cell: 9,").replace("cell: 3\n", "cell: 9\n"))
    request()
    reactor.kill_last_process()  # while the request is pending
    reactor.deliver()
    assert len(reactor.started) == 2 and len(snapshots) == 1
    reactor.deliver()  # the new process received the request
    assert snapshots[1]._replace(content_digest=None) == read_snapshot(["e.yaml"], tmp_path, True)
    first, second = snapshots[0].endpoints, snapshots[1].endpoints
    changed = [index for index in range(ENDPOINT_COUNT) if second[index] is not first[index]]
    assert changed == [3]  # unchanged endpoints are the same objects
    path.write_text("engines: [")
    request()
    reactor.deliver()
    assert snapshots[2].faults and snapshots[2].faults[0].startswith(f"{path}:1: not YAML")
    reactor.suspend_processes()
    request()
    for _ in range(reader_process.MAX_READ_ATTEMPTS):  # no process lives long enough to reply
        reactor.kill_last_process()
        reactor.deliver()
    assert "the reading process died 3 times" in snapshots[3].faults[0] and not snapshots[3].is_missing
