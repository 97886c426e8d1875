"""Start times of engines at a node whose wall clock is correct, or was stepped before the node started."""

import pytest

from myrtlehub.relay.discovery.endpoint_list import EndpointListDecoder

NOW = 5000.0  # seconds of the node's clock
UNIX_NOW = 1_700_000_000.0
HOUR = 3600.0


def new_decoder(wall_clock_error: float = 0.0) -> EndpointListDecoder:
    """Return the decoder of a node that has just started with a wall clock ahead by `wall_clock_error`."""
    return EndpointListDecoder({"w": 0}, {"z": 0}, UNIX_NOW + wall_clock_error - NOW)


def entry(name: str, age: float | None, now: float = NOW, **fields: object) -> dict[str, object]:
    """Return the entry of an engine that started `age` seconds before `now`; None states no start time."""
    born_ms = 0 if age is None else (UNIX_NOW + (now - NOW) - age) * 1000
    return {
        "host": name,
        "dial": "127.0.0.1:1",
        "site": "z",
        "class": "w",
        "block": 0,
        "health": "active",
        "born_ms": born_ms,
        **fields,
    }


def ages(
    decoder: EndpointListDecoder, now: float, *hosts: dict[str, object], whole: bool = True
) -> list[float]:
    """Decode a list and return the ages of its engines."""
    update = decoder.decode({"seq": 1, "whole": whole, "hosts": list(hosts)}, now)
    decoder.start_times.record_discovery_response(now)
    return [round(entry.age, 3) for entry in update.entries]


def test_with_a_right_clock_ages_are_as_stated() -> None:
    assert ages(new_decoder(), NOW, entry("w1", 3.0), entry("w2", None), entry("w3", 500.0)) == [
        3.0,
        0.0,
        500.0,
    ]


def test_a_wall_clock_set_back_by_an_hour_lets_no_engine_start_in_the_future() -> None:
    """Otherwise all engines would be in slow start for an hour; only the newest is, for the usual time."""
    decoder = new_decoder(-HOUR)
    first = ages(decoder, NOW, entry("w1", 30.0), entry("w2", 500.0), entry("w3", None))
    assert first == [0.0, 470.0, 0.0] and decoder.entries["w1"].age > 0.0
    assert ages(decoder, NOW + 20.0, entry("w1", 50.0, NOW + 20.0), entry("w2", 520.0, NOW + 20.0)) == [
        20.0,
        490.0,
    ]


@pytest.mark.parametrize("error", [HOUR, -HOUR, 5.0, -5.0])
def test_an_engine_that_appears_during_a_watch_is_new_whatever_the_wall_clock_says(error: float) -> None:
    decoder = new_decoder(error)
    ages(decoder, NOW, entry("w1", None))
    (age,) = ages(decoder, NOW + 2.0, entry("w2", 1.0, NOW + 2.0), whole=False)
    assert 0.0 <= age <= 8.0


@pytest.mark.parametrize("error", [HOUR, -HOUR])
def test_an_engine_that_restarts_during_a_watch_is_new(error: float) -> None:
    decoder = new_decoder(error)
    ages(decoder, NOW, entry("w1", 900.0))
    (age,) = ages(decoder, NOW + 2.0, entry("w1", 0.5, NOW + 2.0), whole=False)
    assert 0.0 <= age <= 8.0


def test_a_start_time_is_the_same_in_each_list() -> None:
    """Otherwise each list would make the engine appear to have restarted with an empty prefix cache."""
    decoder = new_decoder(-HOUR)
    ages(decoder, NOW, entry("w1", 400.0))
    before = NOW - decoder.entries["w1"].age
    ages(decoder, NOW + 9.0, entry("w1", 409.0, NOW + 9.0), entry("w2", 1.0, NOW + 9.0))
    assert NOW + 9.0 - decoder.entries["w1"].age == pytest.approx(before)


def test_an_engine_that_has_just_started_has_an_age_above_0() -> None:
    decoder = new_decoder()
    ages(decoder, NOW, entry("w1", 0.0))
    assert decoder.entries["w1"].age > 0.0


def test_an_entry_whose_start_cannot_be_read_is_left_out() -> None:
    assert ages(new_decoder(), NOW, entry("w1", 1.0, born_ms="soon"), entry("w2", 1.0, born_ms=[1])) == []
