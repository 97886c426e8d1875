"""Releases of read state: requests to engines to free the state that a reader holds for a sequence."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.client_request import ClientRequest
from myrtlehub.http1.connection_pool import ConnectionPool
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.relay.engines.engine_directory import EngineDirectory
from myrtlehub.relay.engines.small_response import SmallResponseHandler

STATE_PATH = b"/state/"  # followed by the sequence id
# Delay of the second release, for an attempt that may have ended at its engine after the first one.
SECOND_RELEASE_DELAY_S = 0.25
# Interval of the checks whether a sequence is still in flight, while its release waits for that.
SEQUENCE_CHECK_INTERVAL_S = 0.1
# Delays from one request of a release to the next if there is no response; the last delay is repeated.
RETRY_DELAYS_S = (0.12, 0.2, 0.3, 0.6, 0.8)
REQUESTS_PER_ROUND = len(RETRY_DELAYS_S)
# Backoff after a round in which all engines refused or failed at once, doubled from round to round: a fault
# that lasts a moment, such as a restart or a lack of local ports, must not use up the time for the release.
ROUND_BACKOFF_S = 0.12
MAX_ROUND_BACKOFF_S = 0.96
RELEASE_TIMEOUT_S = 10.0  # longer than any fault that an engine survives with its state
MAX_OUTSTANDING_REQUESTS = 5  # of one release; each occupies a connection


class ReleaseTarget(NamedTuple):
    """An engine that a release is sent to."""

    name: str
    dial_address: str


class StateReleaser:
    """Sends releases and keeps those that no engine has answered yet.

    Attributes:
        in_flight: The executor's in-flight sequences, by number.
        unanswered: The releases without a response.
    """

    def __init__(self, clock: Clock, pool: ConnectionPool, directory: EngineDirectory) -> None:
        self.clock = clock
        self.pool = pool
        self.directory = directory
        self.in_flight: Mapping[int, InFlightSequence] = {}
        self.unanswered: set[StateRelease] = set()
        self._scheduled_count = 0  # second releases that are still to be sent

    def release(self, engine: int, sequence_id: str, is_uncertain: bool) -> None:
        """Release the read state that `engine` holds for a sequence.

        Args:
            engine: The engine that the read was sent to.
            sequence_id: The sequence.
            is_uncertain: An attempt of the sequence may still be running at its engine, so that a second
                release is sent. The first one is too early if a read completes after it although its
                connection was closed, or if an engine receives it before it notices that the writer's
                connection was closed.
        """
        reader = self.directory.name(engine)
        if is_uncertain:
            self._scheduled_count += 1
            self.clock.callLater(SECOND_RELEASE_DELAY_S, self._release_again, reader, sequence_id)
        StateRelease(self, reader, sequence_id)

    def is_busy(self) -> bool:
        """Return whether a release is unanswered or still to be sent."""
        return bool(self.unanswered) or self._scheduled_count > 0

    def targets(self, reader: str, sequence_id: str) -> list[ReleaseTarget]:
        """Return the engines of one round, in order: the reader twice, then other engines.

        Any engine forwards a release to all others, which helps if the reader drained and ended while its
        state was being transferred to a writer. The others are sorted by their latest contact, in case a
        network partition separates the reader and its neighbours in the endpoint list
        (test_a_state_behind_a_partition_is_released_through_the_engine_of_latest_contact).
        """
        directory = self.directory
        sequence = next(self._sequences(sequence_id), None)
        attempts = sequence.attempts if sequence is not None else []
        names = [directory.name(attempt.engine) for attempt in reversed(attempts)]
        names += directory.serving_names()
        others = [name for name in dict.fromkeys(names) if name != reader]
        others.sort(key=lambda name: -directory.last_contact_at.get(name, 0.0))
        order = [reader, reader, *others][:REQUESTS_PER_ROUND]
        addresses = directory.dial_addresses
        return [ReleaseTarget(name, addresses[name]) for name in order if name in addresses]

    def _release_again(self, reader: str, sequence_id: str) -> None:
        self._scheduled_count -= 1
        StateRelease(self, reader, sequence_id, is_second=True)

    def _sequences(self, sequence_id: str) -> Iterator[InFlightSequence]:
        """Yield the in-flight sequences with this id: a client may reuse the id of an answered one."""
        return (sequence for sequence in self.in_flight.values() if sequence.sequence_id == sequence_id)

    def is_in_flight(self, sequence_id: str) -> bool:
        """Return whether the sequence is in flight."""
        return any(True for _ in self._sequences(sequence_id))

    def has_outstanding_attempt(self, sequence_id: str) -> bool:
        """Return whether an attempt of the sequence is outstanding.

        Its read state may be a new one, which a release would free by mistake.
        """
        return any(
            attempt.is_outstanding
            for sequence in self._sequences(sequence_id)
            for attempt in sequence.attempts
        )


class StateRelease:
    """One release: the same request to one engine after another, until one has answered.

    The requests are made in rounds. If an engine refuses or fails at once, the next request follows at once.
    All requests but the first use new connections, so that one whose last byte was sent has arrived; a round
    with such a request is the last one, even if there is no response. After any other round there is a
    backoff, and the next round determines its engines again.

    While an attempt of the sequence is outstanding, nothing more is sent, because its read state may be a new
    one, which a late release would free by mistake. A release without a response by then is started again
    once the sequence is no longer in flight.
    """

    def __init__(
        self, releaser: StateReleaser, reader: str, sequence_id: str, is_second: bool = False
    ) -> None:
        self.releaser = releaser
        self.reader = reader
        self.sequence_id = sequence_id
        self.request = ClientRequest(b"DELETE", STATE_PATH + sequence_id.encode(), [])
        self._round: list[ReleaseTarget] = []  # engines of this round that have not been sent a request yet
        self._round_count = 0
        self._request_count = 0
        self._first: PendingRequest | None = None  # the request that may use an idle connection
        self._pending: list[PendingRequest] = []
        self._timer: Timer | None = None
        self._expires_at = releaser.clock.seconds() + RELEASE_TIMEOUT_S
        releaser.unanswered.add(self)
        if is_second and releaser.has_outstanding_attempt(sequence_id):
            self._wait_for_sequence_end()
        else:
            self._send_next()

    def _send_next(self) -> None:
        releaser = self.releaser
        is_delivered = self._request_count > 0 and not self._round and self._was_delivered()
        if is_delivered or releaser.clock.seconds() >= self._expires_at:
            self._finish()
            return
        if self._request_count and releaser.has_outstanding_attempt(self.sequence_id):
            self._cancel_requests()
            self._wait_for_sequence_end()
            return
        # Scheduled before the steps that may raise: otherwise the release would never be retried.
        delay = RETRY_DELAYS_S[min(self._request_count, REQUESTS_PER_ROUND - 1)]
        self._timer = releaser.clock.callLater(delay, self._send_next)
        if not self._round:
            self._round = releaser.targets(self.reader, self.sequence_id)
            self._round_count += 1
        if self._round:
            self._send_to(self._round.pop(0))

    def _send_to(self, target: ReleaseTarget) -> None:
        is_first = self._request_count == 0
        self._request_count += 1
        self._pending = [pending for pending in self._pending if not pending.is_finished]
        while len(self._pending) >= MAX_OUTSTANDING_REQUESTS:
            self._pending.pop(0).cancel()
        pending = self.releaser.pool.send(
            target.name,
            target.dial_address,
            self.request,
            SmallResponseHandler(self._on_end),
            may_reuse=is_first,
        )
        self._pending.append(pending)
        if is_first:
            self._first = pending

    def _was_delivered(self) -> bool:
        """Return whether a request has been sent on a new connection and awaits its response.

        The first request does not count: its engine may have been cut off while the connection was idle.
        """
        return any(pending.is_sent and pending is not self._first for pending in self._pending)

    def _wait_for_sequence_end(self) -> None:
        """Start the release again once the sequence is no longer in flight."""
        if self.releaser.is_in_flight(self.sequence_id):
            self._timer = self.releaser.clock.callLater(
                SEQUENCE_CHECK_INTERVAL_S, self._wait_for_sequence_end
            )
        else:
            self._restart()

    def _restart(self) -> None:
        """Start from the first round: the last attempt may have left a state after the former requests."""
        self._round = []
        self._round_count = 0
        self._request_count = 0
        self._expires_at = self.releaser.clock.seconds() + RELEASE_TIMEOUT_S
        self._send_next()

    def _on_end(self, succeeded: bool, body: bytes) -> None:
        if succeeded:
            self._finish()
        elif self._timer is not None and self._timer.active():
            self._timer.reset(self._delay_after_failure())

    def _delay_after_failure(self) -> float:
        """Return the seconds until the next request: none within a round, a backoff after it."""
        if self._round:
            return 0.0
        backoff: float = ROUND_BACKOFF_S * 2 ** (self._round_count - 1)
        return min(backoff, MAX_ROUND_BACKOFF_S)

    def _finish(self) -> None:
        self.releaser.unanswered.discard(self)
        self._first = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._cancel_requests()

    def _cancel_requests(self) -> None:
        requests, self._pending = self._pending, []
        for pending in requests:
            pending.cancel()
