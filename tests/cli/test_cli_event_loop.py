"""Running the event loop until a Deferred fires."""

from collections.abc import Callable

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.python.failure import Failure

from myrtlehub.cli.event_loop import EventLoopStoppedError, run_until_fired


class FakeEventLoop:
    """An event loop that runs the calls scheduled for its start, and then returns."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], object]] = []
        self.stop_count = 0
        self.handles_signals: bool | None = None

    def callWhenRunning(self, call: Callable[[], object]) -> None:  # noqa: N802 - Twisted's name
        self.calls.append(call)

    def run(self, installSignalHandlers: bool = True) -> None:  # noqa: N803 - Twisted's name
        self.handles_signals = installSignalHandlers
        for call in self.calls:
            call()

    def stop(self) -> None:
        self.stop_count += 1


def test_the_result_or_the_failure_is_returned_and_the_loop_stopped() -> None:
    loop = FakeEventLoop()
    assert run_until_fired(loop, lambda: succeed(5)) == 5
    assert loop.stop_count == 1 and loop.handles_signals
    error = OSError("no route")
    result = run_until_fired(FakeEventLoop(), lambda: fail(error), install_signal_handlers=False)
    assert isinstance(result, Failure) and result.value is error


def test_a_loop_stopped_before_the_deferred_fires_raises() -> None:
    loop = FakeEventLoop()
    with pytest.raises(EventLoopStoppedError):
        run_until_fired(loop, Deferred)
    assert loop.stop_count == 0
