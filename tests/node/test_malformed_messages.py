"""Malformed messages of engines and clients of a gRPC node: they end their own call alone."""

from unittest.mock import patch

import pytest
from fleet import Fleet
from fleet_checks import assert_rules_kept

from myrtlehub.emulator.job import Job
from myrtlehub.node.chat_front.request_message import parse_request
from myrtlehub.rpc.status import Code, RpcError

MALFORMED = b"\x12\xff"  # a field of 127 bytes and more, without them


def send_malformed(job: Job, data: bytes) -> None:
    """Send what a job sends, or a malformed message for sequences of type post."""
    if job.call is not None:
        job.call.send(MALFORMED if job.work.traffic_type == "post" else data)


def test_a_malformed_reply_of_an_engine_breaks_no_other_stream() -> None:
    fleet = Fleet("R0 W0")
    with patch.object(Job, "send", send_malformed):
        other = fleet.generate("ask", prompt=200, output=100)
        fleet.run(0.3)
        assert other.tokens
        broken = fleet.generate("post", prompt=200, output=4)
        fleet.run(10.0)
    assert broken.answer == "aborted"
    assert other.answer == "generated"
    assert_rules_kept(fleet)


def test_a_request_that_is_no_message_is_rejected_as_invalid() -> None:
    with pytest.raises(RpcError) as raised:
        parse_request(MALFORMED, is_resume=False)
    assert raised.value.status.code == Code.INVALID_ARGUMENT
