"""Releases of read state: requests that make engines free the state a reader stores for a sequence."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from functools import partial
from itertools import islice
from typing import NamedTuple

from myrtlehub.clock import Clock, Timer
from myrtlehub.http1.client_request import ClientRequest
from myrtlehub.http1.connection_pool import ConnectionPool
from myrtlehub.http1.pending_request import PendingRequest
from myrtlehub.log_events import Log, LogEvent, no_log
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.relay.engines.engine_directory import EngineDirectory
from myrtlehub.relay.engines.small_response import SmallResponseHandler

STATE_PATH = b"/state/"  # followed by the sequence id
# Delay of the second release after the first one, for an attempt that its engine ends after the first one.
SECOND_RELEASE_DELAY_S = 0.25
# Time from a request to the next one of its round. A round has to reach an engine in the time that is left
# for a read state once the router releases it: a quarter of the state timeout plus 0.3 s.
REQUEST_INTERVAL_S = 0.12
REQUESTS_PER_ROUND = 5
# Backoff after a round without success; it doubles with each round. It starts short, so that a brief fault,
# such as a restart or a lack of local ports, does not use up the time for the release.
ROUND_BACKOFF_S = 0.12
MAX_ROUND_BACKOFF_S = 0.96
# Time to the next round if an engine other than the reader has responded, and the read may still be running.
REPEAT_INTERVAL_S = 0.5
# Interval of the checks whether a release still has to wait for an attempt of its sequence.
ATTEMPT_CHECK_INTERVAL_S = 0.05
RELEASE_TIMEOUT_S = 10.0  # longer than any fault that a read state outlasts
MAX_OUTSTANDING_REQUESTS = 5  # per release, because each occupies a connection


class ReleaseResult(StrEnum):
    """How a release ended; the values are logged and counted."""

    CONFIRMED = "confirmed"  # an engine responded with success
    EXPIRED = "expired"  # no engine responded with success within RELEASE_TIMEOUT_S


class EngineAddress(NamedTuple):
    """Name and HOST:PORT of an engine."""

    name: str
    dial_address: str


class StateReleaser:
    """Sends releases, and tracks those that no engine has confirmed yet.

    Attributes:
        in_flight: The executor's in-flight sequences, by number.
        unanswered: The releases without a successful response so far.
        result_counts: Number of ended releases, by the value of their `ReleaseResult`.
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
        self._unsent_second_releases = 0  # second releases that are not sent yet

    def release(self, engine: int, sequence_id: str, is_uncertain: bool) -> None:
        """Release the read state that `engine` stores for a sequence.

        Args:
            engine: The engine to which the read was sent.
            sequence_id: The sequence.
            is_uncertain: Whether an attempt of the sequence may still be running at its engine. If so, a
                second release is sent after SECOND_RELEASE_DELAY_S, because the first one may be too early:
                a read can complete after it although its connection was closed, and an engine can receive it
                before it notices that the connection of the write was closed.
        """
        reader = self.directory.name(engine)
        if is_uncertain:
            self._unsent_second_releases += 1
            self.clock.callLater(SECOND_RELEASE_DELAY_S, self._release_again, reader, sequence_id)
        StateRelease(self, reader, sequence_id)

    def is_busy(self) -> bool:
        """Return whether a release is unanswered, or a second release is not sent yet."""
        return self.pending_count() > 0

    def pending_count(self) -> int:
        """Return the number of unanswered releases and of second releases that are not sent yet."""
        return len(self.unanswered) + self._unsent_second_releases

    def round_targets(self, reader: str, sequence_id: str) -> list[EngineAddress]:
        """Return the engines to which one round sends requests: the reader twice, then other engines.

        Any engine forwards a release to all others. So the other engines help if the reader exited while its
        state was being transferred to a writer. They are sorted by last contact, most recent first, in case a
        network partition separates this node from the reader and from its neighbours in the endpoint list
        (test_a_state_behind_a_partition_is_released_through_the_engine_of_latest_contact).
        """
        directory = self.directory
        own = [directory.name(attempt.engine) for attempt in reversed(self._attempts_of(sequence_id))]
        serving = islice(directory.serving_names(), REQUESTS_PER_ROUND)
        others = [name for name in dict.fromkeys([*own, *serving]) if name != reader]
        others.sort(key=lambda name: -directory.last_contact_at.get(name, 0.0))
        order = [reader, reader, *others][:REQUESTS_PER_ROUND]
        addresses = directory.dial_addresses
        return [EngineAddress(name, addresses[name]) for name in order if name in addresses]

    def _release_again(self, reader: str, sequence_id: str) -> None:
        self._unsent_second_releases -= 1
        StateRelease(self, reader, sequence_id, is_second=True)

    def has_outstanding_attempt(self, sequence_id: str) -> bool:
        """Return whether the sequence has an outstanding attempt that counts as arrived.

        Such a sequence may have a new read state, which a release would free by mistake.
        """
        return any(
            attempt.is_outstanding and not attempt.may_be_lost for attempt in self._attempts_of(sequence_id)
        )

    def _attempts_of(self, sequence_id: str) -> list[Attempt]:
        """Return the attempts of the in-flight sequence with this id, which may be reused after an answer."""
        for sequence in self.in_flight.values():
            if sequence.sequence_id == sequence_id:
                return sequence.attempts
        return []


class StateRelease:
    """One release, which sends the same request to one engine after another until one confirms it.

    Only a response proves that a request has arrived: an established connection can be cut off without an
    error, and an engine may have stopped reading. So the requests are repeated until an engine responds with
    success, in rounds over the engines that `StateReleaser.round_targets` returns
    (test_a_release_that_never_arrived_is_sent_again_once_engines_can_be_reached). If a request fails, the
    next one of its round follows at once; if it gets no response, after REQUEST_INTERVAL_S. All requests
    except the first one use new connections.

    While the sequence has an outstanding attempt that counts as arrived, only the first request of the first
    release is sent, because the attempt may create or wait for a new read state, which a later request would
    free by mistake. After the attempt, the release starts again.

    A second release follows an attempt that was cancelled or whose connection broke. The reader may not have
    noticed this and may store a state later, until it responds to a release itself: the response of another
    engine covers only states that exist at that time. So a second release is repeated every REPEAT_INTERVAL_S
    until the reader responds or has left the endpoint list.
    """

    def __init__(
        self, releaser: StateReleaser, reader: str, sequence_id: str, is_second: bool = False
    ) -> None:
        self.releaser = releaser
        self.reader = reader
        self.sequence_id = sequence_id
        self.request = ClientRequest(b"DELETE", STATE_PATH + sequence_id.encode(), [])
        self._needs_reader_response = is_second
        self._round_targets: list[EngineAddress] = []  # those without a request in this round so far
        self._round_count = 0
        self._request_count = 0
        self._pending: list[PendingRequest] = []
        self._timer: Timer | None = None
        self._started_at = releaser.clock.seconds()
        releaser.unanswered.add(self)
        if is_second and releaser.has_outstanding_attempt(sequence_id):
            self._wait_for_attempt()
        else:
            self._send_next()

    def _send_next(self) -> None:
        releaser = self.releaser
        if releaser.clock.seconds() >= self._started_at + RELEASE_TIMEOUT_S:
            was_confirmed = self not in releaser.unanswered
            self._finish(ReleaseResult.CONFIRMED if was_confirmed else ReleaseResult.EXPIRED)
            return
        if self._request_count and releaser.has_outstanding_attempt(self.sequence_id):
            self._cancel_requests()
            self._wait_for_attempt()
            return
        if not self._round_targets:
            self._round_targets = releaser.round_targets(self.reader, self.sequence_id)
            self._round_count += 1
        target = self._round_targets.pop(0) if self._round_targets else None
        # Scheduled before the send, because that may raise, and the release would not be retried.
        delay = REQUEST_INTERVAL_S if self._round_targets else self._backoff()
        self._timer = releaser.clock.callLater(delay, self._send_next)
        if target is not None:
            self._send_to(target)

    def _send_to(self, target: EngineAddress) -> None:
        is_first = self._request_count == 0
        self._request_count += 1
        self._pending = [pending for pending in self._pending if not pending.is_finished]
        while len(self._pending) >= MAX_OUTSTANDING_REQUESTS:
            self._pending.pop(0).cancel()
        pending = self.releaser.pool.send(
            target.name,
            target.dial_address,
            self.request,
            SmallResponseHandler(partial(self._on_end, target)),
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

    def _wait_for_attempt(self) -> None:
        """Restart the release once the sequence has no outstanding attempt that counts as arrived."""
        if self.releaser.has_outstanding_attempt(self.sequence_id):
            self._timer = self.releaser.clock.callLater(ATTEMPT_CHECK_INTERVAL_S, self._wait_for_attempt)
            return
        self._round_targets = []
        self._round_count = 0
        self._request_count = 0
        self._started_at = self.releaser.clock.seconds()
        self._send_next()

    def _on_end(self, target: EngineAddress, succeeded: bool, body: bytes) -> None:
        is_last_of_round = not self._round_targets
        if not succeeded:
            self._reschedule(self._backoff() if is_last_of_round else 0.0)
        elif self._may_read_be_running(target):
            self.releaser.unanswered.discard(self)
            self._round_targets = []
            self._reschedule(REPEAT_INTERVAL_S)
        else:
            self._finish(ReleaseResult.CONFIRMED)

    def _may_read_be_running(self, answered: EngineAddress) -> bool:
        """Return whether the reader may still be executing a read that this node has cancelled."""
        is_listed = self.reader in self.releaser.directory.dial_addresses
        return self._needs_reader_response and is_listed and answered.name != self.reader

    def _reschedule(self, delay: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.reset(delay)

    def _backoff(self) -> float:
        """Return the delay in seconds from the last request of this round to the next round."""
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
            duration_s=round(releaser.clock.seconds() - self._started_at, 4),
        )
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._cancel_requests()

    def _cancel_requests(self) -> None:
        requests, self._pending = self._pending, []
        for pending in requests:
            pending.cancel()
