"""The relay's protocol: clients, engines, discovery, drains; on memory transports and a driven clock."""

import gc
import json
import subprocess
import sys
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from relayrig import (
    DONE,
    EVENT,
    HEAD,
    READ_DONE,
    RELEASED,
    SETTINGS,
    USAGE,
    WHOLE,
    Far,
    Rig,
    _Dialed,
    answer,
    chat,
    chunk,
)
from twisted.internet import task

from myrtlehub.http1.bounds import AHEAD_ALL
from myrtlehub.relay.bootstrap import Malformed, load_of, read_bootstrap
from myrtlehub.relay.events import EVENT_MOST, Events, Spoilt
from myrtlehub.relay.outcomes import HEADS, of_break, of_head
from myrtlehub.relay.reload import Drain, reload
from myrtlehub.routing import contract

LONG = 2000  # prompt tokens from which a reader is used


def stream_of(got: bytes) -> bytes:
    """The body of one chunked answer, its last chunk included."""
    body, out = got.partition(b"\r\n\r\n")[2], b""
    while body:
        size, _, body = body.partition(b"\r\n")
        if int(size, 16) == 0:
            return out + b"<end>"
        out, body = out + body[: int(size, 16)], body[int(size, 16) + 2 :]
    return out


def silent(far: Far, head: object, body: bytes) -> None:
    """An engine that takes work and says nothing."""
    if head.method == b"DELETE":
        far.say(RELEASED)


# -- the ordinary path --------------------------------------------------------------------------------


def test_short_prompt_goes_to_a_writer_and_its_stream_through_unchanged() -> None:
    rig = Rig()
    client = rig.ask("a1", 100)
    assert client.statuses == [200]
    assert stream_of(client.got) == EVENT + EVENT + USAGE + DONE + b"<end>"
    method, target, headers, body, _ = rig.engines["w1"].asked[0]
    assert (method, target, body) == (b"POST", b"/v1/chat/completions?v=1", b'{"model":"chat","messages":[]}')
    assert headers[b"x-txn"] == b"a1" and 3900 <= int(headers[b"x-remaining-ms"]) <= 4000
    assert not rig.engines["r1"].asked and not client.lost and not rig.node.host.in_flight


def test_all_headers_go_on_to_engines_but_those_of_the_clients_connection() -> None:
    """Seen at ribeira-alta: an engine knows a repeat by its Idempotency-Key, which was left out."""
    rig = Rig()
    rig.ask(
        "a1",
        LONG,
        more=b"Idempotency-Key: k7\r\nAuthorization: Bearer t\r\n"
        b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n"
        b"TE: trailers\r\nX-Note: one\r\nX-Note: two\r\n",
    )
    for name in ("r1", "w1"):
        far = rig.engines[name].asked[0]
        assert far[2][b"idempotency-key"] == b"k7" and far[2][b"authorization"] == b"Bearer t"
        assert not {b"connection", b"x-hop", b"keep-alive", b"te"} & set(far[2])
        assert [v for n, v in far[4].last_headers if n == b"x-note"] == [b"one", b"two"]
        assert [n for n, _ in far[4].last_headers].count(b"x-remaining-ms") == 1


def test_long_prompt_is_read_first_and_the_same_request_goes_on_to_the_writer() -> None:
    rig = Rig()
    client = rig.ask("a1", LONG)
    assert stream_of(client.got).endswith(b"<end>")
    read, written = rig.engines["r1"].chats(), rig.engines["w1"].chats()
    assert len(read) == len(written) == 1
    assert read[0][1:2] + read[0][3:4] == written[0][1:2] + written[0][3:4]
    assert rig.engines["r1"].released() == []  # the writer fetched it


def test_connections_are_kept_for_the_next_request() -> None:
    rig = Rig()
    client = rig.ask("a1")
    rig.run(0.2)
    rig.ask("a2", client=client)
    assert client.statuses == [200, 200]
    assert len(rig.engines["w1"].connections) == 1 and rig.node.pool.reused == 1


def test_reports_reach_the_module_from_heads_and_from_the_tail_of_streams() -> None:
    rig = Rig()
    heard = []
    rig.node.host.router.estimates.load_reported = lambda engine, load: heard.append((engine.index, load))
    rig.engines["w1"].answer = lambda far, head, body: far.say(
        HEAD + chunk(EVENT + USAGE) + chunk(DONE + b': X-Pressure: {"x0":0.25,"x1":1.5}\n\n') + b"0\r\n\r\n"
    )
    rig.ask("a1", LONG)
    assert [load.memory_share for _, load in heard] == [0.5, 0.25]
    assert [load.unread for _, load in heard] == [2000.0, 1500.0]
    assert load_of(b"{not json") is None and load_of(b'{"x0":"much"}') is None and load_of(b"[]") is None


# -- outcomes -----------------------------------------------------------------------------------------


def test_every_row_of_the_table_and_what_is_in_none() -> None:
    for (reads, status, mark), end in HEADS.items():
        assert of_head(reads, status, mark) == end
    for reads in (True, False):
        for status in (201, 204, 301, 400, 404, 410, 429, 500, 502, 503, 504):
            assert (
                of_head(reads, status, False).outcome == contract.Outcome.ERROR
            )  # without its mark it proves nothing
        assert of_head(reads, 500, True).outcome == contract.Outcome.ERROR
    assert of_head(True, 200, False).outcome == of_head(False, 202, False).outcome == contract.Outcome.ERROR
    assert (of_break(False).outcome, of_break(True).outcome) == (
        contract.Outcome.UNREACHED,
        contract.Outcome.RESET,
    )


@pytest.mark.parametrize(
    ("traffic", "said", "status"),
    [
        ("ask", answer(500), 200),  # repeatable: it may go again
        ("post", answer(500), 502),  # may have run: no promise
        ("post", answer(503, mark=True), 200),  # did not run: it goes again
        ("post", answer(503), 502),  # without its mark it proves nothing
        ("post", b"\x00\x01noise\r\n\r\n", 502),
        ("ask", b"\x00\x01noise\r\n\r\n", 200),
        ("post", b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20000, 502),  # a head that does not end
        ("post", HEAD + b"zz\r\n" + EVENT, 502),  # a chunk's size that can't be read
        ("post", HEAD + chunk(b"\x8a\x93 noise"), 502),
        ("post", HEAD + b"0\r\n\r\n", 502),  # a stream without an event
    ],
)
def test_what_a_writer_says_first_decides_whether_it_goes_again(
    traffic: str, said: bytes, status: int
) -> None:
    rig = Rig("w1 w2")

    def first(far: Far, head: object, body: bytes) -> None:
        far.say(said if len(rig.engines["w1"].chats() + rig.engines["w2"].chats()) == 1 else WHOLE)

    for peer in rig.engines.values():
        peer.answer = first
    client = rig.ask("a1", traffic=traffic)
    assert client.statuses == [status]
    attempts = len(rig.engines["w1"].chats() + rig.engines["w2"].chats())
    assert attempts == (2 if status == 200 else 1)


def test_an_engine_that_refuses_connections_has_not_run_it() -> None:
    rig = Rig("w1 w2")
    rig.net.kill("w1:1")
    rig.net.kill("w2:1")
    client = rig.ask("a1", traffic="post")
    rig.run(5.0)
    assert client.statuses == [503]  # a rejection is true: nothing ran


def test_a_writer_that_has_lost_the_state_is_told_from_one_that_is_full() -> None:
    rig = Rig("r1 m1")
    rig.engines["m1"].answer = lambda far, head, body: far.say(
        answer(410, mark=True) if len(rig.engines["m1"].chats()) == 1 else WHOLE
    )
    client = rig.ask("a1", LONG)
    rig.run(0.2)
    assert client.statuses == [200]
    assert len(rig.engines["r1"].chats()) + len(rig.engines["m1"].chats()) >= 3


# -- streams ------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "spoilt",
    [b"zz\r\n", chunk(b"\x00\xffnoise"), b"ffff\r\n" + EVENT + b"\r\n" + chunk(EVENT), b"3\r\n" + EVENT],
)
def test_a_stream_spoilt_later_ends_the_clients_connection_without_the_last_chunk(spoilt: bytes) -> None:
    rig = Rig("w1")
    rig.engines["w1"].answer = lambda far, head, body: far.say(HEAD + chunk(EVENT) + spoilt)
    client = rig.ask("a1")
    rig.run(4.0)
    assert client.lost and not stream_of(client.got).endswith(b"<end>")
    assert stream_of(client.got).startswith(EVENT) and client.statuses == [200]
    assert len(rig.engines["w1"].chats()) == 1  # what has streamed is not tried again


def test_a_chunk_of_3_gb_that_keeps_coming_ends_the_stream_within_5_s() -> None:
    rig = Rig("w1")
    rig.engines["w1"].answer = lambda far, head, body: far.say(HEAD + chunk(EVENT) + b"c0000000\r\n")
    client = rig.ask("a1")
    far = rig.engines["w1"].connections[0]
    for _ in range(9):
        far.say(b"data: xxxx")  # bytes that never become an event are no sign of life
        rig.run(0.5)
    assert client.lost and far.lost


def test_a_stream_that_is_silent_for_seconds_and_goes_on_is_not_cut() -> None:
    rig = Rig("w1")
    rig.engines["w1"].answer = lambda far, head, body: far.say(HEAD + chunk(EVENT))
    client = rig.ask("a1")
    rig.run(3.0)
    rig.engines["w1"].connections[0].say(chunk(EVENT + USAGE + DONE) + b"0\r\n\r\n")
    rig.run(0.1)
    assert stream_of(client.got) == EVENT + EVENT + USAGE + DONE + b"<end>"


def test_a_stream_on_which_nothing_comes_any_more_is_ended() -> None:
    rig = Rig("w1")
    rig.engines["w1"].answer = lambda far, head, body: far.say(HEAD + chunk(EVENT))
    client = rig.ask("a1")
    rig.run(4.9)  # 5 s are owed after a last event
    assert client.lost and not rig.node.host.in_flight


def test_what_lies_behind_a_good_answer_is_never_another_requests_answer() -> None:
    rig = Rig("w1")
    rig.engines["w1"].answer = lambda far, head, body: far.say(
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + WHOLE + (HEAD + chunk(b"data: other\n\n") + b"0\r\n\r\n")
    )
    client = rig.ask("a1")
    assert stream_of(client.got).endswith(b"<end>") and b"other" not in client.got
    assert rig.engines["w1"].connections[0].lost
    rig.run(0.2)
    client = rig.ask("a2")
    assert client.statuses == [200] and len(rig.engines["w1"].connections) == 2


def test_a_surplus_that_comes_a_moment_later_closes_the_kept_connection() -> None:
    rig = Rig("w1")
    rig.ask("a1")
    rig.engines["w1"].connections[0].say(WHOLE)
    rig.run(0.1)
    assert rig.engines["w1"].connections[0].lost


def test_more_1xx_answers_than_bounded_are_no_answer() -> None:
    rig = Rig("w1")
    early = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50
    rig.engines["w1"].answer = lambda far, head, body: far.say(early + WHOLE)
    assert rig.ask("a1", traffic="post").statuses == [502]


def test_a_client_that_takes_nothing_holds_up_its_writer_and_nothing_else() -> None:
    rig = Rig("w1")
    rig.engines["w1"].answer = lambda far, head, body: far.say(HEAD + chunk(EVENT))
    client = rig.ask("a1")
    near = client.transport.other
    near.stalled = True
    engine = rig.engines["w1"].connections[0]
    engine.say(chunk(EVENT))
    rig.run(0.05)
    assert engine.transport.other.paused  # no more is read of the engine's stream
    near.stalled = False
    near.producer.resumeProducing()
    engine.say(chunk(USAGE + DONE) + b"0\r\n\r\n")
    rig.run(0.05)
    assert stream_of(client.got) == EVENT + EVENT + USAGE + DONE + b"<end>"


@given(st.lists(st.integers(1, 40), max_size=30))
def test_events_are_cut_the_same_however_they_come(cuts: list[int]) -> None:
    text = EVENT + USAGE + b': X-Pressure: {"x0":0.5}\n\n' + DONE
    events, out, at = Events(), b"", 0
    for cut in [*cuts, len(text)]:
        out += events.feed(text[at : at + cut])
        at += cut
    events.end()
    assert out == text and events.kept == 64.0 and events.done
    assert events.load == contract.LoadReport(memory_share=0.5)


def test_an_event_without_end_and_half_an_event_at_the_end_spoil_it() -> None:
    events = Events()
    with pytest.raises(Spoilt):
        events.feed(b"data: " + b"x" * EVENT_MOST)
    events = Events()
    assert events.feed(EVENT + b"data: half") == EVENT
    with pytest.raises(Spoilt):
        events.end()


# -- held state ---------------------------------------------------------------------------------------


def test_a_client_that_leaves_amid_a_read_has_its_state_released() -> None:
    rig = Rig()
    rig.engines["r1"].answer = silent
    client = rig.ask("a1", LONG)
    client.transport.loseConnection()
    rig.run(0.3)
    assert rig.engines["r1"].chats()[0][4].lost  # given up by closing its connection
    # twice, as the read may have ended well after the first word
    assert rig.engines["r1"].released() == [b"/state/a1"] * 2
    assert not rig.node.host.in_flight


def test_a_release_is_tried_again_on_a_new_connection_until_it_is_answered() -> None:
    rig = Rig()
    rig.engines["w1"].answer = silent

    def deaf_once(far: Far, head: object, body: bytes) -> None:
        if head.method == b"POST":
            far.say(READ_DONE)
        elif len(rig.engines["r1"].released()) > 1:
            far.say(RELEASED)

    rig.engines["r1"].answer = deaf_once
    client = rig.ask("a1", LONG)
    client.transport.loseConnection()
    rig.run(0.2)
    assert rig.engines["r1"].released() == [b"/state/a1"] * 2
    assert len({id(a[4]) for a in rig.engines["r1"].asked[1:]}) == 2


# -- clients ------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("said", "status"),
    [
        (chat(traffic="none"), 400),
        (chat().replace(b"X-Txn: a1\r\n", b""), 400),
        (chat(more=b"X-Txn: a2\r\n"), 400),
        (chat("a%2F1"), 400),
        (chat().replace(b"X-Remaining-Ms: 4000", b"X-Remaining-Ms: soon"), 400),
        (chat().replace(b"X-Remaining-Ms: 4000", b"X-Remaining-Ms: -5"), 400),
        (chat().replace(b"X-Remaining-Ms: 4000", b"X-Remaining-Ms: 1e3"), 400),
        (chat().replace(b"prompt_len=100", b"prompt_len=many"), 400),
        (chat().replace(b"X-Org: acme", b"X-Org: nobody"), 400),
        (chat(body=b"not json"), 400),
        (chat(body=b'{"model":"chat"}'), 400),
        (chat().replace(b"POST", b"GET", 1), 405),
        (chat().replace(b"/v1/chat", b"/v2/chat", 1), 404),
        (chat().replace(b"Content-Length: 30", b"Content-Length: 30\r\nTransfer-Encoding: chunked"), 400),
        (chat().replace(b"Content-Length: 30", b"Content-Length: 30\r\nContent-Length: 31"), 400),
        (chat().replace(b"Content-Length: 30", b"Content-Length: -1"), 400),
        (chat().replace(b"Content-Length: 30", b"Content-Length: 60000000"), 413),
        (chat().replace(b"Content-Length: 30", b"Content-Length: 99999999999999999999"), 413),
        (chat(more=b"X-A: " + b"y" * 30000 + b"\r\n"), 431),
        (b"\x16\x03\x01 what is this\r\n\r\n", 400),
    ],
)
def test_what_is_malformed_is_told_at_once_closed_and_never_passed_on(said: bytes, status: int) -> None:
    rig = Rig("w1")
    client = rig.client()
    client.say(said)
    rig.run(0.1)
    assert client.statuses == [status] and client.lost
    assert not rig.engines["w1"].asked and not rig.node.host.in_flight


def test_a_request_hidden_behind_a_doubtful_length_is_not_read() -> None:
    rig = Rig("w1")
    client = rig.client()
    client.say(
        chat().replace(b"Content-Length: 30", b"Content-Length: 5\r\nTransfer-Encoding: chunked")
        + b"0\r\n\r\n"
        + chat("hidden")
    )
    rig.run(0.5)
    assert client.statuses == [400] and not rig.engines["w1"].asked


def test_a_body_in_chunks_is_taken_and_goes_on_with_its_length_and_one_too_long_is_not() -> None:
    rig = Rig("w1")
    body = b'{"model":"chat","messages":[]}'
    head = chat().partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
    client = rig.client()
    client.say(head + chunk(body[:7]) + chunk(body[7:]) + b"0\r\n\r\n")
    rig.run(0.1)
    assert client.statuses == [200] and rig.engines["w1"].asked[0][3] == body
    client = rig.client()
    client.say(head + chunk(b"x" * 200_000))
    client.say(chunk(b"x" * 200_000))
    rig.run(0.1)
    assert client.statuses == [413] and client.lost


def test_the_id_of_an_open_request_is_refused_and_the_open_one_goes_on() -> None:
    rig = Rig("w1")
    rig.engines["w1"].answer = silent
    first = rig.ask("a1")
    second = rig.ask("a1")
    assert second.statuses == [409] and second.lost and not first.lost
    rig.engines["w1"].connections[0].say(WHOLE)
    rig.run(0.1)
    assert first.statuses == [200]


@pytest.mark.parametrize("said", [b"", b"POST /v1/chat", chat()[:-5]])
def test_silence_and_half_requests_end_within_3_s(said: bytes) -> None:
    rig = Rig("w1")
    client = rig.client()
    client.say(said) if said else None
    rig.run(2.5)
    assert client.lost and client.statuses == ([408] if said else [])


def test_half_a_request_and_a_close_leaves_nothing() -> None:
    rig = Rig("w1")
    client = rig.client()
    client.say(chat()[:-5])
    client.transport.loseConnection()
    rig.run(0.1)
    assert not rig.node.site.connections and not rig.node.host.in_flight


def test_pipelined_requests_are_answered_in_turn() -> None:
    rig = Rig("w1")
    client = rig.client()
    client.say(chat("a1") + chat("a2") + b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
    rig.run(0.3)
    assert client.statuses == [200, 200, 200]
    assert [a[2][b"x-txn"] for a in rig.engines["w1"].asked] == [b"a1", b"a2"]


def test_what_waits_behind_open_requests_is_bounded_over_all_connections_and_given_back() -> None:
    rig = Rig("w1", sockets=400)
    rig.engines["w1"].answer = silent
    clients = [rig.ask(f"a{i}") for i in range(60)]
    for client in clients:
        client.say(chat("b", body=b'{"messages":["' + b"x" * 200_000 + b'"]}'))
        rig.run(0.01)
    assert 7_500_000 < rig.node.site.ahead <= AHEAD_ALL
    for far in rig.engines["w1"].connections:
        far.say(WHOLE) if not far.lost else None
    rig.run(0.2)
    told = [c.statuses for c in clients]
    assert [200, 413] in told and all(t[0] == 200 for t in told)
    for client in clients:
        client.transport.loseConnection()
    rig.run(0.5)
    assert rig.node.site.ahead == 0 and not rig.node.site.connections


def test_hundreds_of_silent_connections_leave_room_for_one_that_asks() -> None:
    rig = Rig("w1", sockets=100)
    silent_ones = [rig.client() for _ in range(90)]
    rig.run(0.3)
    assert len(rig.node.site.connections) <= rig.node.site.most
    assert rig.ask("a1").statuses == [200]
    rig.run(3.0)
    assert all(c.lost for c in silent_ones)


def test_a_request_that_comes_with_a_rush_of_silent_connections_is_read() -> None:
    """Seen on a crowded day: new connections were closed before what they had sent was read."""
    rig = Rig("w1", sockets=100)
    rig.engines["w1"].answer = silent
    made = []
    for i in range(400):
        if i % 50 == 0:
            rig.run(0.03)
        rig.net.dialer("node")(_Dialed()).addCallback(made.append)
        if i % 50 == 25:
            rig.clock.advance(0)
            made[-1].say(chat(f"a{i}"))
    rig.run(0.2)
    assert len(rig.node.front.open) == 8
    assert len(rig.node.site.connections) <= rig.node.site.most


def test_room_is_never_made_by_closing_a_connection_whose_request_is_open() -> None:
    rig = Rig("w1", sockets=140)
    rig.engines["w1"].answer = silent
    open_ones = [rig.ask(f"a{i}") for i in range(20)]
    for _ in range(60):
        rig.client()
    rig.run(1.0)
    assert not any(c.lost for c in open_ones)


def test_ids_and_connections_without_end_leave_nothing_behind() -> None:
    rig = Rig("r1 w1")
    for i in range(300):
        rig.ask(f"a{i}", LONG if i % 3 == 0 else 100).transport.loseConnection()
    rig.run(1.0)
    node = rig.node
    assert not node.host.in_flight and not node.front.open and not node.site.connections
    assert not node.engines.streams and not node.host.router.sequences
    assert node.pool.count == sum(len(free) for free in node.pool._free.values())


# -- discovery ----------------------------------------------------------------------------------------


def test_what_was_answered_is_freed_at_once_and_not_by_the_collector() -> None:
    """Each holds a whole request: between two collections of what is old, tens of MB would come together."""
    rig = Rig("r1 w1 w2")

    def spoilt(far: Far, head: object, body: bytes) -> None:
        far.say(RELEASED if head.method == b"DELETE" else HEAD + chunk(EVENT) + b"xyz")

    gc.collect()
    gc.disable()
    try:
        for i in range(40):
            if i == 30:
                rig.engines["w1"].answer = rig.engines["w2"].answer = spoilt
            client = rig.ask(f"a{i}", LONG if i % 2 else 100, "post" if i % 3 else "ask")
            client.transport.loseConnection()
            rig.run(0.1)
        rig.ask("b", left=300)
        rig.run(9.0)
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        left = Counter(type(o).__name__ for o in gc.garbage)
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    held = ("InFlightSequence", "_Waiting", "Exchange", "Request", "Asked", "Attempt", "_Attempt")
    assert not {n: left[n] for n in held if left[n]}


def test_a_change_is_followed_and_the_watch_renewed_at_once() -> None:
    rig = Rig("w1 w2")
    rig.change(w1=rig.line("w1", "leaving"))
    assert len(rig.waiting) == 1  # the next watch is there
    for i in range(6):
        rig.ask(f"a{i}")
    assert not rig.engines["w1"].chats() and len(rig.engines["w2"].chats()) == 6
    assert b"since=2" in rig.discovery.asked[-1][1]


def test_an_engine_that_moved_is_reached_where_it_is_now() -> None:
    rig = Rig("w1")
    rig.ask("a0")
    rig.net.listen("new:1", rig.engines["w1"])
    old = rig.engines["w1"].connections[0]
    rig.change(w1=rig.line("w1", dial="new:1"))
    rig.run(0.1)
    assert old.lost
    assert rig.ask("a1").statuses == [200]


def test_entries_that_cannot_be_read_do_not_end_the_watch() -> None:
    rig = Rig("w1")
    far = rig.waiting.pop()
    rig.tell(far, {"seq": 2, "whole": False, "hosts": [{"host": 5}, None, rig.line("x9"), rig.line("w2")]})
    rig.run(0.05)
    assert len(rig.waiting) == 1 and set(rig.node.desk.engines.index_of) == {"w1", "w2"}


@pytest.mark.parametrize(
    "spoilt",
    [{"dial": 7}, {"class": "x"}, {"site": None}, {"share": "much"}, {"block": "b"}, {"born_ms": []}],
    ids=str,
)
@pytest.mark.parametrize("health", ["leaving", "left"])
def test_a_notice_of_leaving_counts_whatever_else_cannot_be_read(spoilt: dict, health: str) -> None:
    rig = Rig("w1 w2")
    rig.change(w1=rig.line("w1", health, **spoilt))
    for i in range(6):
        assert rig.ask(f"a{i}").statuses == [200]
    assert not rig.engines["w1"].chats() and len(rig.engines["w2"].chats()) == 6
    far = rig.waiting.pop()
    # no notice of leaving: left out alone
    rig.tell(far, {"seq": 9, "whole": False, "hosts": [rig.line("w2", **spoilt)]})
    rig.run(0.02)
    assert rig.ask("b").statuses == [200]


@pytest.mark.parametrize("news", ["leaving", "left"])
def test_an_engine_that_leaves_while_a_connection_comes_up_gets_nothing(news: str) -> None:
    rig = Rig("w1 w2")
    coming, dialer = [], rig.net.dialer

    def slow(address: str, who: str = "client") -> object:
        """To whichever engine is chosen first, a connection takes 0.2 s."""
        dial = dialer(address, who)
        if address[0] != "w" or (coming and coming[0] != address):
            return dial
        coming.append(address)

        def later(factory: object) -> object:
            done = task.deferLater(rig.clock, 0.2, lambda: None)
            return done.addCallback(lambda none: dial(factory))

        return later

    rig.net.dialer = slow
    client = rig.ask("a1", traffic="post")
    first = coming[0][:2]
    assert not client.statuses and not rig.engines[first].chats()
    rig.change(**{first: rig.line(first, news)})
    rig.run(0.4)
    assert client.statuses == [200]  # known not to have run: it went to the other one
    assert not rig.engines[first].chats() and rig.node.host.router.estimates.engines
    other = next(n for n in ("w1", "w2") if n != first)
    assert len(rig.engines[other].chats()) == 1
    assert ("broken", "not sent") in [(e, m.get("why")) for e, m in rig.logged]


def test_a_dial_that_stands_as_it_is_given_up_is_closed_with_nothing_written() -> None:
    """The client leaves in the turn in which its connection to the engine stands, or in the one after."""
    for turns in (0, 1, 2, 3):
        rig = Rig("w1")
        client = rig.client()
        client.transport.other.protocol.dataReceived(chat("a1"))  # the dial is out
        for _ in range(turns):
            rig.clock.advance(0)
        client.transport.other.protocol.connectionLost(None)
        rig.run(0.2)
        assert not rig.engines["w1"].chats() and not rig.node.host.in_flight, turns
        assert rig.node.pool.count == sum(len(free) for free in rig.node.pool._free.values())


def test_a_once_only_request_whose_last_byte_never_left_goes_to_another_engine() -> None:
    """In memory: a system takes 256 KiB whole, so that on sockets the last byte always leaves."""
    rig = Rig("w1 w2")
    client = rig.client()
    client.say(chat("a1", traffic="post"))
    near = []
    while not near:
        rig.run(0.0)
        near = [p for p in rig.net.pipes if p.host == "client" and p.other.host in ("w1:1", "w2:1")]
        for pipe in near:
            pipe.stalled = True  # its bytes stay with the node
    rig.run(0.1)
    rig.net.cut(near[0])
    rig.run(0.3)
    assert client.statuses == [200]
    assert len(rig.engines["w1"].chats() + rig.engines["w2"].chats()) == 1


def test_where_no_connection_can_be_made_here_no_engine_is_blamed() -> None:
    rig = Rig("w1 w2")
    rig.node.pool.most = 0
    assert rig.ask("a1", traffic="post").statuses == [503]  # known not to have run
    estimates = rig.node.host.router.estimates
    assert all(not estimates.is_outlier(engine) for engine in estimates.engines[:2])
    assert not any(engine.failures.value for engine in estimates.engines)


def test_a_silent_discovery_is_left_and_called_again() -> None:
    rig = Rig("w1")
    calls = len(rig.discovery.asked)
    rig.run(8.0)
    assert len(rig.discovery.asked) > calls + 1
    assert rig.ask("a1").statuses == [200]


def test_the_return_of_a_silent_discovery_is_heard_within_the_grace() -> None:
    """It answers no call that it took while it was silent, and what it has counts as told at once."""
    for away in (3.3, 4.0, 5.21, 6.77, 8.05):
        rig = Rig("w1 w2")
        rig.silent = True
        rig.run(away)
        rig.silent = False
        rig.waiting.clear()
        rig.lines["w1"] = rig.line("w1", "leaving")
        rig.run(0.2)
        assert rig.node.desk.engines.rows[rig.node.desk.engines.index_of["w1"]].state == "draining", away
        calls = len(rig.discovery.asked)
        assert calls < 10 + 9 * away  # a call in 120 ms
        rig.run(1.0)
        assert len(rig.discovery.asked) == calls  # one watch, and no call beside it


def _half(rig: Rig, far: Far) -> None:
    far.say(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{"seq":')


def _endless(rig: Rig, far: Far) -> None:
    far.say(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n{")

    def more() -> None:
        far.say(b" " * 1000)
        rig.clock.callLater(0.1, more)

    more()


WATCH_TROUBLES = {
    "silent": lambda rig, far: None,
    "half an answer": _half,
    "an endless answer": _endless,
    "reset": lambda rig, far: far.transport.abortConnection(),
    "not JSON": lambda rig, far: far.say(b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{"s'),
    "nested too deep": lambda rig, far: far.say(
        b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"[" * 100_000
    ),
}


@pytest.mark.parametrize("trouble", WATCH_TROUBLES)
@pytest.mark.parametrize("dial", [0.0, 0.97])
def test_a_change_is_told_within_6_s_in_the_worst_phase_of_a_watch(trouble: str, dial: float) -> None:
    """The watch goes wrong just after it was sent, and connections to discovery are slow to stand."""
    for phase in (0.0, 0.7, 1.9):
        rig = Rig("w1 w2")
        rig.change(w2=rig.line("w2"))  # the next watch has just been sent
        dialer = rig.net.dialer

        def slow(address: str, who: str = "client", rig: Rig = rig, dialer: object = dialer) -> object:
            way = dialer(address, who)
            if address != "disco:1":
                return way
            return lambda factory: task.deferLater(rig.clock, dial, lambda: None).addCallback(
                lambda none: way(factory)
            )

        rig.net.dialer, list_now = slow, rig.discovery.answer
        rig.discovery.answer = lambda far, head, body, rig=rig, list_now=list_now: rig.clock.callLater(
            0.05, list_now, far, head, body
        )
        rig.run(phase)
        rig.lines["w1"] = rig.line("w1", "leaving")  # from now on discovery has it
        rig.version += 1
        watch = rig.waiting.pop()
        for far in rig.discovery.connections:
            if far is not watch and not far.lost:
                far.transport.abortConnection()  # none is kept beside it
        WATCH_TROUBLES[trouble](rig, watch)
        at, engines = rig.clock.seconds(), rig.node.desk.engines
        while engines.rows[engines.index_of["w1"]].state != "draining":
            rig.run(0.05)
            assert rig.clock.seconds() < at + 6.0, (trouble, phase)
        assert rig.node.discovery.pool.count <= 18


def test_sighup_moves_discovery_and_a_bad_file_changes_nothing(tmp_path: object) -> None:
    rig = Rig("w1")
    logged = []
    path = tmp_path / "c.json"
    path.write_text("{")
    reload(str(path), rig.node.told, rig.node.discovery.move, lambda event, **more: logged.append(event))
    assert logged == ["configuration kept"] and rig.node.discovery.address == "disco:1"
    rig.net.listen("disco:2", rig.discovery)
    path.write_text(json.dumps({"listen": "127.0.0.1:1", "discovery": "disco:2", "settings": {}}))
    rig.lines["w2"] = rig.line("w2")
    rig.engines["w2"] = rig.engines["w1"]
    reload(str(path), rig.node.told, rig.node.discovery.move, lambda event, **more: logged.append(event))
    rig.run(0.1)
    assert rig.node.discovery.address == "disco:2" and "w2" in rig.node.desk.engines.index_of


def test_a_node_is_ready_with_a_fresh_list_or_after_a_while_with_the_old_one() -> None:
    def up(rig: Rig) -> int:
        client = rig.client()
        client.say(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        rig.run(0.02)
        return client.statuses[0]

    assert up(Rig("w1")) == 200
    rig = Rig("w1", known=False)
    assert up(rig) == 200
    rig.net.kill("disco:1")


def test_a_node_that_came_back_sends_nothing_by_the_list_it_was_given_while_discovery_has_a_newer() -> None:
    rig = Rig("w1 w2", silent=True)
    opened = []
    rig.node.on_open = lambda: opened.append(rig.clock.seconds())
    early = rig.ask("a1")  # it waited for the node to accept it
    rig.run(0.3)
    assert not opened and not rig.engines["w1"].chats() and not rig.engines["w2"].chats()
    rig.lines["w1"] = rig.line("w1", "leaving")
    rig.answer_silent()
    rig.run(0.2)
    assert len(opened) == 1 and early.statuses == [200]
    assert not rig.engines["w1"].chats() and len(rig.engines["w2"].chats()) == 1


def test_where_discovery_stays_silent_a_node_goes_on_with_the_list_it_was_given() -> None:
    rig = Rig("w1", silent=True)
    opened = []
    rig.node.on_open = lambda: opened.append(rig.clock.seconds())
    early = rig.ask("a1")
    rig.run(1.2)
    assert len(opened) == 1 and early.statuses == [200]


# -- drains and starts --------------------------------------------------------------------------------


def test_sigterm_answers_all_that_was_taken_and_what_still_comes_then_ends() -> None:
    rig = Rig("w1")
    idle = rig.ask("a0")
    rig.engines["w1"].answer = silent
    taken = rig.ask("a1")
    ended, stopped = [], []
    drain = Drain(
        rig.clock,
        rig.node.site,
        rig.node.busy,
        lambda: stopped.append(rig.clock.seconds()),
        lambda: ended.append(rig.clock.seconds()),
    )
    at = rig.clock.seconds()
    drain.start()
    drain.start()
    rig.run(0.2)
    assert idle.lost and not taken.lost
    late = rig.ask("a2")  # the front has not noticed yet
    rig.run(2.0)
    assert stopped and stopped[0] - at >= 0.5 and not ended
    for far in rig.engines["w1"].connections:
        far.say(WHOLE) if not far.lost else None
    rig.run(1.0)
    assert taken.statuses == late.statuses == [200] and b"Connection: close" in taken.got
    assert taken.lost and late.lost and ended


def test_a_stream_that_ends_after_sigterm_takes_its_connection_with_it() -> None:
    """Its head went out before and said nothing of closing: what the client sends next must go elsewhere."""
    rig = Rig("w1")
    streams = []

    def begin(far: Far, head: object, body: bytes) -> None:
        far.say(HEAD + chunk(EVENT))
        streams.append(far)

    rig.engines["w1"].answer = begin
    client = rig.ask("a1")
    ended: list[float] = []
    drain = Drain(
        rig.clock, rig.node.site, rig.node.busy, lambda: None, lambda: ended.append(rig.clock.seconds())
    )
    assert client.got.endswith(chunk(EVENT)) and b"Connection: close" not in client.got
    drain.start()
    rig.run(1.5)
    streams[0].say(chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n")
    rig.run(0.01)
    client.say(chat("a2"))  # at once: it crosses the close, or finds it closed
    rig.run(1.0)
    assert stream_of(client.got).endswith(DONE + b"<end>") and client.lost
    assert len(streams) == 1 and ended and rig.node.host.accepted_count == 1


@pytest.mark.parametrize(
    ("text", "names"),
    [
        (None, "RELAY_CONFIG"),
        ("[]", "RELAY_CONFIG"),
        ("{", "RELAY_CONFIG"),
        ('{"discovery":"a:1","settings":{}}', "listen"),
        ('{"listen":"a:1","settings":{}}', "discovery"),
        ('{"listen":"a:1","discovery":"a:1"}', "settings"),
        ('{"listen":"a","discovery":"a:1","settings":{}}', "listen"),
        ('{"listen":"a:1","discovery":"a:x","settings":{}}', "discovery"),
        ('{"listen":"a:1","discovery":"a:1","settings":{},"limits":{"sockets":"many"}}', "limits.sockets"),
    ],
)
def test_a_bad_configuration_is_named_by_its_key(tmp_path: object, text: str | None, names: str) -> None:
    path = tmp_path / "c.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(Malformed, match=names):
        read_bootstrap(str(path))


def test_the_program_ends_with_2_and_one_line_where_settings_lack_a_key(tmp_path: object) -> None:
    path = tmp_path / "c.json"
    path.write_text('{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"Zones":[]}}')
    for env in ({"RELAY_CONFIG": str(path)}, {}):
        done = subprocess.run(
            [sys.executable, "-m", "myrtlehub.relay"], env=env, capture_output=True, text=True, check=False
        )
        assert done.returncode == 2 and len(done.stderr.splitlines()) == 1
        assert "RELAY_CONFIG" in done.stderr or "listen" in done.stderr or "Classes" in done.stderr


def test_what_run_imports_leaves_out_the_other_fronts_and_their_libraries() -> None:
    said = subprocess.run(
        [sys.executable, "-c", "import sys, myrtlehub.relay.__main__; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    unwanted = {
        "pydantic",
        "ruamel",
        "ruamel.yaml",
        "google",
        "h2",
        "immutables",
        "structlog",
        "click",
        "grpc",
        "zstandard",
        "myrtlehub.rpc",
        "myrtlehub.config",
        "myrtlehub.proto",
        "myrtlehub.lab",
    }
    assert not unwanted & set(said) and "myrtlehub.routing.policy.router" in said


def test_settings_of_these_tests_are_those_of_the_simulators_first_message() -> None:
    assert {"Classes", "Caps", "Invariants", "Specifics", "MachineTypes"} <= set(SETTINGS)


def test_after_one_kept_connection_broke_under_its_next_request_none_is_used_for_a_while() -> None:
    rig = Rig("w1 w2")
    for i in range(4):
        rig.ask(f"a{i}")
    rig.run(0.2)
    kept = [far for peer in rig.engines.values() for far in peer.connections if not far.lost]
    assert kept
    for far in kept:
        far.dataReceived = lambda data, far=far: far.transport.abortConnection()
    made, reused = rig.node.pool.made, rig.node.pool.reused
    assert rig.ask("b1").statuses == [200]  # the first goes under, and is tried again on a new one
    for i in range(3):
        rig.run(0.2)
        assert rig.ask(f"c{i}").statuses == [200]
    assert rig.node.pool.reused == reused + 1 and rig.node.pool.made >= made + 4
    rig.run(31.0)
    rig.ask("d1")
    rig.run(0.2)
    rig.ask("d2")
    assert rig.node.pool.reused > reused + 1


def test_what_may_not_run_twice_is_written_on_a_new_connection() -> None:
    rig = Rig("w1")
    for i in range(3):
        rig.ask(f"a{i}", traffic="post")
        rig.run(0.2)
    assert rig.node.pool.reused == 0 and len(rig.engines["w1"].connections) == 3


def test_what_is_given_up_is_closed_before_anything_else_is_written() -> None:
    """On real sockets: the peer sees the end of one connection before the first byte on another."""
    import socket

    from myrtlehub.http1.client import abortive_close

    class Transport:
        def __init__(self, near: socket.socket) -> None:
            self.near, self.aborted = near, False

        def getHandle(self) -> socket.socket:  # noqa: N802
            return self.near

        def abortConnection(self) -> None:  # noqa: N802
            self.aborted = True  # as the reactor does: the socket is closed a turn later

    near, far = socket.socketpair()
    transport = Transport(near)
    abortive_close(transport)
    far.setblocking(False)
    assert far.recv(1) == b"" and transport.aborted
    near.close()
    abortive_close(transport)  # lost already: nothing is raised
    far.close()


def test_a_writer_given_up_has_the_state_released_twice_and_a_new_attempt_of_it_is_left_alone() -> None:
    rig = Rig()
    rig.engines["w1"].answer = silent
    client = rig.ask("a1", LONG)
    client.transport.loseConnection()
    rig.run(1.0)
    assert rig.engines["r1"].released() == [b"/state/a1"] * 2
    assert not rig.node.engines.at_work("a1")


def test_a_once_only_read_that_is_tried_again_goes_on_a_new_connection() -> None:
    rig = Rig("r1 r2 w1")
    for i in range(4):
        rig.ask(f"a{i}", LONG + i)
    rig.run(0.3)
    for name in ("r1", "r2"):
        rig.engines[name].answer = silent
    rig.ask("p1", LONG, traffic="post")
    reused = rig.node.pool.reused
    rig.run(3.0)  # the read is timed out and tried again
    assert len(rig.engines["r1"].chats() + rig.engines["r2"].chats()) == 4 + 2
    assert rig.node.pool.reused == reused


def test_a_state_whose_reader_has_ended_is_released_by_way_of_another_engine() -> None:
    """Seen on a day of replacements: the reader drained and ended while the writer waited for its state."""
    rig = Rig("r1 w1 w2")
    for name in ("w1", "w2"):
        rig.engines[name].answer = silent
    client = rig.ask("a1", LONG)
    rig.run(0.1)
    rig.net.kill("r1:1")
    client.transport.loseConnection()
    rig.run(0.1)
    assert b"/state/a1" in rig.engines["w1"].released() + rig.engines["w2"].released()


def test_a_state_behind_a_cut_is_released_by_way_of_an_engine_that_was_heard_of_late() -> None:
    """Seen on split+brink: the reader and the next three engines of the list were all behind the cut."""
    for heard in ("w2", "w5", "w6"):
        rig = Rig("r1 w1 w2 w3 w4 w5 w6")
        for peer in rig.engines.values():
            if peer is not rig.engines["r1"]:
                peer.answer = silent
        client = rig.ask("a1", LONG)
        rig.run(0.2)
        rig.engines[heard].answer = rig.by_default
        for other in rig.engines:
            if other != heard:
                rig.net.silent.add(f"{other}:1")
        label = 0
        while not any(a[2].get(b"x-txn", b"").startswith(b"b") for a in rig.engines[heard].chats()):
            rig.ask(f"b{label}", 50, left=4000)
            label += 1
            assert label < 100
        client.transport.loseConnection()
        rig.run(0.4)
        assert b"/state/a1" in rig.engines[heard].released(), heard


def test_a_release_that_nobody_answered_before_the_next_attempt_is_told_again_at_the_end() -> None:
    """A state is let go as no writer is there; its reader is deaf, and the sequence is read anew."""
    rig = Rig("r1 w1")
    deaf = [True]

    def read(far: Far, head: object, body: bytes) -> None:
        if head.method == b"POST":
            if len(rig.engines["r1"].chats()) == 1:
                rig.change(w1=rig.line("w1", "leaving"))
            far.say(READ_DONE)
        elif not deaf[0]:
            far.say(RELEASED)

    rig.engines["w1"].answer = lambda far, head, body: None
    rig.engines["r1"].answer = read
    client = rig.ask("a1", LONG)
    while not rig.engines["r1"].released():
        rig.run(0.01)
    rig.change(w1=rig.line("w1"))
    rig.run(0.5)  # its write is out while the tries of the release would be
    rig.engines["w1"].chats()[0][4].say(WHOLE)
    rig.run(0.01)
    assert client.statuses == [200] and len(rig.engines["r1"].chats()) == 2
    told, deaf[0] = len(rig.engines["r1"].released()), False
    rig.run(1.0)
    assert len(rig.engines["r1"].released()) > told
    assert not rig.node.engines.owes() and not rig.node.host.in_flight
