"""Calls the router when the endpoint list changes and when a wake-up is due, and notifies observers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Protocol, runtime_checkable

from myrtlehub.clock import Clock
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.membership.endpoint import Endpoint
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.protocols import Decoder, EngineTransport
from myrtlehub.node.router_calls import ActionHandlers, RouterCall, RouterCallQueue
from myrtlehub.routing import contract

LABEL_DIGEST_DIGITS = 16  # hexadecimal digits of the endpoint list's digest in `list_label`


@runtime_checkable
class PooledRouter(Protocol):
    """The additional call of a router that has several engine pools."""

    def set_pool_closed(self, now: float, pool: int, is_closed: bool) -> Sequence[contract.Action]:
        """Stop, or resume, sending a pool's sequences to engines that it shares with other pools."""


class NoEnginePoolsError(Exception):
    """The router has no engine pools that could be closed or opened."""


class RouterDriver(ABC):
    """Calls a router, has the returned actions executed, and keeps the list of observers.

    Attributes:
        router: The router, which decides where sequences run.
        decoder: Maps names to dense indices; contains the endpoint index.
        list_version: Version number of the endpoint list that the router has; 0 before the first list.
        list_label: `list_version` as text, followed by the start of the list's digest if known.
    """

    def __init__(
        self,
        router: contract.Router,
        decoder: Decoder,
        clock: Clock,
        transport: EngineTransport,
        log: Log = no_log,
    ) -> None:
        self.router = router
        self.decoder = decoder
        self.clock = clock
        self.transport = transport
        self.log = log
        self.list_version = 0
        self.list_label = "0"
        self._observers: tuple[ExecutorObserver, ...] = ()
        self._router_calls = RouterCallQueue(clock, self._make_handlers(), self._router_calls_done)

    @abstractmethod
    def _make_handlers(self) -> ActionHandlers:
        """Return the function that executes each type of action."""

    @abstractmethod
    def _router_calls_done(self) -> None:
        """Called after a router call and all calls that its actions caused."""

    def _call_router(self, call: RouterCall) -> None:
        self._router_calls.submit(call)

    # -- observers --------------------------------------------------------------------------------

    def add_observer(self, observer: ExecutorObserver) -> None:
        """Add an observer; it is notified after those added earlier."""
        self._observers = (*self._observers, observer)

    def remove_observer(self, observer: ExecutorObserver) -> None:
        """Remove an observer; one that was never added is ignored."""
        self._observers = tuple(other for other in self._observers if other is not observer)

    # -- calls ------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start the router; called once, before all other calls."""
        self._call_router(lambda now: self.router.start(now))

    def wake(self, token: int) -> None:
        """Report to the router that the wake-up with this token is due."""
        self._call_router(lambda now: self.router.wake(now, token))

    def update_endpoints(
        self,
        endpoints: Sequence[Endpoint],
        is_complete: bool,
        version: int | None = None,
        digest: str | None = None,
    ) -> None:
        """Apply the complete endpoint list, or a change to it.

        Args:
            endpoints: All engines of the list, or only those that changed.
            is_complete: Whether engines that are not among the endpoints are removed.
            version: Version number of the list; None: the last one plus 1.
            digest: Hexadecimal digest of the list's content; None if unknown.
        """
        decoder, engines = self.decoder, self.decoder.engines
        state_changes = engines.state_changes(endpoints, is_complete)
        updates = engines.apply(endpoints, is_complete, decoder.kinds, decoder.zones, self.clock.seconds())
        self.list_version = self.list_version + 1 if version is None else version
        self.list_label = str(self.list_version)
        if digest is not None:
            self.list_label += f"-{digest[:LABEL_DIGEST_DIGITS]}"
        for address, state in state_changes:
            self.log(
                LogEvent.ENGINE_STATE_CHANGED,
                engine=address,
                engine_state=state,
                list_version=self.list_version,
            )
        self._call_router(lambda now: self.router.update_endpoints(now, updates, is_complete))
        for address in engines.free_unused_indices():
            self.transport.forget(address)

    def set_pool_closed(self, pool: int, is_closed: bool) -> None:
        """Stop, or resume, sending a pool's sequences to engines that it shares with other pools.

        Raises:
            NoEnginePoolsError: The router has no engine pools.
        """
        router = self.router
        if not isinstance(router, PooledRouter):
            raise NoEnginePoolsError
        self._call_router(lambda now: router.set_pool_closed(now, pool, is_closed))

    def _decrement_use_count(self, engine: int) -> None:
        """Count an attempt or a probe as ended; the last one at a removed engine frees the engine's index."""
        address = self.decoder.engines.decrement_use_count(engine)
        if address is not None:
            self.transport.forget(address)
