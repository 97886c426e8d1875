"""Command `python -m myrtlehub.relay`: runs one node with the settings file named by $RELAY_CONFIG."""

import os
import resource
import signal
import sys
import time
from functools import partial
from typing import Any, NoReturn

from twisted.internet.endpoints import TCP4ClientEndpoint

from myrtlehub.http1.connection_pool import Dial
from myrtlehub.log_events import LogEvent
from myrtlehub.node.clock import MonotonicClock
from myrtlehub.node.process import call_on_signal, call_on_termination, freeze_startup_objects
from myrtlehub.relay.errors import SettingsError
from myrtlehub.relay.monitoring.event_log import EventLog
from myrtlehub.relay.monitoring.log_writer import LogWriter
from myrtlehub.relay.monitoring.uncaught_errors import log_uncaught_errors
from myrtlehub.relay.node import RelayNode
from myrtlehub.relay.process.bounded_port import BoundedPort
from myrtlehub.relay.process.graceful_shutdown import REPORT_MARGIN_S, GracefulShutdown
from myrtlehub.relay.process.startup_retry import retry_on_resource_shortage
from myrtlehub.relay.settings.node_settings import MIN_DESCRIPTORS, NodeSettings, read_node_settings
from myrtlehub.relay.settings.settings_reload import reload_settings

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
EXIT_CONFIGURATION_ERROR = 2
FINAL_FLUSH_TIMEOUT_S = 0.2  # limit for each write to the log at exit, in case its reader is slow


def _exit_with_error(message: str) -> NoReturn:
    print(f"relay: {message}", file=sys.stderr)
    sys.exit(EXIT_CONFIGURATION_ERROR)


def _cap_descriptors(settings: NodeSettings) -> NodeSettings:
    """Return the settings with `max_descriptors` capped at the limit of this process (RLIMIT_NOFILE)."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY or limit >= settings.max_descriptors:
        return settings
    if limit < MIN_DESCRIPTORS:
        raise SettingsError(
            f"limits.sockets: RLIMIT_NOFILE is {limit}; raise it to {MIN_DESCRIPTORS} or more"
        )
    return settings._replace(max_descriptors=limit)


class RelayServer:
    """The relay process: a node, its listening port and its signal handlers."""

    def __init__(self, path: str, reactor: Any) -> None:  # noqa: ANN401
        self.path = path
        self.reactor = reactor
        clock = MonotonicClock(reactor)
        self.log = EventLog(LogWriter(STANDARD_OUTPUT), clock.seconds, os.environ.get("RELAY_LOG") == "all")
        # Registered before the settings are read and the port is bound, so that a signal received during
        # start-up is not lost: it is handled once the reactor runs.
        call_on_signal(signal.SIGHUP, self._on_hangup, reactor)
        call_on_termination(self._on_terminate, reactor)
        self.settings = retry_on_resource_shortage(partial(read_node_settings, path))
        self.node = RelayNode(
            _cap_descriptors(self.settings),
            clock,
            self._make_dial,
            time.time() - time.monotonic(),
            self.log,
        )
        self.node.monitor.on_violation = self.log.dump
        self.port = self._listen()
        self.shutdown = GracefulShutdown(
            self.node.clock,
            self.node.listener,
            self.node.is_busy,
            self._stop_listening,
            reactor.stop,
            self.node.limits.earliest_kill_delay - REPORT_MARGIN_S,
            self._log_pending_work,
        )

    def _listen(self) -> BoundedPort:
        """Bind the port, but accept no connections until the node opens.

        Otherwise a request sent while the node restarted could be read in the same reactor turn as
        discovery's first response but before it, and would be routed by the outdated fallback list.
        """
        listen_address = self.settings.listen_address
        port = BoundedPort(
            self.node.listener, self.node.clock, (listen_address.host, listen_address.port), self.reactor
        )
        retry_on_resource_shortage(port.startListening)
        port.pause()
        self.node.on_open = port.resume
        self.node.listener.on_full = port.set_connection_limit_reached
        return port

    def _make_dial(self, address: str, timeout: float) -> Dial:
        host, port = address.rsplit(":", 1)
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), timeout=timeout)
        return endpoint.connect  # type: ignore[return-value] # mypy does not know zope interfaces

    def _on_hangup(self) -> None:
        reload_settings(self.path, self.settings, self.node.discovery.change_address, self.log)

    def _on_terminate(self) -> None:
        # The connections of clients in the accept queue are already established, so they need a response.
        self.node.open()
        self.node.begin_shutdown()
        self.shutdown.start()

    def _log_pending_work(self) -> None:
        self.log(LogEvent.SHUTDOWN_UNFINISHED, **self.node.pending_work()._asdict())
        self.node.monitor.log_counters()

    def _stop_listening(self) -> bool:
        if not self.port.accept_pending():
            return True
        self.port.stopListening()  # type: ignore[no-untyped-call] # Twisted has no annotation
        return False

    def run(self) -> None:
        """Run until SIGTERM was received and all pending work is finished."""
        self.node.measure_lag()
        self.node.start()
        freeze_startup_objects()
        self.reactor.run(installSignalHandlers=False)
        self.node.monitor.log_counters()
        self.log(LogEvent.ENDED, **dict(sorted(self.node.executor.answer_counts.items())))
        self.log.flush(FINAL_FLUSH_TIMEOUT_S)


def _install_reactor() -> Any:  # noqa: ANN401
    from twisted.internet import reactor

    return reactor


def main() -> None:
    """Run until SIGTERM; if the settings are invalid, exit with status 2 and one line on standard error."""
    path = os.environ.get("RELAY_CONFIG", "")
    if not path:
        _exit_with_error("RELAY_CONFIG: is not set; set it to the path of the settings file")
    from twisted.internet.error import CannotListenError

    reactor = retry_on_resource_shortage(_install_reactor)
    log_uncaught_errors(LogWriter(STANDARD_ERROR))
    try:
        server = RelayServer(path, reactor)
    except SettingsError as error:
        _exit_with_error(f"{path}: {error}")
    except CannotListenError as error:
        _exit_with_error(f"{path}: listen: {error}; use an address that is free on this host")
    server.run()


if __name__ == "__main__":
    main()
