"""HTTP/1.1, client side: one request at a time on a connection, and a pool of them by peer."""

from collections.abc import Callable
from contextlib import suppress
from socket import SHUT_WR
from typing import NamedTuple

import h11
from twisted.internet.protocol import Factory, Protocol

from myrtlehub.http1.bounds import CHUNK_MOST, HEAD_MOST, INFORMATIONAL_MOST, SETTLED, STALE_FOR


class Call(NamedTuple):
    """What is asked. `headers` without Host and Content-Length, which are added here."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""


class Watcher:
    """Who hears of an answer. `ended` or `broke` comes last, and once."""

    def head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Status and headers, names in lower case."""

    def data(self, data: bytes) -> None:
        """A part of the body."""

    def ended(self) -> None:
        """The answer is whole, by its own framing."""

    def unwanted(self) -> None:
        """It was not to be sent any more, or no connection could be made here: nothing has left."""
        self.broke(False)

    def broke(self, sent: bool) -> None:
        """No whole answer comes; `sent`: the request's last byte had left, so that it may have run."""


def abortive_close(transport: object) -> None:
    """End a connection so that its peer is told before anything that is written after this.

    Guards against abortConnection alone: the reactor closes the socket a turn later, after what was written
    meanwhile on other connections, and the peer would see a request go on while its next one comes.
    """
    handle = getattr(transport, "getHandle", None)
    if handle is not None:
        with suppress(OSError):  # it may be lost already
            handle().shutdown(SHUT_WR)
    transport.abortConnection()


class ClientConnection(Protocol):
    """One connection to a peer. `pool` hears when it is free again and when it is lost."""

    def __init__(self, pool: "ConnectionPool", key: str) -> None:
        self.pool, self.key, self.clock = pool, key, pool.clock
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_MOST)
        self.pending: PendingRequest | None = None
        self.free_since = 0.0
        self.sent = self.gone = self.chunked = self.in_chunk = False
        self.used = self.answered = False  # it had a request before this one; the answer has begun
        self._informational = self._chunk = 0
        self._to_write: bytes | None = None

    def connectionMade(self) -> None:  # noqa: N802
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)

    def ask(self, pending: "PendingRequest") -> None:
        """Send a request; the connection has to be free."""
        self.pending, call = pending, pending.call
        self.sent = self.chunked = self.in_chunk = self.answered = False
        self._informational = 0
        headers = [(b"Host", pending.address.encode()), *call.headers]
        if call.body or call.method == b"POST":
            headers.append((b"Content-Length", b"%d" % len(call.body)))
        parts = [self.http.send(h11.Request(method=call.method, target=call.target, headers=headers))]
        if call.body:
            parts.append(self.http.send(h11.Data(data=call.body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        self._to_write = b"".join(parts)
        # As a producer that is pulled: asked again once all of it has left this process.
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        if self._to_write is not None:
            data, self._to_write = self._to_write, None
            self.transport.write(data)
        else:
            self.sent = True
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.pending is None:  # nothing was asked: it has no further use
            self.close()
            return
        try:
            self.http.receive_data(data)
            while self.pending is not None:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED or not self._take(event):
                    return
        except h11.RemoteProtocolError:
            self._broke()

    def _take(self, event: object) -> bool:
        kind, watcher = type(event), self.pending.watcher
        self.answered = True
        if kind is h11.Data:
            self._chunk = len(event.data) + (0 if event.chunk_start else self._chunk)
            self.in_chunk = self.chunked and not event.chunk_end
            if self.chunked and self._chunk > CHUNK_MOST:
                self._broke()
                return False
            watcher.data(bytes(event.data))
        elif kind is h11.Response:
            self.chunked = any(name == b"transfer-encoding" for name, _ in event.headers)
            watcher.head(event.status_code, list(event.headers))
        elif kind is h11.InformationalResponse:
            self._informational += 1
            if self._informational > INFORMATIONAL_MOST:
                self._broke()
                return False
        elif kind is h11.EndOfMessage:
            self._ended()
        else:
            self._broke()
            return False
        return True

    def owes(self) -> bool:
        """Whether the peer has begun something, a chunk or its line, and has not sent the rest."""
        return self.in_chunk or bool(self.http.trailing_data[0])

    def _ended(self) -> None:
        pending, self.pending = self.pending, None
        http = self.http
        if (
            self.sent
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
            and not self.gone
            and self.pool.trusts()
        ):
            http.start_next_cycle()
            self.used = True
            self.pool.freed(self)
        else:
            self.close()
        pending.finished()
        pending.watcher.ended()

    def _broke(self) -> None:
        pending, self.pending = self.pending, None
        self.close()
        if pending is not None:
            if self.used and not self.answered:
                self.pool.saw_stale()
            pending.finished()
            pending.watcher.broke(self.sent)

    def close(self) -> None:
        """Now, whatever is on its way."""
        if not self.gone:
            self.gone = True
            self.pool.dropped(self)
            abortive_close(self.transport)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        self.gone = True
        self.pool.dropped(self)
        if self.pending is not None:
            self._broke()


class _One(Factory):
    noisy = False

    def __init__(self, make: Callable[[], ClientConnection]) -> None:
        self.make = make

    def buildProtocol(self, addr: object) -> ClientConnection:  # noqa: N802
        return self.make()


class PendingRequest:
    """One request on its way: waiting for a connection, on one, or over."""

    def __init__(
        self,
        pool: "ConnectionPool",
        key: str,
        address: str,
        call: Call,
        watcher: Watcher,
        still: Callable[[], bool],
    ) -> None:
        self.pool, self.key, self.address, self.call, self.watcher = pool, key, address, call, watcher
        self.still = still
        self.connection: ClientConnection | None = None
        self.dialing = None
        self.stands_since = pool.clock.seconds()  # the later of its coming and its connection's
        self.over = self.paused = False

    def finished(self) -> None:
        """Nothing more comes of it."""
        self.over, self.connection = True, None

    def cancel(self) -> None:
        """Give it up: its connection is closed, and its watcher hears nothing more."""
        if self.over:
            return
        self.over = True
        if self.dialing is not None:
            dialing, self.dialing = self.dialing, None
            dialing.cancel()
        if self.connection is not None:
            connection, self.connection = self.connection, None
            if connection.pending is None:
                self.pool.freed(connection)  # nothing was written on it yet
            else:
                connection.pending = None
                connection.close()

    def pause(self) -> None:
        """Read no more of the answer for now."""
        if self.connection is not None:
            self.paused = True
            self.connection.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self.connection is not None:
            self.paused = False
            self.connection.transport.resumeProducing()


class ConnectionPool:
    """Connections by peer. `dial(address)` gives a way there: called with a factory, fires when it is up."""

    def __init__(self, clock: object, dial: Callable[[str], Callable], most: int, idle: float) -> None:
        self.clock, self.dial, self.most, self.idle = clock, dial, most, idle
        self.count = 0  # connections that are up or being made
        self.made = self.reused = 0  # ever
        self._trusted_at = float("-inf")  # from when kept connections are used again
        self._free: dict[str, list[ClientConnection]] = {}  # the longest free first
        self._up: set[ClientConnection] = set()
        self._sweeping = None

    def ask(
        self,
        key: str,
        address: str,
        call: Call,
        watcher: Watcher,
        within: float = 0.0,
        still: Callable[[], bool] = lambda: True,
    ) -> PendingRequest:
        """Send `call`; `within`: seconds for which a kept connection may have lain unused.

        0: the usual; below 0: a new connection. `still` is asked before the first byte: whether it is still
        to be sent.
        """
        pending = PendingRequest(self, key, address, call, watcher, still)
        kept = self._kept(key, within or self.idle)
        if kept is not None:
            pending.connection = kept
            self.clock.callLater(0, self.clock.callLater, 0, self._first_byte, pending, kept)
        else:
            self._dial(pending)
        return pending

    def _dial(self, pending: "PendingRequest") -> None:
        if self.count >= self.most and not self._make_room():
            # No descriptor of ours is free: that is no fault of the peer's.
            self.clock.callLater(0, self._unwanted, pending)
            return
        self.count += 1
        self.made += 1
        pending.dialing = self.dial(pending.address)(_One(lambda: ClientConnection(self, pending.key)))
        pending.dialing.addCallbacks(
            self._dialed, self._not_dialed, callbackArgs=(pending,), errbackArgs=(pending,)
        )

    def _first_byte(self, pending: "PendingRequest", connection: ClientConnection) -> None:
        """Send it, if it is still wanted.

        On a kept connection two turns after it was asked for, on a new one a turn after it stood. Guards
        against what lies unread in the kernel where this process was held up: that the client has left, or
        that the engine drains, has been read in the turn between, and came long before.
        """
        if pending.over:
            return
        if connection.gone:
            pending.connection = None
            if connection.used:  # its peer has closed it meanwhile: nothing was written on it
                self._dial(pending)
            else:
                self._unreached(pending)
        elif not pending.still():
            self.freed(connection)
            self._unwanted(pending)
        else:
            self.reused += connection.used
            connection.ask(pending)

    def _kept(self, key: str, within: float) -> ClientConnection | None:
        """A free one, lately used, whose last answer has nothing behind it."""
        now, free = self.clock.seconds(), self._free.get(key, [])
        if not self.trusts():
            return None
        for i in range(len(free) - 1, -1, -1):
            if now - free[i].free_since > within:
                return None
            if now - free[i].free_since >= SETTLED:
                return free.pop(i)
        return None

    def saw_stale(self) -> None:
        """A kept connection broke under its next request: for a while all kept ones may be dead unseen."""
        self._trusted_at = self.clock.seconds() + STALE_FOR

    def trusts(self) -> bool:
        """Whether connections are kept and used again."""
        return self.clock.seconds() >= self._trusted_at

    def _make_room(self) -> bool:
        """Close the longest unused connection of any peer."""
        oldest = min((c[0] for c in self._free.values() if c), key=lambda c: c.free_since, default=None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def _dialed(self, connection: ClientConnection, pending: PendingRequest) -> None:
        pending.dialing = None
        self._up.add(connection)
        if pending.over:
            connection.close()
            return
        pending.connection, pending.stands_since = connection, self.clock.seconds()
        self.clock.callLater(0, self._first_byte, pending, connection)

    def _not_dialed(self, failure: object, pending: PendingRequest) -> None:
        self.count -= 1
        pending.dialing = None
        self._unreached(pending)

    def _unreached(self, pending: PendingRequest) -> None:
        if not pending.over:
            pending.finished()
            pending.watcher.broke(False)

    def _unwanted(self, pending: PendingRequest) -> None:
        if not pending.over:
            pending.finished()
            pending.watcher.unwanted()

    def freed(self, connection: ClientConnection) -> None:
        """Its answer is whole, or it was not asked; it may be used again."""
        if connection.gone or not self.trusts():
            connection.close()
            return
        connection.free_since = self.clock.seconds()
        self._free.setdefault(connection.key, []).append(connection)
        if self._sweeping is None:
            self._sweeping = self.clock.callLater(1.0, self._sweep)

    def _sweep(self) -> None:
        self._sweeping, now = None, self.clock.seconds()
        for free in list(self._free.values()):
            for connection in [c for c in free if now - c.free_since > self.idle]:
                connection.close()
        if self._free:
            self._sweeping = self.clock.callLater(1.0, self._sweep)

    def dropped(self, connection: ClientConnection) -> None:
        """It is closed or lost."""
        if connection in self._up:
            self._up.discard(connection)
            self.count -= 1
        free = self._free.get(connection.key)
        if free and connection in free:
            free.remove(connection)
        if free is not None and not free:
            del self._free[connection.key]

    def close_idle(self, key: str) -> None:
        """Close the unused connections to a peer."""
        for connection in list(self._free.get(key, ())):
            connection.close()
