"""Arrival times of received bytes, and retries of a process start after a resource shortage."""

import errno
from pathlib import Path

import pytest

from myrtlehub.http1.byte_arrivals import MAX_SEGMENTS, MERGE_INTERVAL_S, ByteArrivals
from myrtlehub.relay.process.startup_retry import is_resource_shortage, retry_on_resource_shortage


def test_the_arrival_time_of_a_message_is_that_of_its_last_byte() -> None:
    arrivals = ByteArrivals()
    arrivals.add(100, 1.0)  # the first message and half of the second
    arrivals.add(50, 2.0)  # the rest of the second and the third
    assert arrivals.consume(unread=90) == 1.0
    assert arrivals.consume(unread=30) == 2.0
    assert arrivals.consume(unread=0) == 2.0
    arrivals.add(10, 7.0)
    assert arrivals.consume(unread=0) == 7.0


def test_bytes_within_the_merge_interval_share_its_first_arrival_time_and_one_segment() -> None:
    arrivals = ByteArrivals()
    for number in range(10_000):
        arrivals.add(1, number * MERGE_INTERVAL_S / 100)
    assert len(arrivals._segments) <= 101
    received_at = arrivals.consume(unread=5_000)
    assert 50 * MERGE_INTERVAL_S - MERGE_INTERVAL_S <= received_at <= 50 * MERGE_INTERVAL_S


def test_bytes_that_trickle_in_for_minutes_take_few_segments_with_no_later_arrival_times() -> None:
    """Guards against memory that grows with each byte behind an open request."""
    arrivals = ByteArrivals()
    interval = 2 * MERGE_INTERVAL_S
    count = 10_000
    for number in range(count):
        arrivals.add(1, number * interval)
        assert len(arrivals._segments) <= MAX_SEGMENTS
    duration = count * interval
    for unread in (7_000, 2_500, 0):
        last_byte_at = (count - unread - 1) * interval
        assert last_byte_at - duration / (MAX_SEGMENTS / 4) <= arrivals.consume(unread) <= last_byte_at


def test_unread_bytes_keep_the_arrival_time_of_their_first_record() -> None:
    arrivals = ByteArrivals()
    arrivals.add(64, 1.0)
    arrivals.add_unread(100, 1.0)
    arrivals.add(64, 2.0)
    arrivals.add_unread(36, 2.0)
    arrivals.add(36, 3.0)
    assert arrivals.consume(unread=0) == 1.0
    arrivals.add(10, 4.0)  # arrived after these
    assert arrivals.consume(unread=0) == 4.0


def test_a_resource_shortage_is_distinguished_from_a_configuration_error() -> None:
    wrapped = ValueError("settings")
    wrapped.__cause__ = OSError(errno.EMFILE, "too many open files")
    assert is_resource_shortage(OSError(errno.ENFILE, "")) and is_resource_shortage(wrapped)
    assert not is_resource_shortage(OSError(errno.EADDRINUSE, "")) and not is_resource_shortage(ValueError())


def test_a_process_start_is_retried_only_after_a_resource_shortage() -> None:
    attempts: list[int] = []

    def make() -> str:
        attempts.append(len(attempts))
        if len(attempts) < 3:
            raise OSError(errno.ENOMEM, "no memory")
        return "made"

    assert retry_on_resource_shortage(make) == "made" and len(attempts) == 3
    with pytest.raises(FileNotFoundError):
        retry_on_resource_shortage(Path("/nowhere/at/all").read_bytes)
