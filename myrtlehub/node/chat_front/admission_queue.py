"""Requests that wait for admission: an `AdmissionController` on the node's clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from myrtlehub.clock import Clock, Timer
from myrtlehub.config.traffic import TrafficTypeConfig
from myrtlehub.limits.admission import NEVER, AdmissionController
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.routing.contract import Arrival

if TYPE_CHECKING:
    from myrtlehub.node.chat_front.chat_call import ChatCall

MIN_TIMER_DELAY = 0.001  # seconds; a timer that is due at once would run in every turn


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request from its arrival until its first token."""

    chat_call: ChatCall
    request: DecodedRequest
    arrival: Arrival
    row: TrafficTypeConfig
    arrived_at: float
    is_admitted: bool = False


class AdmissionQueue:
    """Queues requests, passes on those that are admitted, and rejects those that are shed."""

    def __init__(
        self,
        controller: AdmissionController[QueuedRequest],
        clock: Clock,
        max_retry_after: float,
        on_admitted: Callable[[QueuedRequest, Arrival], None],
        on_shed: Callable[[TrafficTypeConfig], None],
    ) -> None:
        """Make an empty queue.

        Args:
            controller: decides what is admitted and what is shed.
            clock: the node's clock.
            max_retry_after: longest Retry-After of what is shed, in seconds.
            on_admitted: takes an admitted request, with its arrival as of now.
            on_shed: takes the traffic type of what is shed.
        """
        self.controller = controller
        self._clock = clock
        self._max_retry_after = max_retry_after
        self._on_admitted = on_admitted
        self._on_shed = on_shed
        self._timer: Timer | None = None  # until the next request is to be shed

    def enqueue(self, queued: QueuedRequest) -> None:
        """Queue a request; it may be admitted before this returns."""
        queued.chat_call.wait_for_admission(self, queued)
        self.controller.enqueue(queued.arrived_at, queued.row.name, queued.row.latency_slo, queued)
        self.process()

    def process(self) -> None:
        """Admit what may be admitted, and reject what is shed."""
        now = self._clock.seconds()
        while (queued := self.controller.admit_next(now)) is not None:
            queued.is_admitted = True
            time_left = queued.arrival.time_left - (now - queued.arrived_at)
            self._on_admitted(queued, queued.arrival._replace(time_left=time_left))
        for queued in self.controller.take_shed(now):
            queued.chat_call.leave_admission()
            self._on_shed(queued.row)
            queued.chat_call.rejected(self.controller.retry_after(self._max_retry_after))
        shed_at = self.controller.next_shed_at()
        if shed_at < NEVER and (self._timer is None or not self._timer.active()):
            self._timer = self._clock.callLater(max(MIN_TIMER_DELAY, shed_at - now), self.process)

    def started(self, queued: QueuedRequest) -> None:
        """Record the first token of an admitted request."""
        now = self._clock.seconds()
        self.controller.started(now, now - queued.arrived_at, queued.row.latency_slo)
        self._clock.callLater(0, self.process)

    def ended(self, queued: QueuedRequest) -> None:
        """Record the end of a request without a first token, admitted or still queued."""
        if queued.is_admitted:
            had_time = queued.arrival.time_left >= queued.row.latency_slo
            self.controller.failed(self._clock.seconds(), had_time)
            self._clock.callLater(0, self.process)
        else:
            self.controller.cancel(queued)
