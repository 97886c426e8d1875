"""The forms in which responses of engines and of discovery may end; responses that are cut or endless."""

import json
from collections.abc import Callable
from typing import NamedTuple

import h11
import pytest
from relaymessages import DONE, EVENT, LONG_PROMPT, STREAM_HEAD, USAGE, chat_request, chunk, stream_of
from relayrig import PeerConnection, RelayRig
from socketrig import Client, SocketRig

from myrtlehub.http1.bounds import MAX_SMALL_RESPONSE_BYTES
from myrtlehub.log_events import LogEvent
from myrtlehub.relay.discovery.discovery_client import (
    MAX_LIST_BYTES,
    OVERDUE_TIMEOUT_S,
    RESPONSE_TIMEOUT_S,
    WATCH_DURATION_S,
)
from myrtlehub.relay.engines.event_stream import MAX_EVENT_BYTES
from myrtlehub.routing.contract import EngineState

LARGEST_FLEET = 3200  # engines
EVENTS = EVENT + EVENT + USAGE + DONE
READ_RESULT = b'{"cached_tokens":640}'


class Form(NamedTuple):
    """A form of a response: its head without the first line, its body and whether its connection ends it."""

    fields: bytes
    encode: Callable[[bytes], bytes]
    ends_with_connection: bool = False
    version: bytes = b"1.1"

    def response(self, status: int, body: bytes) -> bytes:
        """Return the bytes of a response."""
        fields = self.fields % len(body) if b"%d" in self.fields else self.fields
        return b"HTTP/%s %d X\r\n%s\r\n%s" % (self.version, status, fields, self.encode(body))

    def send(self, connection: PeerConnection, status: int, body: bytes) -> None:
        """Send a response, and its end."""
        connection.send(self.response(status, body))
        if self.ends_with_connection:
            connection.transport.loseConnection()


def unchanged(body: bytes) -> bytes:
    """Return a body as it is sent without chunks."""
    return body


def halves(body: bytes) -> bytes:
    """Return a body in two chunks."""
    middle = len(body) // 2
    return b"".join(chunk(part) for part in (body[:middle], body[middle:]) if part)


FORMS = {
    "length": Form(b"Content-Length: %d\r\n", unchanged),
    "length and close": Form(b"Content-Length: %d\r\nConnection: close\r\n", unchanged, True),
    "chunks": Form(b"Transfer-Encoding: chunked\r\n", lambda body: halves(body) + b"0\r\n\r\n"),
    "chunks with extensions and trailers": Form(
        b"Transfer-Encoding: chunked\r\n",
        lambda body: halves(body).replace(b"\r\n", b";a=b\r\n", 1) + b"0;c\r\nDigest: x\r\n\r\n",
    ),
    "chunks and close": Form(
        b"Transfer-Encoding: chunked\r\nConnection: close\r\n", lambda body: halves(body) + b"0\r\n\r\n", True
    ),
    "end of the connection": Form(b"Connection: close\r\n", unchanged, True),
    "end of the connection, unannounced": Form(b"", unchanged, True),
    "HTTP/1.0": Form(b"", unchanged, True, b"1.0"),
    "HTTP/1.0 with a length": Form(b"Content-Length: %d\r\n", unchanged, True, b"1.0"),
}
WITHOUT_LENGTH = [
    name for name, form in FORMS.items() if form.encode is unchanged and b"%d" not in form.fields
]
ENDLESS_CHUNK = Form(b"Transfer-Encoding: chunked\r\n", lambda body: b"c0000000\r\n" + body)
all_forms = pytest.mark.parametrize("form", FORMS.values(), ids=FORMS.keys())
forms_without_length = pytest.mark.parametrize(
    "form", [FORMS[name] for name in WITHOUT_LENGTH], ids=WITHOUT_LENGTH
)


def respond_in(rig: RelayRig, form: Form) -> None:
    """Let all engines respond in a form."""

    def respond(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        if head.method == b"DELETE":
            form.send(connection, 200, b"{}")
        elif connection.peer is rig.engines.get("r1"):
            form.send(connection, 202, READ_RESULT)
        else:
            form.send(connection, 200, EVENTS)

    for engine in rig.engines.values():
        engine.script = respond


# Guards against lists, streams and reads that are never used because of the form in which they end.
@all_forms
def test_a_response_ends_in_each_form_that_http_has(form: Form) -> None:
    rig = RelayRig("r1 w1")
    respond_in(rig, form)
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    assert client.statuses == [200] and stream_of(client.received) == EVENTS + b"<end>"
    assert len(rig.engines["r1"].chat_requests()) == len(rig.engines["w1"].chat_requests()) == 1


@all_forms
def test_a_release_is_confirmed_in_each_form_that_http_has(form: Form) -> None:
    rig = RelayRig("r1 w1")
    respond_in(rig, form)
    rig.node.engine_client.release(rig.node.decoder.engines.index_by_address["r1"], "a1")
    rig.run(0.05)
    assert rig.engines["r1"].released_paths() == [b"/state/a1"]
    assert not rig.node.engine_client.releaser.is_busy()


@all_forms
def test_a_list_is_used_in_each_form_that_http_has(form: Form) -> None:
    rig = RelayRig("w1 w2")
    for version, health, state in ((2, "leaving", EngineState.DRAINING), (3, "active", EngineState.SERVING)):
        change = {"seq": version, "whole": False, "hosts": [rig.entry("w1", health)]}
        form.send(rig.open_watches.pop(), 200, json.dumps(change).encode())
        rig.run(0.05)
        assert rig.node.discovery.version == version
        assert rig.node.executor.router.estimates.engines[0].state == state


# Guards against a limit for a list that depends on how its response is framed.
@pytest.mark.parametrize("framing", ["length", "one chunk", "many chunks"])
def test_a_list_of_the_largest_fleet_is_used_however_it_is_framed(framing: str) -> None:
    rig = RelayRig("w1")
    hosts = [rig.entry("w1"), *(rig.entry(f"w{number}", share=0.5) for number in range(2, LARGEST_FLEET + 1))]
    body = json.dumps({"seq": 2, "whole": True, "hosts": hosts}).encode()
    assert len(body) > MAX_EVENT_BYTES
    size = len(body) if framing == "one chunk" else 1000
    chunks = b"".join(chunk(body[start : start + size]) for start in range(0, len(body), size))
    if framing == "length":
        response = FORMS["length"].response(200, body)
    else:
        response = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    rig.open_watches.pop().send(response)
    rig.run(0.5)
    assert rig.node.discovery.version == 2
    assert len(rig.node.decoder.engines.endpoints) == LARGEST_FLEET


# Guards against a response that counts as whole although its connection broke within it.
@all_forms
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_a_stream_that_is_cut_is_not_whole(form: Form, is_reset: bool) -> None:
    rig = RelayRig("w1")
    part = form.response(200, EVENTS).partition(DONE)[0]

    def cut(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        connection.send(part)
        rig.clock.callLater(0.01, rig.net.cut, connection.transport, not is_reset)

    rig.engines["w1"].script = cut
    client = rig.request("a1", traffic="post")
    rig.run(0.1)
    assert client.statuses == [200] and client.lost
    assert not stream_of(client.received).endswith(b"<end>")
    assert len(rig.engines["w1"].chat_requests()) == 1


@all_forms
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_a_read_that_is_cut_is_made_again(form: Form, is_reset: bool) -> None:
    rig = RelayRig("r1 w1")
    part = form.response(202, READ_RESULT).partition(b"640")[0]

    def cut_first(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        if head.method == b"POST" and len(rig.engines["r1"].chat_requests()) == 1:
            connection.send(part)
            rig.clock.callLater(0.01, rig.net.cut, connection.transport, not is_reset)
        else:
            rig.default_script(connection, head, body)

    rig.engines["r1"].script = cut_first
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.5)
    assert client.statuses == [200]
    assert len(rig.engines["r1"].chat_requests()) == 2 or not _fetched_state(rig)


def _fetched_state(rig: RelayRig) -> bool:
    sent = [logged.fields for logged in rig.logged if logged.event == LogEvent.ATTEMPT_SENT]
    return any(fields["fetches_state"] for fields in sent)


@forms_without_length
def test_a_whole_body_without_length_is_not_used_if_its_connection_was_reset(form: Form) -> None:
    rig = RelayRig("w1 w2")
    watch = rig.open_watches.pop()
    change = {"seq": 2, "whole": False, "hosts": [rig.entry("w1", "leaving")]}
    watch.send(form.response(200, json.dumps(change).encode()))
    rig.run(0.01)
    rig.net.cut(watch.transport)
    rig.run(0.01)
    assert rig.node.discovery.version is None  # the whole list is fetched again


@all_forms
def test_a_list_that_is_cut_is_fetched_again(form: Form) -> None:
    rig = RelayRig("w1 w2")
    watch = rig.open_watches.pop()
    change = {"seq": 2, "whole": False, "hosts": [rig.entry("w1", "leaving")]}
    watch.send(form.response(200, json.dumps(change).encode()).partition(b'"active"')[0][:-40])
    rig.run(0.01)
    rig.net.cut(watch.transport, clean=True)
    rig.run(0.01)
    assert rig.node.discovery.version is None
    rig.run(0.2)
    assert rig.node.discovery.version == 1 and rig.open_watches


# Guards against a body without end, which would take a connection and memory for ever.
@pytest.mark.parametrize(
    "form",
    [*(FORMS[name] for name in WITHOUT_LENGTH), ENDLESS_CHUNK],
    ids=[*WITHOUT_LENGTH, "a chunk without end"],
)
def test_a_list_without_end_is_given_up(form: Form) -> None:
    rig = RelayRig("w1")
    watch = rig.open_watches.pop()
    watch.send(form.response(200, b'{"seq":2,"hosts":['))
    handler = rig.node.discovery._requests[0].pending.handler
    for _ in range(round((WATCH_DURATION_S + RESPONSE_TIMEOUT_S + OVERDUE_TIMEOUT_S) / 0.02) + 1):
        if watch.lost:
            break
        watch.send(b" " * 65536)
        rig.run(0.02)
        assert len(handler.body) <= MAX_LIST_BYTES
    assert watch.lost
    rig.run(0.2)
    assert rig.node.discovery.version == 1


@forms_without_length
def test_a_read_without_end_is_given_up(form: Form) -> None:
    rig = RelayRig("r1 w1")
    rig.engines["r1"].script = lambda connection, head, body: connection.send(
        form.response(202, b" " * (MAX_SMALL_RESPONSE_BYTES + 1))
        if head.method == b"POST"
        else b"HTTP/1.1 204 X\r\n\r\n"
    )
    rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    assert rig.engines["r1"].connections[0].lost


CLAIMS = (b"Content-Length: 3000000000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\nc0000000")


# Guards against a claim that is believed, so that a list or a read waits for content that never comes.
@pytest.mark.parametrize("claim", CLAIMS)
def test_a_list_that_claims_gigabytes_is_fetched_again_at_once(claim: bytes) -> None:
    rig = RelayRig("w1")
    watch = rig.open_watches.pop()
    watch.send(b"HTTP/1.1 200 OK\r\n" + claim)
    rig.run(0.2)
    assert watch.lost and rig.node.discovery.version == 1 and rig.open_watches


@pytest.mark.parametrize("claim", CLAIMS)
def test_a_read_that_claims_gigabytes_is_repeated_elsewhere_at_once(claim: bytes) -> None:
    rig = RelayRig("r1 r2 w1")
    for name in ("r1", "r2"):
        rig.engines[name].script = lambda connection, head, body: (
            connection.send(b"HTTP/1.1 202 X\r\n" + claim)
            if not rig.engines["r1"].chat_requests() or not rig.engines["r2"].chat_requests()
            else rig.default_script(connection, head, body)
        )
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.3)
    assert client.statuses == [200]
    assert rig.engines["r1"].connections[0].lost or rig.engines["r2"].connections[0].lost


@forms_without_length
def test_a_stream_without_end_is_given_up(form: Form) -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(form.response(200, EVENTS))
    client = rig.request("a1")
    rig.run(4.9)
    assert rig.engines["w1"].connections[0].lost and client.lost


def test_a_rejection_without_end_is_given_up() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(
        b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\n\r\nfull"
    )
    rig.request("a1", remaining_ms=300)
    rig.run(1.5)
    assert rig.engines["w1"].connections and all(peer.lost for peer in rig.engines["w1"].connections)


# Guards against a broken stream that looks complete to a client whose responses end with the connection.
@pytest.mark.parametrize("is_broken", [False, True])
def test_a_broken_stream_looks_incomplete_to_an_http_1_0_client(is_broken: bool) -> None:
    rig = RelayRig("w1")
    respond_in(rig, FORMS["length"])
    if is_broken:
        rig.engines["w1"].script = lambda connection, head, body: (
            connection.send(STREAM_HEAD + chunk(EVENTS)),
            rig.clock.callLater(0.01, rig.net.cut, connection.transport),
        )
    client = rig.client()
    client.send(chat_request("a1").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    rig.run(0.2)
    assert client.statuses == [200]
    assert client.received.partition(b"\r\n\r\n")[2] == EVENTS
    assert client.lost and client.was_reset == is_broken


# Guards against a first event that is discarded with the connection, so that its client gets nothing at all.
def test_an_http_1_0_client_gets_what_its_stream_had_before_it_broke(rig: SocketRig) -> None:
    node = rig.start("w1")
    rig.engines["w1"].script = lambda connection, request: connection.send(
        STREAM_HEAD + chunk(EVENTS) + b"c0000000\r\n"
    )
    for number in range(20):
        client = Client(node.address)
        client.send(chat_request(f"a{number}", traffic="post").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        assert client.read_until(EVENTS)
        with pytest.raises(ConnectionResetError):
            client.read_rest()
