"""The part of a node that calls its router when the endpoint list changes and when a wake-up is due."""

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

DIGEST_LABEL_LENGTH = 16  # hexadecimal digits of a list's digest in its label


@runtime_checkable
class PooledRouter(Protocol):
    """The call that a router of several engine pools has besides those of `contract.Router`."""

    def set_pool_closed(self, now: float, pool: int, is_closed: bool) -> Sequence[contract.Action]:
        """Stop, or resume, sending a pool's sequences to engines that it shares with other pools."""


class NoEnginePoolsError(Exception):
    """An engine pool was to be closed or opened, but the router has no pools."""


class RouterDriver(ABC):
    """Calls a router, has the returned actions executed, and stores the observers to notify.

    Attributes:
        router: Makes the decisions.
        decoder: Maps external names to dense indices; has the index of engines.
        list_version: Number of the endpoint list that decisions are based on; 0 before the first one.
        list_label: `list_version` as text, followed by the start of the list's digest if that is known.
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
        self._router_calls = RouterCallQueue(clock, self._make_handlers(), self._router_called)

    @abstractmethod
    def _make_handlers(self) -> ActionHandlers:
        """Return what executes each type of action."""

    @abstractmethod
    def _router_called(self) -> None:
        """Handle the end of a router call and of all calls that its actions caused."""

    def _call_router(self, call: RouterCall) -> None:
        self._router_calls.make(call)

    # -- observers --------------------------------------------------------------------------------

    def add_observer(self, observer: ExecutorObserver) -> None:
        """Notify an observer from now on, after those that were added before."""
        self._observers = (*self._observers, observer)

    def remove_observer(self, observer: ExecutorObserver) -> None:
        """Notify an observer no longer; one that was never added is ignored."""
        self._observers = tuple(other for other in self._observers if other is not observer)

    # -- calls ------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start the router; called once, before everything else."""
        self._call_router(lambda now: self.router.start(now))

    def wake(self, token: int) -> None:
        """Wake the router with the token of a wake-up that it scheduled."""
        self._call_router(lambda now: self.router.wake(now, token))

    def update_endpoints(
        self,
        rows: Sequence[Endpoint],
        is_complete: bool,
        version: int | None = None,
        digest: str | None = None,
    ) -> None:
        """Apply the complete endpoint list, or a change to it.

        Args:
            rows: all engines of the list, or only those that changed.
            is_complete: whether engines that are not among the rows are removed.
            version: number of the list; None: one more than the last.
            digest: hexadecimal digest of the list's content; None: unknown.
        """
        decoder, engines = self.decoder, self.decoder.engines
        state_changes = engines.state_changes(rows, is_complete)
        updates = engines.apply(rows, is_complete, decoder.kinds, decoder.zones, self.clock.seconds())
        self.list_version = self.list_version + 1 if version is None else version
        self.list_label = str(self.list_version)
        if digest is not None:
            self.list_label += f"-{digest[:DIGEST_LABEL_LENGTH]}"
        for address, state in state_changes:
            self.log(
                LogEvent.ENGINE_STATE_CHANGED,
                engine=address,
                engine_state=state,
                list_version=self.list_version,
            )
        self._call_router(lambda now: self.router.update_endpoints(now, updates, is_complete))
        for address in engines.remove_unused():
            self.transport.forget(address)

    def set_pool_closed(self, pool: int, is_closed: bool) -> None:
        """Stop, or resume, sending a pool's sequences to engines that it shares with other pools.

        Raises:
            NoEnginePoolsError: the router has no engine pools.
        """
        router = self.router
        if not isinstance(router, PooledRouter):
            raise NoEnginePoolsError
        self._call_router(lambda now: router.set_pool_closed(now, pool, is_closed))

    def _mark_unused(self, engine: int) -> None:
        """Count an attempt or a probe as ended; the last one at a removed engine frees the engine's index."""
        address = self.decoder.engines.mark_unused(engine)
        if address is not None:
            self.transport.forget(address)
