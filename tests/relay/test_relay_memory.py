"""Memory of a relay node: objects of answered requests are freed immediately."""

import gc
from collections import Counter

import h11
from relaymessages import EVENT, LONG_PROMPT, RELEASE_RESPONSE, STREAM_HEAD, chunk
from relayrig import PeerConnection, RelayRig

from myrtlehub.http1.server_exchange import ServerExchange
from myrtlehub.http1.server_request import ServerRequest
from myrtlehub.node.action_executor import Attempt, InFlightSequence
from myrtlehub.relay.clients.client_front import ClientResponseSink
from myrtlehub.relay.clients.request_decoder import DecodedRequest, EngineRequest
from myrtlehub.relay.engines.attempt_response import AttemptResponseHandler

# Classes whose instances refer to a request; not their names, so that a rename cannot hide a class.
REQUEST_CLASSES = (
    InFlightSequence,
    ClientResponseSink,
    ServerExchange,
    ServerRequest,
    h11.Request,
    DecodedRequest,
    EngineRequest,
    Attempt,
    AttemptResponseHandler,
)


def test_objects_of_answered_requests_are_in_no_reference_cycle() -> None:
    """Guards against reference cycles through complete requests.

    Between two full garbage collections, the objects in such cycles would add up to tens of MB.
    """
    rig = RelayRig("r1 w1 w2")

    def malformed_stream(connection: PeerConnection, head: h11.Request, body: bytes) -> None:
        connection.send(RELEASE_RESPONSE if head.method == b"DELETE" else STREAM_HEAD + chunk(EVENT) + b"xyz")

    gc.collect()
    gc.disable()
    try:
        for i in range(40):
            if i == 30:
                rig.engines["w1"].script = rig.engines["w2"].script = malformed_stream
            client = rig.request(f"a{i}", LONG_PROMPT if i % 2 else 100, "post" if i % 3 else "ask")
            client.transport.loseConnection()
            rig.run(0.1)
        rig.request("b", remaining_ms=300)
        rig.run(9.0)
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        garbage = Counter(type(instance) for instance in gc.garbage)
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    assert not {leaked: garbage[leaked] for leaked in REQUEST_CLASSES if garbage[leaked]}
