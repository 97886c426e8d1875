"""Releases of read state: engines are requested, one after another, to free the state of a sequence."""

from collections.abc import Mapping
from typing import NamedTuple

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.client_connection import ClientRequest
from myrtlehub.http1.connection_pool import NEW_CONNECTION, ConnectionPool
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.node.action_executor import InFlightSequence
from myrtlehub.relay.engine_directory import EngineDirectory
from myrtlehub.relay.one_shot_response import OneShotResponse

SECOND_RELEASE_DELAY_S = 0.25  # to a second release where an attempt may have ended after the first
# Between looks at whether a sequence is over whose release no engine has answered.
SEQUENCE_CHECK_INTERVAL_S = 0.1
# From try to try of a release that is not answered, each on a new connection; the last one again and again.
RETRY_DELAYS_S = (0.12, 0.2, 0.3, 0.6, 0.8)
TRIES_PER_ROUND = len(RETRY_DELAYS_S)
# After a round in which every engine refused or failed at once: a fault of a moment, such as a restart or a
# lack of local ports, must not use up all tries. It doubles from round to round.
ROUND_PAUSE_S = 0.12
MAX_ROUND_PAUSE_S = 0.96
# For which a release is tried: longer than any fault that engines outlive with the state.
RELEASE_TIMEOUT_S = 10.0
MAX_OUTSTANDING_TRIES = 5  # of one release, each of which takes a connection


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
        holder = self.directory.name(engine)
        if uncertain:
            self._second_releases_due += 1
            self.clock.callLater(SECOND_RELEASE_DELAY_S, self._release_again, holder, sequence_id)
        StateRelease(self, holder, sequence_id)

    def is_busy(self) -> bool:
        """Return whether a release is unanswered or still to be sent."""
        return bool(self.unanswered) or self._second_releases_due > 0

    def targets(self, holder: str, sequence_id: str) -> list[ReleaseTarget]:
        """Return where a release is sent, in turn: to the holder, again, then to engines that serve.

        Any engine passes it on to all. Guards against a holder that drained and ended while its state had
        moved, or was on its way, to a writer; and, as those heard last come first, against a network
        partition that separates the holder and whoever is next to it in the list.
        """
        directory = self.directory
        attempts = next((s.attempts for s in self.in_flight.values() if s.sequence_id == sequence_id), [])
        names = [directory.name(attempt.engine) for attempt in reversed(attempts)]
        names += directory.serving_names()
        others = [name for name in dict.fromkeys(names) if name != holder]
        others.sort(key=lambda name: -directory.last_heard.get(name, 0.0))
        order = [holder, holder, *others][:TRIES_PER_ROUND]
        addresses = directory.dial_addresses
        return [ReleaseTarget(name, addresses[name]) for name in order if name in addresses]

    def _release_again(self, holder: str, sequence_id: str) -> None:
        self._second_releases_due -= 1
        StateRelease(self, holder, sequence_id, is_second=True)

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

    The engines are tried in rounds. One that refuses or fails at once is followed by the next at once. The
    round in which an engine got the release, on a new connection, is the last one: that counts though no
    answer comes. After any other there is a pause, and the next one asks anew which engines there are.

    While an attempt of the sequence is outstanding nothing more is sent, as its state may be a new one, which
    a late release would free. What no engine has answered by then is sent again once the sequence is over.
    """

    def __init__(
        self, releaser: StateReleaser, holder: str, sequence_id: str, is_second: bool = False
    ) -> None:
        self.releaser = releaser
        self.holder = holder
        self.sequence_id = sequence_id
        self.request = ClientRequest(b"DELETE", b"/state/" + sequence_id.encode(), [])
        self._round: list[ReleaseTarget] = []  # those of this round that are still to be tried
        self._rounds = 0
        self._tries = 0
        self._first: PendingRequest | None = None
        self._pending: list[PendingRequest] = []
        self._timer: Timer | None = None
        self._gives_up_at = releaser.clock.seconds() + RELEASE_TIMEOUT_S
        releaser.unanswered.add(self)
        if is_second and releaser.has_outstanding_attempt(sequence_id):
            self._send_once_over()
        else:
            self._send_next()

    def _send_next(self) -> None:
        releaser = self.releaser
        is_over = self._tries > 0 and not self._round and self._was_delivered()
        if is_over or releaser.clock.seconds() >= self._gives_up_at:
            self._finish()
            return
        if self._tries and releaser.has_outstanding_attempt(self.sequence_id):
            self._cancel_tries()
            self._send_once_over()
            return
        # Before all that may raise: a release that is not tried any more would leave its state pinned.
        delay = RETRY_DELAYS_S[min(self._tries, TRIES_PER_ROUND - 1)]
        self._timer = releaser.clock.callLater(delay, self._send_next)
        if not self._round:
            self._round = releaser.targets(self.holder, self.sequence_id)
            self._rounds += 1
        if self._round:
            self._send_to(self._round.pop(0))

    def _send_to(self, target: ReleaseTarget) -> None:
        is_first = self._tries == 0
        self._tries += 1
        self._pending = [pending for pending in self._pending if not pending.finished]
        while len(self._pending) >= MAX_OUTSTANDING_TRIES:
            self._pending.pop(0).cancel()
        pending = self.releaser.pool.send(
            target.name,
            target.dial_address,
            self.request,
            OneShotResponse(self._on_end),
            0.0 if is_first else NEW_CONNECTION,
        )
        self._pending.append(pending)
        if is_first:
            self._first = pending

    def _was_delivered(self) -> bool:
        """Return whether an engine has got the release, though it has not answered.

        On a connection that was idle nothing is certain: its engine may have been cut off since.
        """
        return any(pending.is_sent and pending is not self._first for pending in self._pending)

    def _send_once_over(self) -> None:
        if self.releaser.is_in_flight(self.sequence_id):
            self._timer = self.releaser.clock.callLater(SEQUENCE_CHECK_INTERVAL_S, self._send_once_over)
        else:
            self._restart()

    def _restart(self) -> None:
        """Begin anew: the tries of before the last attempt prove nothing of the state that it left."""
        self._round = []
        self._rounds = 0
        self._tries = 0
        self._gives_up_at = self.releaser.clock.seconds() + RELEASE_TIMEOUT_S
        self._send_next()

    def _on_end(self, succeeded: bool, body: bytes) -> None:
        if succeeded:
            self._finish()
        elif self._timer is not None and self._timer.active():
            self._timer.reset(self._pause_after_failure())

    def _pause_after_failure(self) -> float:
        """Return after how long the next engine is tried: at once within a round."""
        if self._round:
            return 0.0
        return min(ROUND_PAUSE_S * 2 ** (self._rounds - 1), MAX_ROUND_PAUSE_S)

    def _finish(self) -> None:
        self.releaser.unanswered.discard(self)
        self._first = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._cancel_tries()

    def _cancel_tries(self) -> None:
        requests, self._pending = self._pending, []
        for pending in requests:
            pending.cancel()
