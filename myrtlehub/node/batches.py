"""What batch fronts share: a request becomes parts, parts become sequences of the module, these one answer.

A front decodes and encodes. Everything between stands here once: deadline, tenant, traffic type and mark by
way of the door, kept results, duplicates, gathering, cutting, shares on common engines, the join, and exactly
one final answer. What is decided stands in `batching/` and `limits/shares.py`; which engine does a part is
the module's to say, as for chat.
"""

from collections import Counter
from collections.abc import Hashable, Sequence
from typing import NamedTuple, Protocol

import xxhash

from myrtlehub.batching.gather import Gatherer, Window
from myrtlehub.batching.join import AGAIN, OVER, Answer, Join
from myrtlehub.batching.kept import KeptResults
from myrtlehub.batching.parts import Room, split
from myrtlehub.config.sheets import NodeSheet
from myrtlehub.limits.shares import FrontShares
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.request_decoder import DecodedRequest, InvalidRequestError
from myrtlehub.node.sequences import Attempt, InFlightSequence
from myrtlehub.proto import engine_pb2 as pb

ENTRY = 400  # bytes that a kept result takes beside itself


class Item(NamedTuple):
    """One input."""

    text: bytes
    tokens: int


class Want(NamedTuple):
    """A request as a front decoded it."""

    front: str
    asked: DecodedRequest  # of the whole batch; prompt and most_output are filled in here
    items: Sequence[Item]
    besides: int  # tokens that each item costs beside its own
    streams: bool
    task: pb.BatchRequest  # what is the same for all parts; items and model are filled in here
    like: Hashable  # requests that share an engine batch have this in common, and tenant and traffic type
    keep: bool  # results are a function of the input and the model alone


class Asker(Protocol):
    """Who asked."""

    def taken(self, batch: "Batch") -> None:
        """Before anything else."""

    def results(self, results: list[tuple[int, pb.ItemResult]]) -> None:
        """Some items; of a stream as they are ready, else all at once before the final answer."""

    def final(self, answer: Answer, model: str, errors: int, kept: int) -> None:
        """Once."""


class _Piece:
    """What goes to one engine at a time: items of one batch, or of some that were gathered."""

    def __init__(self, desk: "BatchDesk", want: Want, model: str) -> None:
        self.desk, self.want, self.model = desk, want, model
        self.owners: list[tuple[Batch, int, list[int]]] = []  # batch, number of its part, its items
        self.wanted: set[Batch] = set()  # those of them that still wait for it
        self.size = 0  # tokens
        self.held: InFlightSequence | None = None
        self.over = False

    def add(self, batch: "Batch", part: int, indices: list[int]) -> None:
        self.owners.append((batch, part, indices))
        self.wanted.add(batch)
        self.size += sum(batch.cost(i) for i in indices)
        batch.pieces[part] = self

    def start(self) -> None:
        """Give it to the module as a sequence of its own."""
        desk, want = self.desk, self.want
        self.owners = [o for o in self.owners if o[0] in self.wanted]
        left = min(b.abandon_at for b, _, _ in self.owners) - desk.clock.seconds()
        task = pb.BatchRequest()
        task.CopyFrom(want.task)
        task.model = self.model
        for batch, _, indices in self.owners:
            for i in indices:
                item = batch.want.items[i]
                task.items.add(text=item.text, tokens=item.tokens)
        asked = want.asked._replace(
            prompt_tokens=max(1, self.size),
            max_output_tokens=1,
            time_left=max(0.001, left),
            shared_tokens=want.besides,
            batch=task.SerializeToString(),
            deadline_in=float("inf"),
        )
        try:
            arrival = desk.host.decoder.arrival(asked, desk.clock.seconds())
        except InvalidRequestError as fault:  # the whole was let in, so this is about a part: nothing ran
            self.rejected(0.0, str(fault))
            return
        self.held = desk.host.accept(asked, arrival, self)

    # what the host says

    def tokens(self, raw: object) -> None:
        model, results = raw
        at = 0
        for batch, part, indices in self.owners:
            mine = results[at : at + len(indices)]
            at += len(indices)
            batch.part_done(part, mine, model)

    def generated(self, tokens: int) -> None:
        self._came()

    def rejected(self, wait: float, reason: str = "") -> None:
        self._came()
        for batch, part, _ in list(self.owners):
            batch.part_lost(part, Answer("rejected", wait, reason))

    def aborted(self, reason: str) -> None:
        self._came()
        for batch, part, _ in list(self.owners):
            batch.part_lost(part, Answer("aborted", 0.0, reason))

    def _came(self) -> None:
        if not self.over:
            self.over = True
            self.desk.came(self)

    def leave(self, batch: "Batch") -> None:
        """A batch wants it no more; with the last one it is stopped."""
        self.wanted.discard(batch)
        if self.wanted:
            return
        if self.held is not None and not self.over:
            self.desk.host.client_left(self.held)
            self._came()
        elif self.held is None:
            self.over = True
            self.desk.shares.drop(self.want.front, self)


class Batch:
    """One request, until its final answer."""

    def __init__(
        self, desk: "BatchDesk", want: Want, asker: Asker, abandon_at: float, repeatable: bool
    ) -> None:
        self.desk, self.want, self.asker = desk, want, asker
        self.abandon_at, self.repeatable = abandon_at, repeatable
        self.model = desk.model(want.front)
        self.join = Join(len(want.items), want.streams, self.model)
        self.pieces: dict[int, _Piece] = {}
        self.same: dict[int, list[int]] = {}  # by the first of its like: duplicates
        self.keys: dict[int, Hashable] = {}
        self.kept = self.errors = 0
        self.parts = 0
        self.over = False
        self.timer = None
        self.todo: list[int] = []  # items of it that wait for company, and its key while they do
        self.waits_as: Hashable | None = None

    def cost(self, index: int) -> int:
        """Tokens."""
        return self.want.items[index].tokens + self.want.besides

    def begin(self) -> None:
        """What is kept is taken from there, the rest goes out."""
        todo, first, known = [], {}, []
        self.kept = 0
        self.same.clear()
        for i, item in enumerate(self.want.items):
            key = self.keys.get(i)
            if key is None:
                key = self.keys[i] = (xxhash.xxh3_128_digest(item.text), item.tokens, self.want.like)
            if key in first:
                self.same.setdefault(first[key], []).append(i)
                continue
            first[key] = i
            result = self._kept(key)
            if result is None:
                todo.append(i)
            else:
                known.append((i, result))
        for i, result in known:
            self.kept += 1 + len(self.same.get(i, ()))
            self._know(i, result)
        if self.join.finish_if_whole():
            self._finish()
        elif not self.repeatable:
            self.send([todo])
        elif not self.desk.gather(self, todo):
            self.send(
                split(
                    [self.cost(i) for i in todo],
                    self.desk.room(self.want.front),
                    self.desk.engines(self.want.front),
                ),
                todo,
            )

    def _kept(self, key: Hashable) -> pb.ItemResult | None:
        if not (self.want.keep and self.repeatable and self.join.model):
            return None
        return self.desk.kept.get(self.want.asked.tenant, self.join.model, key)

    def _know(self, index: int, result: pb.ItemResult) -> None:
        for i in (index, *self.same.get(index, ())):
            self.join.know(i, result)
            if self.want.streams:
                self.asker.results([(i, result)])

    def send(self, parts: list[list[int]], names: Sequence[int] | None = None) -> None:
        """Parts of these items; `names` where they are places in a list of items."""
        pieces = []
        for part in parts:
            indices = [names[p] for p in part] if names is not None else part
            piece = _Piece(self.desk, self.want, self.join.model)
            piece.add(self, self.new_part(indices), indices)
            pieces.append(piece)
        for piece in pieces:
            if not self.over:
                self.desk.send(piece)

    def new_part(self, indices: list[int]) -> int:
        """A part's number."""
        self.parts += 1
        self.join.begin(self.parts, indices)
        return self.parts

    def part_done(self, part: int, results: list[pb.ItemResult], model: str) -> None:
        """A part was generated."""
        piece = self.pieces.pop(part, None)
        if self.over or piece is None:
            return
        indices = next(i for b, p, i in piece.owners if b is self and p == part)
        if len(results) != len(indices):
            self._lost(part, Answer("aborted", 0.0, "an engine left out items"))
            return
        verdict = self.join.done(part, results, model)
        if verdict == AGAIN:
            if self.join.may_restart():
                self._restart(model)
            else:
                self.send([indices])
            return
        for i, result in zip(indices, results, strict=True):
            if self.want.keep and self.repeatable and result.WhichOneof("result") != "error":
                size = result.ByteSize() + ENTRY
                self.desk.kept.add(self.want.asked.tenant, model, self.keys[i], result, size)
            if self.want.streams:
                self.asker.results([(j, result) for j in (i, *self.same.get(i, ()))])
            for j in self.same.get(i, ()):
                self.join.know(j, result)
        if verdict == OVER or self.join.finish_if_whole():
            self._finish()

    def part_lost(self, part: int, answer: Answer) -> None:
        """A part ended without results."""
        if self.over or self.pieces.pop(part, None) is None:
            return
        now_served = self.desk.model(self.want.front)
        if answer.kind == "rejected" and now_served not in ("", self.join.model) and self.join.may_restart():
            self._restart(now_served)  # the version that it was pinned to is gone
            return
        self._lost(part, answer)

    def _lost(self, part: int, answer: Answer) -> None:
        if self.join.lost(part, answer) == OVER:
            self._finish()

    def _restart(self, model: str) -> None:
        self._leave_pieces()
        self.join.restart(model)
        self.begin()

    def _leave_pieces(self) -> None:
        pieces, self.pieces = self.pieces, {}
        for piece in pieces.values():
            piece.leave(self)

    def left(self) -> None:
        """The client went away, or nobody waits any more."""
        if not self.over:
            self._close()

    def late(self) -> None:
        """Its time is over. Pieces that are out have been given up by the module at the same moment."""
        out = any(p.held is not None for p in self.pieces.values())
        self.give_up(
            Answer(
                "rejected" if self.repeatable or not out else "aborted", self.desk.wait, "its time was over"
            )
        )

    def cut(self, why: str) -> None:
        """Its client takes too little, or holds too much here."""
        self.give_up(Answer("aborted", 0.0, why))

    def give_up(self, answer: Answer) -> None:
        """This is the answer, whatever its parts do; nothing if it has one."""
        if not self.over:
            self.join.answer = answer
            self._finish()

    def _finish(self) -> None:
        answer = self.join.answer
        if self.over or answer is None:
            return
        self._close()
        if answer.kind == "generated":
            results = list(enumerate(self.join.results))
            self.errors = sum(r.WhichOneof("result") == "error" for _, r in results)
            if not self.want.streams:
                self.asker.results(results)
        self.desk.host.log(
            "batch",
            answer=answer.kind,
            traffic_type=self.want.asked.traffic_type,
            items=len(self.want.items),
            parts=self.parts,
            kept=self.kept,
            errors=self.errors,
        )
        self.asker.final(answer, self.join.model, self.errors, self.kept)

    def _close(self) -> None:
        self.over = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.desk.open.discard(self)
        if self.waits_as is not None:
            self.desk.gatherer.drop(self.waits_as, self)
        self._leave_pieces()


class BatchDesk:
    """All batches of a node."""

    def __init__(self, host: ActionExecutor, sheet: NodeSheet, clock: object) -> None:
        b = sheet.batches
        self.host, self.sheet, self.clock, self.wait = host, sheet, clock, sheet.node.max_wait
        self.kept = KeptResults(b.keep)
        self.gatherer = Gatherer(Window(b.gather, b.gather_tokens, b.gather_items, b.gather_left))
        self.shares = FrontShares(
            {
                f: max(t.utility for t in sheet.traffic if t.front == f)
                for f in {t.front for t in sheet.traffic}
            }
        )
        self.fronts = [f for f in ("embed", "rank") if f in self.shares.utility]
        self.fields: list[str] = []  # fronts, in the order of the module's fields; empty: there is only one
        self._common: set[str] = set()  # kinds that do the work of several fronts
        host.on_attempt_sent = lambda attempt: self._placed(attempt, 1)
        host.on_attempt_ended = lambda attempt: self._placed(attempt, -1)
        self.open: set[Batch] = set()
        self._timer = None
        self._models: dict[str, str] = {}
        self._engines: dict[str, int] = {}
        self._rooms = {f: self._room(f) for f in self.fronts}

    def _room(self, front: str) -> Room:
        kinds = [k for k in self.sheet.kinds if k.does(front)]
        return Room(
            min((k.batch for k in kinds), default=1.0),
            min((k.batch_items for k in kinds), default=1),
            self.sheet.batches.least_part,
        )

    def room(self, front: str) -> Room:
        """Of one part: what every kind of the front takes."""
        return self._rooms[front]

    def engines(self, front: str) -> int:
        """That serve it."""
        return self._engines.get(front, 1)

    def model(self, front: str) -> str:
        """The version that most engines of the front have by the list; empty where it names none."""
        return self._models.get(front, "")

    def list_changed(self) -> None:
        """Which versions there are, and how much room common engines have for us."""
        if not self.fronts:
            return  # a node for chat alone takes its lists without us
        rows, kinds = self.host.decoder.engines.rows, {k.name: k for k in self.sheet.kinds}
        up = [rows[i] for i in self.host.decoder.engines.index_of.values() if rows[i].state == "serving"]
        for front in self.fronts:
            models = Counter(r.model for r in up if kinds[r.kind].does(front) and r.model)
            self._models[front] = max(sorted(models), key=models.__getitem__, default="")
            self._engines[front] = max(1, sum(kinds[r.kind].does(front) for r in up))
            self.shares.serve(front, self._engines[front], self.sheet.node.nodes)
        self.kept.serve(frozenset(r.model for r in up if r.model))
        self._common = {k.name for k in kinds.values() if sum(k.does(f) for f in self.shares.utility) > 1}
        common = [kinds[r.kind] for r in up if r.kind in self._common]
        for front in self.shares.utility:
            self.shares.alone[front] = any(
                kinds[r.kind].does(front) and r.kind not in self._common for r in up
            )
        self.shares.room = sum(k.batch for k in common) / self.sheet.node.nodes
        self.clock.callLater(0, self.pump)

    def utility(self, traffic_type: str) -> float:
        """Of one batch."""
        return self.host.decoder.rows[self.host.decoder.traffic[traffic_type]].utility

    def take(self, want: Want, asker: Asker) -> Batch:
        """A request came in. Raises InvalidRequestError, naming the field."""
        most = self.sheet.batches.most_items
        if not want.items:
            raise InvalidRequestError("inputs: there is none")
        if len(want.items) > most:
            raise InvalidRequestError(f"inputs: {len(want.items)} are more than the {most} of one request")
        total = sum(i.tokens + want.besides for i in want.items)
        asked = want.asked._replace(prompt_tokens=max(1, total), max_output_tokens=1, front=want.front)
        now = self.clock.seconds()
        arrival = self.host.decoder.arrival(asked, now)
        row = self.host.decoder.rows[arrival.traffic]
        repeatable, room = row.repeats == "repeatable", self.room(want.front)
        if not repeatable and (total > room.tokens or len(want.items) > room.items):
            raise InvalidRequestError(
                f"inputs: traffic type {row.name!r} is not repeatable, so its batches go whole to "
                f"one engine: at most {room.items} items and {room.tokens:g} tokens"
            )
        batch = Batch(self, want._replace(asked=asked), asker, now + arrival.time_left, repeatable)
        asker.taken(batch)
        if len(self.host.in_flight) + len(self.open) >= self.sheet.node.most_sequences:
            batch.give_up(Answer("rejected", self.wait, "the node is full"))
            return batch
        self.open.add(batch)
        # What waits here, not at an engine, is answered by the same moment.
        batch.timer = self.clock.callLater(max(0.0, arrival.time_left), batch.late)
        self.shares.asked(now, want.front, total)
        batch.begin()
        return batch

    def gather(self, batch: Batch, todo: list[int]) -> bool:
        """Whether a small request waits for company, or has just found it."""
        want, w = batch.want, self.gatherer.w
        tokens = sum(batch.cost(i) for i in todo)
        if not w.wait or tokens >= w.tokens or len(todo) >= w.items:
            return False
        key = (want.front, want.asked.traffic_type, want.asked.tenant, batch.join.model, want.like)
        now = self.clock.seconds()
        batch.todo, batch.waits_as = todo, key
        for group in self.gatherer.add(now, key, batch, tokens, len(todo), batch.abandon_at - now):
            self._send_group(group)
        self._arm()
        return True

    def _send_group(self, group: list[Batch]) -> None:
        group = [b for b in group if not b.over]
        if not group:
            return
        piece = _Piece(self, group[0].want, group[0].join.model)
        for batch in group:
            batch.waits_as = None
            piece.add(batch, batch.new_part(batch.todo), batch.todo)
        self.send(piece)

    def _arm(self) -> None:
        due = self.gatherer.next_at()
        if due == float("inf"):
            return
        if self._timer is None or not self._timer.active():
            self._timer = self.clock.callLater(max(0.0, due - self.clock.seconds()), self._due)

    def _due(self) -> None:
        for group in self.gatherer.due(self.clock.seconds()):
            self._send_group(group)
        self._arm()

    def send(self, piece: _Piece) -> None:
        """Now, or once the front's share allows it."""
        now, front = self.clock.seconds(), piece.want.front
        self._weigh(front, 0.0)
        if self.shares.waiting(front) or not self.shares.may_send(now, front, piece.size):
            self.shares.wait(front, piece, piece.size)
            return
        self.shares.sent(front, piece.size)
        piece.start()

    def _placed(self, attempt: Attempt, sign: int) -> None:
        """A part went to an engine, or came back."""
        asked = attempt.sequence.request
        if not (self.fields and asked.front != "chat" and attempt.kind in self._common):
            return
        self._weigh(asked.front, sign * asked.prompt_tokens)

    def _weigh(self, front: str, tokens: float) -> None:
        """Whether the front may use common engines, after so much more or less of it there."""
        if self.fields and self.shares.room and self.shares.placed(self.clock.seconds(), front, tokens):
            self.clock.callLater(
                0, self.host.set_pool_closed, self.fields.index(front), self.shares.shut[front]
            )

    def pump(self) -> None:
        """Room may have grown."""
        for front in self.fronts:
            self._next(front)

    def came(self, piece: _Piece) -> None:
        """A piece is back; another may go."""
        front = piece.want.front
        self.shares.came(front, piece.size)
        self._weigh(front, 0.0)
        self.clock.callLater(0, self._next, front)

    def _next(self, front: str) -> None:
        while (piece := self.shares.next(self.clock.seconds(), front)) is not None:
            if piece.wanted:
                piece.start()
            else:
                self.shares.came(front, piece.size)
