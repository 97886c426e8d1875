"""Signals: SIGHUP reads the configuration anew, SIGTERM drains the node and ends it."""

from collections.abc import Callable

from myrtlehub.relay.bootstrap import Bootstrap, Malformed, read_bootstrap

NOTICE = 0.5  # seconds after SIGTERM for which connections still come: the front needs as long to notice
LOOK = 0.1  # seconds from look to look at what is still owed


class Drain:
    """An orderly end: take what still comes, close what is unused, answer all that was taken."""

    def __init__(
        self,
        clock: object,
        site: object,
        busy: Callable[[], bool],
        stop_listening: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
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
        self._wait()

    def _wait(self) -> None:
        """End once nothing is owed any more.

        All that may be owed has a bound of its own: a request its abandon time, half of one WHOLE_WITHIN, a
        last answer LINGER, a word of release its tries, a stream its engine's end or silence. So there is
        none here: who wants the process gone before that sends SIGKILL, as the platform does 3.7 s after
        SIGTERM at the soonest.
        """
        if self.busy():
            self.clock.callLater(LOOK, self._wait)
        else:
            self.end()


def reload(path: str, now: Bootstrap, moved: Callable[[str], None], log: Callable[..., None]) -> None:
    """SIGHUP: discovery moves to where the file says; a file that can't be used changes nothing.

    `now`: what is in force. All but discovery's address needs a restart, and is named.
    """
    try:
        told = read_bootstrap(path)
    except Malformed as fault:
        log("configuration kept", why=str(fault))
        return
    pairs = {
        "name": (told.name, now.name),
        "listen": (told.listen, now.listen),
        "limits": (told.sockets, now.sockets),
        "settings": (told.settings, now.settings),
    }
    log(
        "configuration read",
        discovery=told.discovery,
        not_applied=sorted(key for key, (new, old) in pairs.items() if new != old),
    )
    moved(told.discovery)
