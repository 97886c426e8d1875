"""Signals: SIGHUP reads the configuration anew, SIGTERM drains the node and ends it."""

from collections.abc import Callable

from myrtlehub.relay.told import BadNews, read_told

NOTICE = 0.5  # seconds after SIGTERM for which connections still come: the front needs as long to notice
FLUSH = 0.1  # seconds for the last answers to leave


class Drain:
    """An orderly end: take what still comes, close what is unused, answer all that was taken."""

    def __init__(self, clock: object, site: object, busy: Callable[[], bool],
                 stop_listening: Callable[[], None], end: Callable[[], None]) -> None:
        self.clock, self.site, self.busy = clock, site, busy
        self.stop_listening, self.end = stop_listening, end
        self.begun = False

    def start(self) -> None:
        """SIGTERM: once; more of them change nothing."""
        if self.begun:
            return
        self.begun = True
        self.site.drain()
        self.clock.callLater(NOTICE, self._close)

    def _close(self) -> None:
        self.stop_listening()
        self.site.drain()
        self._wait(0)

    def _wait(self, quiet: int) -> None:
        """End once nothing was open for two looks: a request may just be coming in."""
        quiet = 0 if self.busy() else quiet + 1
        if quiet > 2:
            self.end()
        else:
            self.clock.callLater(FLUSH, self._wait, quiet)


def reload(path: str, moved: Callable[[str], None], log: Callable[..., None]) -> None:
    """SIGHUP: discovery moves to where the file says; a file that can't be used changes nothing."""
    try:
        told = read_told(path)
    except BadNews as fault:
        log("configuration kept", why=str(fault))
        return
    log("configuration read", discovery=told.discovery)
    moved(told.discovery)
