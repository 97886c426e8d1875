"""One call of a client for a batch, with checks of its answer."""

from typing import Protocol

from myrtlehub.lab.rule_checker.stored_records import FinalAnswer
from myrtlehub.lab.simulated_clients.batch_fronts import BATCH_FRONTS, BatchItem
from myrtlehub.lab.simulated_clients.batch_plan import PlannedBatch
from myrtlehub.lab.simulated_clients.batch_tally import BatchTally
from myrtlehub.lab.simulated_clients.recorded_call import CallOwner, RecordedCall
from myrtlehub.proto import items_pb2 as pb
from myrtlehub.rpc.status import Status

DEADLINE_GRACE = 5.0  # seconds from the answer timeout to the gRPC deadline, to record late answers


class BatchCallOwner(CallOwner, Protocol):
    """The interface of the client group that makes the call."""

    @property
    def models(self) -> tuple[str, ...]:
        """The versions of the model that engines have during the scenario."""

    @property
    def tally(self) -> BatchTally:
        """The counts and faults of all batches."""

    def call_ended(self, call: "BatchCall", status: Status, /) -> None:
        """Count a call that ended, or retry it."""


class BatchCall(RecordedCall):
    """A call for a batch, which checks each answer for value, order and completeness."""

    def __init__(self, owner: BatchCallOwner, plan: PlannedBatch, attempt: int, node: str) -> None:
        super().__init__(owner, plan, attempt, node)
        self.plan = plan
        self._owner = owner
        self._front = BATCH_FRONTS[plan.traffic.front]
        self._is_streamed = plan.is_streamed and plan.top is None
        self._items: dict[int, BatchItem] = {}
        self._order: list[int] = []  # indices in the order in which items arrived
        self._model: str | None = None  # version that generated the batch

    def start(self) -> None:
        """Make the call."""
        timeout = self.plan.traffic.abandon_time
        self._record_request(timeout, timeout)
        self._owner.tally.calls += 1
        method = self._front.method + ("Stream" if self._is_streamed else "")
        request = self._front.request(self.plan, self._terms(timeout))
        self._send(method, request, timeout + DEADLINE_GRACE)
        disconnects_after = self.plan.disconnects_after
        if disconnects_after is not None and disconnects_after < timeout:
            self._disconnect_after(disconnects_after)

    def _terms(self, timeout: float) -> pb.Terms:
        return pb.Terms(
            traffic_type=self.plan.traffic.name,
            time_left_ms=int(timeout * 1000),
            mark=self.plan.idempotency_key,
            repeated=self.attempt > 0,
        )

    def message(self, data: bytes) -> None:
        """Receive items, the final answer, or both."""
        reply = self._front.parse(data)
        if self.answer is not None:
            self._add_fault("something came after the final answer")
        if reply.items and not self._items:
            self._records.token_received(self._behind())
        for item in reply.items:
            if item.index in self._items:
                self._add_fault(f"item {item.index} came twice")
            self._items[item.index] = item
            self._order.append(item.index)
        if reply.final is not None:
            self._final_received(reply.final)

    def _final_received(self, final: pb.Final) -> None:
        answer = final.WhichOneof("answer")
        self.answer = FinalAnswer(answer) if answer is not None else None
        self.retry_after = final.rejected.wait_ms / 1000.0
        self._model = final.generated.model or None
        tally = self._owner.tally
        tally.cached_items += final.generated.kept
        self._records.final_answer(self.answer, len(self._items), self._behind())
        self._check_values()
        tally.checked_items += len(self._items)
        self._check_order()

    def ended(self, status: Status) -> None:
        """Record the end of the call, and notify the owner."""
        super().ended(status)
        self._owner.call_ended(self, status)

    def _behind(self) -> float:
        return self._owner.behind(self._clock.seconds())

    def _add_fault(self, text: str) -> None:
        traffic, items = self.plan.traffic.name, len(self.plan.inputs)
        self._owner.tally.faults.append(f"{self.name} ({traffic}, {items} items): {text}")

    # -- checks of the answer ---------------------------------------------------------------------

    def _check_values(self) -> None:
        """Check that all items have the values of one version of the model."""
        wrong: list[int] = []
        for model in self._owner.models if self._model is None else (self._model,):
            wrong = [index for index, item in self._items.items() if not self._is_right(index, item, model)]
            if not wrong:
                return
        self._add_fault(f"item {wrong[0]} of {len(self.plan.inputs)} has not the value of any one version")

    def _is_right(self, index: int, item: BatchItem, model: str) -> bool:
        return item.value == self._front.right_value(self.plan, index, model)

    def _check_order(self) -> None:
        """Check that a generated batch is complete and in order; any other unstreamed answer has no items."""
        if self.answer == FinalAnswer.GENERATED:
            expected = self._front.expected_order(self.plan, self._model or "")
            if (sorted(self._order) if self._is_streamed else self._order) != expected:
                self._add_fault(f"{len(self._order)} of {len(expected)} items, or not in order")
        elif self._items and not self._is_streamed:
            self._add_fault(f"{self.answer}, and yet {len(self._items)} items")
