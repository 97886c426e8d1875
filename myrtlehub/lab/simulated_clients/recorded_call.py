"""One call of a client to a node, recorded from its request to its end."""

from collections.abc import Mapping
from typing import Protocol

from google.protobuf.message import Message

from myrtlehub.clock import Clock
from myrtlehub.lab.rule_checker.stored_records import FinalAnswer
from myrtlehub.lab.scenario_file import TrafficMix
from myrtlehub.lab.simulated_clients.call_records import CallRecords
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.client_call import CallWatcher, ClientCall
from myrtlehub.rpc.status import Status


class Plan(Protocol):
    """What a client will request."""

    @property
    def traffic(self) -> TrafficMix:
        """The traffic type."""

    @property
    def idempotency_key(self) -> str:
        """The idempotency key, common to all calls for this request."""


class CallOwner(Protocol):
    """The interface of the client group that makes a call."""

    @property
    def clock(self) -> Clock:
        """The clock of timeouts and measurements."""

    @property
    def recorder(self) -> Recorder:
        """The recorder of all clients."""

    @property
    def channels(self) -> Mapping[str, Channel]:
        """A channel to each node."""

    def behind(self, now: float, /) -> float:
        """Return an upper bound, in seconds, on the present lag of this process's event loop."""


class RecordedCall(CallWatcher):
    """One call for a planned request; `attempt` counts the calls for it, from 0."""

    def __init__(self, owner: CallOwner, plan: Plan, attempt: int, node: str) -> None:
        self.attempt = attempt
        self.node = node
        self.name = f"{plan.idempotency_key}.{attempt}"
        self.answer: FinalAnswer | None = None
        self.retry_after = 0.0  # seconds before a retry, by the final answer; 0 for none, as on the wire
        self.requested_at = owner.clock.seconds()
        self.has_disconnected = False
        self._clock = owner.clock
        self._channel = owner.channels[node]
        self._plan = plan
        self._records = CallRecords(owner.recorder, self.name)
        self._call: ClientCall | None = None

    def _record_request(self, first_token_timeout: float, answer_timeout: float) -> None:
        """Record the request with its timeouts for the first token and the final answer, in seconds."""
        plan = self._plan
        self._records.request_sent(
            self.node, plan.traffic.name, plan.idempotency_key, first_token_timeout, answer_timeout
        )

    def _send(self, method: str, request: Message, timeout: float) -> ClientCall:
        """Send the request; return the call."""
        call = self._channel.call(method, self, timeout=timeout)
        self._call = call
        call.send(request.SerializeToString())
        call.half_close()
        return call

    def _disconnect_after(self, seconds: float) -> None:
        self._clock.callLater(seconds, self.disconnect)

    def disconnect(self) -> None:
        """Cancel the call, as when a client closes its connection."""
        if self._call is not None and not self._call.over:
            self.has_disconnected = True
            self._records.client_disconnected()
            self._call.cancel()

    def ended(self, status: Status) -> None:
        """Record the end of the call; subclasses notify their owner."""
        self._records.call_ended(status)
