"""Tests of the embeddings and rerank fronts in a complete fleet."""

import struct

import pytest
from batch_calls import (
    BatchCallWatcher,
    assert_nothing_in_flight,
    assert_vectors,
    embed,
    rank,
    read_embed_reply,
    texts,
)
from fleet import Fleet
from fleet_checks import assert_rules_kept

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.emulator.vectors import score_of, vector_of
from myrtlehub.proto import items_pb2 as pb
from myrtlehub.routing.contract import EngineState
from myrtlehub.rpc.status import Code


def test_both_fronts_answer_completely_and_in_order() -> None:
    fleet = Fleet("R0 W0 E0 E0 E0 K0 K0")
    one = embed(fleet, texts(300), normalise=True, dimensions=8)
    stream = embed(fleet, texts(300, 1), is_stream=True)
    ranked, best = rank(fleet, b"q", texts(200)), rank(fleet, b"q", texts(200), top=5)
    chat = fleet.generate(prompt=2000, output=20)
    fleet.run(3.0)
    assert [c.final for c in (one, stream, ranked, best)] == ["generated"] * 4 and chat.answer == "generated"
    assert_vectors(one)
    assert_vectors(stream)
    assert one.order == list(range(300)) and one.done.items == 300 and one.done.model == "m1"
    assert abs(sum(x * x for x in struct.unpack("<8f", one.items[7].packed)) - 1.0) < 1e-5
    scores = [score_of(b"q", t, "m1") for t in texts(200)]
    assert [ranked.items[i].score for i in range(200)] == scores
    assert best.order == sorted(range(200), key=lambda i: -scores[i])[:5]
    parts = [r for r in fleet.records("got") if r.more["traffic"] == "vec"]
    assert len({r.who for r in parts}) == 3 and max(r.more["items"] for r in parts) <= 64
    assert_rules_kept(fleet)
    assert_nothing_in_flight(fleet)


def test_an_input_over_the_length_limit_gets_its_own_error_and_duplicates_run_once() -> None:
    fleet = Fleet("R0 W0 E0", longest_input="400 tokens")
    request = pb.EmbedRequest(
        terms=pb.Terms(traffic_type="vec"),
        inputs=[pb.Input(text=b"a" * (n % 3 + 1), tokens=500 if n == 7 else 50) for n in range(12)],
    )
    call = BatchCallWatcher(fleet, "/myrtlehub.v1.Embeddings/Embed", request, read_embed_reply, False, None)
    fleet.run(1.0)
    assert call.final == "generated" and call.done.errors == 1
    assert "500 tokens are more than the 400" in call.items[7].error and not call.items[7].packed
    assert_vectors(call)
    sent_items = sum(r.more["items"] for r in fleet.records("got") if r.more["traffic"] == "vec")
    assert sent_items == 4  # a, aa, aaa, and aa with 500 tokens
    assert_nothing_in_flight(fleet)


def test_only_the_parts_of_a_failed_engine_are_retried() -> None:
    fleet = Fleet("R0 W0 E0 E0 E0", batch_rate=20000.0)
    call, stream = embed(fleet, texts(400)), embed(fleet, texts(400, 3), is_stream=True)
    fleet.run(0.25)
    assert len(fleet.records("ended")) >= 2 and not call.final
    fleet.kill("E0d")
    fleet.run(3.7)
    assert call.final == "generated" and stream.final == "generated"
    assert_vectors(call)
    assert_vectors(stream)
    sent_parts = [(r.more["seq"], r.who) for r in fleet.records("got") if r.more["traffic"] == "vec"]
    assert len(sent_parts) > len({s for s, _ in sent_parts})  # some parts were retried,
    assert len([s for s, _ in sent_parts]) < 2 * len({s for s, _ in sent_parts})  # but not all
    assert_rules_kept(fleet)
    assert_nothing_in_flight(fleet)


@pytest.mark.parametrize("is_stream", [False, True])
def test_a_deadline_that_only_a_part_of_the_batch_can_meet(is_stream: bool) -> None:
    fleet = Fleet("R0 W0 E0", batch_rate=10000.0, batch_queue=100)
    call = embed(fleet, texts(600), is_stream=is_stream, time_left=1.0)  # the engine needs 3 s
    started_at = fleet.clock.seconds()
    fleet.run(3.0)
    assert call.final == "rejected" and call.done_at - started_at <= 1.0
    if is_stream:
        assert 50 < len(call.items) < 600
        assert_vectors(call, only=set(call.items))
    else:
        assert not call.items
    fleet.run(2.0)
    assert_nothing_in_flight(fleet)


def test_no_answer_has_vectors_of_two_versions() -> None:
    fleet = Fleet("R0 W0 E0 E0 E0", batch_rate=10000.0, batch_queue=100)
    stream, unary = embed(fleet, texts(400, 1), is_stream=True), embed(fleet, texts(400))
    fleet.run(0.5)
    assert stream.items and not unary.final
    for name in ("E0c", "E0d", "E0e"):  # all engines change versions while parts are in flight
        fleet.engines[name].model_name = "m2"
    fleet.run(0.3)
    for name in ("E0c", "E0d", "E0e"):
        fleet.endpoints[name]["model"] = "m2"
    source = fleet.nodes["n0"].endpoint_source
    source.push([EndpointConfig(**fleet.endpoints[n]) for n in fleet.endpoints], True)
    fleet.run(4.0)
    for call in (unary, stream):
        if call.final == "generated":
            assert_vectors(call, call.done.model)
        else:
            assert call.final == "rejected"
        values = {v.packed for v in call.items.values()}
        all_texts = texts(400) + texts(400, 1)
        first, second = ({vector_of(t, m, 16, False) for t in all_texts} for m in ("m1", "m2"))
        assert not (values & first and values & second)
    # No result of the unary call had been sent, so its batch restarted with the new version.
    assert unary.final == "generated" and unary.done.model == "m2"
    assert stream.final == "rejected" and stream.items
    again = embed(fleet, texts(400, 1))
    fleet.run(3.0)
    assert again.final == "generated" and again.done.kept == 0
    assert_vectors(again, "m2")
    assert_nothing_in_flight(fleet)


def test_results_are_cached_by_tenant_and_version() -> None:
    fleet = Fleet("R0 W0 E0")
    first = embed(fleet, texts(40))
    fleet.run(1.0)
    before = len(fleet.records("got"))
    second, overlapping = embed(fleet, texts(40)), embed(fleet, texts(40)[:5] + texts(5, 9), is_stream=True)
    fleet.run(1.0)
    assert first.done.kept == 0 and second.done.kept == 40 and overlapping.done.kept == 5
    assert_vectors(second)
    assert_vectors(overlapping)
    assert len(fleet.records("got")) == before + 1
    other = embed(fleet, texts(40), dimensions=4)  # other parameters
    fleet.run(1.0)
    assert other.done.kept == 0
    assert_vectors(other)
    assert_nothing_in_flight(fleet)


def test_small_requests_share_an_engine_batch_and_each_gets_its_own_results() -> None:
    fleet = Fleet("R0 W0 E0")
    calls = []
    for i in range(60):
        calls.append(embed(fleet, texts(2, i)))
        fleet.run(0.001 if i % 10 else 0.004)
    fleet.run(1.0)
    assert all(c.final == "generated" for c in calls)
    for call in calls:
        assert_vectors(call)
    received = [r for r in fleet.records("got") if r.more["traffic"] == "vec"]
    assert len(received) < 35 and sum(r.more["items"] for r in received) == 120
    assert_nothing_in_flight(fleet)


def test_a_client_that_cancels_in_a_shared_engine_batch_does_not_affect_the_others() -> None:
    fleet = Fleet("R0 W0 E0", batch_rate=500.0, more_settings="batches: {gather: 20ms}")
    for i in range(8):
        embed(fleet, texts(1, 50 + i), tokens=1)
        fleet.run(0.002)
    fleet.run(1.0)
    calls = [embed(fleet, texts(2, i)) for i in range(4)]
    fleet.run(0.1)
    calls[1].call.cancel()
    fleet.run(0.2)
    calls[2].call.cancel()
    fleet.run(3.0)
    assert [c.final for c in calls] == ["generated", "", "", "generated"]
    assert_vectors(calls[0])
    assert_vectors(calls[3])
    cancelled_calls = [embed(fleet, texts(5, 100 + i), tokens=40) for i in range(2)]
    fleet.run(0.3)
    stops = len(fleet.records("stopped"))
    for call in cancelled_calls:
        call.call.cancel()
    fleet.run(0.5)
    assert len(fleet.records("stopped")) > stops  # no client waits, so the attempt was cancelled
    fleet.run(3.0)
    assert_nothing_in_flight(fleet)


def test_a_batch_that_is_not_idempotent_is_not_split_and_not_retried() -> None:
    fleet = Fleet("R0 W0 E0 E0", batch_rate=1000.0)
    lost, kept = embed(fleet, texts(30), "vec1", mark="a"), embed(fleet, texts(20, 1), "vec1", mark="b")
    fleet.run(0.2)
    fleet.kill(next(r.who[:-2] for r in fleet.records("ran") if r.more["mark"] == "a"))
    fleet.run(5.0)
    assert lost.final == "aborted" and kept.final == "generated"
    assert len([r for r in fleet.records("got") if r.more["mark"] == "a"]) == 1
    big = embed(fleet, texts(65), "vec1")
    fleet.run(0.1)
    assert big.status.code == Code.INVALID_ARGUMENT and "at most 64 items" in big.status.message
    assert_rules_kept(fleet)
    assert_nothing_in_flight(fleet)


@pytest.mark.parametrize(
    ("request_", "message"),
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
def test_an_invalid_request_is_rejected_with_its_field(request_: pb.EmbedRequest, message: str) -> None:
    fleet = Fleet("R0 W0 E0")
    call = BatchCallWatcher(fleet, "/myrtlehub.v1.Embeddings/Embed", request_, pb.EmbedReply, False, None)
    fleet.run(0.1)
    assert call.status.code == Code.INVALID_ARGUMENT and message in call.status.message
    assert_nothing_in_flight(fleet)


def test_a_client_that_reads_slowly_occupies_no_engine() -> None:
    fleet = Fleet("R0 W0 K0 K0")
    slow = rank(fleet, b"q", texts(1000), is_stream=True)
    slow.call.pauseProducing()
    fleet.run(2.0)
    assert not any(s.model.batches.running or s.model.batches.queue for s in fleet.engines.values())
    assert not fleet.nodes["n0"].executor.in_flight
    slow.call.resumeProducing()
    fleet.run(1.0)
    assert slow.final == "generated" and len(slow.items) == 1000
    assert_nothing_in_flight(fleet)


def test_many_embeddings_requests_leave_chat_its_share_of_engines() -> None:
    fleet = Fleet("R0 M0 M0", batch_rate=20000.0, batch_queue=400, slots=16)
    embed_calls = [embed(fleet, texts(200, i), is_stream=True) for i in range(12)]
    fleet.run(0.05)
    chat_calls = []
    for _ in range(20):
        chat_calls.append(fleet.generate(prompt=300, output=20))
        fleet.run(0.05)
    batches = fleet.nodes["n0"].batches
    assert (
        batches.fair_share.common_capacity == 8000.0
        and batches.fair_share.tokens_in_flight["embed"] <= 0.5 * batches.fair_share.common_capacity + 4000.0
    )
    fleet.run(4.0)
    assert all(c.answer == "generated" for c in chat_calls)
    finals = {c.final for c in embed_calls}
    assert finals <= {"generated", "rejected"} and "generated" in finals
    assert_rules_kept(fleet)
    fleet.run(4.0)
    assert_nothing_in_flight(fleet)


def test_a_front_with_engines_of_its_own_keeps_to_its_share_of_common_ones() -> None:
    fleet = Fleet("R0 M0 M0 E0", batch_rate=20000.0, batch_queue=400, slots=16)
    node_executor, batches = fleet.nodes["n0"].executor, fleet.nodes["n0"].batches
    only_call = embed(fleet, texts(600), is_stream=True)
    fleet.run(0.1)
    assert (
        batches.fair_share.common_tokens["embed"] > 0.0
    )  # no other front has demand, so it may use all of them
    fleet.run(2.0)
    assert only_call.final == "generated"
    chat_calls, embed_calls, max_common_tokens = [], [], 0.0
    for i in range(30):
        chat_calls.append(fleet.generate(prompt=300, output=20))
        embed_calls.append(embed(fleet, texts(150, i), is_stream=True))
        fleet.run(0.04)
        if i > 5:
            max_common_tokens = max(max_common_tokens, batches.fair_share.common_tokens["embed"])
    assert max_common_tokens <= 0.5 * batches.fair_share.common_capacity + 4000.0
    engines_used = {r.who for r in fleet.records("got") if r.more["traffic"] == "vec"}
    assert "E0d:1" in engines_used and any(batches.fair_share.is_excluded.values())
    fleet.run(6.0)
    assert all(c.answer == "generated" for c in chat_calls)
    fleet.run(90.0)  # until no front has demand any more
    late_call = embed(fleet, texts(5, 999))
    fleet.run(1.0)
    assert late_call.final == "generated" and not any(batches.fair_share.is_excluded.values())
    assert sum(c.final == "generated" for c in embed_calls) > 10
    engines = node_executor.router.routers[1].estimates.engines
    # The front is readmitted to the common engines.
    assert all(
        engines[index].state == EngineState.SERVING for index in node_executor.router._known_engines[1]
    )
    assert_rules_kept(fleet)
    assert_nothing_in_flight(fleet)
