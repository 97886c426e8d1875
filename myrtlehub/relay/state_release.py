"""Releases of read state: engines are requested, one after another, to free the state of a sequence."""

from collections.abc import Mapping
from typing import NamedTuple

from myrtlehub.http1.client_connection import ClientRequest
from myrtlehub.http1.connection_pool import NEW_CONNECTION, ConnectionPool
from myrtlehub.http1.interfaces import Clock, Timer
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.node.action_executor import InFlightSequence
from myrtlehub.relay.engine_directory import EngineDirectory
from myrtlehub.relay.one_shot_response import OneShotResponse

SECOND_RELEASE_DELAY_S = 0.25  # to a second release where an attempt may have ended after the first
# Between looks at whether a sequence is over whose release no engine has answered.
SEQUENCE_CHECK_INTERVAL_S = 0.1
RETRY_DELAYS_S = (0.12, 0.2, 0.3, 0.6, 0.8)  # from try to try of a release, each on a new connection


class ReleaseTarget(NamedTuple):
    """An engine that a release is sent to."""

    name: str
    dial_address: str


class StateReleaser:
    """Sends releases and keeps those that no engine has answered yet."""

    def __init__(self, clock: Clock, pool: ConnectionPool, directory: EngineDirectory) -> None:
        self.clock = clock
        self.pool = pool
        self.directory = directory
        self.in_flight: Mapping[int, InFlightSequence] = {}  # of the action executor
        self.unanswered: set[StateRelease] = set()
        self._second_releases_due = 0

    def release(self, engine: int, sequence_id: str, uncertain: bool) -> None:
        """Release what `engine` holds for a sequence.

        Args:
            engine: The engine that was sent the read.
            sequence_id: The sequence.
            uncertain: An attempt of it may go on unseen, so that a second release is needed. Guards against a
                read that ended well as its connection closed, and whose state was kept after the first
                release, and against an engine that got the release before it saw the writer's connection
                close.
        """
        targets = self._targets(engine, sequence_id)
        StateRelease(self, targets, sequence_id)
        if uncertain:
            self._second_releases_due += 1
            self.clock.callLater(SECOND_RELEASE_DELAY_S, self._release_again, targets, sequence_id)

    def is_busy(self) -> bool:
        """Return whether a release is unanswered or still to be sent."""
        return bool(self.unanswered) or self._second_releases_due > 0

    def _targets(self, engine: int, sequence_id: str) -> list[ReleaseTarget]:
        """Return where a release is sent, in turn: to the holder, again, then to engines that serve.

        Any engine passes it on to all. Guards against a holder that drained and ended while its state had
        moved, or was on its way, to a writer; and, as those heard last come first, against a network
        partition that separates the holder and whoever is next to it in the list.
        """
        directory = self.directory
        holder = directory.name(engine)
        attempts = next((s.attempts for s in self.in_flight.values() if s.sequence_id == sequence_id), [])
        names = [directory.name(attempt.engine) for attempt in reversed(attempts)]
        names += directory.serving_names()
        others = [name for name in dict.fromkeys(names) if name != holder]
        others.sort(key=lambda name: -directory.last_heard.get(name, 0.0))
        order = [holder, holder, *others][: len(RETRY_DELAYS_S)]
        addresses = directory.dial_addresses
        return [ReleaseTarget(name, addresses[name]) for name in order if name in addresses]

    def _release_again(self, targets: list[ReleaseTarget], sequence_id: str) -> None:
        self._second_releases_due -= 1
        StateRelease(self, targets, sequence_id, is_second=True)

    def is_in_flight(self, sequence_id: str) -> bool:
        """Return whether the sequence is in flight."""
        return any(sequence.sequence_id == sequence_id for sequence in self.in_flight.values())

    def has_outstanding_attempt(self, sequence_id: str) -> bool:
        """Return whether an attempt of it is out: its state may be a new one, which a release would free."""
        return any(
            sequence.sequence_id == sequence_id
            and any(attempt.is_outstanding for attempt in sequence.attempts)
            for sequence in self.in_flight.values()
        )


class StateRelease:
    """One release: sent to engine after engine, each on a new connection, until one has answered.

    While an attempt of the sequence is outstanding nothing more is sent, as its state may be a new one, which
    a late release would free. What no engine has answered by then is sent again once the sequence is over.
    """

    def __init__(
        self,
        releaser: StateReleaser,
        targets: list[ReleaseTarget],
        sequence_id: str,
        is_second: bool = False,
    ) -> None:
        self.releaser = releaser
        self.targets = targets
        self.sequence_id = sequence_id
        self.request = ClientRequest(b"DELETE", b"/state/" + sequence_id.encode(), [])
        self._pending: list[PendingRequest] = []
        self._timer: Timer | None = None
        releaser.unanswered.add(self)
        if is_second and releaser.has_outstanding_attempt(sequence_id):
            self._send_once_over()
        else:
            self._send_next()

    def _send_next(self) -> None:
        releaser = self.releaser
        tries = len(self._pending)
        if tries >= len(self.targets):
            self._finish()
            return
        if tries and releaser.has_outstanding_attempt(self.sequence_id):
            self._cancel_tries()
            self._send_once_over()
            return
        target = self.targets[tries]
        self._timer = releaser.clock.callLater(RETRY_DELAYS_S[tries], self._send_next)
        self._pending.append(
            releaser.pool.send(
                target.name,
                target.dial_address,
                self.request,
                OneShotResponse(self._on_end),
                NEW_CONNECTION if tries else 0.0,
            )
        )

    def _send_once_over(self) -> None:
        if self.releaser.is_in_flight(self.sequence_id):
            self._timer = self.releaser.clock.callLater(SEQUENCE_CHECK_INTERVAL_S, self._send_once_over)
        else:
            self._send_next()

    def _on_end(self, succeeded: bool, body: bytes) -> None:
        if succeeded:
            self._finish()
        elif self._timer is not None and self._timer.active():
            self._timer.reset(0)  # rejected or failed: the next one at once

    def _finish(self) -> None:
        self.releaser.unanswered.discard(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._cancel_tries()

    def _cancel_tries(self) -> None:
        requests, self._pending = self._pending, []
        for pending in requests:
            pending.cancel()
