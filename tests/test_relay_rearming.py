"""Whatever recurs in a relay node goes on to do so, whatever one of its turns raises."""

from collections.abc import Callable

import pytest
from relayrig import RelayRig


class PlantedError(Exception):
    """Raised by tests in the middle of something."""


class Failing:
    """Stands in for a callable: raises the first `count` times, then calls it."""

    def __init__(self, call: Callable, count: int = 1) -> None:
        self.call = call
        self.count = count
        self.raised = 0

    def __call__(self, *arguments: object, **more: object) -> object:
        if self.raised < self.count:
            self.raised += 1
            raise PlantedError
        return self.call(*arguments, **more)


def run(rig: RelayRig, seconds: float) -> None:
    """Let time pass, as the reactor does: what a call raises ends that call alone."""
    until = rig.clock.seconds() + seconds
    while True:
        try:
            rig.run(max(0.0, until - rig.clock.seconds()))
        except PlantedError:
            continue
        return


def test_a_list_that_could_not_be_applied_is_read_again() -> None:
    rig = RelayRig("w1 w2")
    rig.node.discovery.on_update = failing = Failing(rig.node.discovery.on_update)
    with pytest.raises(PlantedError):
        rig.update_list(w1=rig.entry("w1", "leaving"))
    run(rig, 0.5)
    assert failing.raised == 1 and rig.open_watches
    for number in range(6):
        assert rig.request(f"a{number}").statuses == [200]
    assert not rig.engines["w1"].chat_requests()
