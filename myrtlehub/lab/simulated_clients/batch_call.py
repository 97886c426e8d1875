"""One call of a client for a batch, with checks of its answer."""

from typing import TYPE_CHECKING, TypeAlias

from myrtlehub.emulator.vectors import score_of, vector_of
from myrtlehub.lab.simulated_clients.batch_plan import PlannedBatch
from myrtlehub.lab.simulated_clients.recorded_call import RecordedCall
from myrtlehub.proto import items_pb2 as pb

if TYPE_CHECKING:
    from myrtlehub.lab.simulated_clients.batch_clients import BatchClients

EMBED_FRONT = "embed"
METHODS = {EMBED_FRONT: "/myrtlehub.v1.Embeddings/Embed", "rank": "/myrtlehub.v1.Rerank/Rank"}
DIMENSIONS = 16
QUERY_TOKENS = 12
DEADLINE_GRACE = 5.0  # seconds past the time of an answer until the call's deadline
GENERATED = "generated"

Item: TypeAlias = pb.Vector | pb.Score


class BatchCall(RecordedCall):
    """A call."""

    clients: "BatchClients"
    plan: PlannedBatch

    def __init__(self, clients: "BatchClients", plan: PlannedBatch, number: int, node: str) -> None:
        super().__init__(clients, plan, number, node)
        self._is_embed = plan.traffic.front == EMBED_FRONT
        self._is_streamed = plan.is_streamed and not plan.top
        self._items: dict[int, Item] = {}
        self._order: list[int] = []
        self._model = ""

    def start(self) -> None:
        """Make the call."""
        clients = self.clients
        time_left = self.plan.traffic.abandon_time
        self.record_ask(time_left, time_left)
        clients.calls += 1
        method = METHODS[self.plan.traffic.front] + ("Stream" if self._is_streamed else "")
        timeout = time_left + DEADLINE_GRACE
        self.call = clients.channels[self.node].call(method, self, timeout=timeout)
        self.call.send(self._request(time_left).SerializeToString())
        self.call.half_close()
        if self.plan.leaves_after < time_left:
            clients.clock.callLater(self.plan.leaves_after, self.leave)

    def _request(self, time_left: float) -> pb.EmbedRequest | pb.RankRequest:
        plan = self.plan
        terms = pb.Terms(
            traffic_type=plan.traffic.name,
            time_left_ms=int(time_left * 1000),
            mark=plan.idempotency_key,
            repeated=self.number > 0,
        )
        inputs = [pb.Input(text=each.text, tokens=each.tokens) for each in plan.inputs]
        if self._is_embed:
            return pb.EmbedRequest(terms=terms, inputs=inputs)
        query = pb.Input(text=plan.idempotency_key.encode(), tokens=QUERY_TOKENS)
        return pb.RankRequest(terms=terms, documents=inputs, top=plan.top, query=query)

    def message(self, data: bytes) -> None:
        """Take items, the final answer, or both."""
        reply = (pb.EmbedReply if self._is_embed else pb.RankReply).FromString(data)
        if self.answer:
            self._fault("something came after the final answer")
        items = reply.vectors if self._is_embed else reply.scores
        if items and not self._items:
            self.clients.recorder.note("token", call=self.name, behind=self._behind())
        for item in items:
            if item.index in self._items:
                self._fault(f"item {item.index} came twice")
            self._items[item.index] = item
            self._order.append(item.index)
        if reply.HasField("final"):
            self._final_received(reply.final)

    def _final_received(self, final: pb.Final) -> None:
        self.answer = final.WhichOneof("answer")
        self.retry_after = final.rejected.wait_ms / 1000.0
        self._model = final.generated.model
        self.clients.cached_items += final.generated.kept
        self.clients.recorder.note(
            "final",
            call=self.name,
            answer=self.answer,
            tokens=len(self._items),
            behind=self._behind(),
        )
        self._check_values()
        self.clients.checked_items += len(self._items)
        self._check_order()

    def _behind(self) -> float:
        return self.clients.behind(self.clients.clock.seconds())

    def _fault(self, text: str) -> None:
        self.clients.add_fault(self, text)

    def _check_values(self) -> None:
        """Check that all items have the values of one version."""
        wrong: list[int] = []
        for model in [self._model] if self._model else self.clients.models:
            wrong = [index for index, item in self._items.items() if not self._is_right(index, item, model)]
            if not wrong:
                return
        self._fault(f"item {wrong[0]} of {len(self.plan.inputs)} has not the value of any one version")

    def _check_order(self) -> None:
        """Check that a generated batch is complete and in order, and that another has no items."""
        if self.answer == GENERATED:
            expected = self._expected_order()
            if (sorted(self._order) if self._is_streamed else self._order) != expected:
                self._fault(f"{len(self._order)} of {len(expected)} items, or not in order")
        elif self._items and not self._is_streamed:
            self._fault(f"{self.answer}, and yet {len(self._items)} items")

    def _expected_order(self) -> list[int]:
        indices = list(range(len(self.plan.inputs)))
        if not self.plan.top:
            return indices
        query = self.plan.idempotency_key.encode()
        scores = [score_of(query, each.text, self._model) for each in self.plan.inputs]
        return sorted(indices, key=lambda index: (-scores[index], index))[: self.plan.top]

    def _is_right(self, index: int, item: Item, model: str) -> bool:
        text = self.plan.inputs[index].text
        if self._is_embed:
            return item.packed == vector_of(text, model, DIMENSIONS, False)
        return item.score == score_of(self.plan.idempotency_key.encode(), text, model)
