"""`python -m myrtlehub.relay`: one node on the platform's HTTP protocol, configured by $RELAY_CONFIG."""

import os
import resource
import signal
import sys
import time
from functools import partial
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint

from myrtlehub.http1.connection_pool import Dial
from myrtlehub.log_events import LogEvent
from myrtlehub.node.clock import SteadyClock
from myrtlehub.node.process import on_signal, on_term, settle_memory
from myrtlehub.relay.bounded_port import BoundedPort
from myrtlehub.relay.errors import SettingsError
from myrtlehub.relay.event_log import EventLog
from myrtlehub.relay.graceful_shutdown import GracefulShutdown
from myrtlehub.relay.log_writer import LogWriter
from myrtlehub.relay.node import RelayNode
from myrtlehub.relay.node_settings import MIN_DESCRIPTORS, NodeSettings, read_node_settings
from myrtlehub.relay.settings_reload import reload_settings
from myrtlehub.relay.start_patience import with_patience
from myrtlehub.relay.uncaught_errors import log_uncaught_errors

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
LAST_FLUSH_S = 0.2  # for which the end of the process waits for a slow reader of its log


def _fail(text: str) -> None:
    print(f"relay: {text}", file=sys.stderr)
    sys.exit(2)


def _within_process_limit(settings: NodeSettings) -> NodeSettings:
    """Return the settings with as many descriptors as the system allows this process, if these are fewer."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY or limit >= settings.descriptors:
        return settings
    if limit < MIN_DESCRIPTORS:
        raise SettingsError(f"limits.sockets: the system allows it {limit}; allow {MIN_DESCRIPTORS} or more")
    return settings._replace(descriptors=limit)


class Program:
    """The process: a node, its port, and what signals do."""

    def __init__(self, path: str, reactor: Any) -> None:  # noqa: ANN401
        self.path = path
        self.reactor = reactor
        clock = SteadyClock(reactor)
        self.log = EventLog(LogWriter(STANDARD_OUTPUT), clock.seconds, os.environ.get("RELAY_LOG") == "all")
        # Before the file is read and the port bound: whoever writes a newer file meanwhile, or wants the
        # process gone once clients wait, is heard as soon as the reactor runs.
        on_signal(signal.SIGHUP, self._on_hangup, reactor)
        on_term(self._on_terminate, reactor)
        self.settings = with_patience(partial(read_node_settings, path))
        self.node = RelayNode(
            _within_process_limit(self.settings),
            clock,
            self._dial,
            time.time() - time.monotonic(),
            self.log,
        )
        self.node.monitor.on_violation = self.log.dump
        self.port = self._listen()
        self.shutdown = GracefulShutdown(
            self.node.clock, self.node.listener, self.node.is_busy, self._stop_listening, reactor.stop
        )

    def _listen(self) -> BoundedPort:
        """Bind the port, and accept nobody until the node lets clients in.

        Guards against requests that are there before the list: what waited for a restarted node would be read
        in the turn in which discovery's first answer comes, and be sent by an old list.
        """
        listen = self.settings.listen
        port = BoundedPort(self.node.listener, self.node.clock, (listen.host, listen.port), self.reactor)
        with_patience(port.startListening)
        port.pause()
        self.node.on_open = port.resume
        self.node.listener.on_full = port.set_full
        return port

    def _dial(self, address: str, timeout: float) -> Dial:
        host, port = address.rsplit(":", 1)
        return TCP4ClientEndpoint(self.reactor, host, int(port), timeout=timeout).connect

    def _on_hangup(self) -> None:
        reload_settings(self.path, self.settings, self.node.discovery.move, self.log)

    def _on_terminate(self) -> None:
        self.node.open()  # who waits to be accepted was taken by this machine, and an answer is due
        self.shutdown.start()

    def _stop_listening(self) -> None:
        self.port.accept_all()
        self.port.stopListening()

    def run(self) -> None:
        """Run until SIGTERM and the end of all that is in flight."""
        self.node.measure_lag()
        self.node.start()
        settle_memory()
        self.reactor.run(installSignalHandlers=False)
        self.node.monitor.log_counters()
        self.log(LogEvent.ENDED, **dict(sorted(self.node.executor.answer_counts.items())))
        self.log.flush(LAST_FLUSH_S)


def _install_reactor() -> Any:  # noqa: ANN401
    from twisted.internet import reactor

    return reactor


def main() -> None:
    """Run until SIGTERM; exit 2 with a line where the configuration can't be used."""
    path = os.environ.get("RELAY_CONFIG", "")
    if not path:
        _fail("RELAY_CONFIG: is not set; name the configuration file by it")
    from twisted.internet.error import CannotListenError

    reactor = with_patience(_install_reactor)
    log_uncaught_errors(LogWriter(STANDARD_ERROR))
    try:
        program = Program(path, reactor)
    except SettingsError as error:
        _fail(f"{path}: {error}")
    except CannotListenError as error:
        _fail(f"{path}: listen: {error}; name an address that is free here")
    program.run()


if __name__ == "__main__":
    main()
