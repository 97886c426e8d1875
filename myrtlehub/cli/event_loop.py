"""The part of Twisted's reactor interface that the programs use, and functions that run the reactor."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from myrtlehub.node.clock import ReactorClock
from myrtlehub.node.process import ThreadSafeReactor

ResultT = TypeVar("ResultT")


class ListeningPort(Protocol):
    """A TCP port that accepts connections."""

    def stopListening(self) -> object:  # noqa: N802 - Twisted's name
        """Close the port; accepted connections stay open."""


class EventLoop(ReactorClock, ThreadSafeReactor, Protocol):
    """The part of the reactor that the programs use."""

    def run(self, installSignalHandlers: bool = True) -> None:  # noqa: N803 - Twisted's name
        """Run until `stop` is called; with signal handlers, SIGINT and SIGTERM stop it."""

    def stop(self) -> None:
        """Make `run` return."""

    def callWhenRunning(self, call: Callable[..., object], *args: object) -> object:  # noqa: N802
        """Schedule a call for the start of the event loop."""

    def listenTCP(self, port: int, factory: Factory, backlog: int, interface: str) -> ListeningPort:  # noqa: N802
        """Listen on a port of an interface, which is given by its address."""


class EventLoopStoppedError(Exception):
    """The event loop was stopped, for example by a signal, before the awaited Deferred fired."""


def get_event_loop() -> EventLoop:
    """Return the reactor; the first call installs it.

    Twisted installs the reactor when the module is imported, so a program imports it only if it needs one.
    """
    from twisted.internet import reactor

    return reactor


def run_until_fired(
    event_loop: EventLoop, start: Callable[[], Deferred[ResultT]], install_signal_handlers: bool = True
) -> ResultT | Failure:
    """Run the event loop until the Deferred returned by `start` fires; return its result or failure.

    Raises:
        EventLoopStoppedError: the event loop was stopped before the Deferred fired.
    """
    results: list[ResultT | Failure] = []

    def stop(result: ResultT | Failure) -> None:
        results.append(result)
        event_loop.stop()

    event_loop.callWhenRunning(lambda: start().addBoth(stop))
    event_loop.run(installSignalHandlers=install_signal_handlers)
    if not results:
        raise EventLoopStoppedError
    return results[0]
