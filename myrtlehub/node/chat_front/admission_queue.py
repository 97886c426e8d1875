"""Requests that wait for admission: an `AdmissionController` on the node's clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from myrtlehub.clock import Clock, Timer
from myrtlehub.config.traffic import TrafficTypeConfig
from myrtlehub.limits.admission import AdmissionController
from myrtlehub.routing.contract import Arrival

MIN_TIMER_DELAY = 0.001  # seconds; without a delay, the timer could fire in every iteration of the event loop


class AdmissionClient(Protocol):
    """The interface of a client's call for the queue."""

    def wait_for_admission(self, pending: PendingAdmission) -> None:
        """Store the queue, which has to be notified of the first token or of an end without one."""

    def detach_from_admission(self) -> None:
        """Drop the reference to the queue, because the request is shed."""

    def rejected(self, retry_after: float) -> None:
        """Send a rejection, with a Retry-After in seconds."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request from its arrival until its first token."""

    client: AdmissionClient
    arrival: Arrival
    traffic_type: TrafficTypeConfig
    arrived_at: float
    start: Callable[[Arrival], None]  # called on admission, with the remaining time in the arrival
    is_admitted: bool = False


class PendingAdmission(NamedTuple):
    """A request, with the queue that is notified of its first token or of its end without one."""

    queue: AdmissionQueue
    queued: QueuedRequest


class AdmissionQueue:
    """Queues requests, starts those that are admitted, and rejects those that are shed."""

    def __init__(
        self,
        controller: AdmissionController[QueuedRequest],
        clock: Clock,
        max_retry_after: float,
        on_shed: Callable[[TrafficTypeConfig], None],
    ) -> None:
        """Create an empty queue.

        Args:
            controller: decides what is admitted and what is shed.
            clock: the node's clock.
            max_retry_after: maximum Retry-After of shed requests, in seconds.
            on_shed: called with the traffic type of each request that is shed.
        """
        self.controller = controller
        self._clock = clock
        self._max_retry_after = max_retry_after
        self._on_shed = on_shed
        self._timer: Timer | None = None  # fires when the next request is due to be shed

    def enqueue(self, queued: QueuedRequest) -> None:
        """Queue a request, which may be admitted before this method returns."""
        queued.client.wait_for_admission(PendingAdmission(self, queued))
        self.controller.enqueue(
            queued.arrived_at, queued.traffic_type.name, queued.traffic_type.latency_slo, queued
        )
        self.process()

    def process(self) -> None:
        """Admit the requests that may be admitted, and reject those that are shed."""
        now = self._clock.seconds()
        while (queued := self.controller.admit_next()) is not None:
            queued.is_admitted = True
            time_left = queued.arrival.time_left - (now - queued.arrived_at)
            queued.start(queued.arrival._replace(time_left=time_left))
        for queued in self.controller.take_shed(now):
            queued.client.detach_from_admission()
            self._on_shed(queued.traffic_type)
            queued.client.rejected(self.controller.retry_after(self._max_retry_after))
        shed_at = self.controller.next_shed_at()
        if shed_at is not None and (self._timer is None or not self._timer.active()):
            self._timer = self._clock.callLater(max(MIN_TIMER_DELAY, shed_at - now), self.process)

    def first_token_sent(self, queued: QueuedRequest) -> None:
        """Record the first token of an admitted request."""
        now = self._clock.seconds()
        self.controller.record_first_token(now, now - queued.arrived_at, queued.traffic_type.latency_slo)
        self._clock.callLater(0, self.process)

    def request_ended(self, queued: QueuedRequest) -> None:
        """Record that a request ended without a first token, admitted or still queued."""
        if queued.is_admitted:
            could_meet_slo = queued.arrival.time_left >= queued.traffic_type.latency_slo
            self.controller.record_failure(self._clock.seconds(), could_meet_slo)
            self._clock.callLater(0, self.process)
        else:
            self.controller.cancel(queued)
