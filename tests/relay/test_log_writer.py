"""The log writer is bounded, neither blocks nor raises, and counts dropped lines."""

import os
from collections.abc import Iterator
from pathlib import Path

import pytest

from myrtlehub.log_events import LogEvent
from myrtlehub.relay.monitoring.event_log import MAX_DUMPED_EVENTS, EventLog
from myrtlehub.relay.monitoring.log_writer import LogWriter

LINE = b"x" * 1023 + b"\n"


class Pipe:
    """A pipe that is read only on demand."""

    def __init__(self) -> None:
        self.read_descriptor, self.write_descriptor = os.pipe()
        os.set_blocking(self.read_descriptor, False)

    def read_all(self) -> bytes:
        """Return all bytes in the pipe."""
        blocks = []
        try:
            while block := os.read(self.read_descriptor, 65536):
                blocks.append(block)
        except BlockingIOError:
            pass
        return b"".join(blocks)


@pytest.fixture(name="pipe")
def open_pipe() -> Iterator[Pipe]:
    pipe = Pipe()
    yield pipe
    os.close(pipe.read_descriptor)
    os.close(pipe.write_descriptor)


def test_lines_are_complete_and_in_order_for_any_read_size(pipe: Pipe) -> None:
    writer = LogWriter(pipe.write_descriptor, max_bytes=1 << 20)
    lines = [b"%05d" % number + b"y" * (number % 5000) + b"\n" for number in range(200)]
    read = b""
    for line in lines:
        writer.write_line(line)
        if len(line) % 7 == 0:
            read += pipe.read_all()
    while data := pipe.read_all():
        read += data
        writer.flush()
    assert read == b"".join(lines) and writer.dropped_count == 0


def test_lines_that_a_full_pipe_does_not_accept_are_dropped_and_reported_once(pipe: Pipe) -> None:
    writer = LogWriter(pipe.write_descriptor, max_bytes=8 * len(LINE))
    for _ in range(200):
        writer.write_line(LINE)
    dropped = writer.dropped_count
    assert 0 < dropped < 200
    read = b""
    while data := pipe.read_all():
        read += data
        writer.flush()
    writer.write_line(b"next\n")
    writer.write_line(b"last\n")
    tail = (read + pipe.read_all()).splitlines()[-3:]
    assert tail == [b'{"event":"log_lines_dropped","count":%d}' % dropped, b"next", b"last"]


def test_writing_to_a_full_device_or_a_closed_descriptor_does_not_raise() -> None:
    with Path("/dev/full").open("wb") as full:
        writer = LogWriter(full.fileno(), max_bytes=2 * len(LINE))
        for _ in range(4):
            writer.write_line(LINE)
    assert writer.dropped_count == 2
    writer.write_line(LINE)  # the descriptor is closed now
    assert writer.dropped_count == 3


class UnconvertibleValue:
    """A field value that cannot be converted to text."""

    def __str__(self) -> str:
        raise ValueError


def test_logging_a_field_that_cannot_be_encoded_does_not_raise(pipe: Pipe) -> None:
    log = EventLog(LogWriter(pipe.write_descriptor), lambda: 0.0)
    log("odd", value=UnconvertibleValue())
    log("odd", value="\ud800")
    log("fine", value=object)
    lines = pipe.read_all().splitlines()
    assert len(lines) == 3 and all(b"event_not_encodable" in line for line in lines[:2])


def test_detailed_events_stay_in_memory_until_a_dump_which_is_bounded_and_rate_limited(pipe: Pipe) -> None:
    now = [100.0]
    log = EventLog(LogWriter(pipe.write_descriptor, max_bytes=1 << 20), lambda: now[0])
    for number in range(5000):
        log(LogEvent.ATTEMPT_ENDED, number=number)
    assert pipe.read_all() == b""
    log.dump()
    log.dump()  # within DUMP_INTERVAL_S of the first one: writes nothing
    lines = pipe.read_all().splitlines()
    assert (
        len(lines) == MAX_DUMPED_EVENTS
        and b'"number":4999' in lines[-1]
        and b'"recorded_at_s":100.0' in lines[-1]
    )
    now[0] += 11.0
    log.dump()
    assert pipe.read_all()
