"""Memory of the relay process: objects that the reactor references must not refer to requests."""

import sys

from paths import TESTS
from relaymessages import LAST_CHUNK, LONG_PROMPT, chat_request
from socketrig import Client, SocketRig

# Classes of objects that belong to one request and are freed when it ends.
REQUEST_CLASSES = (
    "Attempt",
    "AttemptResponseHandler",
    "ClientRequest",
    "EngineRequest",
    "EventStreamParser",
    "ClientResponseSink",
    "InFlightSequence",
    "PendingRequest",
    "ServerExchange",
    "ServerRequest",
)
# Classes of connections, whose objects are freed when they close.
CONNECTION_CLASSES = ("ServerConnection",)
REQUEST_COUNT = 60
MAX_REMAINING_OBJECTS = 12  # watches, idle connections and requests of the last reactor turns


def test_a_request_is_freed_when_it_ends_even_if_its_connection_stays_open(rig: SocketRig) -> None:
    """Guards against a leak: the protocol factory of a connection referred to its first request.

    After a run of 45 minutes, such requests took 84 of the 96 MB of the process.
    """
    launcher = str(TESTS / "support" / "object_counter.py")
    node = rig.start("r1 w1 w2", argv=[sys.executable, launcher])
    for number in range(REQUEST_COUNT):
        client = Client(node.address)
        # At-most-once requests use new connections to their engines.
        prompt = LONG_PROMPT if number % 2 else 100
        client.send(chat_request(f"a{number}", prompt, "post"))
        client.read_until(LAST_CHUNK)
        client.close()
        if number % 10 == 0:
            rig.discovery.change_health(w2="leaving" if number % 20 else "active")
    node.signal("USR1")
    counts = node.wait_for_log("objects")["counts"]
    remaining = {name: counts.get(name, 0) for name in (*REQUEST_CLASSES, *CONNECTION_CLASSES)}
    assert {name: count for name, count in remaining.items() if count > MAX_REMAINING_OBJECTS} == {}
