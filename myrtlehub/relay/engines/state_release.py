"""Releases of read state: requests to engines to free the state that a reader stores for a sequence."""

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import NamedTuple

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.client_request import ClientRequest
from myrtlehub.http1.connection_pool import ConnectionPool
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.relay.engines.engine_directory import EngineDirectory
from myrtlehub.relay.engines.small_response import SmallResponseHandler

STATE_PATH = b"/state/"  # followed by the sequence id
# Time from the first to the second release, in case an attempt ended at its engine after the first one.
SECOND_RELEASE_DELAY_S = 0.25
# Interval of the checks whether a sequence is still in flight, while a release waits for its end.
SEQUENCE_CHECK_INTERVAL_S = 0.1
# Times after each request of a release to the next one if there is no response; the last one is repeated.
RETRY_DELAYS_S = (0.12, 0.2, 0.3, 0.6, 0.8)
REQUESTS_PER_ROUND = len(RETRY_DELAYS_S)
# Backoff after a round whose requests have failed, doubled from round to round. The first one is short,
# because a brief fault, such as a restart or a lack of local ports, must not use up the time for the release.
ROUND_BACKOFF_S = 0.12
MAX_ROUND_BACKOFF_S = 0.96
RELEASE_TIMEOUT_S = 10.0  # longer than any fault after which an engine still has its state
MAX_OUTSTANDING_REQUESTS = 5  # per release, as each occupies a connection


class ReleaseResult(StrEnum):
    """How a release ended; the values are logged and counted."""

    CONFIRMED = "confirmed"  # an engine answered it with success
    UNCONFIRMED = "unconfirmed"  # it was sent in full on a new connection, and no engine answered
    EXPIRED = "expired"  # no engine answered within RELEASE_TIMEOUT_S


class ReleaseTarget(NamedTuple):
    """An engine to which a release is sent."""

    name: str
    dial_address: str


class StateReleaser:
    """Sends releases, and keeps track of those that no engine has answered yet.

    Attributes:
        in_flight: The executor's in-flight sequences, by number.
        unanswered: The releases without a successful response.
        result_counts: Releases that have ended, by the value of their `ReleaseResult`.
    """

    def __init__(
        self, clock: Clock, pool: ConnectionPool, directory: EngineDirectory, log: Log = no_log
    ) -> None:
        self.clock = clock
        self.pool = pool
        self.directory = directory
        self.log = log
        self.result_counts: Counter[str] = Counter()
        self.in_flight: Mapping[int, InFlightSequence] = {}
        self.unanswered: set[StateRelease] = set()
        self._scheduled_count = 0  # second releases that are still to be sent

    def release(self, engine: int, sequence_id: str, is_uncertain: bool) -> None:
        """Release the read state that `engine` stores for a sequence.

        Args:
            engine: The engine that the read was sent to.
            sequence_id: The sequence.
            is_uncertain: Whether an attempt of the sequence may still be running at its engine. Then a second
                release is sent after SECOND_RELEASE_DELAY_S, because the first one may be too early: a read
                can complete after it although its connection was closed, or an engine can receive it before
                it notices that the connection of the write was closed.
        """
        reader = self.directory.name(engine)
        if is_uncertain:
            self._scheduled_count += 1
            self.clock.callLater(SECOND_RELEASE_DELAY_S, self._release_again, reader, sequence_id)
        StateRelease(self, reader, sequence_id)

    def is_busy(self) -> bool:
        """Return whether a release is unanswered, or a second release is still to be sent."""
        return bool(self.unanswered) or self._scheduled_count > 0

    def targets(self, reader: str, sequence_id: str) -> list[ReleaseTarget]:
        """Return the engines of one round, in order: the reader twice, then other engines.

        The other engines are included because any engine forwards a release to all others. This helps if the
        reader exited while its state was being transferred to a writer. They are sorted by last contact, the
        most recent first, in case a network partition separates this node from the reader and from its
        neighbours in the endpoint list
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
        """Yield the in-flight sequences with this id; a client may reuse the id of an answered one."""
        return (sequence for sequence in self.in_flight.values() if sequence.sequence_id == sequence_id)

    def is_in_flight(self, sequence_id: str) -> bool:
        """Return whether the sequence is in flight."""
        return any(True for _ in self._sequences(sequence_id))

    def has_outstanding_attempt(self, sequence_id: str) -> bool:
        """Return whether an attempt of the sequence is outstanding.

        If so, the sequence may have a new read state, which a release would free by mistake.
        """
        return any(
            attempt.is_outstanding
            for sequence in self._sequences(sequence_id)
            for attempt in sequence.attempts
        )


class StateRelease:
    """One release: the same request to one engine after another, until one responds with success.

    The requests are sent in rounds over the engines that `StateReleaser.targets` returns. If a request fails,
    the next one follows immediately. If it gets no response, the next one follows after RETRY_DELAYS_S. All
    requests except the first use new connections, so a request that was sent in full is assumed to have been
    delivered. If a round ends with such a request outstanding, the release ends even without a response.
    Otherwise another round follows after a backoff.

    While an attempt of the sequence is outstanding, only the first request of the first release is sent: the
    attempt may create a new read state, which a later request would free by mistake. A release that is
    interrupted so is restarted once the sequence is no longer in flight.
    """

    def __init__(
        self, releaser: StateReleaser, reader: str, sequence_id: str, is_second: bool = False
    ) -> None:
        self.releaser = releaser
        self.reader = reader
        self.sequence_id = sequence_id
        self.request = ClientRequest(b"DELETE", STATE_PATH + sequence_id.encode(), [])
        self._round: list[ReleaseTarget] = []  # engines of this round that have no request yet
        self._round_count = 0
        self._request_count = 0
        self._first: PendingRequest | None = None  # the only request that may use an idle connection
        self._pending: list[PendingRequest] = []
        self._timer: Timer | None = None
        self._begun_at = releaser.clock.seconds()
        self._expires_at = self._begun_at + RELEASE_TIMEOUT_S
        releaser.unanswered.add(self)
        if is_second and releaser.has_outstanding_attempt(sequence_id):
            self._wait_for_sequence_end()
        else:
            self._send_next()

    def _send_next(self) -> None:
        releaser = self.releaser
        is_delivered = self._request_count > 0 and not self._round and self._was_delivered()
        if is_delivered or releaser.clock.seconds() >= self._expires_at:
            self._finish(ReleaseResult.UNCONFIRMED if is_delivered else ReleaseResult.EXPIRED)
            return
        if self._request_count and releaser.has_outstanding_attempt(self.sequence_id):
            self._cancel_requests()
            self._wait_for_sequence_end()
            return
        # Scheduled first, because the steps below may raise: otherwise the release would not be retried.
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
        self.releaser.log(
            LogEvent.RELEASE_SENT,
            sequence_id=self.sequence_id,
            engine=target.name,
            reader=self.reader,
            request=self._request_count,
        )
        if is_first:
            self._first = pending

    def _was_delivered(self) -> bool:
        """Return whether a request was sent in full on a new connection and awaits its response.

        The first request does not count, because its connection may have failed unnoticed while it was idle.
        """
        return any(pending.is_sent and pending is not self._first for pending in self._pending)

    def _wait_for_sequence_end(self) -> None:
        """Restart the release once the sequence is no longer in flight."""
        if self.releaser.is_in_flight(self.sequence_id):
            self._timer = self.releaser.clock.callLater(
                SEQUENCE_CHECK_INTERVAL_S, self._wait_for_sequence_end
            )
        else:
            self._restart()

    def _restart(self) -> None:
        """Restart from the first round: the last attempt may have created a state after the requests."""
        self._round = []
        self._round_count = 0
        self._request_count = 0
        self._expires_at = self.releaser.clock.seconds() + RELEASE_TIMEOUT_S
        self._send_next()

    def _on_end(self, succeeded: bool, body: bytes) -> None:
        if succeeded:
            self._finish(ReleaseResult.CONFIRMED)
        elif self._timer is not None and self._timer.active():
            self._timer.reset(self._delay_after_failure())

    def _delay_after_failure(self) -> float:
        """Return the delay before the next request, in seconds: 0 within a round, a backoff after it."""
        if self._round:
            return 0.0
        backoff: float = ROUND_BACKOFF_S * 2 ** (self._round_count - 1)
        return min(backoff, MAX_ROUND_BACKOFF_S)

    def _finish(self, result: ReleaseResult) -> None:
        releaser = self.releaser
        releaser.unanswered.discard(self)
        releaser.result_counts[result.value] += 1
        releaser.log(
            LogEvent.RELEASE_ENDED,
            sequence_id=self.sequence_id,
            engine=self.reader,
            result=result,
            requests=self._request_count,
            duration_s=round(releaser.clock.seconds() - self._begun_at, 4),
        )
        self._first = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._cancel_requests()

    def _cancel_requests(self) -> None:
        requests, self._pending = self._pending, []
        for pending in requests:
            pending.cancel()
