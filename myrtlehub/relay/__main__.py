"""`python -m myrtlehub.relay`: one node on the platform's HTTP protocol, configured by $RELAY_CONFIG."""

import os
import resource
import signal
import sys
import time
from collections.abc import Callable

import msgspec
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.tcp import Port

from myrtlehub.node.clock import SteadyClock
from myrtlehub.node.process import on_signal, on_term, settle_memory
from myrtlehub.relay.bootstrap import SOCKETS_LEAST, Bootstrap, Malformed, read_bootstrap
from myrtlehub.relay.node import ACCEPTS_MOST, RelayNode
from myrtlehub.relay.reload import Drain, reload

BACKLOG = 511  # connections that may wait to be accepted: bursts come by hundreds
QUIET = frozenset(("answer", "engine", "attempt", "broken", "refused"))  # too many, unless they are asked for
ALL = os.environ.get("RELAY_LOG") == "all"


def _log(event: str, **more: object) -> None:
    if ALL or event not in QUIET:
        print(msgspec.json.encode({"event": event, **more}).decode(), flush=True)


def _fail(text: str) -> None:
    print(f"relay: {text}", file=sys.stderr)
    sys.exit(2)


class BoundedPort(Port):
    """Accepts so many connections a turn at most, whatever the reactor has seen of late.

    Guards against descriptors that run out before the first of a rush is closed for another.
    """

    _accepts = ACCEPTS_MOST

    @property
    def numberAccepts(self) -> int:  # noqa: N802
        return self._accepts

    @numberAccepts.setter
    def numberAccepts(self, count: int) -> None:  # noqa: N802
        self._accepts = min(count, ACCEPTS_MOST)

    def hold(self, full: bool) -> None:
        """Accept no more for a moment, or go on, unless it was closed meanwhile."""
        if self.connected:
            (self.stopReading if full else self.startReading)()

    def accept_all(self) -> None:
        """Who waits was taken by this machine, and is owed an answer."""
        for _ in range(BACKLOG // ACCEPTS_MOST + 1):
            self.numberAccepts = ACCEPTS_MOST
            self.doRead()


def _allowed(told: Bootstrap) -> Bootstrap:
    """With as many descriptors as the system gives this process, if these are fewer."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY or limit >= told.sockets:
        return told
    if limit < SOCKETS_LEAST:
        raise Malformed(f"limits.sockets: the system allows it {limit}; allow {SOCKETS_LEAST} or more")
    return told._replace(sockets=limit)


def main() -> None:
    """Run until SIGTERM; exit 2 with a line where the configuration can't be used."""
    path = os.environ.get("RELAY_CONFIG", "")
    if not path:
        _fail("RELAY_CONFIG: is not set; name the configuration file by it")
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    def dial(address: str, within: float) -> Callable:
        host, port = address.rsplit(":", 1)
        return TCP4ClientEndpoint(reactor, host, int(port), timeout=within).connect

    def end() -> None:
        node.open()  # what waits to be accepted was taken by this machine, and is owed an answer
        drain.start()

    def close() -> None:
        port.accept_all()
        port.stopListening()

    # Before the file is read and the port bound: whoever writes a newer file meanwhile, or wants the process
    # gone once clients wait, is heard as soon as the reactor runs.
    on_signal(signal.SIGHUP, lambda: reload(path, told, node.discovery.move, _log), reactor)
    on_term(end, reactor)
    try:
        told = read_bootstrap(path)
        node = RelayNode(_allowed(told), SteadyClock(reactor), dial, time.time() - time.monotonic(), _log)
        port = BoundedPort(told.listen[1], node.site, BACKLOG, told.listen[0], reactor)
        port.startListening()
        # Guards against requests that are there before the list: what waited for a restarted node would be
        # read in the turn in which discovery's first answer comes, and be sent by an old list.
        port.stopReading()
        node.on_open = port.startReading
        node.site.on_full = port.hold
    except Malformed as fault:
        _fail(f"{path}: {fault}")
    except CannotListenError as fault:
        _fail(f"{path}: listen: {fault}; name an address that is free here")
    drain = Drain(node.clock, node.site, node.busy, close, reactor.stop)
    node.measure_lag()
    node.start()
    settle_memory()
    reactor.run(installSignalHandlers=False)
    _log("ended", **{k: v for k, v in sorted(node.host.answer_counts.items())})


if __name__ == "__main__":
    main()
