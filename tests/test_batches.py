"""Batches: how they are cut, joined, gathered and kept, and both fronts on a whole fleet."""

import struct
from collections import OrderedDict
from random import Random

import pytest
from fleet import Fleet
from hypothesis import given, settings
from hypothesis import strategies as st
from test_path import kept, nothing_left

from myrtlehub.batching.gather import Gatherer, Window
from myrtlehub.batching.join import AGAIN, OVER, WAITING, Answer, Join
from myrtlehub.batching.kept import KeptResults, Shelf
from myrtlehub.batching.parts import Room, split
from myrtlehub.config.sheets import EngineRow
from myrtlehub.emulator.vectors import score_of, vector_of
from myrtlehub.limits.shares import FrontShares
from myrtlehub.proto import items_pb2 as pb
from myrtlehub.rpc.channel import CallWatcher
from myrtlehub.rpc.status import Code, Status

COSTS = st.lists(st.integers(1, 9000), max_size=120)


@given(COSTS, st.integers(1, 64), st.integers(1, 12))
def test_a_batch_is_cut_into_parts_that_fit_and_lose_nothing(costs: list, items: int, engines: int) -> None:
    room = Room(8000.0, items, 2000.0)
    parts = split(costs, room, engines)
    assert sorted(i for p in parts for i in p) == list(range(len(costs)))
    for part in parts:
        assert part == sorted(part) and 0 < len(part) <= items
        assert len(part) == 1 or sum(costs[i] for i in part) <= room.tokens


def test_small_batches_are_not_cut_and_large_ones_end_together() -> None:
    assert split([100] * 12, Room(8000.0, 64, 2000.0), 8) == [list(range(12))]
    parts = split([100] * 120, Room(8000.0, 64, 2000.0), 4)
    assert [len(p) for p in parts] == [30] * 4
    even = split([Random(1).randint(10, 900) for _ in range(200)], Room(16000.0, 256, 2000.0), 5)
    assert len(even) == 5


@settings(max_examples=300)
@given(st.integers(1, 12), st.booleans(), st.data())
def test_a_join_answers_once_in_order_and_of_one_version(count: int, streams: bool, data: object) -> None:
    """Parts of any shape end in any order and any way; whatever comes after the answer changes nothing."""
    join, parts, at = Join(count, streams, "m1"), {}, 0
    while at < count:
        size = data.draw(st.integers(1, count - at))
        parts[len(parts)] = list(range(at, at + size))
        at += size
    for part, items in parts.items():
        join.begin(part, items)
    answers, given_up = [], False
    for part in data.draw(st.permutations(sorted(parts))):
        how = data.draw(st.sampled_from(["done", "done", "done", "other", "reject", "abort"]))
        if how in ("done", "other"):
            verdict = join.done(part, [f"v{i}" for i in parts[part]], "m1" if how == "done" else "m2")
            if verdict == AGAIN:
                join.begin(part + 100, parts[part])
                verdict = join.done(part + 100, [f"v{i}" for i in parts[part]], "m1")
        else:
            verdict = join.lost(part, Answer("rejected", 0.5) if how == "reject" else Answer("aborted"))
            given_up = True
        if verdict == OVER and join.answer is not None:
            answers.append(join.answer)
    assert len(set(answers)) == 1
    if join.answer.kind == "generated":
        assert join.results == [f"v{i}" for i in range(count)] and not given_up
    else:
        assert given_up


def test_what_is_lost_of_a_batch_decides_its_answer() -> None:
    join = Join(3, False)
    for part in range(3):
        join.begin(part, [part])
    assert join.done(0, ["a"], "m") == WAITING and join.lost(1, Answer("rejected", 0.4)) == OVER
    assert join.answer == Answer("rejected", 0.4)
    stream = Join(3, True)
    for part in range(3):
        stream.begin(part, [part])
    assert stream.lost(0, Answer("rejected", 0.4)) == WAITING
    assert stream.lost(1, Answer("aborted", 0.0, "died")) == WAITING
    assert stream.done(2, ["c"], "m") == OVER and stream.answer.kind == "aborted"
    restarted = Join(2, False, "m1")
    restarted.begin(0, [0, 1])
    assert restarted.done(0, ["a", "b"], "m2") == AGAIN and restarted.may_restart()
    restarted.restart("m2")
    restarted.begin(1, [0, 1])
    assert not restarted.may_restart() and restarted.done(1, ["a", "b"], "m2") == OVER
    assert restarted.model == "m2" and restarted.answer.kind == "generated"


def test_requests_wait_only_where_company_is_likely_and_never_past_their_deadline() -> None:
    g = Gatherer(Window(0.004, 1000.0, 8, 0.8))
    assert g.add(0.0, "k", "first", 100.0, 1, 4.0) == [["first"]]  # nobody has been seen: it goes at once
    now = 0.0
    for i in range(30):
        now += 0.001
        g.add(now, "k", i, 10.0, 1, 4.0)
        g.due(now)
    g.due(now + 1.0)
    assert g.add(now, "k", "a", 100.0, 1, 4.0) == [] and g.next_at() == pytest.approx(now + 0.004)
    assert g.add(now + 0.001, "k", "b", 100.0, 1, 0.005) == []
    assert g.next_at() == pytest.approx(now + 0.002)  # b has 5 ms: a fifth of it at most is spent here
    assert g.add(now + 0.001, "other tenant", "c", 100.0, 1, 4.0) == [["c"]]
    assert g.due(now + 0.002) == [["a", "b"]] and g.next_at() == float("inf")
    assert g.add(now + 0.003, "k", "d", 600.0, 1, 4.0) == []
    assert g.add(now + 0.003, "k", "e", 600.0, 1, 4.0) == [["d"]]  # too much for one group: d goes, e waits
    assert g.drop("k", "e") and not g.drop("k", "e") and g.next_at() == float("inf")


REQUESTS = st.lists(
    st.tuples(
        st.floats(0.0, 0.01),
        st.sampled_from("ab"),
        st.integers(1, 1200),
        st.integers(1, 9),
        st.floats(0.001, 1.0),
    ),
    max_size=80,
)


@given(REQUESTS)
def test_gathering_loses_and_doubles_nothing(requests: list) -> None:
    w, now, out, began = Window(0.004, 1000.0, 8, 0.8), 0.0, [], {}
    g = Gatherer(w)
    for i, (gap, key, tokens, items, left) in enumerate(requests):
        now += gap
        while g.next_at() <= now:
            at = g.next_at()
            for group in g.due(at):
                out += [(at, r) for r in group]
        began[i] = now, left
        for group in g.add(now, key, i, float(tokens), items, left):
            assert len(group) == 1 or sum(requests[r][2] for r in group) <= w.tokens
            out += [(now, r) for r in group]
    while g.next_at() < float("inf"):
        at = g.next_at()
        out += [(at, r) for group in g.due(at) for r in group]
    assert sorted(r for _, r in out) == list(range(len(requests)))
    for at, r in out:
        since, left = began[r]
        assert at - since <= min(w.wait, left * (1.0 - w.least_left)) + 1e-6


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(1, 60)), max_size=300))
def test_a_shelf_keeps_within_its_room_and_gives_back_what_it_was_given(asks: list) -> None:
    shelf = Shelf(600)
    for key, size in asks:
        found = shelf.get(key)
        assert found in (None, f"v{key}")
        if found is None:
            shelf.add(key, f"v{key}", size)
        assert 0 <= shelf.used <= 600
        assert shelf.used == sum(e[1] for e in shelf._values.values())
        assert shelf._small_used == sum(e[1] for e in shelf._values.values() if not e[3])
        assert sorted([*shelf._small, *shelf._main]) == sorted(shelf._values)


def test_a_flood_that_never_comes_again_wipes_nothing_and_another_tenant_has_its_own() -> None:
    kept, random = KeptResults(200 * 100 * 4, 1.0), Random(2)
    hot = [f"h{i}" for i in range(60)]
    for _ in range(3000):
        key = random.choice(hot)
        if kept.get("t", "m1", key) is None:
            kept.add("t", "m1", key, key, 100)
    for i in range(50_000):
        kept.add("t", "m1", f"flood{i}", i, 100)
        kept.add("other", "m1", f"flood{i}", i, 100)
        if i % 50 == 0:
            kept.get("t", "m1", random.choice(hot))
    assert sum(kept.get("t", "m1", k) is not None for k in hot) > 50
    assert kept.used <= kept.room
    lru: OrderedDict = OrderedDict((k, 1) for k in hot)  # what a plain one would have done
    for i in range(50_000):
        lru[f"flood{i}"] = 1
        while len(lru) > 800:
            lru.popitem(last=False)
    assert not any(k in lru for k in hot)
    kept.serve(frozenset({"m2"}))
    assert kept.used == 0 and kept.get("t", "m1", hot[0]) is None
    kept.add("t", "m1", "late", 1, 100)  # an answer of the old version that was still out
    assert kept.get("t", "m1", "late") is None


def test_a_flood_buys_no_larger_share_of_common_engines() -> None:
    shares, now = FrontShares({"chat": 1.0, "embed": 1.0}), 100.0
    shares.room = 10000.0
    shares.asked(now, "embed", 1000.0)
    assert shares.share(now, "embed") == 1.0  # alone
    shares.asked(now, "chat", 5000.0)
    few = shares.share(now, "embed")
    shares.asked(now, "embed", 500_000.0)
    assert few < shares.share(now, "embed") <= 0.5
    assert shares.may_send(now, "embed", 1e6)  # one piece may always go
    shares.sent("embed", 5000.0)
    assert not shares.may_send(now, "embed", 10.0)
    shares.wait("embed", "p", 10.0)
    shares.wait("embed", "q", 10.0)
    shares.drop("embed", "p")
    assert shares.next(now, "embed") is None
    shares.serve("embed", 3, 2)
    assert shares.most["embed"] == 6
    shares.came("embed", 4000.0)
    assert shares.next(now, "embed") == "q" and shares.out["embed"] == 1010.0
    assert shares.share(now + 8.0, "embed") <= 0.5
    assert shares.share(now + 60.0, "embed") == 1.0  # nobody has asked for long


# -- on a whole fleet ----------------------------------------------------------------------------------


class Asking(CallWatcher):
    """One call of a batch front."""

    def __init__(
        self, fleet: Fleet, path: str, request: object, reply: type, streams: bool, timeout: float | None
    ) -> None:
        self.fleet, self.reply, self.request, self.streams = fleet, reply, request, streams
        self.items: dict[int, object] = {}
        self.order: list[int] = []
        self.final, self.status, self.wait, self.done_at = "", None, 0.0, 0.0
        self.call = fleet.channels["n0"].call(path + ("Stream" if streams else ""), self, timeout=timeout)
        self.call.send(request.SerializeToString())
        self.call.half_close()

    def message(self, data: bytes) -> None:
        reply = self.reply.FromString(data)
        assert not self.final, "nothing comes after the final answer"
        for item in getattr(reply, "vectors", None) or getattr(reply, "scores", ()):
            assert item.index not in self.items
            self.items[item.index] = item
            self.order.append(item.index)
        if reply.HasField("final"):
            self.final, self.done_at = reply.final.WhichOneof("answer"), self.fleet.clock.seconds()
            self.done = reply.final.generated
            self.wait = reply.final.rejected.wait_ms / 1000.0

    def ended(self, status: Status) -> None:
        self.status = status


def embed(
    f: Fleet,
    texts: list[bytes],
    traffic: str = "vec",
    streams: bool = False,
    tokens: int = 50,
    left: float = 4.0,
    timeout: float | None = None,
    mark: str = "",
    **more: object,
) -> Asking:
    request = pb.EmbedRequest(
        terms=pb.Terms(traffic_type=traffic, time_left_ms=int(left * 1000), mark=mark),
        inputs=[pb.Input(text=t, tokens=tokens) for t in texts],
        **more,
    )
    return Asking(f, "/myrtlehub.v1.Embeddings/Embed", request, pb.EmbedReply, streams, timeout)


def rank(
    f: Fleet, query: bytes, documents: list[bytes], streams: bool = False, top: int = 0, tokens: int = 50
) -> Asking:
    request = pb.RankRequest(
        terms=pb.Terms(traffic_type="sort"),
        top=top,
        query=pb.Input(text=query, tokens=10),
        documents=[pb.Input(text=d, tokens=tokens) for d in documents],
    )
    return Asking(f, "/myrtlehub.v1.Rerank/Rank", request, pb.RankReply, streams, None)


def texts(count: int, seed: int = 0) -> list[bytes]:
    return [f"{seed}/{i}".encode() for i in range(count)]


def right(asking: Asking, model: str = "m1", only: set[int] | None = None) -> None:
    """Every vector has its value, at its place; with `only` these and no others came."""
    inputs = asking.request.inputs
    assert set(asking.items) == (set(range(len(inputs))) if only is None else only)
    for i, vector in asking.items.items():
        size = asking.request.dimensions or 16
        expected = vector_of(inputs[i].text, model, size, asking.request.normalise)
        assert vector.packed == expected or vector.error


def at_rest(f: Fleet) -> None:
    nothing_left(f)
    for node in f.nodes.values():
        desk = node.desk
        assert not desk.open and not desk.gatherer._groups and not any(desk.shares._waiting.values())
        assert all(abs(out) < 1e-6 for out in desk.shares.out.values())
    for stand in f.stands.values():
        assert stand.model.fallen or not (stand.model.batching or stand.model.batch_queue)


def test_both_fronts_answer_whole_and_in_order() -> None:
    f = Fleet("R0 W0 E0 E0 E0 K0 K0")
    one = embed(f, texts(300), normalise=True, dimensions=8)
    stream = embed(f, texts(300, 1), streams=True)
    ranked, best = rank(f, b"q", texts(200)), rank(f, b"q", texts(200), top=5)
    chat = f.ask(prompt=2000, output=20)
    f.run(3.0)
    assert [c.final for c in (one, stream, ranked, best)] == ["generated"] * 4 and chat.answer == "generated"
    right(one)
    right(stream)
    assert one.order == list(range(300)) and one.done.items == 300 and one.done.model == "m1"
    assert abs(sum(x * x for x in struct.unpack("<8f", one.items[7].packed)) - 1.0) < 1e-5
    scores = [score_of(b"q", t, "m1") for t in texts(200)]
    assert [ranked.items[i].score for i in range(200)] == scores
    assert best.order == sorted(range(200), key=lambda i: -scores[i])[:5]
    parts = [r for r in f.what("got") if r.more["traffic"] == "vec"]
    assert len({r.who for r in parts}) == 3 and max(r.more["items"] for r in parts) <= 64
    kept(f)
    at_rest(f)


def test_an_input_over_length_errs_alone_by_index_and_duplicates_are_done_once() -> None:
    f = Fleet("R0 W0 E0", longest_input="400 tokens")
    request = pb.EmbedRequest(
        terms=pb.Terms(traffic_type="vec"),
        inputs=[pb.Input(text=b"a" * (n % 3 + 1), tokens=500 if n == 7 else 50) for n in range(12)],
    )
    asking = Asking(f, "/myrtlehub.v1.Embeddings/Embed", request, pb.EmbedReply, False, None)
    f.run(1.0)
    assert asking.final == "generated" and asking.done.errors == 1
    assert "500 tokens are more than the 400" in asking.items[7].error and not asking.items[7].packed
    right(asking)
    sent = sum(r.more["items"] for r in f.what("got") if r.more["traffic"] == "vec")
    assert sent == 4  # a, aa, aaa, and aa at 500 tokens
    at_rest(f)


def test_an_engine_that_dies_after_half_the_parts_loses_only_its_own() -> None:
    f = Fleet("R0 W0 E0 E0 E0", batch_rate=20000.0)
    asking, stream = embed(f, texts(400)), embed(f, texts(400, 3), streams=True)
    f.run(0.25)
    assert len(f.what("ended")) >= 2 and not asking.final
    f.kill("E0d")
    f.run(3.7)
    assert asking.final == "generated" and stream.final == "generated"
    right(asking)
    right(stream)
    sent = [(r.more["seq"], r.who) for r in f.what("got") if r.more["traffic"] == "vec"]
    assert len(sent) > len({s for s, _ in sent})  # some went again,
    assert len([s for s, _ in sent]) < 2 * len({s for s, _ in sent})  # and only some
    kept(f)
    at_rest(f)


@pytest.mark.parametrize("streams", [False, True])
def test_a_deadline_that_only_part_of_the_batch_can_meet(streams: bool) -> None:
    f = Fleet("R0 W0 E0", batch_rate=10000.0, batch_queue=100)
    asking = embed(f, texts(600), streams=streams, left=1.0)  # 3 s of work
    began = f.clock.seconds()
    f.run(3.0)
    assert asking.final == "rejected" and asking.done_at - began <= 1.0
    if streams:
        assert 50 < len(asking.items) < 600
        right(asking, only=set(asking.items))
    else:
        assert not asking.items
    f.run(2.0)
    at_rest(f)


def test_no_answer_holds_vectors_of_two_versions() -> None:
    f = Fleet("R0 W0 E0 E0 E0", batch_rate=10000.0, batch_queue=100)
    stream, asking = embed(f, texts(400, 1), streams=True), embed(f, texts(400))
    f.run(0.5)
    assert stream.items and not asking.final
    for name in ("E0c", "E0d", "E0e"):  # all are rolled over at once, with parts out
        f.stands[name].model_name = "m2"
    f.run(0.3)
    for name in ("E0c", "E0d", "E0e"):
        f.rows[name]["model"] = "m2"
    source = f.nodes["n0"].source
    source.push([EngineRow(**f.rows[n]) for n in f.rows], True)
    f.run(4.0)
    for call in (asking, stream):
        if call.final == "generated":
            right(call, call.done.model)
        else:
            assert call.final == "rejected"
        values = {v.packed for v in call.items.values()}
        both = texts(400) + texts(400, 1)
        first, second = ({vector_of(t, m, 16, False) for t in both} for m in ("m1", "m2"))
        assert not (values & first and values & second)
    assert asking.final == "generated" and asking.done.model == "m2"  # nothing had been handed out: all anew
    assert stream.final == "rejected" and stream.items
    again = embed(f, texts(400, 1))
    f.run(3.0)
    assert again.final == "generated" and again.done.kept == 0
    right(again, "m2")
    at_rest(f)


def test_what_was_made_once_is_kept_for_its_tenant_and_version() -> None:
    f = Fleet("R0 W0 E0")
    first = embed(f, texts(40))
    f.run(1.0)
    before = len(f.what("got"))
    second, part = embed(f, texts(40)), embed(f, texts(40)[:5] + texts(5, 9), streams=True)
    f.run(1.0)
    assert first.done.kept == 0 and second.done.kept == 40 and part.done.kept == 5
    right(second)
    right(part)
    assert len(f.what("got")) == before + 1
    other = embed(f, texts(40), dimensions=4)  # another question
    f.run(1.0)
    assert other.done.kept == 0
    right(other)
    at_rest(f)


def test_small_requests_share_an_engine_batch_and_each_gets_its_own() -> None:
    f = Fleet("R0 W0 E0")
    calls = []
    for i in range(60):
        calls.append(embed(f, texts(2, i)))
        f.run(0.001 if i % 10 else 0.004)
    f.run(1.0)
    assert all(c.final == "generated" for c in calls)
    for c in calls:
        right(c)
    got = [r for r in f.what("got") if r.more["traffic"] == "vec"]
    assert len(got) < 35 and sum(r.more["items"] for r in got) == 120
    at_rest(f)


def test_a_client_that_leaves_a_shared_batch_takes_nothing_from_the_others() -> None:
    f = Fleet("R0 W0 E0", batch_rate=500.0, more="batches: {gather: 20ms}")
    for i in range(8):
        embed(f, texts(1, 50 + i), tokens=1)
        f.run(0.002)
    f.run(1.0)
    calls = [embed(f, texts(2, i)) for i in range(4)]
    f.run(0.1)
    calls[1].call.cancel()
    f.run(0.2)
    calls[2].call.cancel()
    f.run(3.0)
    assert [c.final for c in calls] == ["generated", "", "", "generated"]
    right(calls[0])
    right(calls[3])
    all_gone = [embed(f, texts(5, 100 + i), tokens=40) for i in range(2)]
    f.run(0.3)
    stops = len(f.what("stopped"))
    for c in all_gone:
        c.call.cancel()
    f.run(0.5)
    assert len(f.what("stopped")) > stops  # nobody waits: the engine is told to stop
    f.run(3.0)
    at_rest(f)


def test_a_batch_that_is_not_repeatable_goes_whole_and_never_again() -> None:
    f = Fleet("R0 W0 E0 E0", batch_rate=1000.0)
    lost, fine = embed(f, texts(30), "vec1", mark="a"), embed(f, texts(20, 1), "vec1", mark="b")
    f.run(0.2)
    f.kill(next(r.who[:-2] for r in f.what("ran") if r.more["mark"] == "a"))
    f.run(5.0)
    assert lost.final == "aborted" and fine.final == "generated"
    assert len([r for r in f.what("got") if r.more["mark"] == "a"]) == 1
    big = embed(f, texts(65), "vec1")
    f.run(0.1)
    assert big.status.code == Code.INVALID_ARGUMENT and "at most 64 items" in big.status.message
    kept(f)
    at_rest(f)


@pytest.mark.parametrize(
    "request_, said",
    [
        (pb.EmbedRequest(terms=pb.Terms(traffic_type="vec")), "inputs: there is none"),
        (
            pb.EmbedRequest(terms=pb.Terms(traffic_type="ask"), inputs=[pb.Input(text=b"x")]),
            "is for the front 'chat'",
        ),
        (
            pb.EmbedRequest(terms=pb.Terms(traffic_type="nothing"), inputs=[pb.Input(text=b"x")]),
            "is not one of",
        ),
        (
            pb.EmbedRequest(terms=pb.Terms(traffic_type="vec"), inputs=[pb.Input(text=b"x")] * 4097),
            "4097 are more than the 4096",
        ),
    ],
)
def test_a_bad_request_is_told_what_to_mend(request_: pb.EmbedRequest, said: str) -> None:
    f = Fleet("R0 W0 E0")
    asking = Asking(f, "/myrtlehub.v1.Embeddings/Embed", request_, pb.EmbedReply, False, None)
    f.run(0.1)
    assert asking.status.code == Code.INVALID_ARGUMENT and said in asking.status.message
    at_rest(f)


def test_a_thousand_documents_for_a_client_that_reads_slowly_hold_no_engine() -> None:
    f = Fleet("R0 W0 K0 K0")
    slow = rank(f, b"q", texts(1000), streams=True)
    slow.call.pauseProducing()
    f.run(2.0)
    assert not any(s.model.batching or s.model.batch_queue for s in f.stands.values())
    assert not f.nodes["n0"].host.in_flight
    slow.call.resumeProducing()
    f.run(1.0)
    assert slow.final == "generated" and len(slow.items) == 1000
    at_rest(f)


def test_an_embed_flood_leaves_chat_its_engines() -> None:
    f = Fleet("R0 M0 M0", batch_rate=20000.0, batch_queue=400, slots=16)
    flood = [embed(f, texts(200, i), streams=True) for i in range(12)]
    f.run(0.05)
    chats = []
    for _ in range(20):
        chats.append(f.ask(prompt=300, output=20))
        f.run(0.05)
    desk = f.nodes["n0"].desk
    assert desk.shares.room == 8000.0 and desk.shares.out["embed"] <= 0.5 * desk.shares.room + 4000.0
    f.run(4.0)
    assert all(c.answer == "generated" for c in chats)
    finals = {c.final for c in flood}
    assert finals <= {"generated", "rejected"} and "generated" in finals
    kept(f)
    f.run(4.0)
    at_rest(f)


def test_a_front_with_engines_of_its_own_is_kept_from_the_common_ones_beyond_its_share() -> None:
    f = Fleet("R0 M0 M0 E0", batch_rate=20000.0, batch_queue=400, slots=16)
    host, desk = f.nodes["n0"].host, f.nodes["n0"].desk
    alone = embed(f, texts(600), streams=True)
    f.run(0.1)
    assert desk.shares.common["embed"] > 0.0  # nobody else asks: it may use all
    f.run(2.0)
    assert alone.final == "generated"
    chats, flood, most = [], [], 0.0
    for i in range(30):
        chats.append(f.ask(prompt=300, output=20))
        flood.append(embed(f, texts(150, i), streams=True))
        f.run(0.04)
        if i > 5:
            most = max(most, desk.shares.common["embed"])
    assert most <= 0.5 * desk.shares.room + 4000.0
    seen = {r.who for r in f.what("got") if r.more["traffic"] == "vec"}
    assert "E0d:1" in seen and any(desk.shares.shut.values())
    f.run(6.0)
    assert all(c.answer == "generated" for c in chats)
    f.run(90.0)  # nobody asks any more
    late = embed(f, texts(5, 999))
    f.run(1.0)
    assert late.final == "generated" and not any(desk.shares.shut.values())
    assert sum(c.final == "generated" for c in flood) > 10
    router = host.router
    assert all(router.routers[1].state[i] == 0 for i in router._told[1])  # let in again
    kept(f)
    at_rest(f)
